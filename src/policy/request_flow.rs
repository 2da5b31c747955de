//! The flow of a request: admission, the first attempt, the final response.

use super::admission::retry_after;
use super::clock::JitteredClock;
use super::requests::Request;
use super::upstreams::Upstream;
use super::{Balancer, TICK_S};
use crate::interface::{Action, AttemptNo, Class, Effect, FailureReason, RequestId};
use std::time::Duration;

/// Fraction of the latency objective at which an attempt is abandoned if a late response is of no
/// use: just before the objective, not after it.
const USEFUL_OBJECTIVE_FRACTION: f64 = 0.98;
/// Upper limit, in seconds, of the time until the deadline in the computation of a Retry-After.
const MAX_TIME_TO_DEADLINE_S: f64 = 1e6;

/// A request that has just been received.
#[derive(Clone, Copy)]
pub(super) struct Arrival {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) tenant: usize,
    /// Time from the receipt of the request to its deadline, as stated by the client.
    pub(super) time_left: Duration,
    pub(super) is_retry: bool,
}

impl Balancer {
    /// Admits a request if the bucket of its tenant has a token and an upstream can take it;
    /// otherwise rejects it. Fails a request of an unknown class.
    pub(super) fn on_request(&mut self, arrival: Arrival) {
        if self.settings.retries_marked && !arrival.is_retry {
            self.subset.record_first_attempt();
        }
        if arrival.class >= self.settings.classes.len() {
            let (id, reason) = (arrival.id, FailureReason::UnknownClass);
            self.actions.push(Action::Fail { id, reason });
            return;
        }
        self.admission.record_arrival(arrival.tenant);
        match self.select_upstream(&arrival) {
            Ok(slot) => self.admit(&arrival, slot),
            Err(reason) => self.reject(arrival.id, arrival.time_left, reason),
        }
    }

    /// Returns the upstream for the first attempt of a request, or the reason why there is none.
    fn select_upstream(&mut self, arrival: &Arrival) -> Result<usize, FailureReason> {
        if self.lease.is_expired(self.now_s) {
            return Err(FailureReason::StaleEndpoints);
        }
        if !self.admission.has_token(arrival.tenant) {
            return Err(if self.capacity.spare_capacity() > 0.0 {
                FailureReason::QuotaExceeded
            } else {
                FailureReason::NoSpareCapacity
            });
        }
        let relative_value = self.classes.relative_value(arrival.class);
        let lacks_sends = self.pacing.lacks_sends(relative_value, arrival.is_retry);
        let slot = if lacks_sends {
            None
        } else {
            self.next_upstream(arrival.class)
        };
        slot.ok_or_else(|| {
            if self.has_paced_upstream(arrival.class, lacks_sends) {
                self.capacity.record_paced_rejection();
                FailureReason::Paced
            } else {
                FailureReason::NoHealthyUpstream
            }
        })
    }

    /// Returns the upstream for a request of a class: an ejected upstream whose trial is due, or
    /// otherwise the next one in the rotation. Returns `None` if no upstream can take the request.
    fn next_upstream(&mut self, class: usize) -> Option<usize> {
        let upstreams = &mut self.upstreams;
        self.rotation.drop_unusable(upstreams);
        let member_slots = self.rotation.member_slots();
        let mut clock = JitteredClock {
            now_s: self.now_s,
            random: &mut self.random,
        };
        let trial_slot = self
            .outliers
            .due_trial(upstreams, member_slots, class, &mut clock);
        if trial_slot.is_some() {
            return trial_slot;
        }
        let avoids_suspected = self.class_avoids_suspected(class);
        let eligibility =
            self.outliers
                .eligibility(&self.upstreams, member_slots, class, avoids_suspected);
        let accepts = |u: &Upstream| !self.pacing.is_exhausted(u) && eligibility.accepts(u);
        let last_tick_at_s = self.last_tick_at_s;
        let in_flight_per_capacity =
            |u: &Upstream| self.load_reports.in_flight_per_capacity(u, last_tick_at_s);
        self.rotation
            .next(&mut self.upstreams, accepts, in_flight_per_capacity)
    }

