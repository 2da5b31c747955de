//! A request of the world, and what may be done about it.

use frostkeel_policy::{DedupGroup, Effect, UpstreamId};
use std::time::Duration;

const ZONES: u64 = 2;
const CELLS: u64 = 4;

/// The zone of an upstream.
pub fn zone(upstream: UpstreamId) -> u64 {
    upstream.0 % ZONES
}

/// The cell of an upstream: the group that shares a memory of idempotency keys.
pub fn cell(upstream: UpstreamId) -> u64 {
    upstream.0 % CELLS
}

/// An attempt that was sent.
#[derive(Debug)]
pub struct Attempt {
    pub upstream: UpstreamId,
    pub sent_at: Duration,
    pub times_out_at: Duration,
    pub is_in_flight: bool,
    pub may_have_run: bool,
}

/// Where a request is between its arrival and its final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    Waiting,
    /// Its response has started and has no deadline any more.
    Streaming,
    Answered {
        at: Duration,
    },
    Disconnected,
}

impl RequestPhase {
    pub fn is_open(self) -> bool {
        matches!(self, Self::Waiting | Self::Streaming)
    }
}

#[derive(Debug)]
pub struct Request {
    pub class: usize,
    pub deadline: Duration,
    pub phase: RequestPhase,
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// A further attempt at this upstream must not make the effect happen twice.
    pub fn check_further_attempt(&self, effect: Effect, now: Duration, upstream: UpstreamId) {
        let attempts = self.attempts.iter();
        for first in attempts.filter(|attempt| attempt.is_in_flight || attempt.may_have_run) {
            match effect {
                Effect::Idempotent => {}
                Effect::AtMostOnce => panic!("an effect may happen twice"),
                Effect::Deduplicated { group, ttl } => {
                    assert!(now <= first.sent_at + ttl, "after the window");
                    let is_same_group = match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => zone(first.upstream) == zone(upstream),
                        DedupGroup::Cell => cell(first.upstream) == cell(upstream),
                    };
                    assert!(is_same_group, "outside the group that drops duplicates");
                }
            }
        }
    }

    /// A rejection promises that the client may retry.
    pub fn check_rejection(&self, effect: Effect) {
        let mut attempts = self.attempts.iter();
        let may_have_run = attempts.any(|attempt| attempt.is_in_flight || attempt.may_have_run);
        let is_harmless = match effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => !may_have_run,
            Effect::Deduplicated { group, .. } => group == DedupGroup::All || !may_have_run,
        };
        assert!(is_harmless, "a rejection of a request that may have run");
    }
}
