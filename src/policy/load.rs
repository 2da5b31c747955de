//! The load of each upstream: this balancer's own attempts, and those of other balancers according
//! to load reports and live weights.

use super::upstreams::{Upstream, Upstreams};
use crate::interface::{LoadField, Settings};

/// Number of attempts in flight that are added to the load of an upstream for each overdue attempt:
/// an overdue attempt indicates that the upstream is stuck or unresponsive.
const OVERDUE_ATTEMPT_WEIGHT: f64 = 4.0;
/// Number of attempts that other balancers are assumed to have in flight at an upstream that
/// rejects an attempt: without them the upstream would seem idle.
const REJECTING_IN_FLIGHT: f64 = 2.0 * OVERDUE_ATTEMPT_WEIGHT;
/// Time constant, in seconds, with which the number of requests in flight in a report decays to the
/// mean over the rotation.
const REPORT_TIME_CONSTANT_S: f64 = 1.0;
/// Seconds for which a report of the requests in flight counts in the mean over the rotation.
const REPORT_VALID_S: f64 = 3.0;
/// Seconds for which a reported utilization is valid, unless the upstream reports another one.
pub(super) const UTILIZATION_VALID_S: f64 = 3.0;
/// Lowest reported utilization at which a report counts in the estimate of the requests in flight
/// at full utilization.
const MIN_INFORMATIVE_UTILIZATION: f64 = 0.2;
/// Reported utilization below which a report counts in the estimate of the requests in flight at
/// full utilization.
const MAX_INFORMATIVE_UTILIZATION: f64 = 0.8;
/// Weight of the newest report in the estimate of the requests in flight at full utilization.
const FULL_UTILIZATION_NEWEST_WEIGHT: f64 = 0.02;
/// Upper limit of the number of requests that a load report states as in flight or in the queue; a
/// larger number counts as this limit.
const MAX_REPORTED_REQUESTS: f64 = 1e4;

/// The load of one upstream.
#[derive(Default)]
pub(super) struct UpstreamLoad {
    /// Number of this balancer's attempts in flight (q_j in the paper).
    in_flight: u32,
    /// Number of this balancer's attempts in flight that are overdue.
    overdue_in_flight: u32,
    /// Number of this balancer's abandoned attempts that may still be processed. It decays with the
    /// shortest latency objective as its time constant.
    abandoned_attempts: f64,
    /// Requests of other balancers in flight, by the latest load report or by the latest live
    /// weight in the endpoint list ([`Live`](crate::interface::EndpointWeights::Live)).
    others_in_flight: f64,
    others_reported_at_s: f64,
    /// Requests of all balancers in flight, by the latest report.
    reported_in_flight: f64,
    /// Fraction of the upstream's cores in use, by the latest report.
    utilization: f64,
    utilization_reported_at_s: f64,
}

impl UpstreamLoad {
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns this balancer's attempts in flight, including abandoned ones that may still run.
    pub(super) fn own_in_flight(&self) -> f64 {
        f64::from(self.in_flight) + self.abandoned_attempts
    }

    /// Returns the fraction of this balancer's attempts that are neither overdue nor abandoned.
    pub(super) fn responsive_fraction(&self) -> f64 {
        1.0 - (f64::from(self.overdue_in_flight) + self.abandoned_attempts)
            / self.own_in_flight().max(1.0)
    }

    pub(super) fn reported_in_flight(&self) -> f64 {
        self.reported_in_flight
    }

    pub(super) fn utilization(&self) -> f64 {
        self.utilization
    }

    /// Returns whether the upstream has reported its utilization recently.
    pub(super) fn has_utilization(&self, now_s: f64) -> bool {
        self.utilization_reported_at_s > 0.0 && self.utilization_is_recent(now_s)
    }

    pub(super) fn utilization_is_recent(&self, now_s: f64) -> bool {
        now_s - self.utilization_reported_at_s < UTILIZATION_VALID_S
    }

    pub(super) fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn record_overdue(&mut self) {
        self.overdue_in_flight += 1;
    }

    pub(super) fn record_ended(&mut self, was_overdue: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.overdue_in_flight = self
            .overdue_in_flight
            .saturating_sub(u32::from(was_overdue));
    }

    pub(super) fn record_abandoned(&mut self) {
        self.abandoned_attempts += 1.0;
    }

    /// Records the rejection of an attempt, for any reason, as load of other balancers: without
    /// this load the upstream would seem idle.
    pub(super) fn record_rejected(&mut self, now_s: f64) {
        self.others_in_flight = self.others_in_flight.max(REJECTING_IN_FLIGHT);
        self.others_reported_at_s = now_s;
    }

    /// Records the requests of other balancers in flight at the upstream, by a report or a live
    /// weight.
    pub(super) fn record_others_in_flight(&mut self, in_flight: f64, now_s: f64) {
        (self.others_in_flight, self.others_reported_at_s) = (in_flight, now_s);
    }

    /// Multiplies the number of abandoned attempts by a decay factor.
    pub(super) fn decay_abandoned(&mut self, decay_factor: f64) {
        self.abandoned_attempts *= decay_factor;
    }

    fn others_are_recent(&self, now_s: f64) -> bool {
        self.others_reported_at_s > 0.0 && now_s - self.others_reported_at_s < REPORT_VALID_S
    }
}

