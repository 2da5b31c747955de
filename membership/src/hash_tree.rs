//! A tree of hashes over a view, by which two views that should be equal are compared in small
//! datagrams.
//!
//! Each name has a position, the hash of its text. A [`HashPrefix`] is a node of the tree: all
//! names whose position begins with it. Two processes exchange the hashes of the children of a
//! node, descend where they differ, and send the members themselves once a node has few of them.

use crate::identity::{Identity, Name};
use rand::RngExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The number of children of a node.
pub const FANOUT: usize = 16;
/// The bits of a position that select a child.
const BITS_PER_LEVEL: u32 = 4;
/// The depth of the leaves.
pub const MAX_DEPTH: u8 = 7;
/// The members of a node with at most this many are sent as they are.
pub const MAX_MEMBERS_SENT: usize = 8;
/// How many differing children are followed up at a time; the others are left to later, random
/// selections.
const MAX_FOLLOW_UPS: usize = 4;

/// Hashes of the children of a node.
pub type ChildHashes = [u32; FANOUT];

/// A live member's place in the tree, and its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HashedMember {
    /// The position of its name.
    pub position: u32,
    /// The hash of its identity.
    pub hash: u64,
}

impl HashedMember {
    /// The position and hash of an identity.
    pub fn new(id: &Identity) -> Self {
        Self {
            position: name_position(&id.name),
            hash: identity_hash(id),
        }
    }
}

/// The position of a name in the tree, which is the same in each process.
pub fn name_position(name: &Name) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_str().as_bytes());
    hasher.finish() as u32
}

/// The hash of an identity, which is the same in each process. The digest of a set is the exclusive
/// or of its hashes.
pub fn identity_hash(id: &Identity) -> u64 {
    let mut hasher = SipHasher13::new();
    (id.name.as_str(), id.incarnation, id.rejoin_count).hash(&mut hasher);
    hasher.finish()
}

/// A node of the tree: the names whose position begins with a prefix of so many times four bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashPrefix {
    depth: u8,
    prefix: u32,
}

/// How to reconcile a child whose hash differs from the peer's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowUp {
    /// Send its members, and request the peer's.
    SendMembers(HashPrefix),
    /// Send the hashes of its children.
    SendHashes(HashPrefix),
}

impl HashPrefix {
    /// Whether a prefix that was received is a node of the tree.
    pub fn is_valid(self) -> bool {
        self.depth <= MAX_DEPTH && (self.depth > 0 || self.prefix == 0)
    }

    /// Whether a position is below this node.
    pub fn contains(self, position: u32) -> bool {
        if self.depth == 0 {
            return true;
        }
        let prefix_bits = BITS_PER_LEVEL * u32::from(self.depth);
        position >> (u32::BITS - prefix_bits) == self.prefix
    }

    /// The index of the child that a position is below.
    fn child_index(self, position: u32) -> usize {
        let child_bits = BITS_PER_LEVEL * (u32::from(self.depth) + 1);
        (position >> (u32::BITS - child_bits)) as usize % FANOUT
    }

    fn child(self, index: usize) -> Self {
        Self {
            depth: self.depth + 1,
            prefix: (self.prefix << BITS_PER_LEVEL) | index as u32,
        }
    }

    /// The hashes of the children, over the live members of a view.
    pub fn child_hashes(self, live: impl Iterator<Item = HashedMember>) -> ChildHashes {
        let mut hashes = [0; FANOUT];
        for member in live.filter(|member| self.contains(member.position)) {
            hashes[self.child_index(member.position)] ^= member.hash as u32;
        }
        hashes
    }

    /// How to reconcile the children whose hashes differ from the peer's; `positions` are those of
    /// all known names.
    pub fn follow_ups(
        self,
        own: &ChildHashes,
        peers: &ChildHashes,
        positions: impl Iterator<Item = u32>,
        rng: &mut impl RngExt,
    ) -> Vec<FollowUp> {
        let mut member_counts = [0; FANOUT];
        for position in positions.filter(|position| self.contains(*position)) {
            member_counts[self.child_index(position)] += 1;
        }
        let children = 0..FANOUT;
        let mut differing: Vec<usize> = children
            .filter(|index| own[*index] != peers[*index])
            .collect();
        differing.shuffle(rng);
        differing.truncate(MAX_FOLLOW_UPS);
        let follow_up = |index| self.follow_up(index, member_counts[index]);
        differing.into_iter().map(follow_up).collect()
    }

    fn follow_up(self, index: usize, member_count: usize) -> FollowUp {
        let child = self.child(index);
        if member_count <= MAX_MEMBERS_SENT || child.depth >= MAX_DEPTH {
            FollowUp::SendMembers(child)
        } else {
            FollowUp::SendHashes(child)
        }
    }
}
