//! Service rate and spare capacity: the rate at which the upstreams of the rotation can serve this
//! balancer's requests, and how many more requests this balancer may send to them.

use super::class_statistics::ClassStatistics;
use super::load::{LoadReportTracker, UTILIZATION_VALID_S};
use super::smoothing::{newest_weight, per_second};
use super::upstreams::{Upstream, Upstreams};
use crate::interface::{EndpointWeights, LoadField, LoadReports, Settings};

/// Time constant, in seconds, with which rates are smoothed. For the service rate it applies in
/// overload, and at all times if load reports contain the utilization.
pub(super) const RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Time constant, in seconds, with which the service rate falls to the rate of completions while
/// there is no overload and the utilization is not known.
const UNLOADED_RATE_TIME_CONSTANT_S: f64 = 30.0;
/// Mean latency, as a fraction of the latency objective, from which on the queues count as full;
/// above this latency many responses are late.
pub(super) const QUEUE_OBJECTIVE_FRACTION: f64 = 0.4;
/// Replacement for [`QUEUE_OBJECTIVE_FRACTION`] if load reports contain the utilization. The
/// utilization then limits the load first, and the latency is only the second limit.
const REPORTED_QUEUE_OBJECTIVE_FRACTION: f64 = 0.55;
/// Fraction of the upstreams' cores that may be in use if a request over its tenant's quota has no
/// priority weight. It applies if load reports contain the utilization.
const BASE_UTILIZATION_BOUND: f64 = 0.62;
/// Increase of the fraction of the cores that may be in use, per unit of
/// `over_quota_weight_fraction`. This setting is the fraction of its class's priority weight that a
/// request over its tenant's quota has: requests of little weight justify little risk.
const UTILIZATION_PER_WEIGHT_FRACTION: f64 = 0.4;
/// Largest `over_quota_weight_fraction` that counts: above it, the fraction of the cores that may
/// be in use does not increase further.
const MAX_OVER_QUOTA_WEIGHT_FRACTION: f64 = 0.5;
/// Largest relative growth per second of the service rate. It applies while pacing rejects every
/// request and the utilization is at most half of its bound; fewer rejections or a higher
/// utilization reduce the growth. Growth is slow because load reports are about a second old and
/// show the effect of the growth late.
const PACED_GROWTH_PER_S: f64 = 0.7;
/// Weight of the newest rejection in the fraction of requests that pacing rejects.
const PACED_NEWEST_WEIGHT: f64 = 0.1;
/// Lowest utilization that is assumed when the rate of completions is scaled up to the rate that is
/// expected at the utilization bound.
const MIN_SCALED_UTILIZATION: f64 = 0.1;
/// Largest factor by which the rate of completions is scaled up to the rate that is expected at the
/// utilization bound.
const MAX_UTILIZATION_SCALE: f64 = 2.0;

/// Returns the fraction of the upstreams' cores that may be in use.
fn utilization_bound(settings: &Settings) -> f64 {
    let over_quota_weight_fraction = settings
        .over_quota_weight_fraction
        .min(MAX_OVER_QUOTA_WEIGHT_FRACTION);
    BASE_UTILIZATION_BOUND + UTILIZATION_PER_WEIGHT_FRACTION * over_quota_weight_fraction
}

/// Inputs of [`Capacity::update`].
pub(super) struct CapacityInputs<'a> {
    pub(super) upstreams: &'a Upstreams,
    /// Slots of the upstreams in the rotation.
    pub(super) rotation_slots: &'a [usize],
    pub(super) classes: &'a ClassStatistics,
    pub(super) load_reports: &'a LoadReportTracker,
    /// Number of balancers that send to each upstream.
    pub(super) balancers_per_upstream: f64,
    /// Seconds since the last tick (tau in the paper).
    pub(super) elapsed_s: f64,
    pub(super) now_s: f64,
}

impl CapacityInputs<'_> {
    fn members(&self) -> impl Iterator<Item = &Upstream> {
        self.rotation_slots
            .iter()
            .map(|slot| &self.upstreams[*slot])
    }
}

