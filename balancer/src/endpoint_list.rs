//! The list of upstreams as discovery words it: whole lists, changes, and the lines of a watch.

use crate::upstream::EndpointState;
use bytes::{Bytes, BytesMut};
use frostkeel_policy::{Availability, CellId, KindId, UpdateScope, UpstreamId, ZoneId};
use frostkeel_settings::Names;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt;

/// The longest line, and the longest list: more is no list.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// An upstream as listed, for the library and for the connections.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its id, made of its uid alone: the same at every balancer, and wherever it listens.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its weight.
    pub weight: f64,
    /// Where it is, and how it stands.
    pub place: EndpointState,
}

/// What a call or a watch has told of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// How complete it is.
    pub scope: UpdateScope,
    /// The entries.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointUpdate {
    /// That nothing has changed.
    pub fn unchanged() -> Self {
        Self {
            scope: UpdateScope::Delta,
            entries: Vec::new(),
        }
    }

    /// That a call failed or a watch ended.
    pub fn failed() -> Self {
        Self {
            scope: UpdateScope::Failed,
            entries: Vec::new(),
        }
    }
}

/// A list's text, read.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub rev: u64,
    /// It is the whole list, not changes.
    pub all: bool,
    /// The entries; one that names its upstream and is unreadable otherwise wants nothing new until it can be read.
    pub entries: Vec<EndpointEntry>,
    /// Entries that do not even name their upstream.
    pub nameless: usize,
    /// What was wrong with the first unreadable entry.
    pub unreadable: Option<String>,
}

/// Why a text is no list.
#[derive(Debug)]
pub enum EndpointListError {
    /// It is no JSON of a list's form.
    Json(serde_json::Error),
    /// A line ended, or another began, inside a list.
    Broken,
    /// It has no end.
    Endless,
}

impl fmt::Display for EndpointListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(e) => write!(f, "no list: {e}"),
            Self::Broken => write!(f, "a list broke off"),
            Self::Endless => write!(f, "a list without an end"),
        }
    }
}

impl std::error::Error for EndpointListError {}

#[derive(Deserialize)]
struct RawList<'a> {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawName {
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
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// FNV-1a: an id that no process, build or machine sees differently.
fn stable_id(uid: &str) -> UpstreamId {
    UpstreamId(uid.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

/// Reads lists with the names of a site's zones and kinds.
pub struct EndpointListReader {
    names: Names,
}

impl EndpointListReader {
    /// A reader; `names` turn zones and kinds into numbers.
    pub fn new(names: Names) -> Self {
        Self { names }
    }

    /// Reads a list's text.
    pub fn read(&self, text: &[u8]) -> Result<EndpointList, EndpointListError> {
        let list: RawList<'_> = serde_json::from_slice(text).map_err(EndpointListError::Json)?;
        let mut read = EndpointList {
            rev: list.rev,
            all: list.all,
            entries: Vec::new(),
            nameless: 0,
            unreadable: None,
        };
        for raw in list.targets {
            let Ok(RawName { uid }) = serde_json::from_str(raw.get()) else {
                read.nameless += 1;
                read.unreadable
                    .get_or_insert_with(|| "an entry without a uid".to_owned());
                continue;
            };
            let entry = self.entry(&uid, raw.get()).unwrap_or_else(|reason| {
                read.unreadable.get_or_insert(format!("{uid}: {reason}"));
                unreadable_entry(&uid)
            });
            if !list.all {
                let (id, state) = (entry.id.0, entry.place.availability);
                tracing::info!(
                    rev = list.rev,
                    uid,
                    upstream = id,
                    ?state,
                    "list entry changed"
                );
            }
            read.entries.push(entry);
        }
        Ok(read)
    }

    fn entry(&self, uid: &str, text: &str) -> Result<EndpointEntry, String> {
        let raw: RawEntry<'_> = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let availability = match raw.state.as_str() {
            "Ready" => Availability::Ready,
            "Terminating" => Availability::Draining,
            "Gone" => Availability::Removed,
            other => return Err(format!("unknown state {other:?}")),
        };
        let endpoint = raw
            .endpoint
            .and_then(|e| serde_json::from_str(e.get()).ok());
        if endpoint.is_none() && availability == Availability::Ready {
            return Err("no address".to_owned());
        }
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Ok(EndpointEntry {
            id: stable_id(uid),
            zone: ZoneId(position(&self.names.zones, &raw.az).map_or(u8::MAX, |z| z as u8)),
            kind: KindId(position(&self.names.kinds, &raw.model).map_or(u16::MAX, |k| k as u16)),
            cell: CellId(raw.pod_group),
            weight: raw.capacity_hint,
            place: EndpointState {
                endpoint,
                availability,
                boot_ms: raw.boot_ms.max(0.0) as u64,
            },
        })
    }
}

/// What can't be read may have been a drain: it is taken for one.
fn unreadable_entry(uid: &str) -> EndpointEntry {
    EndpointEntry {
        id: stable_id(uid),
        zone: ZoneId(u8::MAX),
        kind: KindId(u16::MAX),
        cell: CellId(0),
        weight: 1.0,
        place: EndpointState {
            endpoint: None,
            availability: Availability::Draining,
            boot_ms: 0,
        },
    }
}

/// What a watch says next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchLine {
    /// An empty line: nothing has changed.
    Heartbeat,
    /// The text of a list.
    List(Bytes),
}

