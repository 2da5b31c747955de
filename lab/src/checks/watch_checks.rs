//! The rules of a registry's watches: one function a rule, and the watcher that they are applied
//! to.

use frostkeel_registry::endpoint::{EndpointRecord, EndpointState, EndpointUpdate};
use std::collections::BTreeMap;
use thiserror::Error;

/// Weights by upstream.
pub type Weights = BTreeMap<String, u64>;

/// A list as one reader has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchedList {
    /// The revision.
    pub revision: u64,
    /// The weights of the listed upstreams.
    pub weights: Weights,
}

impl WatchedList {
    /// A complete list.
    pub fn from_snapshot(snapshot: EndpointUpdate) -> Self {
        let weight = |target: EndpointRecord| (target.uid, target.weight as u64);
        let revision = snapshot.revision;
        Self {
            revision,
            weights: snapshot.records.into_iter().map(weight).collect(),
        }
    }

    /// Applies a line of a watch; the weights that it changed.
    fn apply(&mut self, line: EndpointUpdate) -> Vec<u64> {
        self.revision = line.revision;
        if line.is_snapshot {
            self.weights.clear();
        }
        let mut changed = Vec::new();
        for target in line.records {
            if target.state == EndpointState::Removed {
                self.weights.remove(&target.uid);
                continue;
            }
            let weight = target.weight as u64;
            self.weights.insert(target.uid, weight);
            if !line.is_snapshot {
                changed.push(weight);
            }
        }
        changed
    }
}

/// A line of a watch that is no text of a list.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("watcher {watcher}: a line that cannot be read")]
pub struct UnreadableLine {
    /// The watcher.
    pub watcher: u32,
}

/// What a line of a watch did.
#[derive(Debug, PartialEq, Eq)]
pub struct AppliedLine {
    /// The weights that it changed, unless it was a complete list.
    pub changed: Vec<u64>,
    /// The rule that it breaks, if any.
    pub violation: Option<String>,
}

/// A watcher, and the list as it follows it.
#[derive(Debug)]
pub struct Watcher {
    number: u32,
    list: WatchedList,
}

impl Watcher {
    /// A watcher without a list.
    pub fn new(number: u32) -> Self {
        Self {
            number,
            list: WatchedList::default(),
        }
    }

    /// The list as it has it.
    pub fn list(&self) -> &WatchedList {
        &self.list
    }

    /// Checks and applies a line.
    pub fn apply_line(&mut self, line: &[u8]) -> Result<AppliedLine, UnreadableLine> {
        let line: EndpointUpdate = serde_json::from_slice(line).map_err(|_| UnreadableLine {
            watcher: self.number,
        })?;
        let violation = revision_goes_up(self.number, &self.list, &line);
        Ok(AppliedLine {
            changed: self.list.apply(line),
            violation,
        })
    }
}

/// The revision never decreases for a watcher, and increases with each line that is no complete
/// list.
///
/// Source: `docs/registry.md`, "One version for the whole list, up by one with each change, never
/// down over a restart".
pub fn revision_goes_up(watcher: u32, list: &WatchedList, line: &EndpointUpdate) -> Option<String> {
    let known = list.revision;
    let is_back = line.revision < known || (line.revision == known && !line.is_snapshot);
    is_back.then(|| format!("watcher {watcher}: version {} after {known}", line.revision))
}

/// Each watcher that follows the changes ends with the list.
///
/// Source: `docs/registry.md`, "A watch misses nothing and goes on from any version".
pub fn watchers_have_the_list(watchers: &[WatchedList], list: &WatchedList) -> Option<String> {
    let differing = watchers.iter().filter(|watched| *watched != list).count();
    (differing > 0).then(|| {
        format!(
            "{differing} watchers have another list than version {}",
            list.revision
        )
    })
}

/// A change that was acknowledged is there at the end. A later one that had no response may have
/// been applied: the weights of an upstream only go up.
///
/// Source: `docs/registry.md`, "What it promises".
pub fn acknowledged_changes_are_listed(acknowledged: &Weights, list: &WatchedList) -> Vec<String> {
    let is_lost = |listed: Option<u64>, weight: u64| listed.is_none_or(|listed| listed < weight);
    acknowledged
        .iter()
        .map(|(uid, weight)| (uid, *weight, list.weights.get(uid).copied()))
        .filter(|(_, weight, listed)| is_lost(*listed, *weight))
        .map(|(uid, weight, listed)| format!("{uid} has {listed:?}, {weight} was acknowledged"))
        .collect()
}

/// A read after an acknowledgement is at least as new.
///
/// Source: `docs/registry.md`, "What it promises".
pub fn read_is_as_new_as_acknowledged(acknowledged: u64, read: u64) -> Option<String> {
    (read < acknowledged)
        .then(|| format!("a read after version {acknowledged} was acknowledged has version {read}"))
}
