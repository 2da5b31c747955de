//! The flow of an attempt: its send, retries and hedges, its end, and the effects of its outcome.

use super::Balancer;
use super::class_statistics::LatencySource;
use super::clock::JitteredClock;
use super::requests::{Attempt, AttemptState, EndedAttempt, OverdueAttempt, Request};
use super::round_robin::Deficit;
use super::upstream_health::{Fault, SuspicionContext};
use super::upstreams::Upstream;
use crate::interface::{Action, AttemptNo, Effect, FailureReason, Outcome, RequestId};
use std::time::Duration;

/// Number of eligible upstreams that are compared to choose the target of a retry.
const MAX_RETRY_CANDIDATES: usize = 6;
/// Cost of a retry or a hedged attempt, as a number of retries in the retry budget.
const RETRY_COST: f64 = 1.0;
/// Cost of a retry after an attempt that was not processed, as a number of retries in the retry
/// budget. It is lower because the retry adds no work.
const UNPROCESSED_RETRY_COST: f64 = 0.1;
/// Least time, in seconds, that must remain until the deadline when a retry is sent.
const MIN_TIME_TO_DEADLINE_S: f64 = 1e-3;
/// Least time for which a response must still be of use when a retry is sent, as a fraction of the
/// mean latency of the class.
const MIN_USEFUL_TIME_FRACTION: f64 = 0.5;
/// Spare capacity, in requests, above which hedged attempts are sent. The limit is negative because
/// the overdue attempt, which the hedged attempt duplicates, counts as in flight itself.
const MIN_HEDGE_SPARE_CAPACITY: f64 = -1.0;
/// Shortest time-out of an attempt, in seconds.
const MIN_TIMEOUT_S: f64 = 1e-3;
/// Longest time-out of an attempt, in seconds.
const MAX_TIMEOUT_S: f64 = 1e6;
/// Penalty that is added to the rank of a retry candidate; the candidate with the lowest rank is
/// chosen. It is added once for an upstream of another zone and twice for an upstream outside the
/// subset. It outweighs any number of requests in flight.
const DISTANCE_PENALTY: f64 = 1e6;

