//! The balancers of a run: the real program, started, observed and shut down as child processes.

mod balancer_config;
mod balancer_process;
mod member_log;
mod slot;

pub use balancer_config::{ConfigInputs, balancer_config};
pub use balancer_process::{BalancerProcesses, CoreUsage, RunContext};
pub use member_log::{MemberLogLine, parse_member_log};
