//! Who is admitted: the token buckets, C and W, and what is kept of saved sends in a shortage.

use super::upstreams::Upstream;
use super::{
    BUCKET, BUCKET_LEAST, BUSY_KEPT, Balancer, RATE_KEPT, RATE_OVER, RETRY_SAVED, RETRY_SHARE,
    TICK_S, bound,
};
use crate::interface::{Action, FailureReason, RequestId};
use crate::random::Random;
use crate::state::Request;
use std::time::Duration;

/// Share of the aim that work may spend in the fleet on average before room is gone; past it, many miss.
pub(super) const QUEUE_OBJECTIVE_SHARE: f64 = 0.4;
/// The same where reports tell how busy the cores are, so that latency need only guard.
const ROOM_TOLD: f64 = 0.55;
/// Seconds and requests over which demand V_i is counted at least: a tick sees too few to go by.
const DEMAND_OVER: f64 = 1.0;
const DEMAND_COUNT: f64 = 10.0;
/// Guarantees grow with the middle tenant's demand and this much more, up to so many equal parts.
const PART_SPARE: f64 = 1.3;
const PART_MOST: f64 = 4.0;
/// Part of a guarantee lost for each part of what is held that is too much: for demand over it, inside.
const CUT: (f64, f64) = (20.0, 2.0);
const CUT_FROM: f64 = 0.25;
/// Part of what can be saved that is kept for first tries: a repeat may be late already, and each one let in
/// in a shortage refuses a first try that becomes a repeat.
const KEPT_FROM_REPEATS: f64 = 0.6;
/// The same that is kept for the class worth most for the time it takes, from one that is worth nothing.
const KEPT_FOR_WORTH: f64 = 0.4;
/// Growth of C a second where the clock refuses, for each part that the cores are under the bound: slow
/// against the second or so that reports are old.
const GROWTH: f64 = 0.7;
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
        if class >= self.set.classes.len() {
            self.out.push(Action::Fail {
                id,
                reason: FailureReason::UnknownClass,
            });
            return;
        }
        let tenant = tenant.min(self.buckets.len() - 1);
        let bucket = &mut self.buckets[tenant];
        bucket.arrivals += 1.0;
        if self.lease.is_expired(self.at) {
            self.refuse(id, left, FailureReason::StaleEndpoints);
            return;
        }
        let bucket = &self.buckets[tenant];
        if bucket.tokens < 1.0 {
            self.refuse(
                id,
                left,
                if self.room > 0.0 {
                    FailureReason::QuotaExceeded
                } else {
                    FailureReason::NoSpareCapacity
                },
            );
            return;
        }
        let light = KEPT_FOR_WORTH * (1.0 - self.classes.relative_value(class));
        let kept = (self.saved_most - 1.0) * if is_retry { KEPT_FROM_REPEATS } else { light };
        let short = self.busy > 0.0 && self.saved < 1.0 + kept;
        let turn = if short { None } else { self.next_turn(class) };
        let Some(turn) = turn else {
            let waits = |u: &Upstream| {
                u.weight > 0.0 && !u.health[class].ejected && (short || self.spent(u))
            };
            let waits = self.in_turn().any(waits);
            self.held_back += if waits {
                0.1 * (1.0 - self.held_back)
            } else {
                0.0
            };
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
        self.buckets[tenant].tokens -= 1.0;
        self.wanted += f64::from(u8::from(!self.set.retries_marked));
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        self.classes.record_admission(class);
        let deadline = self.at + left.as_secs_f64();
        let c = &self.set.classes[class];
        let lasts = c.late_weight_share > 0.0 || c.objective_work_multiple > 0.0 || c.streamed;
        let latency_objective = self.at + AIM_LEFT * c.latency_objective.as_secs_f64();
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

    /// A refusal always tells when to come back. The moment is spread by the request's own number, so that
    /// those refused together do not return together.
    pub(super) fn refuse(&mut self, id: RequestId, left: Duration, reason: FailureReason) {
        // No sooner than an attempt takes, however little of this try is left: the client may have another.
        let least = Duration::from_secs_f64(self.classes.mean_latency_s().max(TICK_S));
        let longest = self.set.max_retry_after.min(least.max(left / 2));
        let retry_after = longest.mul_f64(0.5 + 0.5 * Random::with_seed(u64::from(id.0)).f64());
        self.out.push(Action::Reject {
            id,
            retry_after: Some(retry_after),
            reason,
        });
    }

    /// W = sum of (tau C_j + (Q_j - q_j)) in this balancer's own share, then u_i for each tenant.
    pub(super) fn grant(&mut self, tau: f64) {
        let at = self.at;
        self.classes.fade(tau, at);
        // What each upstream said last counts alike, however few of them answer this balancer in a second.
        let told = |u: &&Upstream| u.busy_at > 0.0 && at - u.busy_at < BUSY_KEPT;
        let telling = self.in_turn().filter(told);
        let (busy, size) = telling.fold((0.0, 0.0), |(b, size), u| {
            (b + u.size * u.busy, size + u.size)
        });
        let bound = bound(&self.set);
        if size > 0.0 {
            // The first reports are of a fleet that nobody had sent to yet: C is not set by them alone.
            self.told_for += tau;
            let newest = if self.told_for < BUSY_KEPT {
                (tau / RATE_OVER).min(1.0)
            } else {
                1.0
            };
            self.busy = busy / size;
            self.load = self.busy.max(self.load + newest * (self.busy - self.load));
        }
        let telling = self.busy > 0.0;
        let part = if telling {
            ROOM_TOLD
        } else {
            QUEUE_OBJECTIVE_SHARE
        };
        let slack = self.classes.queue_slack_s(part);
        let mut within = (self.classes.mean_latency_s() + slack).max(0.0);
        let weights: f64 = self.in_turn().map(|u| u.weight).sum::<f64>().max(1e-9);
        self.rate_now += (tau / RATE_OVER).min(1.0) * (self.done / tau.max(1e-6) - self.rate_now);
        self.done = 0.0;
        self.held_back -= (tau / RATE_OVER).min(1.0) * self.held_back;
        // Of what took turns meanwhile: C of those left is not more as soon as others drop out.
        let over = if self.weights > 0.0 { RATE_OVER } else { 0.0 };
        self.weights += (tau / over).min(1.0) * (weights - self.weights);
        let seen = self.rate_now / self.weights.max(1e-9);
        if telling {
            // A rate once reached under load would go on admitting what turns a crowded upstream slow.
            let able = seen * (bound / self.load.max(0.1)).min(2.0);
            // Where the clock holds sends back, what is completed only shows what was let through.
            let idle = (bound / self.load.max(0.1) - 1.0).clamp(0.0, 1.0);
            self.rate *= 1.0 + tau * GROWTH * self.held_back * idle;
            // Nor is it under what they do now, if that keeps them no busier.
            self.rate =
                (self.rate + (tau / RATE_OVER).min(1.0) * (able - self.rate)).max(seen.min(able));
            within = within.min(self.classes.mean_latency_s());
        } else {
            let over = if slack < 0.0 { RATE_OVER } else { RATE_KEPT };
            self.rate = (self.rate + (tau / over).min(1.0) * (seen - self.rate)).max(seen);
        }
        let (mut room, mut taken, balancers) = (0.0, 0.0, f64::from(self.set.balancers));
        for u in self.in_turn().filter(|u| u.weight > 0.0) {
            let c = self.rate * u.weight;
            // One place in all at least: where nothing is stated a start from nothing takes long. One whose
            // requests are overdue has no room, in part or all, but what it holds is held: else, when all
            // are stuck, W and what is missing are nil together and no guarantee is cut.
            let held = f64::from(u.in_flight) + u.ghosts;
            let free = 1.0 - (f64::from(u.overdue) + u.ghosts) / held.max(1.0);
            // Nor is it less than an equal part of what the cores that are told to be idle can hold, however
            // little this balancer has admitted, and so heard of, lately.
            let idle = if told(&u) && u.started.is_none() {
                bound * self.full * u.size - u.told
            } else {
                0.0
            };
            let all = (c * within)
                .max(u.weight / balancers)
                .max(idle / self.sharers)
                * free;
            room += tau * c * free + all - held;
            taken += held;
        }
        self.room = room;
        let total: f64 = self.buckets.iter().map(|b| b.demand).sum();
        // Long enough to hold a few requests: a tenant that happened to be silent is not without demand.
        let over = DEMAND_OVER.max(DEMAND_COUNT / total.max(0.1));
        // Where room is missing, those over their guarantee lose it first; the rest too when much is missing,
        // as after the loss of half the fleet: nobody is served from full queues.
        let missing = (-room / f64::max(taken, 1e-9)).max(0.0);
        // Where the middle tenant asks for more than its part, this balancer carries more; no tenant surges.
        let mut asks: Vec<f64> = self
            .buckets
            .iter()
            .map(|b| b.demand / b.part.max(1e-9))
            .collect();
        asks.sort_by(f64::total_cmp);
        let more = (asks.get(asks.len() / 2).unwrap_or(&1.0) * PART_SPARE).clamp(1.0, PART_MOST);
        // ... unless much is missing: then all surge, as with retries in a jam.
        let more = 1.0 + (more - 1.0) * (1.0 - missing).max(0.0);
        self.buckets
            .iter_mut()
            .for_each(|b| b.guarantee = b.part * more);
        for b in &mut self.buckets {
            let size = BUCKET_LEAST + (BUCKET * b.demand).max(b.guarantee); // T_i
            let cut = if b.demand > b.guarantee {
                CUT.0 * missing
            } else {
                CUT.1 * (missing - CUT_FROM)
            };
            let share = if total > 0.0 { b.demand / total } else { 0.0 };
            // Only whole tokens count against a share of W under one request: else it stops short of one.
            let open = (room - b.tokens.floor()).max(0.0);
            let grant = (1.0 - cut).clamp(0.0, 1.0) * b.guarantee * tau + share * open;
            b.tokens += grant.min((size - b.tokens).max(0.0));
            b.demand += (tau / over).min(1.0) * (b.arrivals / tau.max(1e-6) - b.demand);
            b.arrivals = 0.0;
        }
    }
}
