//! The exit codes of all commands.
//!
//! | code | meaning |
//! | --- | --- |
//! | 0 | the command has done its work, and every check held |
//! | 1 | a check failed, or an error is on standard error |
//! | 2 | the arguments can't be parsed (by `clap`) |
//! | other | that of the process which `frostkeel agent` ran |

use crate::error::CommandError;
use std::process::{ExitCode, ExitStatus};

/// What a command returns.
pub type CommandResult = Result<CommandOutcome, CommandError>;

/// How a command that could do its work has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It succeeded, and every check held.
    Passed,
    /// A check failed; what failed has been printed.
    Failed,
    /// The process that it ran has ended.
    ChildEnded(ExitStatus),
}

impl CommandOutcome {
    /// `Passed` if the checks held.
    pub fn from_check(held: bool) -> Self {
        if held { Self::Passed } else { Self::Failed }
    }
}

/// The exit code for a result; an error is printed to standard error.
pub fn exit_code(result: CommandResult) -> ExitCode {
    match result {
        Ok(CommandOutcome::Passed) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Failed) => ExitCode::FAILURE,
        Ok(CommandOutcome::ChildEnded(status)) => child_exit_code(status),
        Err(error) => {
            eprintln!("frostkeel: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The child's own code. A child that a signal has ended has none and counts as failed.
fn child_exit_code(status: ExitStatus) -> ExitCode {
    status
        .code()
        .and_then(|code| u8::try_from(code).ok())
        .map_or(ExitCode::FAILURE, ExitCode::from)
}
