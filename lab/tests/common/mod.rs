//! Comparison with committed files.

use std::path::Path;

/// Compares a computed text with a committed one. Where they differ, the computed one is left in
/// the temporary folder of the build.
pub fn assert_matches_fixture(name: &str, actual: &str, committed: &str) {
    if actual != committed {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, actual).expect("written");
        let difference = actual.lines().zip(committed.lines()).find(|(a, c)| a != c);
        panic!("{name} has changed, see {}: {difference:?}", path.display());
    }
}