    /// Returns whether requests of a class avoid suspected upstreams. They do if they may not be
    /// processed twice and there are other classes, whose requests can show whether a suspected
    /// upstream is healthy.
    fn class_avoids_suspected(&self, class: usize) -> bool {
        let classes = &self.settings.classes;
        classes[class].effect == Effect::AtMostOnce
            && classes
                .iter()
                .any(|other| other.effect != Effect::AtMostOnce)
    }

    /// Returns whether the rotation has an upstream that has a weight and is not ejected for the
    /// class, but can't be used now because of pacing.
    fn has_paced_upstream(&self, class: usize, lacks_sends: bool) -> bool {
        self.members().any(|upstream| {
            upstream.weight.weight() > 0.0
                && !upstream.health.is_ejected_for(class)
                && (lacks_sends || self.pacing.is_exhausted(upstream))
        })
    }

    fn admit(&mut self, arrival: &Arrival, slot: usize) {
        self.admission.consume_token(arrival.tenant);
        if !self.settings.retries_marked {
            self.subset.record_first_attempt();
        }
        self.retry_budget.record_admission();
        self.classes.record_admission(arrival.class);
        let deadline_s = self.now_s + arrival.time_left.as_secs_f64();
        let class = &self.settings.classes[arrival.class];
        let useful_until_s = if is_useful_when_late(class) {
            deadline_s
        } else {
            let useful_for_s = USEFUL_OBJECTIVE_FRACTION * class.latency_objective.as_secs_f64();
            deadline_s.min(self.now_s + useful_for_s)
        };
        let request = Request::new(arrival.class, useful_until_s, deadline_s);
        self.requests.insert(arrival.id, request);
        self.send(arrival.id, slot);
    }

    /// Rejects a request, always with a Retry-After.
    fn reject(&mut self, id: RequestId, time_to_deadline: Duration, reason: FailureReason) {
        let mean_attempt_latency_s = self.classes.mean_latency_s().max(TICK_S);
        let max_wait = self.settings.max_retry_after;
        let retry_after = Some(retry_after(
            id,
            time_to_deadline,
            mean_attempt_latency_s,
            max_wait,
        ));
        self.actions.push(Action::Reject {
            id,
            retry_after,
            reason,
        });
    }

    /// Ends a request that has no attempt in flight and may get no further attempt. It is rejected
    /// if no attempt can have been processed or if it may be processed again; otherwise it fails.
    pub(super) fn end_without_response(&mut self, id: RequestId, reason: FailureReason) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        let is_idempotent = self.settings.classes[request.class].effect == Effect::Idempotent;
        if is_idempotent || request.never_ran() {
            let time_to_deadline_s = (request.deadline_s - self.now_s).max(0.0);
            let time_to_deadline =
                Duration::from_secs_f64(time_to_deadline_s.min(MAX_TIME_TO_DEADLINE_S));
            self.reject(id, time_to_deadline, reason);
        } else {
            self.actions.push(Action::Fail { id, reason });
        }
    }

    /// Records that a streamed response has started.
    pub(super) fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.start_streaming();
        }
    }

    /// Ends a request that has its final response or whose client has disconnected. No further
    /// attempt is sent, and the attempts in flight are cancelled if the settings allow it.
    pub(super) fn complete(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.complete() && self.settings.cancellation {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    let attempt = AttemptNo(number as u8);
                    self.actions.push(Action::Cancel { id, attempt });
                }
            }
        }
        if !request.has_attempt_in_flight() {
            self.requests.remove(id);
        }
    }
}

/// Returns whether a response after the latency objective of the class can still be of use.
fn is_useful_when_late(class: &Class) -> bool {
    class.late_weight_fraction > 0.0
        || class.objective_extension_per_cpu_time > 0.0
        || class.streamed
}
