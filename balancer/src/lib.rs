//! `frostkeel-balancer`: a load balancer on real sockets. Every decision is the `frostkeel-policy` library's; this crate does the
//! input and output round it, on one thread.

pub mod client_stream;
pub mod clock;
pub mod config;
pub mod connection;
pub mod discovery;
pub mod driver;
pub mod error_origin;
pub mod exchange;
pub mod headers;
pub mod in_flight;
pub mod list;
pub mod members;
pub mod pending;
pub mod pool;
pub mod process;
pub mod rate_limited;
pub mod request;
pub mod server;
pub mod starts;
pub mod tally;
pub mod upstream;
