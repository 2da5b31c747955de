//! The exit codes of all commands.
//!
//! | code | meaning |
//! | --- | --- |
//! | 0 | the command succeeded, and every check passed |
//! | 1 | a check failed, or an error was printed to standard error |
//! | 2 | the arguments are not valid (reported by `clap`) |
//! | any | `frostkeel agent` exits with the code of the command that it ran |

use crate::error::CommandError;
use std::process::{ExitCode, ExitStatus};

/// The result of a command, which [`exit_code`] turns into an exit code.
pub type CommandResult = Result<CommandOutcome, CommandError>;

/// The outcome of a command that ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command succeeded, and every check passed.
    Passed,
    /// A check failed. The command has printed which one.
    Failed,
    /// The process that `frostkeel agent` ran has ended with this status.
    ChildEnded(ExitStatus),
}

impl CommandOutcome {
    /// Returns `Passed` if the checks passed, otherwise `Failed`.
    pub fn from_check(passed: bool) -> Self {
        if passed { Self::Passed } else { Self::Failed }
    }
}

/// Returns the exit code for the result of a command. Prints an error to standard error.
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

/// Returns the exit code of the child process, or 1 if a signal ended it, because it has no exit code then.
fn child_exit_code(status: ExitStatus) -> ExitCode {
    status
        .code()
        .and_then(|code| u8::try_from(code).ok())
        .map_or(ExitCode::FAILURE, ExitCode::from)
}
