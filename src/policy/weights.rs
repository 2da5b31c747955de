//! The capacity of each upstream, from its size, slow start and latency; and its weight, the number
//! of turns that it gets in each round, from its capacity, zone, availability and ejection.

use super::upstreams::{Upstream, Upstreams};
use crate::interface::{Settings, ZoneId};

/// Time constant, in seconds, with which the number of latencies in a mean latency ratio decays, so
/// that older latencies count less.
const LATENCY_RATIO_TIME_CONSTANT_S: f64 = 10.0;
/// Number of assumed latencies with a ratio of one that are added to a mean latency ratio as a
/// prior: without them a few latencies would determine it.
const LATENCY_RATIO_PRIOR: f64 = 4.0;
/// Lower limit of the latency ratio as a divisor of the capacity.
const MIN_LATENCY_RATIO: f64 = 0.25;
/// Upper limit of the latency ratio as a divisor of the capacity.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// Upper limit of the ratio of a single latency to the mean latency of its class.
const MAX_SAMPLE_RATIO: f64 = 5.0;
/// Lower limit of the capacity of an upstream, relative to the largest one.
const MIN_CAPACITY: f64 = 1e-3;
/// Rate of requests to an upstream in slow start, as a fraction of the rate above which the
/// upstream would be overloaded.
const SLOW_START_LOAD_FRACTION: f64 = 0.4;
/// Cross-zone price from which on upstreams of other zones get no turns while the own zone has
/// healthy upstreams. A lower price reduces the turns of those upstreams in proportion to the
/// price.
const MAX_CROSS_ZONE_PRICE: f64 = 0.05;

/// The capacity and weight of one upstream, its slow start, and the statistics of its latency.
#[derive(Default)]
pub(super) struct UpstreamWeight {
    /// Work that the upstream can do now, relative to the size of the largest upstream in the
    /// rotation.
    capacity: f64,
    /// Turns that the upstream gets in each round of the rotation. The rate of the upstream (C_j in
    /// the paper) is the service rate per unit of weight times this weight.
    weight: f64,
    /// Time at which slow start began or will begin; `None` outside slow start.
    slow_start_since_s: Option<f64>,
    /// Mean ratio of a latency to the mean latency of its class. The mean of the class is taken
    /// just before the latency is added to it.
    mean_latency_ratio: f64,
    /// Number of latencies in `mean_latency_ratio`; decays with time.
    sample_count: f64,
}

impl UpstreamWeight {
    pub(super) fn new(slow_start_since_s: Option<f64>) -> Self {
        Self {
            capacity: 1.0,
            slow_start_since_s,
            ..Self::default()
        }
    }

    pub(super) fn capacity(&self) -> f64 {
        self.capacity
    }

    pub(super) fn weight(&self) -> f64 {
        self.weight
    }

    pub(super) fn is_warming_up(&self) -> bool {
        self.slow_start_since_s.is_some()
    }

    /// Begins slow start at `at_s`, the time at which the process has started or is expected to
    /// start.
    pub(super) fn begin_slow_start(&mut self, at_s: f64) {
        self.slow_start_since_s = Some(at_s);
    }

    /// Returns whether a start of the process at `at_s` is later than the beginning of the present
    /// slow start; true outside slow start.
    pub(super) fn is_later_start(&self, at_s: f64) -> bool {
        self.slow_start_since_s.is_none_or(|known_s| at_s > known_s)
    }

    /// Adds a latency, as a multiple of the mean latency of its class.
    pub(super) fn record_latency_ratio(&mut self, latency_ratio: f64) {
        let latency_ratio = latency_ratio.min(MAX_SAMPLE_RATIO);
        self.sample_count += 1.0;
        self.mean_latency_ratio +=
            (latency_ratio - self.mean_latency_ratio) / self.sample_count.max(1.0);
    }

    /// Returns the latency ratio, weighted with a prior of one and limited to its bounds.
    fn weighted_latency_ratio(&self) -> f64 {
        let ratio = (self.mean_latency_ratio * self.sample_count + LATENCY_RATIO_PRIOR)
            / (self.sample_count + LATENCY_RATIO_PRIOR);
        ratio.clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO)
    }
}

/// The rate of requests to an upstream in slow start: `steady_rate_per_s` times `rate_multiple`
/// times the weight of the upstream.
#[derive(Clone, Copy)]
pub(super) struct SlowStartRate {
    /// Mean service rate of an upstream outside slow start, in requests a second.
    pub(super) steady_rate_per_s: f64,
    /// Rate per unit of weight in slow start, as a multiple of the steady rate.
    pub(super) rate_multiple: f64,
}

