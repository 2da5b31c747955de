//! The lab: a fleet as real processes, with faults between them.
//!
//! One lab process holds what surrounds the balancers: clients, upstreams and the list service, as stand-ins that
//! speak the published protocol on loopback addresses. The balancers are the real program, started as children. A
//! play follows an [`Experiment`](experiment::Experiment), keeps the whole [`history`], judges it by the
//! [`check`]s and writes a [`report`].
//!
//! Upstreams are modelled by a pure state machine, [`machine::Machine`]; the load and every draw come from one seed.

pub mod check;
mod child;
mod clients;
mod config;
mod discovery;
mod error;
pub mod experiment;
mod fault;
pub mod figures;
pub mod guard;
pub mod history;
mod link;
pub mod machine;
mod net;
mod peers;
mod play;
pub mod presence;
mod process;
mod reading;
mod registrar;
pub mod report;
pub mod simulated;
mod stage;
mod upstream;
pub mod watching;

pub use clients::{Arrival, schedule};
pub use config::{Told, config};
pub use error::LabError;
pub use play::{LabItself, Members, Options, Played, Progress, play};
pub use stage::{DrawnFault, drawn_faults};
pub use upstream::Row;