/// Estimates of the capacity of the upstreams in the rotation.
pub(super) struct Capacity {
    /// Fraction of the upstreams' cores that may be in use.
    utilization_bound: f64,
    /// Number of balancers in the settings, including this one.
    balancer_count: f64,
    /// Requests of this balancer that an upstream can complete per second and per unit of the
    /// upstream's weight. This rate times the weight of the upstream is C_j in the paper.
    service_rate_per_weight: f64,
    /// Successful responses since the last tick.
    completion_count: f64,
    /// Successful responses per second, smoothed.
    completions_per_s: f64,
    /// Sum of the weights in the rotation, smoothed.
    smoothed_rotation_weight: f64,
    /// Fraction of requests that pacing rejects; grows with each rejection and decays with time.
    paced_fraction: f64,
    /// Fraction of the upstreams' cores in use, from load reports. Before the first report it is
    /// the utilization bound if responses will contain reports, and zero if not.
    utilization: f64,
    /// Utilization that the service rate follows: equal to `utilization`, except that this value
    /// falls slowly during the first seconds of reports.
    settled_utilization: f64,
    /// Seconds for which the utilization has been reported.
    utilization_reported_for_s: f64,
    /// Spare capacity in requests (W in the paper); negative if more attempts are in flight than
    /// there is capacity for.
    spare_capacity: f64,
    /// This balancer's attempts in flight at the last update, including abandoned ones that may
    /// still run.
    own_in_flight: f64,
}

impl Capacity {
    /// Returns the initial estimates, which assume that `expected_requests_per_s` requests a second
    /// are served.
    pub(super) fn new(settings: &Settings, expected_requests_per_s: f64) -> Self {
        let bound = utilization_bound(settings);
        // Until the first report, the utilization is assumed to be at its bound.
        let will_report_utilization = settings.load_reports == LoadReports::Inline
            && settings.report_fields.contains(&LoadField::Utilization);
        let utilization = if will_report_utilization { bound } else { 0.0 };
        // If the endpoint list states no sizes of upstreams, the initial rate is lower: the
        // expected rate would overload the small upstreams first.
        let are_sizes_unknown = settings.endpoint_weights == EndpointWeights::Off;
        let completions_per_s = if will_report_utilization && are_sizes_unknown {
            utilization * expected_requests_per_s
        } else {
            expected_requests_per_s
        };
        Self {
            utilization_bound: bound,
            balancer_count: f64::from(settings.balancers),
            service_rate_per_weight: 0.0,
            completion_count: 0.0,
            completions_per_s,
            smoothed_rotation_weight: 0.0,
            paced_fraction: 0.0,
            utilization,
            settled_utilization: utilization,
            utilization_reported_for_s: 0.0,
            spare_capacity: 0.0,
            own_in_flight: 0.0,
        }
    }

    /// Returns how many requests of this balancer an upstream can complete per second and per unit
    /// of the upstream's weight.
    pub(super) fn service_rate_per_weight(&self) -> f64 {
        self.service_rate_per_weight
    }

    /// Returns the fraction of the upstreams' cores in use. Before the first report it is the
    /// utilization bound if responses will contain reports, and zero if not.
    pub(super) fn utilization(&self) -> f64 {
        self.utilization
    }

    pub(super) fn knows_utilization(&self) -> bool {
        self.utilization > 0.0
    }

    /// Returns the spare capacity in requests (W in the paper); negative if more attempts are in
    /// flight than there is capacity for.
    pub(super) fn spare_capacity(&self) -> f64 {
        self.spare_capacity
    }

    /// Returns the number of attempts in flight beyond the capacity, as a fraction of all attempts
    /// in flight; zero if there is spare capacity.
    pub(super) fn shortage_fraction(&self) -> f64 {
        (-self.spare_capacity / f64::max(self.own_in_flight, 1e-9)).max(0.0)
    }

    pub(super) fn record_completion(&mut self) {
        self.completion_count += 1.0;
    }

    /// Records that pacing has rejected a request.
    pub(super) fn record_paced_rejection(&mut self) {
        self.paced_fraction += PACED_NEWEST_WEIGHT * (1.0 - self.paced_fraction);
    }

    /// Adapts the estimates after the rotation has grown to `growth_factor` times its size. The
    /// estimate of the total service rate for this balancer stays the same, as the added upstreams
    /// also serve other balancers; later updates adapt the estimate to the rate of completions.
    pub(super) fn on_rotation_grown(&mut self, growth_factor: f64) {
        self.service_rate_per_weight /= growth_factor;
        self.smoothed_rotation_weight *= growth_factor;
    }

