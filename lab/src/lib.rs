//! The lab: a fleet of real balancers, with faults between them.
//!
//! One lab process simulates the environment of the balancers: clients, upstreams and the discovery
//! service, as stand-ins that speak the published protocol on loopback addresses. The balancers are
//! the real program, started as child processes. A run executes an
//! [`Experiment`](experiment::Experiment), records its complete [`history`], applies the [`checks`]
//! and writes a [report](reports).
//!
//! The load and all random draws follow from one seed. Modules use only those above them in this
//! order:
//!
//! | module | contents |
//! | --- | --- |
//! | [`experiment`] | the form of an experiment, and how it is parsed |
//! | [`history`] | the events of a run |
//! | [`measurements`] | latencies, the use of processor and memory, the figures of a run |
//! | [`links`] | links between processes, and their effects on traffic |
//! | [`processes`] | child processes, and the guard that ends them |
//! | [`standins`] | clients and their load, upstreams, discovery, registration |
//! | [`balancers`] | the balancers as children, and their configuration |
//! | [`faults`] | the targets of faults, and their injection |
//! | [`checks`] | the rules, judged over a history |
//! | [`runs`] | runs with real processes, in simulated time, and of a registry |
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
