//! `frostkeel-simulator-adapter`: reads batches of the simulator's protocol on standard input and writes replies to
//! standard output.
//!
//! At the first error, such as a malformed frame, the program writes one line to standard error and exits with code 1.
//! An invalid frame gets no reply, and no part of one.

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
