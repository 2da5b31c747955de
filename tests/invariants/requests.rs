//! The requests of the simulated environment, and checks of what a balancer may do with them.

use frostkeel_policy::{DedupGroup, Effect, UpstreamId};
use std::time::Duration;

const ZONES: u64 = 2;
const CELLS: u64 = 4;

/// Returns the zone of an upstream.
pub fn zone(upstream: UpstreamId) -> u64 {
    upstream.0 % ZONES
}

/// Returns the cell of an upstream: the group that shares a record of idempotency keys.
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

/// The state of a request between its arrival and its final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    Waiting,
    /// The response of the request has started to stream, so the request has no deadline.
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
    /// Asserts that another attempt at this upstream cannot make the effect happen twice.
    pub fn check_another_attempt(&self, effect: Effect, now: Duration, upstream: UpstreamId) {
        let attempts = self.attempts.iter();
        for first in attempts.filter(|attempt| attempt.is_in_flight || attempt.may_have_run) {
            match effect {
                Effect::Idempotent => {}
                Effect::AtMostOnce => panic!("another attempt of an at-most-once request"),
                Effect::Deduplicated { group, ttl } => {
                    assert!(
                        now <= first.sent_at + ttl,
                        "another attempt after the idempotency key may have expired"
                    );
                    let is_same_group = match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => zone(first.upstream) == zone(upstream),
                        DedupGroup::Cell => cell(first.upstream) == cell(upstream),
                    };
                    assert!(
                        is_same_group,
                        "another attempt outside the group that shares idempotency keys"
                    );
                }
            }
        }
    }

    /// Asserts that a rejection is allowed: it tells the client that a retry is harmless.
    pub fn check_rejection(&self, effect: Effect) {
        let mut attempts = self.attempts.iter();
        let may_have_run = attempts.any(|attempt| attempt.is_in_flight || attempt.may_have_run);
        let is_harmless = match effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => !may_have_run,
            Effect::Deduplicated { group, .. } => group == DedupGroup::All || !may_have_run,
        };
        assert!(
            is_harmless,
            "a rejection of a request that may have run and must not run twice"
        );
    }
}
