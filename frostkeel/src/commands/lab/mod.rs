//! `frostkeel lab`: runs experiments on balancers and registries. Each subcommand is a module.

mod check;
mod compare;
mod registry;
pub mod run;
mod simulate;

use crate::error::CommandError;
use crate::exit::CommandResult;
use clap::{Args, Subcommand};
use frostkeel_lab::experiment::Experiment;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;

/// The file name of the balancer program, which is expected in the folder of this program.
const BALANCER_PROGRAM: &str = "frostkeel-balancer";

/// The balancer program, the output folder and the seed of a run.
#[derive(Args)]
pub struct RunArgs {
    /// Path of the balancer program [default: frostkeel-balancer in the folder of this program].
    #[arg(long, value_name = "PROGRAM")]
    balancer: Option<PathBuf>,
    /// Folder for the results and the logs of the processes [default: frostkeel-NAME-PID in the temporary folder].
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// Seed of the random numbers, an integer [default: the seed of the experiment].
    #[arg(long)]
    seed: Option<u64>,
}

impl RunArgs {
    fn balancer_program(&self) -> io::Result<PathBuf> {
        match &self.balancer {
            Some(program) => Ok(program.clone()),
            None => Ok(std::env::current_exe()?.with_file_name(BALANCER_PROGRAM)),
        }
    }

    /// Returns `--out`, or else a folder in the temporary folder whose name has the name of the run and the process ID.
    fn output_folder(&self, name: &str) -> PathBuf {
        let process = std::process::id();
        let new_folder = || std::env::temp_dir().join(format!("frostkeel-{name}-{process}"));
        self.out.clone().unwrap_or_else(new_folder)
    }
}

/// A subcommand of `frostkeel lab`, with its arguments.
#[derive(Subcommand)]
pub enum LabCommand {
    /// Run an experiment with balancer processes, check all its events against the rules, and write a report.
    ///
    /// The command exits with 1 if a rule was violated, an expectation was missed, or the run is void.
    ///
    /// A run is void, so that its figures do not count, if the lab sent requests too late or dropped events.
    Run {
        /// Path of the experiment file, in TOML.
        file: PathBuf,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Check that an experiment file is valid, without running the experiment.
    Check {
        /// Path of the experiment file, in TOML.
        file: PathBuf,
    },
    /// Simulate only the membership protocol of the balancers, with an experiment's faults, in simulated time.
    ///
    /// Columns: `dgrams` and `bytes` are the datagrams and bytes that each member sent per second.
    ///
    /// `p50 s`, `p99 s`, `worst`: seconds until 99% of survivors detected a kill (median, 99th percentile, maximum).
    ///
    /// `false` and `held` count how often a member declared a running or a paused member dead.
    ///
    /// `equal s` is the second since which all views are equal, `unequal` the number of views that differ at the end.
    Simulate(simulate::SimulateArgs),
    /// Run watchers and writers on a registry process, optionally kill it, and check what the watchers receive.
    Registry(registry::RegistryRunArgs),
    /// Run two balancer programs, or two experiments, in turn on the same seeds, and compare the results.
    ///
    /// A side is an experiment with a balancer program. The two sides are called `before` and `after`.
    Compare(compare::CompareArgs),
}

/// Runs one of the lab's subcommands.
pub fn run(command: LabCommand) -> CommandResult {
    match command {
        LabCommand::Run { file, args } => run::run(&file, args),
        LabCommand::Check { file } => check::run(&file),
        LabCommand::Simulate(args) => simulate::run(&args),
        LabCommand::Registry(args) => registry::run(&args),
        LabCommand::Compare(args) => compare::run(args),
    }
}

fn read_experiment(path: &Path) -> Result<Experiment, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::ReadFile {
        path: path.to_owned(),
        source,
    })?;
    Experiment::parse(&text).map_err(|source| CommandError::ExperimentFile {
        path: path.to_owned(),
        source,
    })
}

/// Returns the value of `--seconds` as a duration. Negative, infinite and too large values are errors.
fn parse_seconds(seconds: f64) -> Result<Duration, CommandError> {
    Duration::try_from_secs_f64(seconds).map_err(|source| CommandError::Seconds { seconds, source })
}

/// Returns a channel whose value becomes `true` at the first Ctrl-C.
fn interrupt_signal() -> watch::Receiver<bool> {
    let (sender, receiver) = watch::channel(false);
    tokio::spawn(async move {
        if tokio::signal::ctrl_c().await.is_ok() {
            sender.send_replace(true);
        }
        // The sender must exist for as long as the receivers: dropping it would wake them.
        sender.closed().await;
    });
    receiver
}
