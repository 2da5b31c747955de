//! The balancer: a load balancer on real sockets, on one thread. `frostkeel-policy` makes every decision; this crate
//! performs the I/O.
//!
//! [`client`] accepts a client's request and submits it to the [`event_loop`], [`upstream`] forwards it, and [`client`]
//! sends the response. [`discovery`] watches the endpoint list. [`members`] participates in the fleet's membership if
//! that is configured. [`process`] starts and stops all of them.

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
