//! Checks of a recorded run.

pub mod balancer_rules;
pub mod membership_checks;
pub mod watch_checks;
