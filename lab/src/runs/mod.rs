//! The three kinds of run: an experiment with real processes, the membership of its balancers in
//! simulated time, and a real registry under the load of watchers and writers.

mod experiment_run;
mod outcome;
pub mod registry_run;
mod registry_writer;
pub mod simulation;
mod simulation_faults;
mod test_bed;

pub use experiment_run::{BalancerStatus, RunOptions, RunProgress, run};
pub use outcome::{LabOverhead, MembershipOutcome, RunOutcome};
