//! Joining: contacting peers at which no live member is known, and responding to such contacts.

use super::Membership;
use super::name_conflict::ClaimSource;
use crate::identity::{Identity, PeerIndex};
use crate::wire::Message;
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::ops::Range;
use std::time::Duration;

/// The first interval between two contacts. The interval doubles with each contact up to
/// `MAX_INTERVAL`.
const INITIAL_INTERVAL: Duration = Duration::from_secs(1);
const MAX_INTERVAL: Duration = Duration::from_secs(8);
/// The range of the random factor by which each interval is multiplied.
const JITTER: Range<f64> = 0.5..1.5;
/// The maximum number of responses in a burst; `RESPONSES_PER_S` is the maximum sustained rate.
/// Both limits prevent a storm of contacts from causing an equally large number of responses.
const MAX_RESPONSE_BURST: f64 = 20.0;
const RESPONSES_PER_S: f64 = 20.0;

/// The schedule of contacts to peers at which no live member is known: an exponential backoff with
/// jitter.
#[derive(Debug)]
pub(super) struct JoinSchedule {
    next_at: Duration,
    interval: Duration,
}

impl JoinSchedule {
    /// Creates a schedule whose first contact is due at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            next_at: now,
            interval: INITIAL_INTERVAL,
        }
    }

    /// Returns the time at which the next contact is due.
    pub(super) fn next_at(&self) -> Duration {
        self.next_at
    }

    /// Records that a peer was contacted at `now`, and schedules the next contact.
    pub(super) fn record_contact(&mut self, now: Duration, rng: &mut impl RngExt) {
        self.next_at = now + self.interval.mul_f64(rng.random_range(JITTER));
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
    }

    /// Resets the interval to `INITIAL_INTERVAL`, and makes the next contact due after one such
    /// interval, with jitter, unless it is due earlier. Called when the number of live members has
    /// changed, because there may be further members to find.
    pub(super) fn reset(&mut self, now: Duration, rng: &mut impl RngExt) {
        self.interval = INITIAL_INTERVAL;
        let next_at = now + INITIAL_INTERVAL.mul_f64(rng.random_range(JITTER));
        self.next_at = self.next_at.min(next_at);
    }
}

/// A token bucket that limits the responses to members that this process does not know or whose
/// views differ from its own.
#[derive(Debug)]
pub(super) struct ResponseLimiter {
    tokens: f64,
    refilled_at: Duration,
}

impl ResponseLimiter {
    /// Creates a full bucket.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            tokens: MAX_RESPONSE_BURST,
            refilled_at: now,
        }
    }

    /// Returns whether a response may be sent at `now`; if it may, takes one token.
    pub(super) fn allows(&mut self, now: Duration) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * RESPONSES_PER_S).min(MAX_RESPONSE_BURST);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

impl Membership {
    /// Contacts a random peer at which no live member is known, if there is one.
    pub(super) fn contact_absent_peer(&mut self) {
        if self.view.live_count() >= usize::from(self.config.peer_count) {
            return;
        }
        let absent = self.absent_peers();
        if let Some(peer) = absent.choose(&mut self.rng) {
            let from = self.identity();
            self.send_message(peer, &Message::Join { from });
        }
    }

    /// Returns the peers at which no live member is known.
    fn absent_peers(&self) -> impl Iterator<Item = PeerIndex> + use<> {
        let mut is_occupied = vec![false; usize::from(self.config.peer_count)];
        for member in self.view.members().filter(|member| member.state.is_live()) {
            if let Some(is_occupied) = is_occupied.get_mut(usize::from(member.id.peer.0)) {
                *is_occupied = true;
            }
        }
        let peers = (0u16..).map(PeerIndex).zip(is_occupied);
        let absent = peers.filter(|(_, is_occupied)| !is_occupied);
        absent.map(|(peer, _)| peer)
    }

    pub(super) fn on_join(&mut self, from: Identity) {
        if from.name == self.identity().name {
            self.on_name_conflict(from, ClaimSource::Claimant);
        } else if self.response_limiter.allows(self.now) {
            self.swim.announce_to(from);
            self.process_swim_outputs(None);
        }
    }
}
