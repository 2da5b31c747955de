//! Why a watch on the endpoint list ends.

use super::endpoint_list::EndpointListError;
use crate::error_origin::ErrorOrigin;
use hyper::StatusCode;
use std::io;
use tokio::time::error::Elapsed;

/// Why a call for a watch failed, or the watch has ended. The caller polls again; the list that it has stays in force.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// No connection could be made. It says nothing of discovery where the fault is this machine's.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection took too long.
    #[error("no connection in time")]
    ConnectTimeout(#[source] Elapsed),
    /// Discovery has taken the call and does not respond.
    #[error("no response in time")]
    Unresponsive(#[source] Elapsed),
    /// Discovery has rejected the call.
    #[error("rejected with status {0}")]
    Rejected(StatusCode),
    /// The call could not be written down.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection ended, or what came on it is not HTTP.
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// Nothing has come for too long, or a line has stopped in the middle.
    #[error("the watch is stalled")]
    Stalled(#[source] Elapsed),
    /// A line is not a list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// A change of a version before the one in hand.
    #[error("changes of revision {received}, older than {current}")]
    OutdatedRevision {
        /// The revision received.
        received: u64,
        /// The revision in hand.
        current: u64,
    },
    /// A change that does not name its upstream.
    #[error("a change of an upstream that is not named")]
    UnnamedChange,
}

impl DiscoveryError {
    /// Whether a call that had no response means that discovery cannot be reached. A fault of this machine says
    /// nothing of discovery, and one that takes calls and does not respond is unresponsive.
    pub(super) fn is_unreachable(&self) -> bool {
        match self {
            Self::Unresponsive(_) => false,
            Self::Connect(error) => ErrorOrigin::of(error) == ErrorOrigin::Peer,
            _ => true,
        }
    }
}
