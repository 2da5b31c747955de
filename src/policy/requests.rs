//! The requests in flight with their attempts, the time at which each attempt becomes overdue, and
//! the retry budget.

use super::upstreams::Upstream;
use crate::interface::{CellId, Class, DedupGroup, Effect, Outcome, RequestId, UpstreamId, ZoneId};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of retries that each admitted request adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest number of retries in the retry budget.
const MAX_BUDGETED_RETRIES: f64 = 10.0;
/// Margin for the network, in seconds. A retry with an idempotency key is sent only if the time
/// until the upstreams forget the key is longer than the connect time-out plus this margin.
const KEY_EXPIRY_MARGIN_S: f64 = 0.05;

/// The state of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The attempt is in flight and has not become overdue.
    InFlight,
    /// The attempt is in flight, and its overdue time has passed.
    Overdue,
    /// The attempt has ended.
    Ended {
        /// Whether the upstream may have processed the request, or may still do so.
        may_have_run: bool,
    },
}

/// One attempt: a request that was sent to one upstream.
pub(super) struct Attempt {
    pub(super) upstream: UpstreamId,
    pub(super) zone: ZoneId,
    /// Group of this attempt's upstream and the upstreams with which it shares a record of the
    /// idempotency keys that they have received.
    pub(super) dedup_cell: CellId,
    pub(super) sent_at_s: f64,
    pub(super) state: AttemptState,
    /// Seconds for which the connections to the upstream had been idle at the send; zero if one was
    /// in use, if none had been used yet, or if the idle ones were closed.
    pub(super) connection_idle_s: f64,
}

impl Attempt {
    pub(super) fn is_in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Ended { .. })
    }

    /// Returns whether the upstream may have processed the request, or may still do so.
    pub(super) fn may_have_run(&self) -> bool {
        self.state
            != AttemptState::Ended {
                may_have_run: false,
            }
    }
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) class: usize,
    pub(super) upstream: UpstreamId,
    pub(super) outcome: Outcome,
    pub(super) sent_at_s: f64,
    /// Seconds from the send to the end of the attempt.
    pub(super) latency_s: f64,
    pub(super) was_overdue: bool,
    pub(super) connection_idle_s: f64,
}

impl EndedAttempt {
    /// Returns whether the attempt was already overdue when it timed out or was cancelled.
    pub(super) fn is_abandoned(&self) -> bool {
        self.was_overdue && matches!(self.outcome, Outcome::TimedOut | Outcome::Cancelled)
    }

    /// Returns whether the attempt is a fault of its upstream. A missing response is a fault only
    /// if `missing_response_counts` is true; the caller sets it unless the upstream is ejected.
    pub(super) fn is_fault(&self, missing_response_counts: bool) -> bool {
        matches!(self.outcome, Outcome::Error | Outcome::Rejected)
            || (self.is_abandoned() && missing_response_counts)
    }
}

/// The state of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// The request has no final response, and no response is being streamed.
    Waiting,
    /// A response is being streamed: no other attempt may be sent.
    Streaming,
    /// The request has ended; attempts of it may still be in flight.
    Completed,
}

/// A request in flight.
pub(super) struct Request {
    pub(super) class: usize,
    /// Time after which a response is of no use; at the latest the deadline.
    pub(super) useful_until_s: f64,
    pub(super) deadline_s: f64,
    pub(super) attempts: Vec<Attempt>,
    state: RequestState,
}

impl Request {
    pub(super) fn new(class: usize, useful_until_s: f64, deadline_s: f64) -> Self {
        let state = RequestState::Waiting;
        Self {
            class,
            useful_until_s,
            deadline_s,
            attempts: Vec::new(),
            state,
        }
    }

    /// Returns whether the request has no final response and no response is being streamed.
    pub(super) fn is_waiting(&self) -> bool {
        self.state == RequestState::Waiting
    }

    pub(super) fn is_completed(&self) -> bool {
        self.state == RequestState::Completed
    }

    /// Records that a response is being streamed from now on, unless the request has ended.
    pub(super) fn start_streaming(&mut self) {
        if self.state == RequestState::Waiting {
            self.state = RequestState::Streaming;
        }
    }

