//! The lab: a fleet as real processes, with faults between them.
//!
//! One lab process holds what surrounds the balancers: clients, upstreams and the list service, as stand-ins that
//! speak the published protocol on loopback addresses. The balancers are the real program, started as children. A
//! play follows an [`Experiment`](experiment::Experiment), keeps the whole [`history`], judges it by the
//! [`checks`] and writes a [`reports`].
//!
//! Upstreams are modelled by a pure state machine, [`standins::upstream_model::Machine`]; the load and every draw come from one seed.

mod balancers;
pub mod checks;
mod error;
pub mod experiment;
mod faults;
pub mod history;
mod links;
pub mod measurements;
pub mod processes;
pub mod reports;
pub mod runs;
pub mod standins;

pub use balancers::balancer_config::{Told, config};
pub use checks::{balancer_rules as check, membership_checks as presence};
pub use error::LabError;
pub use faults::fault_injector::{DrawnFault, drawn_faults};
pub use measurements::figures;
pub use processes::guard;
pub use reports::page as report;
pub use runs::experiment_run::{LabItself, Members, Options, Played, Progress, play};
pub use runs::{registry_run as watching, simulation as simulated};
pub use standins::clients::{Arrival, schedule};
pub use standins::upstreams::Row;