/// Estimates from the load reports of all upstreams.
pub(super) struct LoadReportTracker {
    report_fields: Vec<LoadField>,
    /// Fraction of the reported requests that are assumed to be of other balancers: all balancers
    /// count as having equal parts. This balancer's own attempts in flight can't be subtracted from
    /// a report instead, as the report is older than the present number of these attempts.
    others_fraction: f64,
    /// Requests of other balancers in flight per unit of capacity, as a mean over the upstreams of
    /// the rotation.
    mean_others_in_flight_per_capacity: f64,
    /// Requests in flight at an upstream of unit size when all its cores are in use and no request
    /// is waiting; zero while unknown.
    in_flight_at_full_utilization: f64,
}

impl LoadReportTracker {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            report_fields: settings.report_fields.clone(),
            others_fraction: 1.0 - 1.0 / f64::from(settings.balancers.max(1)),
            mean_others_in_flight_per_capacity: 0.0,
            in_flight_at_full_utilization: 0.0,
        }
    }

    /// Returns the requests in flight at full utilization per unit of size; zero while unknown.
    pub(super) fn in_flight_at_full_utilization(&self) -> f64 {
        self.in_flight_at_full_utilization
    }

    /// Records a load report of an upstream.
    pub(super) fn record(&mut self, upstream: &mut Upstream, report: &[f32], now_s: f64) {
        let (load, size) = (&mut upstream.load, upstream.endpoint.size());
        let mut max_in_flight: Option<f64> = None;
        let reported_values = self
            .report_fields
            .iter()
            .zip(report)
            .filter(|(_, value)| value.is_finite());
        for (field, value) in reported_values {
            let value = f64::from(*value).clamp(0.0, MAX_REPORTED_REQUESTS);
            match field {
                LoadField::InFlight | LoadField::Queue => {
                    max_in_flight = Some(value.max(max_in_flight.unwrap_or(0.0)));
                }
                LoadField::Utilization => {
                    load.utilization = value.min(1.0);
                    load.utilization_reported_at_s = now_s;
                }
                _ => {}
            }
        }
        let Some(in_flight) = max_in_flight else {
            return;
        };
        load.reported_in_flight = in_flight;
        if load.utilization_reported_at_s >= now_s {
            self.update_in_flight_at_full_utilization(in_flight, load.utilization, size);
        }
        load.record_others_in_flight(in_flight * self.others_fraction, now_s);
    }

    /// Records the requests in flight per core that a live weight states.
    pub(super) fn record_live_weight(
        &self,
        load: &mut UpstreamLoad,
        in_flight_per_core: f64,
        now_s: f64,
    ) {
        load.record_others_in_flight(in_flight_per_core * self.others_fraction, now_s);
    }

    fn update_in_flight_at_full_utilization(
        &mut self,
        in_flight: f64,
        utilization: f64,
        size: f64,
    ) {
        let newest_at_full_utilization = in_flight / (utilization * size).max(1e-9);
        let informative_utilizations = MIN_INFORMATIVE_UTILIZATION..MAX_INFORMATIVE_UTILIZATION;
        if informative_utilizations.contains(&utilization) && newest_at_full_utilization > 0.0 {
            let newest_weight = if self.in_flight_at_full_utilization > 0.0 {
                FULL_UTILIZATION_NEWEST_WEIGHT
            } else {
                1.0
            };
            self.in_flight_at_full_utilization +=
                newest_weight * (newest_at_full_utilization - self.in_flight_at_full_utilization);
        }
    }

    /// Updates the mean, over the upstreams of the rotation, of the requests that other balancers
    /// have in flight per unit of capacity.
    pub(super) fn update_mean(
        &mut self,
        upstreams: &Upstreams,
        rotation_slots: &[usize],
        now_s: f64,
    ) {
        let (mut per_capacity_sum, mut upstream_count) = (0.0, 0.0);
        for upstream in rotation_slots.iter().map(|slot| &upstreams[*slot]) {
            if upstream.load.others_are_recent(now_s) {
                per_capacity_sum += upstream.load.others_in_flight / upstream.weight.capacity();
                upstream_count += 1.0;
            }
        }
        self.mean_others_in_flight_per_capacity = per_capacity_sum / f64::max(upstream_count, 1.0);
    }

    /// Returns the requests in flight at an upstream per unit of capacity: this balancer's
    /// attempts, and the reported requests of other balancers. A report decays with its age to the
    /// mean over the rotation: without this decay, an upstream without reports would seem idle and
    /// attract all balancers.
    pub(super) fn in_flight_per_capacity(&self, upstream: &Upstream, last_tick_at_s: f64) -> f64 {
        let (load, capacity) = (&upstream.load, upstream.weight.capacity());
        let report_age_s = (last_tick_at_s - load.others_reported_at_s).max(0.0);
        let mean_others = self.mean_others_in_flight_per_capacity;
        let others_per_capacity = mean_others
            + (load.others_in_flight / capacity - mean_others)
                * (-report_age_s / REPORT_TIME_CONSTANT_S).exp();
        let weighted_own_in_flight = f64::from(load.in_flight)
            + OVERDUE_ATTEMPT_WEIGHT * f64::from(load.overdue_in_flight)
            + load.abandoned_attempts;
        weighted_own_in_flight / capacity + others_per_capacity
    }
}
