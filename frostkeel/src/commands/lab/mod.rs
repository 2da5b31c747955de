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
    /// Path of the balancer program, not used by `lab registry` [default: frostkeel-balancer in this program's folder].
    #[arg(long, value_name = "PROGRAM")]
    balancer: Option<PathBuf>,
    /// Folder for the results and the logs of the processes [default: frostkeel-NAME-PID in the temporary folder].
    ///
    /// NAME is the `name` of the experiment, or `registry` for `lab registry`, and PID this program's process ID.
    ///
    /// For `lab compare`, NAME is that of the side `before`, and each run has a folder of its own in this folder.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// Seed of the random numbers, an integer [default: the seed of the experiment, or 1 for `lab registry`].
    ///
    /// For `lab compare`, it is the seed of the first run of each side, by default that of the side `before`.
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
    /// Run an experiment with balancer processes, check its events against built-in rules, and write a report.
    ///
    /// Rules: a balancer gives each request one final response, unless a fault ends the balancer or the connection.
    ///
    /// A balancer makes at most 3 attempts for a request. An at-most-once request is processed by one upstream at most.
    ///
    /// A successful response is from an upstream that served the request.
    ///
    /// No new request reaches an upstream over 1.15 s after the balancer was notified of its drain or removal.
    ///
    /// No upstream crashes under overload while warming up. No balancer crashes, exceeds its memory or survives SIGKILL.
    ///
    /// If the file has the table `[membership]`, and `none_taken_for_gone = true` in `[expect]`, there are two more rules:
    ///
    /// No balancer declares a running one dead or left. The version of a view increases by 1 with each change.
    ///
    /// Expectations are set in the table `[expect]`, e.g. `served = 0.9`: 90% of the priority weight is served in time.
    ///
    /// The command exits with 1 if a rule was violated, an expectation was missed, or the run is void.
    ///
    /// A run is void, so that its figures do not count, if the lab sent requests too late or dropped events.
    Run {
        /// Path of the experiment file, in TOML. It needs `name`, `seconds`, `fleet.balancers` and `fleet.upstreams`.
        file: PathBuf,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Check that an experiment file is valid, without running the experiment.
    Check {
        /// Path of the experiment file, in TOML. It needs `name`, `seconds`, `fleet.balancers` and `fleet.upstreams`.
        file: PathBuf,
    },
    /// Simulate only the membership protocol of the balancers, with an experiment's faults, in simulated time.
    ///
    /// Columns: `dgrams` and `bytes` are the datagrams and bytes that each member sent per second.
    ///
    /// A kill is detected when 99% of the surviving members know of it. The detection time is in seconds.
    ///
    /// `p50 s`, `p99 s` and `worst` are the median, 99th percentile and maximum of this time over all detected kills.
    ///
    /// `false` counts how often a member declared a running member dead or left, `held` how often a paused member.
    ///
    /// `equal s` is the second since which all views are equal, `unequal` the number of views that differ at the end.
    ///
    /// The command exits with 1 if a simulation missed one of these keys of the experiment's table `[expect]`:
    ///
    /// `known_s`, `equal_s`, `none_taken_for_gone` or `none_stopped_taken_for_gone`. Other keys are not checked.
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