    /// Ends the request. Returns whether it had not ended before.
    pub(super) fn complete(&mut self) -> bool {
        let previous_state = std::mem::replace(&mut self.state, RequestState::Completed);
        previous_state != RequestState::Completed
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether no attempt can have been processed.
    pub(super) fn never_ran(&self) -> bool {
        !self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Returns whether an attempt may be sent to an upstream now without the risk that the request
    /// takes effect twice.
    pub(super) fn may_run_at(
        &self,
        upstream: &Upstream,
        class: &Class,
        connect_timeout: Duration,
        now_s: f64,
    ) -> bool {
        let Some(first_possible_run) = self.attempts.iter().find(|attempt| attempt.may_have_run())
        else {
            return true;
        };
        let Effect::Deduplicated { group, ttl } = class.effect else {
            return class.effect == Effect::Idempotent;
        };
        let shares_keys = match group {
            DedupGroup::All => true,
            DedupGroup::Zone => upstream.endpoint.zone() == first_possible_run.zone,
            DedupGroup::Cell => upstream.endpoint.dedup_cell() == first_possible_run.dedup_cell,
        };
        // The attempt may have to wait for a new connection.
        let expiry_margin_s = connect_timeout.as_secs_f64() + KEY_EXPIRY_MARGIN_S;
        shares_keys && now_s + expiry_margin_s < first_possible_run.sent_at_s + ttl.as_secs_f64()
    }

    pub(super) fn was_sent_to(&self, upstream: UpstreamId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.upstream == upstream)
    }
}

/// The number of retries that may still be sent.
pub(super) struct RetryBudget {
    available_retries: f64,
}

impl RetryBudget {
    pub(super) fn full() -> Self {
        Self {
            available_retries: MAX_BUDGETED_RETRIES,
        }
    }

    pub(super) fn record_admission(&mut self) {
        self.available_retries =
            (self.available_retries + RETRIES_PER_REQUEST).min(MAX_BUDGETED_RETRIES);
    }

    pub(super) fn affords(&self, retry_cost: f64) -> bool {
        self.available_retries >= retry_cost
    }

    pub(super) fn spend(&mut self, retry_cost: f64) {
        self.available_retries -= retry_cost;
    }
}

/// The time at which one attempt becomes overdue. Deadlines are ordered by `at` first, which is a
/// `Duration` and not a number of seconds so that it can be a key of an ordered set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OverdueDeadline {
    at: Duration,
    request_id: RequestId,
    attempt_no: u8,
}

/// An attempt that has become overdue.
#[derive(Clone, Copy)]
pub(super) struct OverdueAttempt {
    pub(super) request_id: RequestId,
    pub(super) upstream: UpstreamId,
    pub(super) sent_at_s: f64,
}

/// All requests in flight, including ended ones with attempts in flight.
#[derive(Default)]
pub(super) struct Requests {
    requests: FxHashMap<RequestId, Request>,
    overdue_deadlines: BTreeSet<OverdueDeadline>,
}

impl Requests {
    /// Returns the number of entries in the collections of state.
    pub(super) fn entry_count(&self) -> usize {
        self.requests.len() + self.overdue_deadlines.len()
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.requests.remove(&id)
    }

    /// Adds an attempt to its request; the attempt becomes overdue at `overdue_at`.
    pub(super) fn add_attempt(&mut self, id: RequestId, attempt: Attempt, overdue_at: Duration) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts.len() as u8;
        request.attempts.push(attempt);
        let deadline = OverdueDeadline {
            at: overdue_at,
            request_id: id,
            attempt_no: number,
        };
        self.overdue_deadlines.insert(deadline);
    }

    /// Finds the next attempt in flight whose overdue time has passed, marks it as overdue and
    /// returns it; `None` if there is none.
    pub(super) fn next_overdue(&mut self, now: Duration) -> Option<OverdueAttempt> {
        loop {
            let next_deadline = self
                .overdue_deadlines
                .first()
                .copied()
                .filter(|next_deadline| next_deadline.at <= now)?;
            self.overdue_deadlines.pop_first();
            let request = self.requests.get_mut(&next_deadline.request_id);
            let attempt =
                request.and_then(|r| r.attempts.get_mut(usize::from(next_deadline.attempt_no)));
            if let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) {
                attempt.state = AttemptState::Overdue;
                let (upstream, sent_at_s) = (attempt.upstream, attempt.sent_at_s);
                return Some(OverdueAttempt {
                    request_id: next_deadline.request_id,
                    upstream,
                    sent_at_s,
                });
            }
        }
    }

    /// Ends an attempt and returns its data; `None` if it is not known or has already ended.
    pub(super) fn end_attempt(
        &mut self,
        id: RequestId,
        attempt_no: u8,
        outcome: Outcome,
        latency_s: f64,
    ) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(usize::from(attempt_no))?;
        let was_overdue = match attempt.state {
            AttemptState::InFlight => false,
            AttemptState::Overdue => true,
            AttemptState::Ended { .. } => return None,
        };
        attempt.state = AttemptState::Ended {
            may_have_run: !outcome.never_ran(),
        };
        Some(EndedAttempt {
            class: request.class,
            upstream: attempt.upstream,
            outcome,
            sent_at_s: attempt.sent_at_s,
            latency_s,
            was_overdue,
            connection_idle_s: attempt.connection_idle_s,
        })
    }
}
