//! Tests of the parsing of names.

use frostkeel_membership::Name;

#[test]
fn valid_names_are_parsed_and_invalid_ones_rejected() {
    for text in ["b0", "n3", "a.b_c-9", "sixteen.letters."] {
        assert_eq!(Name::new(text).expect(text).as_str(), text);
    }
    for text in ["", "seventeen.letters", "a b", "ä", "a\0"] {
        assert!(Name::new(text).is_err(), "{text:?} is accepted");
    }
}
