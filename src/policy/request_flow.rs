//! The way of a request: admission, its first attempt, rejection.

use super::admission::retry_after;
use super::capacity::CapacityInputs;
use super::upstreams::Upstream;
use super::{Balancer, RETRY_SAVED, RETRY_SHARE, TICK_S};
use crate::interface::{Action, FailureReason, RequestId};
use crate::state::Request;
use std::time::Duration;

/// Share of the aim after which an attempt whose late answer is worth nothing is given up.
const AIM_LEFT: f64 = 0.98;

impl Balancer {
    /// A request is admitted when its tenant's bucket has a token for it, else refused on arrival.
    pub(super) fn request(
        &mut self,
        id: RequestId,
        class: usize,
        tenant: usize,
        left: Duration,
        is_retry: bool,
    ) {
        if class >= self.settings.classes.len() {
            self.actions.push(Action::Fail {
                id,
                reason: FailureReason::UnknownClass,
            });
            return;
        }
        self.admission.record_arrival(tenant);
        if self.lease.is_expired(self.now_s) {
            self.refuse(id, left, FailureReason::StaleEndpoints);
            return;
        }
        if !self.admission.has_token(tenant) {
            self.refuse(
                id,
                left,
                if self.capacity.spare() > 0.0 {
                    FailureReason::QuotaExceeded
                } else {
                    FailureReason::NoSpareCapacity
                },
            );
            return;
        }
        let relative_value = self.classes.relative_value(class);
        let short = self.pacing.is_short(relative_value, is_retry);
        let turn = if short { None } else { self.next_turn(class) };
        let Some(turn) = turn else {
            let waits = |u: &Upstream| {
                u.weight.weight() > 0.0
                    && !u.health[class].ejected
                    && (short || self.pacing.is_exhausted(u))
            };
            let waits = self.in_turn().any(waits);
            if waits {
                self.capacity.record_paced();
            }
            self.refuse(
                id,
                left,
                if waits {
                    FailureReason::Paced
                } else {
                    FailureReason::NoHealthyUpstream
                },
            );
            return;
        };
        self.admission.take_token(tenant);
        self.wanted += f64::from(u8::from(!self.settings.retries_marked));
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        self.classes.record_admission(class);
        let deadline = self.now_s + left.as_secs_f64();
        let c = &self.settings.classes[class];
        let lasts = c.late_weight_share > 0.0 || c.objective_work_multiple > 0.0 || c.streamed;
        let latency_objective = self.now_s + AIM_LEFT * c.latency_objective.as_secs_f64();
        let worth_until = if lasts {
            deadline
        } else {
            deadline.min(latency_objective)
        };
        let (attempts, ended, streaming) = (Vec::new(), false, false);
        let request = Request {
            class,
            worth_until,
            deadline,
            attempts,
            ended,
            streaming,
        };
        self.requests.insert(id, request);
        self.send(id, turn);
    }

    /// A rejection always says when to come back.
    pub(super) fn refuse(&mut self, id: RequestId, left: Duration, reason: FailureReason) {
        let attempt_s = self.classes.mean_latency_s().max(TICK_S);
        let retry_after = retry_after(id, left, attempt_s, self.settings.max_retry_after);
        self.actions.push(Action::Reject {
            id,
            retry_after: Some(retry_after),
            reason,
        });
    }

    /// Spare capacity, and what the token buckets get of it.
    pub(super) fn grant(&mut self, tau: f64) {
        self.classes.fade(tau, self.now_s);
        self.capacity.update(&CapacityInputs {
            upstreams: &self.upstreams,
            rotation: &self.turns,
            classes: &self.classes,
            load_reports: &self.load_reports,
            balancers_per_upstream: self.sharers,
            elapsed_s: tau,
            now_s: self.now_s,
        });
        let (spare, shortage) = (self.capacity.spare(), self.capacity.shortage());
        self.admission.refill(spare, shortage, tau);
    }
}
