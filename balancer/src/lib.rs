//! A load balancer that serves HTTP on one thread. The decision module, the crate `frostkeel-policy`, makes every
//! decision; this crate performs the I/O.
//!
//! [`client`] submits requests to the [`event_loop`], [`upstream`] forwards them, and [`client`] sends the responses.
//! [`discovery`] watches the endpoint list. If configured, [`members`] learns which balancers of the fleet are alive.
//! [`process`] starts and stops them.

pub mod abandoned_requests;
pub mod client;
pub mod clock;
pub mod config;
pub mod connection;
mod connection_limit;
pub mod discovery;
pub mod error_origin;
pub mod event_loop;
mod head_memory;
pub mod headers;
pub mod in_flight;
pub mod incarnations;
pub mod members;
pub mod memory_budget;
pub mod pending_response;
pub mod process;
pub mod rate_limited_log;
mod reload;
pub mod request_counters;
mod shutdown;
mod task_group;
pub mod upstream;
