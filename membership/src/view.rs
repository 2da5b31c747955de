//! The view: the state of each member, the time since which it has that state, and the member that
//! reported it.

use crate::hash_tree::HashedMember;
use crate::identity::{Identity, Name};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

/// The maximum number of changes that are retained for display; older ones are dropped.
const MAX_RETAINED_CHANGES: usize = 256;

/// The state of a member. The serialized words are a published format and must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member is active and not suspected.
    #[serde(rename = "present")]
    Alive,
    /// The member did not respond to some other member, and has not refuted the suspicion yet.
    Suspect,
    /// The member announced that it leaves.
    Left,
    /// The member ended without a leave announcement, or no other member can reach it.
    #[serde(rename = "gone")]
    Dead,
}

impl MemberState {
    /// Returns whether a member in this state counts as part of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Returns the word for the state in the log and on the members page.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "present",
            Self::Suspect => "suspect",
            Self::Left => "left",
            Self::Dead => "gone",
        }
    }
}

/// The identity and state of a member, as known to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The identity of the member's recorded incarnation.
    pub id: Identity,
    /// The state of the member in that incarnation.
    pub state: MemberState,
    /// The time at which this state was recorded, on the embedder's clock.
    pub since: Duration,
    /// The member whose datagram reported this state; `None` if this process detected the state
    /// itself.
    pub reported_by: Option<Name>,
}

/// A change of the identity or state of one member in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// The version of the view after the change.
    pub version: u64,
    /// The record of the member after the change.
    pub member: MemberRecord,
}

/// A member's record, and its position and hash in the hash tree.
#[derive(Debug)]
struct Entry {
    record: MemberRecord,
    hashed: HashedMember,
}

/// The state of each member that is remembered, this process included.
#[derive(Debug, Default)]
pub struct View {
    entries: BTreeMap<Name, Entry>,
    version: u64,
    live_count: usize,
    digest: u64,
    /// The latest changes, oldest first, at most `MAX_RETAINED_CHANGES`.
    recent_changes: VecDeque<ViewChange>,
}

impl View {
    /// Returns the version of the view: the number of changes since the start.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all remembered members in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the number of remembered members, including those that left or died.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no member is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of live members, this process included.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns the record of the member with a name; `None` if it is not remembered.
    pub fn get(&self, name: &Name) -> Option<&MemberRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Returns the latest changes, oldest first, at most 256.
    pub fn recent_changes(&self) -> impl Iterator<Item = &ViewChange> {
        self.recent_changes.iter()
    }

    /// Returns a digest of the live members. Equal sets of members have equal digests; different
    /// sets have different ones except in case of a hash collision.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the first alive member after a name in the order of names, which wraps around from
    /// the last name to the first; `None` if no other member is alive.
    pub fn successor(&self, name: &Name) -> Option<&MemberRecord> {
        let later = self
            .entries
            .range((Bound::Excluded(*name), Bound::Unbounded));
        let earlier = self
            .entries
            .range((Bound::Unbounded, Bound::Excluded(*name)));
        let mut successors = later.chain(earlier).map(|(_, entry)| &entry.record);
        successors.find(|record| record.state == MemberState::Alive)
    }

    /// Returns the positions of all remembered names in the hash tree.
    pub(crate) fn positions(&self) -> impl Iterator<Item = u32> {
        self.entries.values().map(|entry| entry.hashed.position)
    }

    /// Returns the positions and hashes of the live members in the hash tree.
    pub(crate) fn hashed_live_members(&self) -> impl Iterator<Item = HashedMember> {
        let live = self
            .entries
            .values()
            .filter(|entry| entry.record.state.is_live());
        live.map(|entry| entry.hashed)
    }

    /// Records the state of a member and returns the change; `None` if its identity and state are
    /// unchanged.
    pub(crate) fn record(&mut self, record: MemberRecord) -> Option<ViewChange> {
        let previous = self.entries.get(&record.id.name);
        if previous
            .is_some_and(|entry| entry.record.id == record.id && entry.record.state == record.state)
        {
            return None;
        }
        let previous_hash = previous
            .filter(|entry| entry.record.state.is_live())
            .map(|entry| entry.hashed.hash);
        if let Some(hash) = previous_hash {
            self.digest ^= hash;
            self.live_count -= 1;
        }
        let hashed = HashedMember::new(&record.id);
        if record.state.is_live() {
            self.digest ^= hashed.hash;
            self.live_count += 1;
        }
        self.entries
            .insert(record.id.name, Entry { record, hashed });
        Some(self.record_change(record))
    }

    fn record_change(&mut self, member: MemberRecord) -> ViewChange {
        self.version += 1;
        let version = self.version;
        let change = ViewChange { version, member };
        if self.recent_changes.len() >= MAX_RETAINED_CHANGES {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(change);
        change
    }

    /// Forgets the member with this identity if it left or died.
    pub(crate) fn forget(&mut self, id: &Identity) {
        let known = self.get(&id.name);
        if known.is_some_and(|record| record.id == *id && !record.state.is_live()) {
            self.entries.remove(&id.name);
        }
    }
}
