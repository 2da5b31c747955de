//! `frostkeel lab run`: runs an experiment and writes its report.

use super::{RunArgs, interrupt_signal, read_experiment};
use crate::exit::{CommandOutcome, CommandResult};
use crate::output::progress::ProgressDisplay;
use crate::output::results::print_results;
use crate::runtime;
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::reports::write_report;
use frostkeel_lab::{RunOptions, run as run_experiment};
use std::path::Path;

/// Reads an experiment from a file and runs it as [`run_and_report`] does.
pub fn run(file: &Path, args: RunArgs) -> CommandResult {
    let experiment = read_experiment(file)?;
    runtime::for_lab()?.block_on(run_and_report(experiment, args))
}

/// Runs an experiment, shows its progress, and prints and writes its results.
pub async fn run_and_report(experiment: Experiment, args: RunArgs) -> CommandResult {
    let folder = args.output_folder(&experiment.name);
    let options = RunOptions {
        balancer_program: args.balancer_program()?,
        guard_and_registry_program: Some(std::env::current_exe()?),
        seed: args.seed.unwrap_or(experiment.seed),
        dir: folder.clone(),
        stop: interrupt_signal(),
    };
    let mut display = ProgressDisplay::start(&experiment);
    let outcome = run_experiment(experiment, options, |progress| display.show(&progress)).await?;
    let page = write_report(&outcome, &folder)?;
    print_results(&outcome);
    println!("report: {}", page.display());
    Ok(CommandOutcome::from_check(outcome.is_good()))
}
