//! `frostkeel lab check`: validates an experiment file.

use super::read_experiment;
use crate::exit::{CommandOutcome, CommandResult};
use std::path::Path;

/// Prints what the experiment has if it can be run.
pub fn run(file: &Path) -> CommandResult {
    let experiment = read_experiment(file)?;
    println!(
        "{}: {} balancers, {} upstreams, {} faults in {:?}: it can be played",
        experiment.name,
        experiment.fleet.balancers,
        experiment.fleet.upstreams,
        experiment.faults.len(),
        experiment.length
    );
    Ok(CommandOutcome::Passed)
}
