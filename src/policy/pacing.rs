//! Send pacing: bounds what is sent to each upstream by what it can do. Load reports show late what
//! other balancers send; where few share an upstream, this balancer's own attempts show it at once.

use super::load::LoadReportTracker;
use super::upstreams::{Upstream, Upstreams};
use super::weights::SlowStartRate;

/// Sends to one upstream that can be saved up, where many share it.
const MAX_SAVED_SENDS_EACH: f64 = 1.5;
/// Sends to all of them that can be saved up: so many, and so many seconds' worth.
const MIN_SAVED_SENDS: f64 = 3.0;
const SAVED_SENDS_S: f64 = 0.1;
/// How many times as much is allowed where few balancers share an upstream, at the most.
const MAX_UNSHARED_MULTIPLE: f64 = 1e3;
/// Part of what can be saved that is kept for first attempts of clients: a retry may be too late
/// already, and each one admitted in a shortage rejects a first attempt, which then becomes a
/// retry.
const RESERVED_FROM_RETRIES: f64 = 0.6;
/// The same that is kept for the class with the highest value, from one of no value.
const RESERVED_FOR_VALUE: f64 = 0.4;
/// Bounds of how an upstream's utilization, and what waits in it, moves its rate.
const MIN_UTILIZATION_FACTOR: f64 = 0.5;
const MAX_UTILIZATION_FACTOR: f64 = 1.5;
const MAX_QUEUE_FACTOR: f64 = 4.0;

/// The sends that one upstream has left.
pub(super) struct SendBudget {
    sends: f64,
}

impl SendBudget {
    pub(super) fn full() -> Self {
        Self {
            sends: MAX_SAVED_SENDS_EACH,
        }
    }
}

/// What sends are paced by at a tick.
pub(super) struct PacingRates<'a> {
    /// For each unit of weight.
    pub(super) service_rate: f64,
    pub(super) slow_start: SlowStartRate,
    /// Of all upstreams that report it; zero: none does, and nothing is paced.
    pub(super) utilization: f64,
    /// Balancers that send to each upstream.
    pub(super) balancers_per_upstream: f64,
    pub(super) load_reports: &'a LoadReportTracker,
}

/// The sends that all upstreams together have left.
pub(super) struct SendPacing {
    saved_sends: f64,
    max_saved_sends: f64,
    /// Upstreams report their utilization: only then sends are paced.
    is_active: bool,
}

impl SendPacing {
    pub(super) fn new(is_active: bool) -> Self {
        Self {
            saved_sends: 1.0,
            max_saved_sends: 0.0,
            is_active,
        }
    }

    /// Paces sends, or no more.
    pub(super) fn set_active(&mut self, is_active: bool) {
        self.is_active = is_active;
    }

    /// Adds what the upstreams of the rotation have earned.
    pub(super) fn refill(
        &mut self,
        upstreams: &mut Upstreams,
        rotation: &[usize],
        rates: &PacingRates<'_>,
        elapsed_s: f64,
        now_s: f64,
    ) {
        let sharing = rates.balancers_per_upstream;
        let unshared_multiple = (sharing / (sharing - 1.0).max(1e-3)).min(MAX_UNSHARED_MULTIPLE);
        let mut sends_per_s = 0.0;
        for slot in rotation {
            let upstream = &mut upstreams[*slot];
            if upstream.weight.is_warming_up() {
                let slow_start = rates.slow_start;
                sends_per_s +=
                    slow_start.warm_rate * slow_start.multiple * upstream.weight.weight();
                continue;
            }
            let rate = rates.upstream_rate(upstream, now_s);
            upstream.send_budget.sends = (upstream.send_budget.sends
                + elapsed_s * unshared_multiple * rate)
                .min(MAX_SAVED_SENDS_EACH * unshared_multiple);
            let is_weighted = upstream.weight.weight() > 0.0;
            sends_per_s += unshared_multiple * rate * f64::from(u8::from(is_weighted));
        }
        self.max_saved_sends = MIN_SAVED_SENDS + SAVED_SENDS_S * sends_per_s;
        self.saved_sends = (self.saved_sends + elapsed_s * sends_per_s)
            .clamp(-self.max_saved_sends, self.max_saved_sends);
    }

    /// An attempt goes to an upstream.
    pub(super) fn record_send(&mut self, budget: &mut SendBudget) {
        budget.sends = (budget.sends - 1.0).max(0.0);
        self.saved_sends -= 1.0;
    }

    /// Whether too few sends are saved up for a request: some are kept for first attempts, and for
    /// the classes with the highest `relative_value`.
    pub(super) fn is_short(&self, relative_value: f64, is_retry: bool) -> bool {
        let reserved_for_value = RESERVED_FOR_VALUE * (1.0 - relative_value);
        let share = if is_retry {
            RESERVED_FROM_RETRIES
        } else {
            reserved_for_value
        };
        let reserved = (self.max_saved_sends - 1.0) * share;
        self.is_active && self.saved_sends < 1.0 + reserved
    }

    /// Whether an upstream has had its sends for now. One in slow start earns its turns by time
    /// anyway.
    pub(super) fn is_exhausted(&self, upstream: &Upstream) -> bool {
        self.is_active && !upstream.weight.is_warming_up() && upstream.send_budget.sends < 1.0
    }
}

impl PacingRates<'_> {
    /// Sends that a warm upstream earns each second.
    fn upstream_rate(&self, upstream: &Upstream, now_s: f64) -> f64 {
        let weight = upstream.weight.weight();
        let mut rate = (self.service_rate * weight).max(weight / self.balancers_per_upstream);
        let in_flight_at_full = self.load_reports.in_flight_at_full();
        if upstream.load.utilization_is_recent(now_s) && in_flight_at_full > 0.0 {
            // Less where it reports a higher utilization than the others, or that more waits.
            rate *= (self.utilization / upstream.load.utilization().max(0.1))
                .clamp(MIN_UTILIZATION_FACTOR, MAX_UTILIZATION_FACTOR);
            let expected = in_flight_at_full * upstream.endpoint.size;
            rate /= (upstream.load.reported_in_flight() / expected).clamp(1.0, MAX_QUEUE_FACTOR);
        }
        rate
    }
}
