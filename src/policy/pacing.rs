//! Send pacing: limits the send rate to each upstream by its capacity. The limit is low if many
//! balancers share an upstream, as load reports show the load of other balancers late. The limit is
//! higher if few balancers share the upstream, as this balancer's own attempts are then most of the
//! load and are known immediately.

use super::load::LoadReportTracker;
use super::upstreams::{Upstream, Upstreams};
use super::weights::SlowStartRate;

/// Largest budget of one upstream, in sends, if many balancers share it.
const MAX_UPSTREAM_BUDGET_SENDS: f64 = 1.5;
/// Fixed part of the burst, in sends. The burst is the largest number of sends that are available
/// for all upstreams together.
const MIN_BURST_SENDS: f64 = 3.0;
/// Variable part of the burst: the sends that all upstreams gain in this many seconds.
const BURST_S: f64 = 0.1;
/// Upper limit of the factor that increases send rates and budgets if few balancers share an
/// upstream; it is reached if only one balancer sends to the upstream.
const MAX_UNSHARED_MULTIPLE: f64 = 1e3;
/// Fraction of the burst that is reserved for first attempts of clients. The response to a client's
/// retry may be too late to be of use, and each retry that is admitted in a shortage takes the
/// place of a first attempt, which is then retried too.
const RESERVED_FROM_RETRIES: f64 = 0.6;
/// Fraction of the burst that a class with a relative value of zero may not use. The fraction falls
/// as the relative value rises, and the class with the highest value may use the complete burst.
const RESERVED_FOR_HIGH_VALUE: f64 = 0.4;
/// Lower limit of the factor that reduces an upstream's send rate if the utilization of the
/// upstream is higher than the mean.
const MIN_UTILIZATION_FACTOR: f64 = 0.5;
/// Upper limit of the factor that increases an upstream's send rate if the utilization of the
/// upstream is lower than the mean.
const MAX_UTILIZATION_FACTOR: f64 = 1.5;
/// Upper limit of the divisor that reduces an upstream's send rate if the upstream has more
/// requests in flight than at full utilization.
const MAX_QUEUE_FACTOR: f64 = 4.0;

/// The number of sends that one upstream may still get.
pub(super) struct SendBudget {
    available_sends: f64,
}

impl SendBudget {
    pub(super) fn full() -> Self {
        Self {
            available_sends: MAX_UPSTREAM_BUDGET_SENDS,
        }
    }
}

/// Inputs of [`SendPacing::refill`].
pub(super) struct PacingInputs<'a> {
    /// Requests of this balancer that an upstream can complete per second and per unit of the
    /// upstream's weight.
    pub(super) service_rate_per_weight: f64,
    pub(super) slow_start: SlowStartRate,
    /// Fraction of the upstreams' cores in use, as `capacity.rs` estimates it. Zero means that the
    /// utilization is not known; sends are then not paced.
    pub(super) utilization: f64,
    /// Number of balancers that send to each upstream.
    pub(super) balancers_per_upstream: f64,
    pub(super) load_reports: &'a LoadReportTracker,
}

/// The budget of sends that all upstreams share.
pub(super) struct SendPacing {
    /// Number of sends that are available now; negative after more sends than were available.
    available_sends: f64,
    /// Upper limit of `available_sends`.
    burst_sends: f64,
    /// Whether the utilization of the upstreams is known: sends are paced only then.
    is_active: bool,
}

impl SendPacing {
    pub(super) fn new(is_active: bool) -> Self {
        Self {
            available_sends: 1.0,
            burst_sends: 0.0,
            is_active,
        }
    }

    /// Switches pacing on or off.
    pub(super) fn set_active(&mut self, is_active: bool) {
        self.is_active = is_active;
    }

