//! Errors of the watch on the endpoint list.

use super::endpoint_list::EndpointListError;
use crate::error_origin::ErrorOrigin;
use hyper::StatusCode;
use std::io;
use tokio::time::error::Elapsed;

/// Why a call for a watch failed, or the watch has ended. The caller polls again; the current list stays in effect.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection could not be established. If the fault is local, this is no evidence about discovery.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection timed out.
    #[error("no connection in time")]
    ConnectTimeout(#[source] Elapsed),
    /// Discovery accepted the call but does not respond.
    #[error("no response in time")]
    Unresponsive(#[source] Elapsed),
    /// Discovery has rejected the call.
    #[error("rejected with status {0}")]
    Rejected(StatusCode),
    /// The request could not be built.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection ended, or the received data is not valid HTTP.
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// No data was received for too long, or a line was truncated.
    #[error("the watch is stalled")]
    Stalled(#[source] Elapsed),
    /// A line could not be parsed as a list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// A change with a lower revision than the current list.
    #[error("changes of revision {received}, older than {current}")]
    OutdatedRevision {
        /// The revision received.
        received: u64,
        /// The current revision.
        current: u64,
    },
    /// A change without the uid of its upstream.
    #[error("a change of an upstream that is not named")]
    UnnamedChange,
}

impl DiscoveryError {
    /// Whether a call without a response means that discovery is unreachable. A local fault is no evidence of that, and
    /// discovery that accepts calls without responding is unresponsive rather than unreachable.
    pub(super) fn is_unreachable(&self) -> bool {
        match self {
            Self::Unresponsive(_) => false,
            Self::Connect(error) => ErrorOrigin::of(error) == ErrorOrigin::Peer,
            _ => true,
        }
    }
}
