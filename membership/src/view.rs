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
    Present,
    /// It did not answer somebody, and has not yet said that it is there.
    Suspect,
    /// It said that it leaves.
    Left,
    /// It has ended without a word, or cannot be reached by anybody.
    Gone,
}

impl MemberState {
    /// Whether it counts as there.
    pub fn is_there(self) -> bool {
        matches!(self, Self::Present | Self::Suspect)
    }
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Viewed {
    /// Who.
    pub id: Identity,
    /// How it stands.
    pub standing: MemberState,
    /// Since when, on the embedder's clock.
    pub since: Duration,
    /// Whose datagram told; `None`: it was found out here.
    pub from: Option<Name>,
}

/// A change of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The view's version with it.
    pub version: u64,
    /// What is now known.
    pub now: Viewed,
}

/// What is known of a member, and what comparing views needs of it.
#[derive(Debug)]
struct Entry {
    viewed: Viewed,
    position: u32,
    hash: u64,
}

/// How each member stands.
#[derive(Debug, Default)]
pub struct View {
    members: BTreeMap<Name, Entry>,
    version: u64,
    there: usize,
    digest: u64,
    changes: VecDeque<Change>,
}

impl View {
    /// Goes up by one with each change, and never down.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All members that are remembered, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Viewed> {
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
            .filter(|entry| entry.viewed.standing.is_there());
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
    pub fn there(&self) -> usize {
        self.there
    }

    /// What is known of one.
    pub fn get(&self, name: &Name) -> Option<&Viewed> {
        self.members.get(name).map(|entry| &entry.viewed)
    }

    /// The latest changes, oldest first; older ones are forgotten.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    /// Equal for two views that hold the same lives for there, and different otherwise but for chance.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The next one that is present after a name, in a ring of all names.
    pub fn after(&self, name: &Name) -> Option<&Viewed> {
        let later = self
            .members
            .range((Bound::Excluded(*name), Bound::Unbounded));
        let earlier = self
            .members
            .range((Bound::Unbounded, Bound::Excluded(*name)));
        later
            .chain(earlier)
            .map(|(_, entry)| &entry.viewed)
            .find(|v| v.standing == MemberState::Present)
    }

    /// Takes in how one stands; whether that was news.
    pub(crate) fn put(&mut self, now: Viewed) -> Option<Change> {
        let before = self.members.get(&now.id.name).map(|entry| &entry.viewed);
        if before.is_some_and(|before| before.id == now.id && before.standing == now.standing) {
            return None;
        }
        for viewed in [Some(&now), before]
            .into_iter()
            .flatten()
            .filter(|viewed| viewed.standing.is_there())
        {
            self.digest ^= sync::hash(&viewed.id);
        }
        self.there += usize::from(now.standing.is_there());
        self.there -= usize::from(before.is_some_and(|before| before.standing.is_there()));
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
        let change = Change {
            version: self.version,
            now,
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
            .is_some_and(|v| v.id == *id && !v.standing.is_there())
        {
            self.members.remove(&id.name);
        }
    }
}
