//! The client side of the balancer: connections, requests and responses.

mod accept;
mod activity;
mod close_reason;
mod connection;
mod handler;
mod open_connections;
mod receiver;
mod request;
mod response;
mod server;
mod stream;
mod turns;

pub use request::{RequestError, RequestReader};
pub use response::{into_http_response, plain_response};
pub use server::Server;

/// The phase of the process, from normal service to the end of the graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Normal service: the shutdown has not started.
    Serving,
    /// The first phase of the shutdown: new connections are still accepted, but readiness checks of the balancer fail,
    /// and each connection closes after its next response.
    Draining,
    /// The second phase of the shutdown: no new connections are accepted, and idle connections are closed.
    Closing,
}
