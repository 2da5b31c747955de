//! Send pacing: limits the send rate to each upstream by its capacity. Load reports show the load
//! by other balancers late; where few share an upstream, this balancer's own attempts show it at
//! once.

use super::load::LoadReportTracker;
use super::upstreams::{Upstream, Upstreams};
use super::weights::SlowStartRate;

/// Largest budget of one upstream, in sends, where many balancers share it.
const MAX_UPSTREAM_BUDGET: f64 = 1.5;
/// Largest number of sends available for all upstreams together: this many, and what they earn in
/// this time.
const MIN_BURST: f64 = 3.0;
const BURST_S: f64 = 0.1;
/// Budgets are larger where few balancers share an upstream, up to this multiple.
const MAX_UNSHARED_MULTIPLE: f64 = 1e3;
/// Fraction of the burst that is reserved for first attempts of clients: a retry may be too late
/// already, and each one admitted in a shortage turns a first attempt into another retry.
const RESERVED_FROM_RETRIES: f64 = 0.6;
/// Fraction of the burst that a class without value leaves to the class with the highest.
const RESERVED_FOR_VALUE: f64 = 0.4;
/// Limits of the factors by which an upstream's utilization and its queue change its rate.
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
            sends: MAX_UPSTREAM_BUDGET,
        }
    }
}

/// The inputs of a refill.
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
    available_sends: f64,
    burst: f64,
    /// Upstreams report their utilization: only then sends are paced.
    is_active: bool,
}

impl SendPacing {
    pub(super) fn new(is_active: bool) -> Self {
        Self {
            available_sends: 1.0,
            burst: 0.0,
            is_active,
        }
    }

    /// Switches pacing on or off.
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
                    slow_start.steady_rate * slow_start.multiple * upstream.weight.weight();
                continue;
            }
            let rate = rates.upstream_rate(upstream, now_s);
            upstream.send_budget.sends = (upstream.send_budget.sends
                + elapsed_s * unshared_multiple * rate)
                .min(MAX_UPSTREAM_BUDGET * unshared_multiple);
            let is_weighted = upstream.weight.weight() > 0.0;
            sends_per_s += unshared_multiple * rate * f64::from(u8::from(is_weighted));
        }
        self.burst = MIN_BURST + BURST_S * sends_per_s;
        self.available_sends =
            (self.available_sends + elapsed_s * sends_per_s).clamp(-self.burst, self.burst);
    }

    /// An attempt goes to an upstream.
    pub(super) fn record_send(&mut self, budget: &mut SendBudget) {
        budget.sends = (budget.sends - 1.0).max(0.0);
        self.available_sends -= 1.0;
    }

    /// Whether too few sends are available for a request: some are reserved for first attempts, and
    /// for classes with a high `relative_value`.
    pub(super) fn is_short(&self, relative_value: f64, is_retry: bool) -> bool {
        let reserved_for_value = RESERVED_FOR_VALUE * (1.0 - relative_value);
        let share = if is_retry {
            RESERVED_FROM_RETRIES
        } else {
            reserved_for_value
        };
        let reserved = (self.burst - 1.0) * share;
        self.is_active && self.available_sends < 1.0 + reserved
    }

    /// Whether an upstream's budget is used up. Slow start is limited by its turns instead.
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
            // Less if it reports a higher utilization than the others, or a longer queue.
            rate *= (self.utilization / upstream.load.utilization().max(0.1))
                .clamp(MIN_UTILIZATION_FACTOR, MAX_UTILIZATION_FACTOR);
            let expected = in_flight_at_full * upstream.endpoint.size();
            rate /= (upstream.load.reported_in_flight() / expected).clamp(1.0, MAX_QUEUE_FACTOR);
        }
        rate
    }
}
