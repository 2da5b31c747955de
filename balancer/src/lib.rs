//! `frostkeel-balancer`: a load balancer on real sockets. Every decision is the `frostkeel-policy` library's; this crate does the
//! input and output round it, on one thread.

pub mod client_stream;
pub mod clock;
pub mod config;
pub mod connection;
pub mod discovery;
pub mod endpoint_list;
pub mod error_origin;
pub mod event_loop;
pub mod exchange;
pub mod headers;
pub mod idle_pool;
pub mod in_flight;
pub mod incarnations;
pub mod members;
pub mod pending_response;
pub mod process;
pub mod rate_limited_log;
pub mod request;
pub mod request_counters;
pub mod server;
pub mod upstream;
