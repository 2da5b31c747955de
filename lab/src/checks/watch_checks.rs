//! The rules for the watches of a registry, and the watcher that they are checked with. Each rule
//! has one function.

use frostkeel_registry::endpoint::{EndpointRecord, EndpointState, EndpointUpdate};
use std::collections::BTreeMap;
use thiserror::Error;

/// The weights of upstreams, by upstream uid.
pub type Weights = BTreeMap<String, u64>;

/// An endpoint list as one reader has received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchedList {
    /// Revision of the list; 0 before the first line of a watch.
    pub revision: u64,
    /// Weights of the listed upstreams, by uid.
    pub weights: Weights,
}

impl WatchedList {
    /// Returns the list of a snapshot, in which every record is an upstream of the list.
    pub fn from_snapshot(snapshot: EndpointUpdate) -> Self {
        let weight = |target: EndpointRecord| (target.uid, target.weight as u64);
        let revision = snapshot.revision;
        Self {
            revision,
            weights: snapshot.records.into_iter().map(weight).collect(),
        }
    }

    /// Applies a line of a watch, and returns the weights that it changed; none for a snapshot.
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

/// A line of a watch that is not a valid endpoint update.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("watcher {watcher}: the watch line is not a valid endpoint update")]
pub struct UnreadableLine {
    /// Number of the watcher that received the line.
    pub watcher: u32,
}

/// The effect of a line of a watch.
#[derive(Debug, PartialEq, Eq)]
pub struct AppliedLine {
    /// Weights that the line changed; empty for a snapshot.
    pub changed: Vec<u64>,
    /// Description of the violation; `None` if the line complies with the rules.
    pub violation: Option<String>,
}

/// A reader of a watch, with the endpoint list that results from the lines received.
#[derive(Debug)]
pub struct Watcher {
    number: u32,
    list: WatchedList,
}

impl Watcher {
    /// Creates a watcher with this number and an empty list.
    pub fn new(number: u32) -> Self {
        Self {
            number,
            list: WatchedList::default(),
        }
    }

    /// Returns the list that results from the lines applied.
    pub fn list(&self) -> &WatchedList {
        &self.list
    }

    /// Checks and applies a line of the watch.
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

/// Checks that the revision never decreases for a watcher, and that it increases with each line
/// that is not a snapshot.
///
/// Source: `docs/registry.md`, "One version for the whole list, up by one with each change, never
/// down over a restart".
pub fn revision_goes_up(watcher: u32, list: &WatchedList, line: &EndpointUpdate) -> Option<String> {
    let known = list.revision;
    let is_violation = line.revision < known || (line.revision == known && !line.is_snapshot);
    is_violation.then(|| {
        format!(
            "watcher {watcher}: revision {} after revision {known}, expected a later one",
            line.revision
        )
    })
}

/// Checks that every watcher has the registry's list at the end of the run.
///
/// Source: `docs/registry.md`, "A watch misses nothing and goes on from any version".
pub fn watchers_have_the_list(watchers: &[WatchedList], list: &WatchedList) -> Option<String> {
    let differing = watchers.iter().filter(|watched| *watched != list).count();
    (differing > 0).then(|| {
        format!(
            "{differing} watchers do not have the registry's list, which is at revision {}",
            list.revision
        )
    })
}

/// Checks that each acknowledged change is in the list at the end. The list may have a higher
/// weight than the acknowledged one: a later change that had no response may have been applied, and
/// the weights of an upstream only increase.
///
/// Source: `docs/registry.md`, "What it promises".
pub fn acknowledged_changes_are_listed(acknowledged: &Weights, list: &WatchedList) -> Vec<String> {
    let is_lost = |listed: Option<u64>, weight: u64| listed.is_none_or(|listed| listed < weight);
    acknowledged
        .iter()
        .map(|(uid, weight)| (uid, *weight, list.weights.get(uid).copied()))
        .filter(|(_, weight, listed)| is_lost(*listed, *weight))
        .map(|(uid, weight, listed)| {
            format!("{uid} has weight {listed:?}, expected at least the acknowledged {weight}")
        })
        .collect()
}

/// Checks that a read after an acknowledged write returns at least the acknowledged revision.
///
/// Source: `docs/registry.md`, "What it promises".
pub fn read_is_as_new_as_acknowledged(acknowledged: u64, read: u64) -> Option<String> {
    (read < acknowledged).then(|| {
        format!("a read returned revision {read} after revision {acknowledged} was acknowledged")
    })
}
