//! `frostkeel-simulator-adapter`: speaks the simulator's protocol on standard input and output.
//!
//! A malformed frame ends it with one line on standard error and exit code 1. No part of a reply to that frame is
//! written.

use frostkeel_simulator_adapter::session;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match session::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", env!("CARGO_BIN_NAME"));
            ExitCode::FAILURE
        }
    }
}
