//! The entries of the endpoint list, in the forms in which they are published and persisted.
//!
//! The JSON keys are fixed by the published format and by the data that is already stored.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It completes its requests and gets no new ones.
    Terminating,
    /// It has been removed from the list.
    #[serde(rename = "Gone")]
    Removed,
}

impl EndpointState {
    /// The state's name in the published format.
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

/// An endpoint as it is published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The identity of the upstream, which stays the same over its restarts.
    pub uid: String,
    /// The address and port of the upstream.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The availability zone.
    #[serde(rename = "az")]
    pub zone: String,
    /// The model of the machine.
    pub model: String,
    /// The cell that the upstream belongs to.
    pub pod_group: u16,
    /// The state of the endpoint.
    pub state: EndpointState,
    /// The weight for load balancing.
    #[serde(rename = "capacity_hint")]
    pub weight: f64,
    /// The start of the upstream's current incarnation, in milliseconds of Unix time.
    pub boot_ms: u64,
}

impl EndpointRecord {
    /// Whether the endpoint has been removed from the list.
    pub fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }
}

/// The complete endpoint list, or its changes: the response to a list request, and a line of a
/// watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate<R = EndpointRecord> {
    /// The revision of the list after this update.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether `records` is the complete list and replaces the one that the reader has.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The endpoints, in the order of their uids.
    #[serde(rename = "targets")]
    pub records: Vec<R>,
}

/// A change of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The revision of the list after the change.
    pub revision: u64,
    /// The endpoint after the change.
    pub record: EndpointRecord,
}

/// An entry as it is persisted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedEntry {
    /// The endpoint.
    pub record: EndpointRecord,
    /// The duration of the endpoint's lease. The time of its expiry is not persisted, as the wall
    /// clock may be set.
    #[serde(rename = "lease_ms", with = "lease_ms")]
    pub lease_duration: Option<Duration>,
}

/// An entry that has to be persisted.
#[derive(Clone, Debug, PartialEq)]
pub struct DirtyEntry {
    /// The endpoint's uid.
    pub uid: String,
    /// The entry, or `None` if it has been removed.
    pub entry: Option<PersistedEntry>,
}

/// A lease's duration in milliseconds, where 0 means no lease.
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
