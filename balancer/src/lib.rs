//! `frostkeel-balancer`: a load balancer on real sockets. Every decision is the `frostkeel-policy` library's; this crate does the
//! input and output round it, on one thread.

pub mod client;
pub mod clock;
pub mod config;
pub mod connection;
pub mod discovery;
pub mod error_origin;
pub mod event_loop;
pub mod headers;
pub mod in_flight;
pub mod incarnations;
pub mod members;
pub mod pending_response;
pub mod process;
pub mod rate_limited_log;
mod reload;
pub mod request_counters;
mod shutdown;
mod task_group;
pub mod upstream;
