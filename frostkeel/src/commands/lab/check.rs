//! `frostkeel lab check`: validates an experiment file.

use super::read_experiment;
use crate::exit::{CommandOutcome, CommandResult};
use std::path::Path;

/// Prints the name, size and duration of the experiment if it is valid; otherwise returns the error.
pub fn run(file: &Path) -> CommandResult {
    let experiment = read_experiment(file)?;
    println!(
        "{}: {} balancers, {} upstreams, {} faults in {:?}: the experiment is valid",
        experiment.name,
        experiment.fleet.balancers,
        experiment.fleet.upstreams,
        experiment.faults.len(),
        experiment.length
    );
    Ok(CommandOutcome::Passed)
}
