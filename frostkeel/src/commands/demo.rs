//! `frostkeel demo`: runs the experiment that is built into the program.

use super::lab::RunArgs;
use super::lab::run::run_and_report;
use crate::exit::CommandResult;
use crate::runtime;
use frostkeel_lab::experiment::Experiment;

const DEMO_EXPERIMENT: &str = include_str!("../../../lab/experiments/demo.toml");

/// Runs the built-in experiment.
pub fn run(args: RunArgs) -> CommandResult {
    let experiment = Experiment::parse(DEMO_EXPERIMENT)?;
    runtime::for_lab()?.block_on(run_and_report(experiment, args))
}
