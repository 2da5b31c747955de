//! The view: the state of each member, since when, and which peer reported it.

use crate::hash_tree::HashedMember;
use crate::identity::{Identity, Name};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

/// How many of the latest changes are retained for display.
const MAX_RETAINED_CHANGES: usize = 256;

/// The state of a member. Its serialized words are a published form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It is an active member.
    #[serde(rename = "present")]
    Alive,
    /// It did not respond to some member, and has not refuted the suspicion yet.
    Suspect,
    /// It announced that it leaves.
    Left,
    /// It ended without an announcement, or no member reaches it.
    #[serde(rename = "gone")]
    Dead,
}

impl MemberState {
    /// Whether a member in this state counts as a part of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The state as the log and the members page write it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "present",
            Self::Suspect => "suspect",
            Self::Left => "left",
            Self::Dead => "gone",
        }
    }
}

/// What is known about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its identity.
    pub id: Identity,
    /// Its state.
    pub state: MemberState,
    /// When that state was recorded, on the embedder's clock.
    pub since: Duration,
    /// The member whose datagram reported it; `None` if this process detected it itself.
    pub reported_by: Option<Name>,
}

/// A change of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// The version of the view after the change.
    pub version: u64,
    /// What is now known about the member.
    pub member: MemberRecord,
}

/// A member and its place in the hash tree.
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
    changes: VecDeque<ViewChange>,
}

impl View {
    /// The number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All remembered members, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// How many members are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no member is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many members are live, this process included.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// What is known about a member.
    pub fn get(&self, name: &Name) -> Option<&MemberRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// The latest changes, oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &ViewChange> {
        self.changes.iter()
    }

    /// A digest of the live members: equal for equal sets of identities, and different otherwise
    /// except for collisions.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The next member that is alive after a name, in the ring of all names.
    pub fn successor(&self, name: &Name) -> Option<&MemberRecord> {
        let later = self
            .entries
            .range((Bound::Excluded(*name), Bound::Unbounded));
        let earlier = self
            .entries
            .range((Bound::Unbounded, Bound::Excluded(*name)));
        let mut ring = later.chain(earlier).map(|(_, entry)| &entry.record);
        ring.find(|record| record.state == MemberState::Alive)
    }

    /// The positions of all names in the hash tree.
    pub(crate) fn positions(&self) -> impl Iterator<Item = u32> {
        self.entries.values().map(|entry| entry.hashed.position)
    }

    /// The live members' places in the hash tree.
    pub(crate) fn hashed_live_members(&self) -> impl Iterator<Item = HashedMember> {
        let live = self
            .entries
            .values()
            .filter(|entry| entry.record.state.is_live());
        live.map(|entry| entry.hashed)
    }

    /// Records the state of a member; `None` if nothing changed.
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
        if self.changes.len() >= MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        change
    }

    /// Forgets a member that left or died.
    pub(crate) fn forget(&mut self, id: &Identity) {
        let known = self.get(&id.name);
        if known.is_some_and(|record| record.id == *id && !record.state.is_live()) {
            self.entries.remove(&id.name);
        }
    }
}
