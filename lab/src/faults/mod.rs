//! Fault injection: the targets of the faults of a run, and their execution.

mod description;
mod fault_injector;
mod fault_schedule;
mod targets;

pub use fault_injector::FaultInjector;
pub use fault_schedule::{FaultOccurrence, fault_schedule};
pub use targets::{ResolvedTargets, choose_balancers};
