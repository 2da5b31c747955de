//! Fault injection: the processes that the faults of a run affect, and what is done to them.

mod description;
mod fault_injector;
mod fault_schedule;
mod targets;

pub use fault_injector::FaultInjector;
pub use fault_schedule::{FaultOccurrence, fault_schedule};
pub use targets::{ResolvedTargets, choose_balancers};
