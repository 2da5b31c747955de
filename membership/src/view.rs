//! The view: how each member stands, since when, and from whom that was heard.

use crate::identity::{Identity, Name};
use crate::sync;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

/// Changes that are kept to be shown.
const CHANGES_KEPT: usize = 256;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It is there.
    #[serde(rename = "present")]
    Alive,
    /// It did not answer somebody, and has not yet said that it is there.
    Suspect,
    /// It said that it leaves.
    Left,
    /// It has ended without a word, or cannot be reached by anybody.
    #[serde(rename = "gone")]
    Dead,
}

impl MemberState {
    /// Whether it counts as there.
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

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct MemberRecord {
    /// Who.
    pub id: Identity,
    /// How it stands.
    pub state: MemberState,
    /// Since when, on the embedder's clock.
    pub since: Duration,
    /// Whose datagram told; `None`: it was found out here.
    pub reported_by: Option<Name>,
}

/// A change of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ViewChange {
    /// The view's version with it.
    pub version: u64,
    /// What is now known.
    pub member: MemberRecord,
}

/// What is known of a member, and what comparing views needs of it.
#[derive(Debug)]
struct Entry {
    viewed: MemberRecord,
    position: u32,
    hash: u64,
}

/// How each member stands.
#[derive(Debug, Default)]
pub struct View {
    members: BTreeMap<Name, Entry>,
    version: u64,
    live_count: usize,
    digest: u64,
    changes: VecDeque<ViewChange>,
}

impl View {
    /// Goes up by one with each change, and never down.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All members that are remembered, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|entry| &entry.viewed)
    }

    /// The positions of all names.
    pub(crate) fn positions(&self) -> impl Iterator<Item = u32> {
        self.members.values().map(|entry| entry.position)
    }

    /// The positions and hashes of who is there.
    pub(crate) fn hashes(&self) -> impl Iterator<Item = (u32, u64)> {
        let there = self
            .members
            .values()
            .filter(|entry| entry.viewed.state.is_live());
        there.map(|entry| (entry.position, entry.hash))
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether nobody is.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// How many count as there, this process included.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// What is known of one.
    pub fn get(&self, name: &Name) -> Option<&MemberRecord> {
        self.members.get(name).map(|entry| &entry.viewed)
    }

    /// The latest changes, oldest first; older ones are forgotten.
    pub fn changes(&self) -> impl Iterator<Item = &ViewChange> {
        self.changes.iter()
    }

    /// Equal for two views that hold the same lives for there, and different otherwise but for chance.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The next one that is present after a name, in a ring of all names.
    pub fn successor(&self, name: &Name) -> Option<&MemberRecord> {
        let later = self
            .members
            .range((Bound::Excluded(*name), Bound::Unbounded));
        let earlier = self
            .members
            .range((Bound::Unbounded, Bound::Excluded(*name)));
        later
            .chain(earlier)
            .map(|(_, entry)| &entry.viewed)
            .find(|v| v.state == MemberState::Alive)
    }

    /// Takes in how one stands; whether that was news.
    pub(crate) fn put(&mut self, now: MemberRecord) -> Option<ViewChange> {
        let before = self.members.get(&now.id.name).map(|entry| &entry.viewed);
        if before.is_some_and(|before| before.id == now.id && before.state == now.state) {
            return None;
        }
        for viewed in [Some(&now), before]
            .into_iter()
            .flatten()
            .filter(|viewed| viewed.state.is_live())
        {
            self.digest ^= sync::hash(&viewed.id);
        }
        self.live_count += usize::from(now.state.is_live());
        self.live_count -= usize::from(before.is_some_and(|before| before.state.is_live()));
        let (position, hash) = (sync::position(&now.id.name), sync::hash(&now.id));
        self.members.insert(
            now.id.name,
            Entry {
                viewed: now,
                position,
                hash,
            },
        );
        self.version += 1;
        let change = ViewChange {
            version: self.version,
            member: now,
        };
        if self.changes.len() >= CHANGES_KEPT {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        Some(change)
    }

    /// Forgets one that is not there any more.
    pub(crate) fn forget(&mut self, id: &Identity) {
        if self
            .get(&id.name)
            .is_some_and(|v| v.id == *id && !v.state.is_live())
        {
            self.members.remove(&id.name);
        }
    }
}
