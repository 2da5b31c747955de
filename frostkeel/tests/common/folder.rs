//! Folders for the files of a test.

use std::path::{Path, PathBuf};

/// An empty folder of this name; the files of an earlier run are removed.
pub fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}
