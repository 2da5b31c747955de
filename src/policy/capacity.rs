//! Service rate and spare capacity: what the upstreams of the rotation can do together, and how
//! much of it is left for this balancer.

use super::class_statistics::ClassStatistics;
use super::load::{LoadReportTracker, UTILIZATION_VALID_S};
use super::upstreams::{Upstream, Upstreams};
use crate::interface::{EndpointWeights, LoadField, LoadReports, Settings};

/// Seconds over which the service rate is counted under strain, and a rate once reached is
/// forgotten otherwise.
pub(super) const RATE_MEMORY_S: f64 = 2.0;
const UNSTRAINED_RATE_MEMORY_S: f64 = 30.0;
/// Share of the objective that work may spend in the fleet on average before no capacity is spare;
/// past it, many responses are late.
pub(super) const QUEUE_OBJECTIVE_SHARE: f64 = 0.4;
/// The same where reports tell the utilization, so that latency need only guard.
const REPORTED_QUEUE_OBJECTIVE_SHARE: f64 = 0.55;
/// Share of the upstreams' cores that may be kept in use where reports tell, and what is added for
/// demand over the quotas, by its weight: where it is worth little, so is the risk.
const BASE_UTILIZATION_BOUND: f64 = 0.62;
const OVER_QUOTA_UTILIZATION: f64 = 0.4;
const MAX_OVER_QUOTA_WEIGHT: f64 = 0.5;
/// Growth of the service rate a second where pacing rejects, for each part that the utilization is
/// under its bound: slow against the second or so that reports are old.
const PACED_GROWTH: f64 = 0.7;
/// Weight of the newest request in the share that pacing rejects.
const PACED_NEWEST_WEIGHT: f64 = 0.1;
/// The least utilization that a rate is scaled up by, and the most that it is scaled by.
const MIN_SCALED_UTILIZATION: f64 = 0.1;
const MAX_UTILIZATION_SCALE: f64 = 2.0;

/// Share of the upstreams' cores that may be kept in use.
fn utilization_bound(settings: &Settings) -> f64 {
    let over_quota_weight = settings.over_quota_weight_share.min(MAX_OVER_QUOTA_WEIGHT);
    BASE_UTILIZATION_BOUND + OVER_QUOTA_UTILIZATION * over_quota_weight
}

/// What a tick of the capacity goes by.
pub(super) struct CapacityInputs<'a> {
    pub(super) upstreams: &'a Upstreams,
    pub(super) rotation: &'a [usize],
    pub(super) classes: &'a ClassStatistics,
    pub(super) load_reports: &'a LoadReportTracker,
    /// Balancers that send to each upstream.
    pub(super) balancers_per_upstream: f64,
    /// tau.
    pub(super) elapsed_s: f64,
    pub(super) now_s: f64,
}

impl CapacityInputs<'_> {
    fn members(&self) -> impl Iterator<Item = &Upstream> {
        self.rotation.iter().map(|slot| &self.upstreams[*slot])
    }
}

/// What the upstreams can do together.
pub(super) struct Capacity {
    utilization_bound: f64,
    balancers: f64,
    /// Completions a second for each unit of weight; C_j is this times an upstream's weight.
    service_rate: f64,
    /// Completions of the running tick, and a second, smoothed.
    completions: f64,
    completions_per_s: f64,
    /// Weight of the rotation, smoothed.
    rotation_weight: f64,
    /// Share of requests that pacing rejects, fading.
    paced_share: f64,
    /// Share of the upstreams' cores in use, by their reports; zero: not known.
    utilization: f64,
    /// The same, but for the first seconds of reports.
    settled_utilization: f64,
    reported_for_s: f64,
    /// W, in requests; negative where more is in flight than there is capacity for.
    spare: f64,
    /// Attempts in flight when it was last looked at.
    in_flight: f64,
}

