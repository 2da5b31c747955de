//! Checks of a recorded run: pure functions from events to violations, so that a test can hand them
//! a history in which a rule is broken.

mod attempts;
pub mod balancer_rules;
pub mod membership_checks;
pub mod membership_figures;
mod membership_report;
mod violation;
pub mod watch_checks;

pub use membership_report::MembershipReport;
pub use violation::{Rule, Violation};
