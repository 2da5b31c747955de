//! Receives datagrams: drops those that are invalid, and passes each message to its handler.

use super::name_conflict::ClaimSource;
use super::{Membership, Phase};
use crate::identity::{Identity, PeerIndex};
use crate::wire::{self, Decoded, DropReason, Message};
use foca::{Member, State};
use std::time::Duration;

/// The time by which a received incarnation may be ahead of this process's own clock, in
/// milliseconds: one day.
const MAX_INCARNATION_LEAD_MS: u64 = 86_400_000;

impl Membership {
    /// Counts a datagram that the embedder dropped because its source address is not that of a
    /// peer.
    pub fn record_unknown_sender(&mut self) {
        self.counters.record_dropped(DropReason::UnknownSender);
    }

    /// Handles a datagram from a peer. If the datagram is invalid, drops it, counts the drop and
    /// returns the reason as an error. Ignores all datagrams once this process is no longer a
    /// member.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        source: PeerIndex,
        datagram: &[u8],
    ) -> Result<(), DropReason> {
        self.counters.record_received(datagram);
        if self.phase != Phase::Member {
            return Ok(());
        }
        self.set_now(now);
        let result = self.receive(source, datagram);
        if let Err(reason) = result {
            self.counters.record_dropped(reason);
        }
        result
    }

    fn receive(&mut self, source: PeerIndex, datagram: &[u8]) -> Result<(), DropReason> {
        match wire::decode(&self.config.fleet, datagram)? {
            Decoded::Swim {
                payload,
                from,
                updates,
            } => {
                self.validate_sender(source, &from)?;
                self.validate_updates(&updates)?;
                self.on_swim_payload(payload, from, &updates);
                Ok(())
            }
            Decoded::Message(message) => self.on_message(source, message),
        }
    }

    fn on_message(&mut self, source: PeerIndex, message: Message) -> Result<(), DropReason> {
        match message {
            Message::Check { nonce } => self.on_check(source, nonce),
            Message::IndirectCheckRequest { nonce, target } => {
                self.on_indirect_check_request(source, nonce, target);
            }
            Message::IndirectCheck { nonce, requester } => {
                self.on_indirect_check(source, nonce, requester);
            }
            Message::Join { from } => {
                self.validate_sender(source, &from)?;
                self.on_join(from);
            }
            Message::CheckAck {
                nonce,
                from,
                digest,
            } => {
                self.validate_sender(source, &from)?;
                self.on_check_ack(source, nonce, &from, digest);
            }
            Message::IndirectCheckAck {
                nonce,
                requester,
                from,
            } => {
                self.validate_sender(source, &from)?;
                self.on_indirect_check_ack(nonce, requester, from);
            }
            Message::ForwardedCheckAck {
                nonce,
                checked_member,
            } => {
                self.validate_plausible(&checked_member)?;
                self.on_check_acknowledged(nonce, &checked_member);
            }
            Message::ViewHashes {
                from,
                prefix,
                hashes,
            } => {
                self.validate_sender(source, &from)?;
                ensure_plausible(prefix.is_valid())?;
                self.on_view_hashes(&from, prefix, &hashes);
            }
            Message::ViewMembers {
                from,
                requested_in_return,
                members,
            } => {
                self.validate_sender(source, &from)?;
                self.validate_updates(&members)?;
                ensure_plausible(requested_in_return.is_none_or(|prefix| prefix.is_valid()))?;
                self.on_view_members(from, requested_in_return, &members);
            }
        }
        Ok(())
    }

    fn on_swim_payload(&mut self, payload: &[u8], from: Identity, updates: &[Member<Identity>]) {
        if from.name == self.identity().name {
            self.on_name_conflict(from, ClaimSource::Claimant);
            return;
        }
        self.apply_updates_about_self(updates);
        if self.phase != Phase::Member {
            return;
        }
        self.swim.set_probe_time_factor(self.health.time_factor());
        self.swim.handle_payload(payload);
        self.process_swim_outputs(Some(from.name));
        self.refresh_suspicions_among(updates, from.name);
    }

    /// Applies the updates that are about this process itself, and returns whether one of them
    /// suspects it.
    pub(super) fn apply_updates_about_self(&mut self, updates: &[Member<Identity>]) -> bool {
        let own_name = self.identity().name;
        let mut is_suspected = false;
        for update in updates.iter().filter(|update| update.id().name == own_name) {
            if *update.id() == self.identity() && update.state() == State::Suspect {
                self.counters.refutations += 1;
                self.health.degrade();
                is_suspected = true;
            }
            self.on_name_conflict(*update.id(), ClaimSource::Report);
        }
        is_suspected
    }

    /// Returns whether a sender is live in the view. If it is not, and the response limiter allows,
    /// announces this process to the sender, so that both learn of each other.
    pub(super) fn is_live_sender(&mut self, from: &Identity) -> bool {
        let known = self.view.get(&from.name);
        let is_live = known.is_some_and(|member| member.id == *from && member.state.is_live());
        let is_own_name = from.name == self.identity().name;
        if !is_live && !is_own_name && self.response_limiter.allows(self.now) {
            self.swim.announce_to(*from);
            self.process_swim_outputs(None);
        }
        is_live
    }

    /// Validates that a sender has the peer index of its source address and a plausible identity.
    fn validate_sender(&self, source: PeerIndex, from: &Identity) -> Result<(), DropReason> {
        if from.peer != source {
            return Err(DropReason::SenderMismatch);
        }
        self.validate_plausible(from)
    }

    fn validate_updates(&self, updates: &[Member<Identity>]) -> Result<(), DropReason> {
        let mut ids = updates.iter().map(Member::id);
        ids.try_for_each(|id| self.validate_plausible(id))
    }

    fn validate_plausible(&self, id: &Identity) -> Result<(), DropReason> {
        ensure_plausible(self.is_plausible(id))
    }

    /// Returns whether a member with this identity can exist and can be remembered.
    pub(super) fn is_plausible(&self, id: &Identity) -> bool {
        let is_known = self.view.get(&id.name).is_some();
        let has_capacity = self.view.len() < self.config.max_members;
        // The wall clock is read only at the start, so the latest plausible incarnation is this
        // process's incarnation plus the elapsed time, plus the permitted difference between the
        // clocks of two processes.
        let elapsed_ms = self.now.as_millis() as u64;
        let latest = self
            .config
            .incarnation
            .saturating_add(MAX_INCARNATION_LEAD_MS + elapsed_ms);
        self.is_peer(id.peer) && (is_known || has_capacity) && id.incarnation <= latest
    }

    /// Returns whether a peer with this index exists.
    fn is_peer(&self, peer: PeerIndex) -> bool {
        peer.0 < self.config.peer_count
    }

    /// Returns whether a peer with this index exists and is not this process.
    pub(super) fn is_other_peer(&self, peer: PeerIndex) -> bool {
        self.is_peer(peer) && peer != self.identity().peer
    }
}

fn ensure_plausible(is_plausible: bool) -> Result<(), DropReason> {
    if is_plausible {
        Ok(())
    } else {
        Err(DropReason::Implausible)
    }
}
