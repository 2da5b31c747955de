//! Provides folders for the files that tests write.

use std::path::{Path, PathBuf};

/// Returns an empty folder with this name. Removes the files of an earlier test run.
pub fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}