    /// Updates all estimates, once per tick.
    pub(super) fn update(&mut self, inputs: &CapacityInputs<'_>) {
        self.update_utilization(inputs);
        let queue_objective_fraction = if self.knows_utilization() {
            REPORTED_QUEUE_OBJECTIVE_FRACTION
        } else {
            QUEUE_OBJECTIVE_FRACTION
        };
        let queue_slack_s = inputs.classes.queue_slack_s(queue_objective_fraction);
        let mean_latency_s = inputs.classes.mean_latency_s();
        let allowed_queue_s = (mean_latency_s + queue_slack_s).max(0.0);
        self.update_service_rate(inputs, queue_slack_s);
        let allowed_queue_s = if self.knows_utilization() {
            allowed_queue_s.min(mean_latency_s)
        } else {
            allowed_queue_s
        };
        self.update_spare_capacity(inputs, allowed_queue_s);
    }

    /// Sets the utilization to the mean of the reported utilizations, weighted by the size of the
    /// upstreams. Without a valid report, the utilization stays the same. The last report of an
    /// upstream is valid for [`UTILIZATION_VALID_S`], even if the upstream does not respond to this
    /// balancer again in that time.
    fn update_utilization(&mut self, inputs: &CapacityInputs<'_>) {
        let (mut cores_in_use, mut cores) = (0.0, 0.0);
        for upstream in inputs
            .members()
            .filter(|u| u.load.has_utilization(inputs.now_s))
        {
            let size = upstream.endpoint.size();
            cores_in_use += size * upstream.load.utilization();
            cores += size;
        }
        if cores <= 0.0 {
            return;
        }
        // The first reports come from idle upstreams and must not determine the service rate by
        // themselves: the settled utilization approaches them slowly.
        self.utilization_reported_for_s += inputs.elapsed_s;
        let weight_of_newest = if self.utilization_reported_for_s < UTILIZATION_VALID_S {
            newest_weight(inputs.elapsed_s, RATE_TIME_CONSTANT_S)
        } else {
            1.0
        };
        self.utilization = cores_in_use / cores;
        let utilization_change = weight_of_newest * (self.utilization - self.settled_utilization);
        self.settled_utilization = self
            .utilization
            .max(self.settled_utilization + utilization_change);
    }

    fn update_service_rate(&mut self, inputs: &CapacityInputs<'_>, queue_slack_s: f64) {
        let elapsed_s = inputs.elapsed_s;
        let weight_of_newest = newest_weight(elapsed_s, RATE_TIME_CONSTANT_S);
        let newest_completions_per_s = per_second(self.completion_count, elapsed_s);
        self.completions_per_s +=
            weight_of_newest * (newest_completions_per_s - self.completions_per_s);
        self.completion_count = 0.0;
        self.paced_fraction -= weight_of_newest * self.paced_fraction;
        let observed_rate_per_weight =
            self.completions_per_s / self.update_rotation_weight(inputs).max(1e-9);
        if self.knows_utilization() {
            self.follow_utilization(observed_rate_per_weight, elapsed_s);
        } else {
            let time_constant_s = if queue_slack_s < 0.0 {
                RATE_TIME_CONSTANT_S
            } else {
                UNLOADED_RATE_TIME_CONSTANT_S
            };
            let rate_change = newest_weight(elapsed_s, time_constant_s)
                * (observed_rate_per_weight - self.service_rate_per_weight);
            self.service_rate_per_weight =
                (self.service_rate_per_weight + rate_change).max(observed_rate_per_weight);
        }
    }

    /// Updates and returns the sum of the weights in the rotation, smoothed with the same time
    /// constant as the completions: otherwise the estimated service rate of the remaining upstreams
    /// would rise as soon as others leave.
    fn update_rotation_weight(&mut self, inputs: &CapacityInputs<'_>) -> f64 {
        let rotation_weight = inputs
            .members()
            .map(|u| u.weight.weight())
            .sum::<f64>()
            .max(1e-9);
        let time_constant_s = if self.smoothed_rotation_weight > 0.0 {
            RATE_TIME_CONSTANT_S
        } else {
            0.0
        };
        let weight_of_newest = newest_weight(inputs.elapsed_s, time_constant_s);
        self.smoothed_rotation_weight +=
            weight_of_newest * (rotation_weight - self.smoothed_rotation_weight);
        self.smoothed_rotation_weight
    }

