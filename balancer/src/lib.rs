//! The balancer: a load balancer on real sockets, on one thread. Every decision is made by `frostkeel-policy`; this
//! crate does the input and output round it.
//!
//! A client's request is accepted by [`client`], submitted to the [`event_loop`], forwarded by [`upstream`] and answered
//! by [`client`]. [`discovery`] watches the endpoint list, and [`members`] takes part in the fleet's membership where
//! that is configured. [`process`] starts all of it and ends it.

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
