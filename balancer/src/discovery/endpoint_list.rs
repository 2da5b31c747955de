//! The endpoint list in discovery's JSON format. A list is a snapshot, with all endpoints, or a delta, with changes.

use crate::upstream::EndpointState;
use frostkeel_policy::{Availability, CellId, HardwareKindId, UpdateScope, UpstreamId, ZoneId};
use frostkeel_settings::Names;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The maximum length of a list.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// An entry of the endpoint list, converted for the decision module and for the connections to the upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The id of the upstream, derived from its uid alone. It is the same in every balancer and independent of the
    /// address.
    pub id: UpstreamId,
    /// The failure domain of the upstream; all zones that are not in the settings share one id.
    pub zone: ZoneId,
    /// The hardware kind of the upstream.
    pub hardware_kind: HardwareKindId,
    /// The cell of the upstream: the upstreams of a cell share the idempotency keys that they have seen.
    pub cell: CellId,
    /// The weight of the upstream, as listed; 1 if no weight is listed.
    pub weight: f64,
    /// The address, the availability and the start time of the upstream.
    pub state: EndpointState,
}

/// An update of the endpoint list for the event loop.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Whether the update is a snapshot, a delta, the cached list or a failure.
    pub scope: UpdateScope,
    /// The entries of the update; empty for a failure.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointUpdate {
    /// Returns an update without changes, which confirms the current list.
    pub fn unchanged() -> Self {
        Self {
            scope: UpdateScope::Delta,
            entries: Vec::new(),
        }
    }

    /// Returns an update that reports a failed call for a watch, or the end of a watch.
    pub fn failed() -> Self {
        Self {
            scope: UpdateScope::Failed,
            entries: Vec::new(),
        }
    }
}

/// A parsed snapshot or delta.
#[derive(Debug)]
pub struct EndpointList {
    /// The revision of the list; a higher one is newer.
    pub revision: u64,
    /// Whether the list is a snapshot, with all endpoints, as opposed to a delta, with changes.
    pub is_snapshot: bool,
    /// The entries with a readable uid. An entry that is otherwise unreadable counts as draining.
    pub entries: Vec<EndpointEntry>,
    /// The number of entries without a readable uid.
    pub missing_uid_count: usize,
    /// The error of the first unreadable entry; `None` if all entries are readable.
    pub first_error: Option<EntryError>,
}

/// The reason why a text is not a list. The text may contain a drain, so a snapshot is requested next.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON, or does not have the form of a list.
    #[error("invalid endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    /// A text line inside a list is empty or ends inside a string, or its first text line is not the start of valid
    /// JSON.
    #[error("endpoint list is truncated or is not valid JSON")]
    Truncated,
    /// The list is longer than [`MAX_LIST_BYTES`].
    #[error("endpoint list must have at most {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// The reason why an entry of a list is unreadable. The other entries of the list remain valid.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The entry has no readable uid. A delta with an entry of this kind is rejected as a whole.
    #[error("endpoint has no readable uid")]
    MissingUid,
    /// The entry does not have the expected form.
    #[error("endpoint {uid}: {source}")]
    Json {
        /// The uid of the unreadable entry.
        uid: String,
        /// The error of parsing the entry.
        source: serde_json::Error,
    },
    /// The state of the entry is unknown.
    #[error("endpoint {uid}: state must be Ready, Terminating or Gone, got {state:?}")]
    UnknownState {
        /// The uid of the unreadable entry.
        uid: String,
        /// The listed state, which is not a known one.
        state: String,
    },
    /// The upstream accepts requests, but its address is missing or unreadable.
    #[error("endpoint {uid}: state Ready requires an address, as <ip>:<port>")]
    MissingAddress {
        /// The uid of the unreadable entry.
        uid: String,
    },
}

#[derive(Deserialize)]
struct RawList<'a> {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawUid {
    uid: String,
}

#[derive(Deserialize)]
struct RawEntry<'a> {
    #[serde(borrow, default)]
    endpoint: Option<&'a RawValue>,
    state: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    #[serde(default = "RawEntry::default_weight")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

impl RawEntry<'_> {
    fn default_weight() -> f64 {
        1.0
    }
}

/// Returns the id of an upstream: the FNV-1a hash of its uid, which is the same in all processes and builds.
fn stable_id(uid: &str) -> UpstreamId {
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    UpstreamId(uid.bytes().fold(FNV_OFFSET_BASIS, hash))
}

