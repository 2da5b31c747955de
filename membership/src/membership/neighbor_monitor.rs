//! The neighbor monitor: checks the next alive member in the order of names every period, and
//! suspects that member if it acknowledges none of several attempts.

use super::Membership;
use crate::hash_tree::PositionPrefix;
use crate::identity::{Identity, Name, PeerIndex};
use crate::local_health::LocalHealth;
use crate::view::MemberState;
use crate::wire::Message;
use rand::seq::IteratorRandom;
use std::time::Duration;

/// The interval from the start of a check to the start of the next one.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time to wait for the acknowledgement of an attempt, after which the check is retried or,
/// after the last attempt, has failed.
const ACK_TIMEOUT: Duration = Duration::from_millis(190);
/// The number of times that a check is sent before it has failed.
const MAX_ATTEMPTS: u32 = 4;

/// The action that the monitor takes on a timeout.
#[derive(Debug, PartialEq, Eq)]
enum MonitorAction {
    /// Begin a check of the current neighbor.
    BeginCheck,
    /// Send the check to the target again, and request an indirect check from another member.
    RetryCheck { target: Identity, nonce: u32 },
    /// Suspect the neighbor, which acknowledged none of the attempts.
    Suspect(Identity),
}

#[derive(Clone, Copy, Debug)]
struct CheckInProgress {
    target: Identity,
    nonce: u32,
    attempts: u32,
    times_out_at: Duration,
}

/// The state of the neighbor monitor: at most one check is in progress at a time.
#[derive(Debug)]
pub(super) struct NeighborMonitor {
    next_check_at: Duration,
    check_in_progress: Option<CheckInProgress>,
    last_nonce: u32,
}

impl NeighborMonitor {
    /// Creates a monitor whose first check begins one interval after `now`.
    pub(super) fn new(now: Duration, initial_nonce: u32) -> Self {
        Self {
            next_check_at: now + CHECK_INTERVAL,
            check_in_progress: None,
            last_nonce: initial_nonce,
        }
    }

    /// Returns the time at which the monitor acts next.
    pub(super) fn next_timeout(&self) -> Duration {
        self.check_in_progress
            .map_or(self.next_check_at, |check| check.times_out_at)
    }

    /// Abandons the current check, if any. Called after this process was paused, because a missing
    /// acknowledgement is then no evidence of a failure.
    pub(super) fn abandon_check(&mut self) {
        self.check_in_progress = None;
    }

    fn handle_timeout(&mut self, now: Duration, health: &LocalHealth) -> MonitorAction {
        let Some(check) = self.check_in_progress.take() else {
            self.next_check_at = now + health.scale(CHECK_INTERVAL);
            return MonitorAction::BeginCheck;
        };
        if check.attempts >= MAX_ATTEMPTS {
            return MonitorAction::Suspect(check.target);
        }
        self.check_in_progress = Some(CheckInProgress {
            attempts: check.attempts + 1,
            times_out_at: now + health.scale(ACK_TIMEOUT),
            ..check
        });
        MonitorAction::RetryCheck {
            target: check.target,
            nonce: check.nonce,
        }
    }

    /// Begins a check and returns its nonce.
    fn begin_check(&mut self, target: Identity, now: Duration, health: &LocalHealth) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.check_in_progress = Some(CheckInProgress {
            target,
            nonce: self.last_nonce,
            attempts: 1,
            times_out_at: now + health.scale(ACK_TIMEOUT),
        });
        self.last_nonce
    }

    /// Ends the current check if it has this nonce and a target with this name, and returns whether
    /// it does.
    fn acknowledge(&mut self, nonce: u32, target_name: Name) -> bool {
        let is_current =
            |check: &mut CheckInProgress| check.nonce == nonce && check.target.name == target_name;
        self.check_in_progress.take_if(is_current).is_some()
    }
}

impl Membership {
    /// Takes the next action of the monitor, whose timeout is due.
    pub(super) fn monitor_neighbor(&mut self) {
        match self.neighbor_monitor.handle_timeout(self.now, &self.health) {
            MonitorAction::BeginCheck => self.check_neighbor(),
            MonitorAction::RetryCheck { target, nonce } => self.retry_check(&target, nonce),
            MonitorAction::Suspect(neighbor) => self.suspect(neighbor),
        }
    }

    fn check_neighbor(&mut self) {
        let own_name = self.identity().name;
        let neighbor = self.view.successor(&own_name).map(|member| member.id);
        if let Some(neighbor) = neighbor.filter(|id| id.name != own_name) {
            let nonce = self
                .neighbor_monitor
                .begin_check(neighbor, self.now, &self.health);
            self.send_message(neighbor.peer, &Message::Check { nonce });
        }
    }

    /// Sends the check again, and requests an indirect check from another member, because the
    /// target may be alive and only the link between it and this process down.
    fn retry_check(&mut self, target: &Identity, nonce: u32) {
        self.send_message(target.peer, &Message::Check { nonce });
        let own_name = self.identity().name;
        let alive = self
            .view
            .members()
            .filter(|member| member.state == MemberState::Alive);
        let others = alive.map(|member| member.id);
        let helpers = others.filter(|id| id.name != own_name && id.name != target.name);
        if let Some(helper) = helpers.choose(&mut self.rng) {
            let target = target.peer;
            self.send_message(
                helper.peer,
                &Message::IndirectCheckRequest { nonce, target },
            );
        }
    }

    pub(super) fn on_check(&mut self, source: PeerIndex, nonce: u32) {
        let from = self.identity();
        let digest = self.view.digest();
        self.send_message(
            source,
            &Message::CheckAck {
                nonce,
                from,
                digest,
            },
        );
    }

    pub(super) fn on_check_ack(
        &mut self,
        source: PeerIndex,
        nonce: u32,
        from: &Identity,
        digest: u64,
    ) {
        if !self.on_check_acknowledged(nonce, from) {
            return;
        }
        let is_equal = digest == self.view.digest();
        if self.anti_entropy.must_send_hashes_after_check(is_equal) {
            self.send_view_hashes(source, PositionPrefix::default());
        }
    }

    /// Handles the acknowledgement of a check by the checked member, received directly or
    /// forwarded. Ends the current check if the acknowledgement belongs to it, and returns whether
    /// it does.
    pub(super) fn on_check_acknowledged(&mut self, nonce: u32, checked_member: &Identity) -> bool {
        let is_current = self
            .neighbor_monitor
            .acknowledge(nonce, checked_member.name);
        if is_current {
            self.health.improve();
        }
        is_current
    }

    pub(super) fn on_indirect_check_request(
        &mut self,
        source: PeerIndex,
        nonce: u32,
        target: PeerIndex,
    ) {
        if self.is_other_peer(target) {
            let requester = source;
            self.send_message(target, &Message::IndirectCheck { nonce, requester });
        }
    }

    pub(super) fn on_indirect_check(
        &mut self,
        source: PeerIndex,
        nonce: u32,
        requester: PeerIndex,
    ) {
        let from = self.identity();
        self.send_message(
            source,
            &Message::IndirectCheckAck {
                nonce,
                requester,
                from,
            },
        );
    }

    pub(super) fn on_indirect_check_ack(
        &mut self,
        nonce: u32,
        requester: PeerIndex,
        checked_member: Identity,
    ) {
        if self.is_other_peer(requester) {
            self.send_message(
                requester,
                &Message::ForwardedCheckAck {
                    nonce,
                    checked_member,
                },
            );
        }
    }
}