    /// Adapts the service rate to the known utilization. `observed_rate_per_weight` is the smoothed
    /// rate of completions. A service rate that was reached earlier is not retained: that rate
    /// would continue to admit requests that slow an overloaded upstream down.
    fn follow_utilization(&mut self, observed_rate_per_weight: f64, elapsed_s: f64) {
        let utilization_scale =
            self.utilization_bound / self.settled_utilization.max(MIN_SCALED_UTILIZATION);
        let achievable_rate_per_weight =
            observed_rate_per_weight * utilization_scale.min(MAX_UTILIZATION_SCALE);
        // If pacing rejects requests, the completions only show the rate that was admitted, so the
        // service rate grows while cores are idle.
        let relative_headroom = (utilization_scale - 1.0).clamp(0.0, 1.0);
        self.service_rate_per_weight *=
            1.0 + elapsed_s * PACED_GROWTH_PER_S * self.paced_fraction * relative_headroom;
        let rate_change = newest_weight(elapsed_s, RATE_TIME_CONSTANT_S)
            * (achievable_rate_per_weight - self.service_rate_per_weight);
        // The service rate is at least the observed rate if the utilization is within its bound,
        // and otherwise at least the achievable rate.
        self.service_rate_per_weight = (self.service_rate_per_weight + rate_change)
            .max(observed_rate_per_weight.min(achievable_rate_per_weight));
    }

    /// Sets the spare capacity and the number of attempts in flight. Each upstream with a weight
    /// above zero adds to the spare capacity the attempts that it completes between two ticks, plus
    /// its queue limit, minus its attempts in flight. All terms count only this balancer's
    /// attempts. In the paper, W = sum of (tau C_j + (Q_j - q_j)).
    fn update_spare_capacity(&mut self, inputs: &CapacityInputs<'_>, allowed_queue_s: f64) {
        (self.spare_capacity, self.own_in_flight) = (0.0, 0.0);
        for upstream in inputs.members().filter(|u| u.weight.weight() > 0.0) {
            let service_rate_per_s = self.service_rate_per_weight * upstream.weight.weight();
            let own_in_flight = upstream.load.own_in_flight();
            // Overdue attempts reduce the capacity of an upstream, but all of its attempts in
            // flight are subtracted: if overdue attempts were not subtracted, the spare capacity
            // and the shortage would both be zero when all upstreams are stuck, and no guarantee
            // would be cut.
            let responsive_fraction = upstream.load.responsive_fraction();
            let queue_limit =
                self.queue_limit(inputs, upstream, service_rate_per_s * allowed_queue_s)
                    * responsive_fraction;
            self.spare_capacity += inputs.elapsed_s * service_rate_per_s * responsive_fraction
                + queue_limit
                - own_in_flight;
            self.own_in_flight += own_in_flight;
        }
    }

    /// Returns how many attempts of this balancer an upstream may have in flight (Q_j in the
    /// paper). `served_in_queue_time` is the number that the upstream completes within the time
    /// that an attempt may spend in its queue.
    fn queue_limit(
        &self,
        inputs: &CapacityInputs<'_>,
        upstream: &Upstream,
        served_in_queue_time: f64,
    ) -> f64 {
        // The limit is at least this balancer's equal part of one attempt, times the weight of the
        // upstream. The initial service rate derives from the stated quotas: if no quota is stated,
        // that rate is close to zero, and the limit would rise only slowly without this minimum.
        let min_limit = upstream.weight.weight() / self.balancer_count;
        // The limit is also at least this balancer's equal part of the requests that the idle cores
        // can process, even if this balancer has admitted few requests recently.
        let has_utilization = upstream.load.has_utilization(inputs.now_s);
        let idle_core_requests = if has_utilization && !upstream.weight.is_warming_up() {
            let in_flight_at_full_utilization = inputs.load_reports.in_flight_at_full_utilization();
            self.utilization_bound * in_flight_at_full_utilization * upstream.endpoint.size()
                - upstream.load.reported_in_flight()
        } else {
            0.0
        };
        served_in_queue_time
            .max(min_limit)
            .max(idle_core_requests / inputs.balancers_per_upstream)
    }
}
