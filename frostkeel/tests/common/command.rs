//! Runs the `frostkeel` command.

use std::process::{Command, Output, Stdio};

/// The path of the built command.
pub const FROSTKEEL: &str = env!("CARGO_BIN_EXE_frostkeel");

/// Runs the command in the crate's folder, without input, until it ends.
pub fn run_frostkeel(arguments: &[&str]) -> Output {
    Command::new(FROSTKEEL)
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .stdin(Stdio::null())
        .output()
        .expect("it starts")
}
