//! Tests of the words and keys on the members page and in the log. They are a published format on
//! which readers depend.

use frostkeel_membership::{Counters, MemberState, Phase};

const COUNTERS: &str = concat!(
    r#"{"sent":1,"sent_bytes":2,"received":3,"received_bytes":4,"broken":5,"other_version":6,"#,
    r#""other_fleet":7,"unknown_sender":8,"impostor":9,"beyond":10,"odd":11,"refuted":12,"pauses":13}"#,
);

#[test]
fn counters_retain_their_published_keys_and_order() {
    let counters = Counters {
        sent: 1,
        sent_bytes: 2,
        received: 3,
        received_bytes: 4,
        malformed: 5,
        unsupported_version: 6,
        foreign_fleet: 7,
        unknown_sender: 8,
        sender_mismatch: 9,
        implausible: 10,
        protocol_errors: 11,
        refutations: 12,
        pauses: 13,
    };
    assert_eq!(
        serde_json::to_string(&counters).expect("the counters can be serialized"),
        COUNTERS
    );
}

#[test]
fn member_states_and_phases_retain_their_published_names() {
    for (state, word) in [
        (MemberState::Alive, "present"),
        (MemberState::Suspect, "suspect"),
        (MemberState::Left, "left"),
        (MemberState::Dead, "gone"),
    ] {
        assert_eq!(
            serde_json::to_value(state).expect("the value can be serialized"),
            word
        );
        assert_eq!(state.as_str(), word);
    }
    for (phase, word) in [
        (Phase::Member, "member"),
        (Phase::Yielded, "yielded"),
        (Phase::Left, "left"),
    ] {
        assert_eq!(
            serde_json::to_value(phase).expect("the value can be serialized"),
            word
        );
    }
}
