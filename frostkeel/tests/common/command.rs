//! Runs the `frostkeel` command.

use std::process::{Command, Output, Stdio};

/// The path of the built `frostkeel` program.
pub const FROSTKEEL: &str = env!("CARGO_BIN_EXE_frostkeel");

/// Runs `frostkeel` with these arguments in the folder of the crate, with no input, and waits for its end.
pub fn run_frostkeel(arguments: &[&str]) -> Output {
    Command::new(FROSTKEEL)
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .stdin(Stdio::null())
        .output()
        .expect("frostkeel starts")
}