impl Capacity {
    /// Before there is anything to go by, `expected_per_s` requests are taken to be served.
    pub(super) fn new(settings: &Settings, expected_per_s: f64) -> Self {
        let bound = utilization_bound(settings);
        // Where reports will tell the utilization: as high as it may be, until then.
        let will_report = settings.load_reports == LoadReports::Inline
            && settings.report_fields.contains(&LoadField::Utilization);
        let utilization = if will_report { bound } else { 0.0 };
        // Where the list says nothing of their sizes the small ones would be full first.
        let are_sizes_unknown = settings.endpoint_weights == EndpointWeights::Off;
        let completions_per_s = if will_report && are_sizes_unknown {
            utilization * expected_per_s
        } else {
            expected_per_s
        };
        Self {
            utilization_bound: bound,
            balancers: f64::from(settings.balancers),
            service_rate: 0.0,
            completions: 0.0,
            completions_per_s,
            rotation_weight: 0.0,
            paced_share: 0.0,
            utilization,
            settled_utilization: utilization,
            reported_for_s: 0.0,
            spare: 0.0,
            in_flight: 0.0,
        }
    }

    /// Completions a second for each unit of weight.
    pub(super) fn service_rate(&self) -> f64 {
        self.service_rate
    }

    /// Share of the upstreams' cores in use; zero: not known.
    pub(super) fn utilization(&self) -> f64 {
        self.utilization
    }

    pub(super) fn knows_utilization(&self) -> bool {
        self.utilization > 0.0
    }

    /// W.
    pub(super) fn spare(&self) -> f64 {
        self.spare
    }

    /// What is in flight beyond the capacity, as a part of what is in flight.
    pub(super) fn shortage(&self) -> f64 {
        (-self.spare / f64::max(self.in_flight, 1e-9)).max(0.0)
    }

    pub(super) fn record_completion(&mut self) {
        self.completions += 1.0;
    }

    /// Pacing has rejected a request.
    pub(super) fn record_paced(&mut self) {
        self.paced_share += PACED_NEWEST_WEIGHT * (1.0 - self.paced_share);
    }

    /// The rotation has grown by this factor: that is no more for this balancer, as others send
    /// there too.
    pub(super) fn on_rotation_grown(&mut self, factor: f64) {
        self.service_rate /= factor;
        self.rotation_weight *= factor;
    }

    /// Looks at the upstreams again, each tick.
    pub(super) fn update(&mut self, inputs: &CapacityInputs<'_>) {
        self.update_utilization(inputs);
        let objective_share = if self.knows_utilization() {
            REPORTED_QUEUE_OBJECTIVE_SHARE
        } else {
            QUEUE_OBJECTIVE_SHARE
        };
        let slack_s = inputs.classes.queue_slack_s(objective_share);
        let latency_s = inputs.classes.mean_latency_s();
        let queue_s = (latency_s + slack_s).max(0.0);
        self.update_service_rate(inputs, slack_s);
        let queue_s = if self.knows_utilization() {
            queue_s.min(latency_s)
        } else {
            queue_s
        };
        self.update_spare(inputs, queue_s);
    }

    /// What each upstream reported last counts alike, however few of them answer this balancer in a
    /// second.
    fn update_utilization(&mut self, inputs: &CapacityInputs<'_>) {
        let (mut cores_in_use, mut cores) = (0.0, 0.0);
        for upstream in inputs
            .members()
            .filter(|u| u.load.has_utilization(inputs.now_s))
        {
            let size = upstream.endpoint.size;
            cores_in_use += size * upstream.load.utilization();
            cores += size;
        }
        if cores <= 0.0 {
            return;
        }
        // The first reports are of a fleet that nobody had sent to yet: no rate is set by them
        // alone.
        self.reported_for_s += inputs.elapsed_s;
        let newest_weight = if self.reported_for_s < UTILIZATION_VALID_S {
            (inputs.elapsed_s / RATE_MEMORY_S).min(1.0)
        } else {
            1.0
        };
        self.utilization = cores_in_use / cores;
        let change = newest_weight * (self.utilization - self.settled_utilization);
        self.settled_utilization = self.utilization.max(self.settled_utilization + change);
    }

