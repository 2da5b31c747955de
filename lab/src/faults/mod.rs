//! Fault injection: whom the faults of a run meet, and what is done to them when they are due.

mod description;
mod fault_injector;
mod fault_schedule;
mod targets;

pub use fault_injector::FaultInjector;
pub use fault_schedule::{FaultOccurrence, fault_schedule};
pub use targets::{ResolvedTargets, choose_balancers};