impl Balancer {
    /// Sends an attempt of a request to an upstream.
    pub(super) fn send(&mut self, id: RequestId, slot: usize) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let class = request.class;
        let overdue_after = Duration::from_secs_f64(self.classes.overdue_after_s(class));
        let timeout = self.attempt_timeout(request, overdue_after);
        let upstream = &mut self.upstreams[slot];
        let mut connections_idle_s = upstream
            .connections
            .idle_s(self.now_s, upstream.load.in_flight());
        if self
            .idle_connection_statistics
            .is_suspect(connections_idle_s, self.now_s)
        {
            self.actions.push(Action::CloseIdleConnections {
                upstream: upstream.endpoint.id(),
            });
            connections_idle_s = 0.0;
        }
        upstream.connections.record(self.now_s);
        upstream.load.record_sent();
        self.pacing.record_send(&mut upstream.send_budget);
        self.actions.push(Action::Attempt {
            id,
            upstream: upstream.endpoint.id(),
            timeout,
        });
        // The attempt records the zone and the dedup cell of its upstream: they decide which other
        // upstreams know the idempotency key, and so where a retry may be sent.
        let attempt = Attempt {
            upstream: upstream.endpoint.id(),
            zone: upstream.endpoint.zone(),
            dedup_cell: upstream.endpoint.dedup_cell(),
            sent_at_s: self.now_s,
            state: AttemptState::InFlight,
            connection_idle_s: connections_idle_s,
        };
        self.requests
            .add_attempt(id, attempt, self.now + overdue_after);
    }

    /// Returns the time after which an attempt is abandoned; `None` if that is the client's
    /// deadline.
    fn attempt_timeout(&self, request: &Request, overdue_after: Duration) -> Option<Duration> {
        let class = &self.settings.classes[request.class];
        // Without hedging, an attempt that can be retried is abandoned when it becomes overdue.
        let is_last = request.attempts.len() + 1 >= usize::from(self.settings.max_attempts);
        let is_retryable = class.effect != Effect::AtMostOnce && !class.streamed;
        let may_retry = is_retryable && !is_last && self.retry_budget.affords(RETRY_COST);
        if !self.settings.hedging && may_retry {
            return Some(overdue_after);
        }
        // An attempt is abandoned when its response would be of no use: upstreams that drop
        // cancelled requests gain capacity for other requests, and an unresponsive upstream is
        // detected sooner.
        let useful_for_s =
            (request.useful_until_s - self.now_s).clamp(MIN_TIMEOUT_S, MAX_TIMEOUT_S);
        let ends_before_deadline = request.useful_until_s < request.deadline_s;
        ends_before_deadline.then(|| Duration::from_secs_f64(useful_for_s))
    }

    /// Sends a retry or a hedged attempt if the request, the retry budget and the upstreams allow
    /// one. Returns whether it was sent.
    fn retry_elsewhere(&mut self, id: RequestId, retry_cost: f64) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        if !self.may_retry(request, retry_cost) {
            return false;
        }
        let random_start = self.random.usize(..);
        let Some(slot) = self.retry_target(request, random_start) else {
            return false;
        };
        self.retry_budget.spend(retry_cost);
        self.send(id, slot);
        true
    }

    fn may_retry(&self, request: &Request, retry_cost: f64) -> bool {
        let min_useful_for_s =
            MIN_USEFUL_TIME_FRACTION * self.classes.class_mean_latency_s(request.class);
        request.is_waiting()
            && request.attempts.len() < usize::from(self.settings.max_attempts)
            && self.now_s + MIN_TIME_TO_DEADLINE_S < request.deadline_s
            && self.now_s + min_useful_for_s < request.useful_until_s
            && self.retry_budget.affords(retry_cost)
            && !self.upstreams.is_empty()
            && !self.lease.is_expired(self.now_s)
    }

    /// Returns the target of a retry: among the next eligible upstreams, the one with the fewest
    /// requests in flight per unit of capacity, preferably of this zone. Upstreams outside the
    /// subset are used only if none in the subset is eligible, for instance if only the upstreams
    /// of one dedup cell know the idempotency key. The search among them begins at the slot
    /// `random_start` modulo the number of upstreams.
    fn retry_target(&self, request: &Request, random_start: usize) -> Option<usize> {
        let upstream_count = self.upstreams.len();
        let all_slots_from_start = (0..upstream_count)
            .map(|offset| (offset + random_start % upstream_count) % upstream_count);
        let rank = |slot: usize| {
            let upstream = &self.upstreams[slot];
            let is_other_zone = u8::from(upstream.endpoint.zone() != self.settings.zone);
            let is_outside_subset = u8::from(!upstream.membership.is_member());
            DISTANCE_PENALTY * f64::from(is_other_zone + 2 * is_outside_subset)
                + self
                    .load_reports
                    .in_flight_per_capacity(upstream, self.last_tick_at_s)
        };
        self.rotation
            .after_cursor()
            .chain(all_slots_from_start)
            .filter(|slot| self.accepts_retry(request, &self.upstreams[*slot]))
            .take(MAX_RETRY_CANDIDATES)
            .min_by(|a, b| rank(*a).total_cmp(&rank(*b)))
    }

    /// Returns whether an upstream may take a retry of a request. An upstream in slow start may
    /// not: the retries after a failure arrive in one burst, which would overload it.
    fn accepts_retry(&self, request: &Request, upstream: &Upstream) -> bool {
        let class = &self.settings.classes[request.class];
        let connect_timeout = self.settings.connect_timeout;
        upstream.endpoint.is_ready()
            && !upstream.weight.is_warming_up()
            && !upstream.health.is_ejected(self.now_s)
            && !upstream.health.is_ejected_for(request.class)
            && !self.pacing.is_exhausted(upstream)
            && !request.was_sent_to(upstream.endpoint.id())
            && request.may_run_at(upstream, class, connect_timeout, self.now_s)
    }

    /// Handles all attempts that have become overdue.
    pub(super) fn handle_overdue_attempts(&mut self) {
        while let Some(attempt) = self.requests.next_overdue(self.now) {
            self.handle_overdue(&attempt);
        }
    }

    /// Handles an attempt that has become overdue. If its upstream has not responded to any request
    /// since the send, the upstream is suspected, and a hedged attempt may be sent. If the upstream
    /// has responded to another request, the overdue request is assumed to be an expensive one that
    /// would take as long at another upstream.
    fn handle_overdue(&mut self, attempt: &OverdueAttempt) {
        let Some(slot) = self.upstreams.slot(attempt.upstream) else {
            return;
        };
        let upstream = &mut self.upstreams[slot];
        upstream.load.record_overdue();
        if upstream.health.has_responded_since(attempt.sent_at_s) {
            return;
        }
        self.record_fault(slot, Fault::Unresponsive);
        if self.settings.hedging && self.capacity.spare_capacity() > MIN_HEDGE_SPARE_CAPACITY {
            self.retry_elsewhere(attempt.request_id, RETRY_COST);
        }
    }

    /// Processes the end of an attempt. `is_finished` is true if the request has its final
    /// response.
    pub(super) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        number: AttemptNo,
        outcome: Outcome,
        latency: Duration,
        is_finished: bool,
    ) {
        let ended = self
            .requests
            .end_attempt(id, number.0, outcome, latency.as_secs_f64());
        let Some(attempt) = ended else { return };
        self.record_outcome(&attempt);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let was_completed = request.is_completed();
        let none_in_flight = !request.has_attempt_in_flight();
        if is_finished {
            self.complete(id);
        } else if was_completed && none_in_flight {
            self.requests.remove(id);
        } else if none_in_flight {
            self.retry_or_end(id, &attempt);
        }
    }

    /// Retries a request whose last attempt in flight has ended without a final response; ends the
    /// request if no retry can be sent.
    fn retry_or_end(&mut self, id: RequestId, attempt: &EndedAttempt) {
        let never_ran = attempt.outcome.never_ran();
        let retry_cost = if never_ran {
            UNPROCESSED_RETRY_COST
        } else {
            RETRY_COST
        };
        if !self.retry_elsewhere(id, retry_cost) {
            self.end_without_response(id, self.failure_reason(attempt));
        }
    }

    fn failure_reason(&self, attempt: &EndedAttempt) -> FailureReason {
        match attempt.outcome {
            Outcome::Error => FailureReason::UpstreamError,
            Outcome::Rejected => FailureReason::UpstreamRejected,
            Outcome::ConnectFailed | Outcome::Reset => FailureReason::ConnectionError,
            Outcome::NotSent => FailureReason::NotSent,
            Outcome::Ok | Outcome::TimedOut | Outcome::Cancelled => {
                let slot = self.upstreams.slot(attempt.upstream);
                let has_responded = slot.is_some_and(|slot| {
                    self.upstreams[slot]
                        .health
                        .has_responded_since(attempt.sent_at_s)
                });
                if has_responded {
                    FailureReason::Timeout
                } else {
                    FailureReason::UpstreamUnresponsive
                }
            }
        }
    }

    /// Records the outcome of an attempt in the statistics of its class, the capacity, the idle
    /// connections and its upstream.
    fn record_outcome(&mut self, attempt: &EndedAttempt) {
        let latency_source = if attempt.outcome == Outcome::Ok {
            self.capacity.record_completion();
            Some(LatencySource::Success)
        } else {
            attempt.is_abandoned().then_some(LatencySource::Abandoned)
        };
        let latency_ratio = latency_source.map(|latency_source| {
            let was_unanswered = latency_source == LatencySource::Abandoned;
            self.idle_connection_statistics.record(
                attempt.connection_idle_s,
                was_unanswered,
                self.now_s,
            );
            self.classes.record_latency(
                attempt.class,
                latency_source,
                attempt.latency_s,
                self.now_s,
            )
        });
        let Some(slot) = self.upstreams.slot(attempt.upstream) else {
            return;
        };
        let upstream = &mut self.upstreams[slot];
        upstream.connections.record(self.now_s);
        upstream.load.record_ended(attempt.was_overdue);
        if let Some(ratio) = latency_ratio {
            upstream.weight.record_latency_ratio(ratio);
        }
        self.update_health(slot, attempt);
    }

    /// Updates the health of an upstream, and its load, with the outcome of an attempt.
    fn update_health(&mut self, slot: usize, attempt: &EndedAttempt) {
        let mut clock = JitteredClock {
            now_s: self.now_s,
            random: &mut self.random,
        };
        let upstreams = &mut self.upstreams;
        let fault = self.outliers.record_outcome(
            upstreams,
            self.rotation.member_slots(),
            slot,
            attempt,
            &mut clock,
        );
        let upstream = &mut upstreams[slot];
        if attempt.outcome == Outcome::Rejected {
            upstream.load.record_rejected(self.now_s);
        }
        // If the upstream is ejected for the class, the fault is that of this upstream alone: the
        // abandoned attempt is no evidence about the capacity of others, and does not count as
        // load.
        if attempt.is_abandoned() && !upstream.health.is_ejected_for(attempt.class) {
            upstream.load.record_abandoned();
        }
        let is_ejected = fault.is_some_and(|fault| self.record_fault(slot, fault));
        if is_ejected && attempt.outcome == Outcome::ConnectFailed {
            // No process listens at the upstream: the process has died, and its successor will be
            // in slow start. It counts as started at the end of the ejection, which is a random
            // time in each balancer. An upstream that accepts connections, even if it only resets
            // them, has not restarted and retains its capacity.
            let upstream = &mut self.upstreams[slot];
            upstream
                .weight
                .begin_slow_start(upstream.health.ejected_until_s());
        }
    }

    /// Adds a fault to the suspicion of an upstream. Returns whether the upstream is ejected
    /// because of it.
    fn record_fault(&mut self, slot: usize, fault: Fault) -> bool {
        let context = SuspicionContext {
            mean_latency_s: self.classes.mean_latency_s(),
            balancers_per_upstream: self.subset.balancers_per_upstream(),
        };
        let mut clock = JitteredClock {
            now_s: self.now_s,
            random: &mut self.random,
        };
        let upstream = &mut self.upstreams[slot];
        let is_ejected = upstream.health.record_fault(fault, &context, &mut clock);
        if is_ejected {
            upstream.deficit = Deficit::new(self.random.f64());
            upstream.membership.mark_new();
            self.subset.schedule_choice(self.now_s);
        }
        is_ejected
    }
}