/// The settings that weights depend on.
pub(super) struct Weights {
    zone: ZoneId,
    /// Factor that reduces the turns of upstreams of other zones while this zone has a healthy
    /// upstream.
    other_zone_factor: f64,
    /// Fraction of its full capacity that an upstream has when it starts.
    slow_start_initial_fraction: f64,
    slow_start_duration_s: f64,
    /// Load above which an upstream in slow start is overloaded, as a multiple of its present
    /// capacity.
    overload_multiple: f64,
}

impl Weights {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            zone: settings.zone,
            other_zone_factor: (1.0 - settings.prices.cross_zone / MAX_CROSS_ZONE_PRICE).max(0.0),
            slow_start_initial_fraction: settings.slow_start_initial_fraction.min(1.0),
            slow_start_duration_s: settings.slow_start_duration.as_secs_f64(),
            overload_multiple: settings.overload_multiple,
        }
    }

    /// Returns whether an upstream that started at `started_at_s` is still in slow start.
    pub(super) fn is_recent_start(&self, started_at_s: f64, now_s: f64) -> bool {
        now_s - started_at_s < self.slow_start_duration_s
    }

    /// Updates the capacity and weight of the upstreams in the rotation. Ejected upstreams get no
    /// turns if `ejections_apply` is true.
    pub(super) fn update(
        &self,
        upstreams: &mut Upstreams,
        rotation_slots: &[usize],
        ejections_apply: bool,
        elapsed_s: f64,
        now_s: f64,
    ) {
        let members = || rotation_slots.iter().map(|slot| &upstreams[*slot]);
        let largest_size = members().map(|u| u.endpoint.size()).fold(1e-9, f64::max);
        let is_healthy_local = |u: &Upstream| self.is_same_zone(u) && !u.health.is_ejected(now_s);
        let has_healthy_local = members().any(|u| u.endpoint.is_ready() && is_healthy_local(u));
        let sample_decay_factor = (-elapsed_s / LATENCY_RATIO_TIME_CONSTANT_S).exp();
        for slot in rotation_slots {
            let upstream = &mut upstreams[*slot];
            upstream.weight.sample_count *= sample_decay_factor;
            let capacity_fraction = self.advance_slow_start(&mut upstream.weight, now_s);
            let relative_size = upstream.endpoint.size() / largest_size;
            let capacity =
                relative_size * capacity_fraction / upstream.weight.weighted_latency_ratio();
            upstream.weight.capacity = capacity.max(MIN_CAPACITY);
            let is_excluded = ejections_apply && upstream.health.is_ejected(now_s);
            let is_usable = upstream.endpoint.is_ready() && !is_excluded;
            let zone_factor = if self.is_same_zone(upstream) || !has_healthy_local {
                1.0
            } else {
                self.other_zone_factor
            };
            let usable_factor = f64::from(u8::from(is_usable));
            upstream.weight.weight = upstream.weight.capacity * zone_factor * usable_factor;
        }
    }

    fn is_same_zone(&self, upstream: &Upstream) -> bool {
        upstream.endpoint.zone() == self.zone
    }

    /// Returns the fraction of its full capacity that an upstream has at `now_s`, which is below
    /// one in slow start. Ends a slow start that is over.
    fn advance_slow_start(&self, upstream_weight: &mut UpstreamWeight, now_s: f64) -> f64 {
        let Some(began_at_s) = upstream_weight.slow_start_since_s else {
            return 1.0;
        };
        let progress_fraction =
            ((now_s - began_at_s) / self.slow_start_duration_s.max(1e-6)).clamp(0.0, 1.0);
        let initial_fraction = self.slow_start_initial_fraction;
        let capacity_fraction = initial_fraction + (1.0 - initial_fraction) * progress_fraction;
        if capacity_fraction >= 1.0 {
            upstream_weight.slow_start_since_s = None;
        }
        capacity_fraction
    }

    /// Returns the rate of requests to upstreams in slow start, based on the service rate per unit
    /// of weight.
    pub(super) fn slow_start_rate(
        &self,
        upstreams: &Upstreams,
        rotation_slots: &[usize],
        service_rate_per_weight: f64,
    ) -> SlowStartRate {
        let (mut steady_weight_sum, mut steady_upstream_count) = (0.0, 0.0);
        for upstream_weight in rotation_slots.iter().map(|slot| &upstreams[*slot].weight) {
            if upstream_weight.weight > 0.0 && !upstream_weight.is_warming_up() {
                steady_upstream_count += 1.0;
                steady_weight_sum += upstream_weight.weight;
            }
        }
        let steady_rate_per_s = if steady_upstream_count > 0.0 {
            service_rate_per_weight * steady_weight_sum / steady_upstream_count
        } else {
            service_rate_per_weight
        };
        SlowStartRate {
            steady_rate_per_s,
            rate_multiple: SLOW_START_LOAD_FRACTION * self.overload_multiple,
        }
    }
}
