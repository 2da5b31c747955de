//! The clients' side: connections from their first byte to their close, requests, and responses.

mod connection;
mod request;
mod response;
mod server;
mod stream;

pub use request::{RequestError, RequestReader};
pub use response::{plain_response, response_of};
pub use server::Server;

/// How far the graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has not begun.
    Serving,
    /// Not ready any more; connections end with their next response.
    Draining,
    /// Nothing new is accepted; connections end between requests.
    Closing,
}
