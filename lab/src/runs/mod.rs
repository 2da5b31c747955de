//! Runs of experiments, simulations, and of a registry under load.

pub(crate) mod experiment_run;
pub mod registry_run;
pub mod simulation;