/// Cuts what comes on a watch into its lines. A list may go over several lines, each of which holds something.
#[derive(Default)]
pub struct WatchLines {
    pending: BytesMut,
    /// How much of it has been looked at.
    scanned: usize,
    /// Braces and brackets that are open there.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Lines of the list in hand that have ended.
    lines: usize,
    /// The line in hand holds something.
    filled: bool,
}

impl WatchLines {
    /// Whether part of a list is in hand; blanks are none.
    pub fn has_begun(&self) -> bool {
        self.filled || self.lines > 0
    }

    /// Takes in what has come.
    pub fn push(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// The next line that is whole.
    pub fn next_line(&mut self) -> Result<Option<WatchLine>, EndpointListError> {
        while let Some(&byte) = self.pending.get(self.scanned) {
            self.scanned += 1;
            if byte == b'\n' {
                if let Some(line) = self.line_end()? {
                    return Ok(Some(line));
                }
                continue;
            }
            self.filled |= !byte.is_ascii_whitespace();
            self.scan(byte);
        }
        if self.pending.len() > MAX_LIST_BYTES {
            Err(EndpointListError::Endless)
        } else {
            Ok(None)
        }
    }

    fn scan(&mut self, byte: u8) {
        if self.in_string {
            let ends = byte == b'"' && !self.escaped;
            self.escaped = byte == b'\\' && !self.escaped;
            self.in_string = !ends;
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// A line has ended: it was empty, or it ends a list, or the list goes on.
    fn line_end(&mut self) -> Result<Option<WatchLine>, EndpointListError> {
        let filled = std::mem::take(&mut self.filled);
        self.lines += 1;
        if self.depth == 0 && !self.in_string {
            let line = self.pending.split_to(self.scanned).freeze();
            let held_text = filled || self.lines > 1;
            *self = Self {
                pending: std::mem::take(&mut self.pending),
                ..Self::default()
            };
            return Ok(Some(if held_text {
                WatchLine::List(line)
            } else {
                WatchLine::Heartbeat
            }));
        }
        // No list has an empty line in it, nor does one go on that is wrong already.
        let wrong = || serde_json::from_slice::<&RawValue>(&self.pending[..self.scanned]);
        if !filled || self.in_string || (self.lines == 1 && wrong().is_err_and(|e| !e.is_eof())) {
            return Err(EndpointListError::Broken);
        }
        Ok(None)
    }
}
