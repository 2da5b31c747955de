//! Checks of the history of a run.
//!
//! Checks compute violations from events alone, so that a test can pass them a history that
//! contains a violation.

mod attempts;
pub mod balancer_rules;
pub mod membership_checks;
pub mod membership_figures;
mod membership_report;
mod violation;
pub mod watch_checks;

pub use membership_report::MembershipReport;
pub use violation::{Rule, Violation};
