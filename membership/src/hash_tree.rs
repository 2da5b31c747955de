//! A tree of hashes over a view, which finds the differences between two views with small
//! datagrams.
//!
//! The position of a member in the tree is the hash of its name. A [`PositionPrefix`] identifies a
//! node: it contains the members whose positions begin with the prefix. The hash of a node combines
//! the hashes of the identities of its live members. Two processes exchange the hashes of a node's
//! children, descend to the children whose hashes differ, and send the members of a child that has
//! at most [`MAX_MEMBERS_SENT`] of them.

use crate::identity::{Identity, Name};
use rand::RngExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The number of children of a node.
pub const FANOUT: usize = 16;
/// The number of bits of a position that select a child at each level.
const BITS_PER_LEVEL: u32 = 4;
/// The depth of the leaves; the root has depth 0.
pub const MAX_DEPTH: u8 = 7;
/// The maximum number of members of a node whose members are sent to the peer. If a node has more
/// members and is not a leaf, the hashes of its children are sent instead.
pub const MAX_MEMBERS_SENT: usize = 8;
/// The maximum number of differing children that are reconciled in one exchange. They are selected
/// at random, so that later exchanges reach the others.
const MAX_FOLLOW_UPS: usize = 4;

/// The hashes of the children of a node; 0 for a child without live members.
pub type ChildHashes = [u32; FANOUT];

/// The position of a member in the tree, and the hash of its identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HashedMember {
    /// The position of the member's name.
    pub position: u32,
    /// The hash of the member's identity.
    pub hash: u64,
}

impl HashedMember {
    /// Computes the position and hash of an identity.
    pub fn new(id: &Identity) -> Self {
        Self {
            position: name_position(&id.name),
            hash: identity_hash(id),
        }
    }
}

/// Returns the position of a name in the tree, which is a hash of the name. It is the same in all
/// processes.
pub fn name_position(name: &Name) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_str().as_bytes());
    hasher.finish() as u32
}

/// Returns the hash of an identity's name, incarnation and rejoin count. It is the same in all
/// processes. The digest of a set of identities is the exclusive or of their hashes.
pub fn identity_hash(id: &Identity) -> u64 {
    let mut hasher = SipHasher13::new();
    (id.name.as_str(), id.incarnation, id.rejoin_count).hash(&mut hasher);
    hasher.finish()
}

/// A node of the tree: the members whose position begins with a prefix of `depth` times four bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionPrefix {
    depth: u8,
    prefix: u32,
}

/// The way in which a child whose hash differs from the peer's is reconciled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowUp {
    /// Send the members of this node, and request the peer's members of it.
    SendMembers(PositionPrefix),
    /// Send the hashes of this node's children.
    SendHashes(PositionPrefix),
}

impl PositionPrefix {
    /// Returns whether a received prefix is a node of the tree.
    pub fn is_valid(self) -> bool {
        self.depth <= MAX_DEPTH && (self.depth > 0 || self.prefix == 0)
    }

    /// Returns whether a position is below this node.
    pub fn contains(self, position: u32) -> bool {
        if self.depth == 0 {
            return true;
        }
        let prefix_bits = BITS_PER_LEVEL * u32::from(self.depth);
        position >> (u32::BITS - prefix_bits) == self.prefix
    }

    /// Returns the index of the child that contains a position.
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

    /// Computes the hashes of this node's children from the live members of a view. The hash of a
    /// child is the exclusive or of the low 32 bits of its members' identity hashes.
    pub fn child_hashes(self, live: impl Iterator<Item = HashedMember>) -> ChildHashes {
        let mut hashes = [0; FANOUT];
        for member in live.filter(|member| self.contains(member.position)) {
            hashes[self.child_index(member.position)] ^= member.hash as u32;
        }
        hashes
    }

    /// Selects at most four of the children whose hashes differ from the peer's, and returns how to
    /// reconcile each. `positions` are the positions of all known names.
    pub fn follow_ups(
        self,
        own_hashes: &ChildHashes,
        peer_hashes: &ChildHashes,
        positions: impl Iterator<Item = u32>,
        rng: &mut impl RngExt,
    ) -> Vec<FollowUp> {
        let mut member_counts = [0; FANOUT];
        for position in positions.filter(|position| self.contains(*position)) {
            member_counts[self.child_index(position)] += 1;
        }
        let children = 0..FANOUT;
        let mut differing: Vec<usize> = children
            .filter(|index| own_hashes[*index] != peer_hashes[*index])
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
