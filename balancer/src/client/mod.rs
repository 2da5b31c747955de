//! The client side: connections, requests and responses.

mod connection;
mod request;
mod response;
mod server;
mod stream;

pub use request::{RequestError, RequestReader};
pub use response::{plain_response, response_of};
pub use server::Server;

/// The phase of the graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The shutdown has not started.
    Serving,
    /// Readiness checks fail; each connection closes after its next response.
    Draining,
    /// No new connections are accepted; idle connections are closed.
    Closing,
}