    fn update_service_rate(&mut self, inputs: &CapacityInputs<'_>, slack_s: f64) {
        let elapsed_s = inputs.elapsed_s;
        let newest_weight = (elapsed_s / RATE_MEMORY_S).min(1.0);
        let per_s = self.completions / elapsed_s.max(1e-6);
        self.completions_per_s += newest_weight * (per_s - self.completions_per_s);
        self.completions = 0.0;
        self.paced_share -= newest_weight * self.paced_share;
        let observed = self.completions_per_s / self.smoothed_weight(inputs).max(1e-9);
        if self.knows_utilization() {
            self.follow_utilization(observed, elapsed_s);
        } else {
            let memory_s = if slack_s < 0.0 {
                RATE_MEMORY_S
            } else {
                UNSTRAINED_RATE_MEMORY_S
            };
            let change = (elapsed_s / memory_s).min(1.0) * (observed - self.service_rate);
            self.service_rate = (self.service_rate + change).max(observed);
        }
    }

    /// The weight that what was completed meanwhile belongs to: the rate of the upstreams left is
    /// not more as soon as others drop out.
    fn smoothed_weight(&mut self, inputs: &CapacityInputs<'_>) -> f64 {
        let weight = inputs
            .members()
            .map(|u| u.weight.weight())
            .sum::<f64>()
            .max(1e-9);
        let memory_s = if self.rotation_weight > 0.0 {
            RATE_MEMORY_S
        } else {
            0.0
        };
        let newest_weight = (inputs.elapsed_s / memory_s).min(1.0);
        self.rotation_weight += newest_weight * (weight - self.rotation_weight);
        self.rotation_weight
    }

    /// A rate once reached under load would go on admitting what makes a crowded upstream slow:
    /// where the utilization is known, it decides.
    fn follow_utilization(&mut self, observed: f64, elapsed_s: f64) {
        let headroom =
            self.utilization_bound / self.settled_utilization.max(MIN_SCALED_UTILIZATION);
        let possible = observed * headroom.min(MAX_UTILIZATION_SCALE);
        // Where pacing rejects, completions only show what was let through.
        let idle = (headroom - 1.0).clamp(0.0, 1.0);
        self.service_rate *= 1.0 + elapsed_s * PACED_GROWTH * self.paced_share * idle;
        let change = (elapsed_s / RATE_MEMORY_S).min(1.0) * (possible - self.service_rate);
        // Nor is it under what they do now, if that keeps them no busier.
        self.service_rate = (self.service_rate + change).max(observed.min(possible));
    }

    /// W = sum of (tau C_j + (Q_j - q_j)) in this balancer's own share.
    fn update_spare(&mut self, inputs: &CapacityInputs<'_>, queue_s: f64) {
        (self.spare, self.in_flight) = (0.0, 0.0);
        for upstream in inputs.members().filter(|u| u.weight.weight() > 0.0) {
            let rate = self.service_rate * upstream.weight.weight();
            let own = upstream.load.own();
            // An upstream whose attempts are overdue has no capacity, in part or all, but what it
            // has in flight counts: else, when all are stuck, W and the shortage are zero together
            // and no quota is cut.
            let responsive = upstream.load.responsive_share();
            let queue = self.queue_limit(inputs, upstream, rate * queue_s) * responsive;
            self.spare += inputs.elapsed_s * rate * responsive + queue - own;
            self.in_flight += own;
        }
    }

    /// Q_j: what an upstream may have in flight of this balancer.
    fn queue_limit(&self, inputs: &CapacityInputs<'_>, upstream: &Upstream, served: f64) -> f64 {
        // One place in all at least: where no quota is stated a start from nothing takes long.
        let least = upstream.weight.weight() / self.balancers;
        // Nor is it less than an equal part of what the cores reported idle can hold, however
        // little this balancer has admitted, and so heard of, lately.
        let reports = upstream.load.has_utilization(inputs.now_s);
        let idle = if reports && !upstream.weight.is_warming_up() {
            let at_full = inputs.load_reports.in_flight_at_full();
            self.utilization_bound * at_full * upstream.endpoint.size
                - upstream.load.reported_in_flight()
        } else {
            0.0
        };
        served.max(least).max(idle / inputs.balancers_per_upstream)
    }
}
