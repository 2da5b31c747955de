//! `frostkeel lab`: experiments on a fleet of real processes, one module a subcommand.

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

/// The balancer's program, in the folder of this one.
const BALANCER_PROGRAM: &str = "frostkeel-balancer";

/// The programs, the folder and the seed of a run.
#[derive(Args)]
pub struct RunArgs {
    /// The balancer's program; beside this one unless named.
    #[arg(long)]
    balancer: Option<PathBuf>,
    /// Folder for the report, the events and the children's logs; a new one in the temporary folder unless named.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Seed in place of the experiment's own.
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

    /// The folder for the results of a run with this name.
    fn output_folder(&self, name: &str) -> PathBuf {
        let process = std::process::id();
        let new_folder = || std::env::temp_dir().join(format!("frostkeel-{name}-{process}"));
        self.out.clone().unwrap_or_else(new_folder)
    }
}

/// What the lab does.
#[derive(Subcommand)]
pub enum LabCommand {
    /// Play an experiment, check every rule over its whole history, and write a report.
    Run {
        /// The experiment.
        file: PathBuf,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Say whether an experiment can be meant.
    Check {
        /// The experiment.
        file: PathBuf,
    },
    /// Play what an experiment does to balancers with the membership's state machines alone, in simulated time.
    Simulate(simulate::SimulateArgs),
    /// Put many watchers and writers on a list service, kill it now and then, and check all that they saw.
    Registry(registry::RegistryRunArgs),
    /// Play two programs, or two experiments, in turn on the same seeds, and compare their figures.
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

/// The value of `--seconds` as a time.
fn parse_seconds(seconds: f64) -> Result<Duration, CommandError> {
    Duration::try_from_secs_f64(seconds).map_err(|source| CommandError::Seconds { seconds, source })
}

/// Becomes `true` at the first Ctrl-C.
fn interrupt_signal() -> watch::Receiver<bool> {
    let (sender, receiver) = watch::channel(false);
    tokio::spawn(async move {
        if tokio::signal::ctrl_c().await.is_ok() {
            sender.send_replace(true);
        }
        // Dropping the sender would wake the receivers: it lives as long as they do.
        sender.closed().await;
    });
    receiver
}
