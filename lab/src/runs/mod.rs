//! Runs of experiments, simulations, and of a registry under load.

pub(crate) mod experiment_run;
pub mod registry_run;
mod registry_writer;
pub mod simulation;
