//! The entries of the endpoint list, in the JSON formats in which they are published and persisted.
//!
//! The JSON keys must not change, because clients read them and existing stores contain them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// The state of an endpoint, which decides whether it receives new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// The upstream is available for new requests.
    Ready,
    /// The upstream completes its requests and receives no new ones.
    Terminating,
    /// The endpoint has been removed from the list.
    #[serde(rename = "Gone")]
    Removed,
}

impl EndpointState {
    /// Returns the state's name in the published format.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Terminating => "Terminating",
            Self::Removed => "Gone",
        }
    }
}

impl fmt::Display for EndpointState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// An endpoint in its published form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The unique identifier of the upstream, which stays the same when it restarts.
    pub uid: String,
    /// The IP address and port of the upstream.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The availability zone of the upstream. It can be empty.
    #[serde(rename = "az")]
    pub zone: String,
    /// The model of the machine that the upstream runs on. It can be empty.
    pub model: String,
    /// The number of the cell that the upstream belongs to.
    pub pod_group: u16,
    /// The state of the endpoint, which the registry sets.
    pub state: EndpointState,
    /// The upstream's weight for load balancing, from 0 to 1,000,000.
    #[serde(rename = "capacity_hint")]
    pub weight: f64,
    /// The start time of the upstream's current incarnation, in milliseconds of Unix time.
    pub boot_ms: u64,
}

impl EndpointRecord {
    /// Returns whether the endpoint has been removed from the list.
    pub fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }
}

/// The complete endpoint list, or its changes since a revision. It is the JSON body of the response
/// to a list request, and a line of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate<R = EndpointRecord> {
    /// The revision of the list after this update.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether `records` is the complete list and replaces the one that the reader has.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The endpoints, in the order of their uids. Changes include the endpoints that were removed.
    #[serde(rename = "targets")]
    pub records: Vec<R>,
}

/// A change of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The revision of the list after the change.
    pub revision: u64,
    /// The endpoint with all its fields after the change.
    pub record: EndpointRecord,
}

/// An entry of the list in its persisted form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedEntry {
    /// The endpoint, in its published form.
    pub record: EndpointRecord,
    /// The duration of the endpoint's lease, or `None` without a lease. The time of expiry is not
    /// persisted, because the wall clock may be set to another time.
    #[serde(rename = "lease_ms", with = "lease_ms")]
    pub lease_duration: Option<Duration>,
}

/// A change of an entry that has to be persisted.
#[derive(Clone, Debug, PartialEq)]
pub struct DirtyEntry {
    /// The uid of the endpoint, which is the key of its stored record.
    pub uid: String,
    /// The entry after the change, or `None` if it has been removed.
    pub entry: Option<PersistedEntry>,
}

/// Serializes the duration of a lease as milliseconds, where 0 means no lease.
mod lease_ms {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub(super) fn serialize<S: Serializer>(
        duration: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(duration.unwrap_or_default().as_millis() as u64)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        let duration = Duration::from_millis(u64::deserialize(deserializer)?);
        Ok((!duration.is_zero()).then_some(duration))
    }
}
