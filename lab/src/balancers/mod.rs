//! The balancers of a run.

pub(crate) mod balancer_config;
pub(crate) mod balancer_process;
