//! Errors of a watch on the endpoint list.

use super::endpoint_list::EndpointListError;
use crate::error_origin::ErrorOrigin;
use hyper::StatusCode;
use std::io;
use tokio::time::error::Elapsed;

/// The reason why a call for a watch failed, or why an open watch ended. The current list stays in effect, and the
/// decision module requests another watch.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection could not be established. An error of local origin, such as a shortage of descriptors, does not
    /// mean that discovery is unreachable.
    #[error("cannot connect to discovery: {0}")]
    Connect(#[source] io::Error),
    /// The connection was not established within the timeout.
    #[error("connecting to discovery timed out")]
    ConnectTimeout(#[source] Elapsed),
    /// Discovery accepted the connection but did not respond to the call within the timeout.
    #[error("call to discovery timed out without a response")]
    Unresponsive(#[source] Elapsed),
    /// Discovery responded to the call with a status other than 200.
    #[error("discovery rejected the call with status {0}, expected 200")]
    Rejected(StatusCode),
    /// The HTTP request for the watch could not be built.
    #[error("cannot build the request to discovery: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection ended, or the received data is not valid HTTP.
    #[error("connection to discovery failed: {0}")]
    Http(#[from] hyper::Error),
    /// The watch timed out: no line was started, or a line was not completed, within its time limit.
    #[error("watch timed out: no complete line was received in time")]
    Stalled(#[source] Elapsed),
    /// A line is not a valid list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// A delta has a lower revision than the current list.
    #[error("delta must have revision {current} or higher, got {received}")]
    OutdatedRevision {
        /// The revision of the received delta.
        received: u64,
        /// The revision of the current list.
        current: u64,
    },
    /// A delta has an entry without a readable uid, so that the upstream that changed is unknown.
    #[error("delta has an entry without a readable uid")]
    ChangeWithoutUid,
}

impl DiscoveryError {
    /// Returns whether the call did not reach discovery, because no connection was established. This is not the case if
    /// the cause is a local fault.
    pub(super) fn is_unreachable(&self) -> bool {
        match self {
            Self::ConnectTimeout(_) => true,
            Self::Connect(error) => ErrorOrigin::of(error) == ErrorOrigin::Peer,
            _ => false,
        }
    }
}
