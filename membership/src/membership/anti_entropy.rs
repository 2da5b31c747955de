//! Anti-entropy: two members whose views differ persistently compare the views and exchange the
//! members in which they differ.

use super::{Membership, Phase};
use crate::hash_tree::{self, ChildHashes, FollowUp, PositionPrefix};
use crate::identity::{Identity, PeerIndex};
use crate::wire::{self, Message};
use foca::Member;
use rand::seq::SliceRandom;

/// The number of consecutive checks that must find a different view at the checked member before
/// the two views are compared. Gossip resolves most differences earlier.
const MIN_CONSECUTIVE_DIFFERENCES: u32 = 2;
/// The maximum number of bytes of an encoded [`Message::ViewMembers`] without its members.
const MAX_VIEW_MEMBERS_OVERHEAD_BYTES: usize = 56;

/// Decides when this process compares its view with that of another member.
#[derive(Debug, Default)]
pub(super) struct AntiEntropy {
    consecutive_differences: u32,
}

impl AntiEntropy {
    /// Records whether a check found the checked member's view equal to this process's. Returns
    /// whether to send the member the hashes of this process's view, which is the case if at least
    /// the last [`MIN_CONSECUTIVE_DIFFERENCES`] checks found a different view.
    pub(super) fn must_send_hashes_after_check(&mut self, is_equal: bool) -> bool {
        self.consecutive_differences = if is_equal {
            0
        } else {
            self.consecutive_differences + 1
        };
        self.consecutive_differences >= MIN_CONSECUTIVE_DIFFERENCES
    }
}

impl Membership {
    /// Sends the hashes of the children of a hash tree node to a peer.
    pub(super) fn send_view_hashes(&mut self, to: PeerIndex, prefix: PositionPrefix) {
        let from = self.identity();
        let hashes = prefix.child_hashes(self.view.hashed_live_members());
        self.send_message(
            to,
            &Message::ViewHashes {
                from,
                prefix,
                hashes,
            },
        );
    }

    /// Compares a peer's hashes with those of this process's view, and sends hashes or members for
    /// the children that differ.
    pub(super) fn on_view_hashes(
        &mut self,
        from: &Identity,
        prefix: PositionPrefix,
        hashes: &ChildHashes,
    ) {
        if !self.response_limiter.allows(self.now) || !self.is_live_sender(from) {
            return;
        }
        let own_hashes = prefix.child_hashes(self.view.hashed_live_members());
        let positions = self.view.positions();
        for follow_up in prefix.follow_ups(&own_hashes, hashes, positions, &mut self.rng) {
            match follow_up {
                FollowUp::SendHashes(child) => self.send_view_hashes(from.peer, child),
                FollowUp::SendMembers(child) => {
                    self.send_view_members(from.peer, child, Some(child));
                }
            }
        }
    }

    /// Merges the members received from a peer, and sends the peer the members that it requests in
    /// return.
    pub(super) fn on_view_members(
        &mut self,
        from: Identity,
        requested_in_return: Option<PositionPrefix>,
        members: &[Member<Identity>],
    ) {
        if !self.is_live_sender(&from) {
            return;
        }
        let is_suspected = self.apply_updates_about_self(members);
        if self.phase != Phase::Member {
            return;
        }
        // The members are merged without disseminating them: gossip disseminates updates, and
        // anti-entropy only delivers those that did not reach this process.
        self.swim.merge(members.iter().cloned());
        if is_suspected {
            // The announcement carries the refutation directly to the member that suspects this
            // process; the others receive it by gossip.
            self.swim.announce_to(from);
        }
        self.process_swim_outputs(Some(from.name));
        self.refresh_suspicions_among(members, from.name);
        if let Some(prefix) = requested_in_return
            && self.response_limiter.allows(self.now)
        {
            self.send_view_members(from.peer, prefix, None);
        }
    }

    /// Sends the remembered members below a hash tree node, or a random selection of them if not
    /// all fit into a datagram.
    fn send_view_members(
        &mut self,
        to: PeerIndex,
        prefix: PositionPrefix,
        requested_in_return: Option<PositionPrefix>,
    ) {
        let mut known = self.known_members(prefix);
        known.shuffle(&mut self.rng);
        let capacity = wire::payload_capacity(&self.config.fleet)
            .saturating_sub(MAX_VIEW_MEMBERS_OVERHEAD_BYTES);
        let message = Message::ViewMembers {
            from: self.identity(),
            requested_in_return,
            members: members_that_fit(known, capacity),
        };
        self.send_message(to, &message);
    }

    /// Returns the remembered members below a hash tree node, this process included.
    fn known_members(&self, prefix: PositionPrefix) -> Vec<Member<Identity>> {
        let own_id = self.identity();
        let is_below = |id: &Identity| prefix.contains(hash_tree::name_position(&id.name));
        let others = self
            .swim
            .all_members()
            .filter(|member| member.id().name != own_id.name);
        let mut known: Vec<_> = others
            .filter(|member| is_below(member.id()))
            .cloned()
            .collect();
        if is_below(&own_id) {
            known.push(Member::alive(own_id));
        }
        known
    }
}

/// Returns the first members whose encoded lengths add up to at most `capacity` bytes.
fn members_that_fit(members: Vec<Member<Identity>>, capacity: usize) -> Vec<Member<Identity>> {
    let mut remaining = capacity;
    let mut fitting = Vec::new();
    for member in members {
        let Some(rest) = remaining.checked_sub(wire::encoded_len(&member)) else {
            break;
        };
        remaining = rest;
        fitting.push(member);
    }
    fitting
}