    /// Adds the sends that the upstreams of the rotation gained in `elapsed_s` to the budgets of
    /// the upstreams and to the shared budget.
    pub(super) fn refill(
        &mut self,
        upstreams: &mut Upstreams,
        rotation_slots: &[usize],
        inputs: &PacingInputs<'_>,
        elapsed_s: f64,
        now_s: f64,
    ) {
        let balancers_per_upstream = inputs.balancers_per_upstream;
        let unshared_multiple = (balancers_per_upstream / (balancers_per_upstream - 1.0).max(1e-3))
            .min(MAX_UNSHARED_MULTIPLE);
        let mut sends_per_s = 0.0;
        for slot in rotation_slots {
            let upstream = &mut upstreams[*slot];
            if upstream.weight.is_warming_up() {
                let slow_start = inputs.slow_start;
                sends_per_s += slow_start.steady_rate_per_s
                    * slow_start.rate_multiple
                    * upstream.weight.weight();
                continue;
            }
            let upstream_sends_per_s = inputs.upstream_sends_per_s(upstream, now_s);
            upstream.send_budget.available_sends = (upstream.send_budget.available_sends
                + elapsed_s * unshared_multiple * upstream_sends_per_s)
                .min(MAX_UPSTREAM_BUDGET_SENDS * unshared_multiple);
            let has_weight = upstream.weight.weight() > 0.0;
            sends_per_s +=
                unshared_multiple * upstream_sends_per_s * f64::from(u8::from(has_weight));
        }
        self.burst_sends = MIN_BURST_SENDS + BURST_S * sends_per_s;
        self.available_sends = (self.available_sends + elapsed_s * sends_per_s)
            .clamp(-self.burst_sends, self.burst_sends);
    }

    /// Records that an attempt is sent to the upstream with this budget.
    pub(super) fn record_send(&mut self, budget: &mut SendBudget) {
        budget.available_sends = (budget.available_sends - 1.0).max(0.0);
        self.available_sends -= 1.0;
    }

    /// Returns whether too few sends are available for a request. Some are reserved for first
    /// attempts, and some for classes with a high `relative_value`: 0 to 1, from
    /// [`relative_value`](super::class_statistics::ClassStatistics::relative_value).
    pub(super) fn lacks_sends(&self, relative_value: f64, is_retry: bool) -> bool {
        let reserved_for_high_value = RESERVED_FOR_HIGH_VALUE * (1.0 - relative_value);
        let reserved_fraction = if is_retry {
            RESERVED_FROM_RETRIES
        } else {
            reserved_for_high_value
        };
        let reserved_sends = (self.burst_sends - 1.0) * reserved_fraction;
        self.is_active && self.available_sends < 1.0 + reserved_sends
    }

    /// Returns whether the budget of an upstream is used up. An upstream in slow start is limited
    /// by its turns instead.
    pub(super) fn is_exhausted(&self, upstream: &Upstream) -> bool {
        self.is_active
            && !upstream.weight.is_warming_up()
            && upstream.send_budget.available_sends < 1.0
    }
}

impl PacingInputs<'_> {
    /// Returns the sends per second that an upstream outside slow start gains.
    fn upstream_sends_per_s(&self, upstream: &Upstream, now_s: f64) -> f64 {
        let weight = upstream.weight.weight();
        let mut upstream_sends_per_s =
            (self.service_rate_per_weight * weight).max(weight / self.balancers_per_upstream);
        let in_flight_at_full_utilization = self.load_reports.in_flight_at_full_utilization();
        if upstream.load.utilization_is_recent(now_s) && in_flight_at_full_utilization > 0.0 {
            // The rate is lower if the upstream reports a higher utilization than the mean, and
            // higher if it reports a lower one. The rate is also lower if the upstream reports more
            // requests in flight than it has at full utilization, as the others wait in its queue.
            upstream_sends_per_s *= (self.utilization / upstream.load.utilization().max(0.1))
                .clamp(MIN_UTILIZATION_FACTOR, MAX_UTILIZATION_FACTOR);
            let upstream_in_flight_at_full_utilization =
                in_flight_at_full_utilization * upstream.endpoint.size();
            upstream_sends_per_s /= (upstream.load.reported_in_flight()
                / upstream_in_flight_at_full_utilization)
                .clamp(1.0, MAX_QUEUE_FACTOR);
        }
        upstream_sends_per_s
    }
}