/// A parser of lists, which knows the names of zones and kinds at a site.
pub struct EndpointListReader {
    names: Names,
}

impl EndpointListReader {
    /// Creates a reader; the position of a zone or kind in `names` is its id.
    pub fn new(names: Names) -> Self {
        Self { names }
    }

    /// Parses the JSON text of a list.
    pub fn read(&self, text: &[u8]) -> Result<EndpointList, EndpointListError> {
        let raw: RawList<'_> = serde_json::from_slice(text)?;
        let mut list = EndpointList {
            revision: raw.rev,
            is_snapshot: raw.all,
            entries: Vec::new(),
            missing_uid_count: 0,
            first_error: None,
        };
        for target in raw.targets {
            self.read_entry(target.get(), &mut list);
        }
        Ok(list)
    }

    /// Parses an entry and adds it to `list`. An unreadable entry counts as draining, or is only counted if it has no
    /// readable uid.
    fn read_entry(&self, text: &str, list: &mut EndpointList) {
        let Ok(RawUid { uid }) = serde_json::from_str(text) else {
            list.missing_uid_count += 1;
            list.first_error.get_or_insert(EntryError::MissingUid);
            return;
        };
        let entry = self.entry(&uid, text).unwrap_or_else(|error| {
            list.first_error.get_or_insert(error);
            unreadable_entry(&uid)
        });
        if !list.is_snapshot {
            let (revision, availability) = (list.revision, entry.state.availability);
            tracing::info!(
                revision,
                uid,
                upstream = entry.id.0,
                ?availability,
                "endpoint changed"
            );
        }
        list.entries.push(entry);
    }

    fn entry(&self, uid: &str, text: &str) -> Result<EndpointEntry, EntryError> {
        let uid_of_error = || uid.to_owned();
        let raw: RawEntry<'_> = serde_json::from_str(text).map_err(|source| EntryError::Json {
            uid: uid_of_error(),
            source,
        })?;
        let availability = match raw.state.as_str() {
            "Ready" => Availability::Ready,
            "Terminating" => Availability::Draining,
            "Gone" => Availability::Removed,
            _ => {
                return Err(EntryError::UnknownState {
                    uid: uid_of_error(),
                    state: raw.state,
                });
            }
        };
        let address = raw
            .endpoint
            .and_then(|endpoint| serde_json::from_str(endpoint.get()).ok());
        if address.is_none() && availability == Availability::Ready {
            return Err(EntryError::MissingAddress {
                uid: uid_of_error(),
            });
        }
        Ok(EndpointEntry {
            id: stable_id(uid),
            zone: self.zone(&raw.az),
            hardware_kind: self.hardware_kind(&raw.model),
            cell: CellId(raw.pod_group),
            weight: raw.capacity_hint,
            state: EndpointState {
                address,
                availability,
                boot_ms: raw.boot_ms.max(0.0) as u64,
            },
        })
    }

    fn zone(&self, name: &str) -> ZoneId {
        let position = self.names.zones.iter().position(|zone| zone == name);
        position.map_or(UNKNOWN_ZONE, |zone| ZoneId(zone as u8))
    }

    fn hardware_kind(&self, name: &str) -> HardwareKindId {
        let position = self
            .names
            .hardware_kinds
            .iter()
            .position(|kind| kind == name);
        position.map_or(UNKNOWN_HARDWARE_KIND, |kind| HardwareKindId(kind as u16))
    }
}

/// The zone of an upstream whose listed zone is not in the settings.
const UNKNOWN_ZONE: ZoneId = ZoneId(u8::MAX);
/// The kind of an upstream whose listed kind is not in the settings.
const UNKNOWN_HARDWARE_KIND: HardwareKindId = HardwareKindId(u16::MAX);

/// Returns the entry that replaces an unreadable one with this uid. Its upstream counts as draining, because the
/// unreadable entry may have been a drain.
fn unreadable_entry(uid: &str) -> EndpointEntry {
    EndpointEntry {
        id: stable_id(uid),
        zone: UNKNOWN_ZONE,
        hardware_kind: UNKNOWN_HARDWARE_KIND,
        cell: CellId(0),
        weight: 1.0,
        state: EndpointState {
            address: None,
            availability: Availability::Draining,
            boot_ms: 0,
        },
    }
}
