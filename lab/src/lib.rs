//! Runs experiments with real balancers and injected faults.
//!
//! One lab process simulates clients, upstreams and the discovery service on loopback addresses,
//! with the real protocols. The balancers are the real program, run as child processes.
//!
//! A run executes an [`Experiment`](experiment::Experiment), records its [`history`], applies the
//! [`checks`] and writes a [report](reports).
//!
//! One seed determines the load and all random draws.
//!
//! Each module in the following table uses only modules that are listed above it:
//!
//! | module | contents |
//! | --- | --- |
//! | [`experiment`] | the settings of an experiment, and the parser of its file |
//! | [`history`] | the events of a run |
//! | [`measurements`] | latencies, processor and memory usage, summary statistics of a run |
//! | [`links`] | links between processes, which relay traffic with injected faults |
//! | [`processes`] | child processes, and the guard that kills them if the lab dies |
//! | [`standins`] | clients and their load, upstreams, discovery, registration |
//! | [`balancers`] | balancers as child processes, and their configuration |
//! | [`faults`] | the targets of faults, and their injection |
//! | [`checks`] | rules that the history of a run is checked against |
//! | [`runs`] | runs with real processes, runs in simulated time, and runs of the registry alone |
//! | [`reports`] | the report of a run |

pub mod balancers;
pub mod checks;
mod error;
pub mod experiment;
pub mod faults;
pub mod history;
pub mod links;
pub mod measurements;
pub mod processes;
pub mod reports;
pub mod runs;
pub mod standins;
mod sync;

pub use error::LabError;
pub use processes::guard;
pub use runs::{RunOptions, RunOutcome, RunProgress, run};
