//! Comparison of computed texts with committed files.

use std::path::Path;

/// Asserts that a computed text is equal to a committed one. If they differ, the computed text is
/// written to the temporary folder of the build before the panic.
pub fn assert_matches_fixture(name: &str, actual: &str, committed: &str) {
    if actual != committed {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, actual).expect("written");
        let difference = actual.lines().zip(committed.lines()).find(|(a, c)| a != c);
        panic!("{name} has changed, see {}: {difference:?}", path.display());
    }
}
