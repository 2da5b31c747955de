//! Runs: of an experiment with real processes, of its membership in simulated time, and of a real
//! registry under watchers and writers.

mod experiment_run;
mod outcome;
pub mod registry_run;
mod registry_writer;
pub mod simulation;
mod simulation_faults;
mod test_bed;

pub use experiment_run::{BalancerStatus, RunOptions, RunProgress, run};
pub use outcome::{LabOverhead, MembershipOutcome, RunOutcome};
