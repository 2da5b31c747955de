//! `frostkeel guard`: kills the child processes of a lab that was itself killed. Only the lab starts it.

use crate::exit::{CommandOutcome, CommandResult};

/// Reads from standard input which child processes of the lab are running. The input ends when the lab ends; then kills
/// the processes that are still running.
pub fn run() -> CommandResult {
    frostkeel_lab::guard::kill_children_when_input_ends(std::io::stdin().lock());
    Ok(CommandOutcome::Passed)
}
