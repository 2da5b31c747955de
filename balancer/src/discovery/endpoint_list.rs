//! The endpoint list in discovery's format: snapshots and deltas.

use crate::upstream::EndpointState;
use frostkeel_policy::{Availability, CellId, KindId, UpdateScope, UpstreamId, ZoneId};
use frostkeel_settings::Names;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The maximum length of a line, and so of a list.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A listed endpoint: its properties for the decision module, and its state for the connections.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its id, derived from its uid alone: the same in every balancer, and independent of its address.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its weight.
    pub weight: f64,
    /// Its address and its state.
    pub state: EndpointState,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Whether it is a snapshot, a delta, cached or a failure.
    pub scope: UpdateScope,
    /// The entries.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointUpdate {
    /// An update without changes.
    pub fn unchanged() -> Self {
        Self {
            scope: UpdateScope::Delta,
            entries: Vec::new(),
        }
    }

    /// An update that reports a failed call, or the end of a watch.
    pub fn failed() -> Self {
        Self {
            scope: UpdateScope::Failed,
            entries: Vec::new(),
        }
    }
}

/// A parsed list.
#[derive(Debug)]
pub struct EndpointList {
    /// Its revision.
    pub revision: u64,
    /// Whether it is a complete list (a snapshot), as opposed to changes (a delta).
    pub is_snapshot: bool,
    /// The entries. One with a valid uid that is otherwise unreadable counts as draining.
    pub entries: Vec<EndpointEntry>,
    /// How many entries have no uid.
    pub unnamed_count: usize,
    /// The error of the first unreadable entry.
    pub first_error: Option<EntryError>,
}

/// Why a text is not a list. The complete list is requested next, because the unreadable text may contain a drain.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON in the form of a list.
    #[error("no list: {0}")]
    Json(#[from] serde_json::Error),
    /// A line ended, or another started, inside a list.
    #[error("a list is truncated")]
    Truncated,
    /// The list is longer than [`MAX_LIST_BYTES`].
    #[error("a list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// Why an entry of a list is unreadable. The other entries of the list remain valid.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The entry has no uid.
    #[error("an entry without a uid")]
    MissingUid,
    /// The entry does not have the expected form.
    #[error("{uid}: {source}")]
    Json {
        /// The uid of the upstream.
        uid: String,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The state is unknown.
    #[error("{uid}: unknown state {state:?}")]
    UnknownState {
        /// The uid of the upstream.
        uid: String,
        /// The unknown state.
        state: String,
    },
    /// The upstream accepts requests, but its address is missing or unreadable.
    #[error("{uid}: no address")]
    MissingAddress {
        /// The uid of the upstream.
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

/// The id of an upstream: the FNV-1a hash of its uid, stable across processes and builds.
fn stable_id(uid: &str) -> UpstreamId {
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    UpstreamId(uid.bytes().fold(FNV_OFFSET_BASIS, hash))
}

/// Parses lists with the zone and kind names of a site.
pub struct EndpointListReader {
    names: Names,
}

impl EndpointListReader {
    /// Creates a reader; `names` map zones and kinds to their ids.
    pub fn new(names: Names) -> Self {
        Self { names }
    }

    /// Parses the text of a list.
    pub fn read(&self, text: &[u8]) -> Result<EndpointList, EndpointListError> {
        let raw: RawList<'_> = serde_json::from_slice(text)?;
        let mut list = EndpointList {
            revision: raw.rev,
            is_snapshot: raw.all,
            entries: Vec::new(),
            unnamed_count: 0,
            first_error: None,
        };
        for target in raw.targets {
            self.read_entry(target.get(), &mut list);
        }
        Ok(list)
    }

    fn read_entry(&self, text: &str, list: &mut EndpointList) {
        let Ok(RawUid { uid }) = serde_json::from_str(text) else {
            list.unnamed_count += 1;
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
            kind: self.kind(&raw.model),
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

    fn kind(&self, name: &str) -> KindId {
        let position = self.names.kinds.iter().position(|kind| kind == name);
        position.map_or(UNKNOWN_KIND, |kind| KindId(kind as u16))
    }
}

/// The zone or kind of an upstream whose entry names one that is not in the settings.
const UNKNOWN_ZONE: ZoneId = ZoneId(u8::MAX);
const UNKNOWN_KIND: KindId = KindId(u16::MAX);

/// Replaces an unreadable entry that has a uid: the upstream may be draining.
fn unreadable_entry(uid: &str) -> EndpointEntry {
    EndpointEntry {
        id: stable_id(uid),
        zone: UNKNOWN_ZONE,
        kind: UNKNOWN_KIND,
        cell: CellId(0),
        weight: 1.0,
        state: EndpointState {
            address: None,
            availability: Availability::Draining,
            boot_ms: 0,
        },
    }
}
