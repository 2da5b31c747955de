//! Checks of a recorded run.

pub mod balancer_rules;
pub mod membership_checks;
