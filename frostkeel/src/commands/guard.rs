//! `frostkeel guard`: ends the children of a lab that was killed. Only the lab starts it.

use crate::exit::{CommandOutcome, CommandResult};

/// Follows the list of children on standard input; at its end, kills those that still run.
pub fn run() -> CommandResult {
    frostkeel_lab::guard::kill_children_when_input_ends(std::io::stdin().lock());
    Ok(CommandOutcome::Passed)
}
