//! The present capacity of each upstream, and so how many turns it gets: by size, slow start,
//! latency and zone.

use super::upstreams::{Upstream, Upstreams};
use crate::interface::{Settings, ZoneId};

/// Seconds over which the samples of a latency ratio decay, and the weight of the prior in samples.
const LATENCY_RATIO_MEMORY_S: f64 = 10.0;
const LATENCY_RATIO_PRIOR: f64 = 4.0;
/// Bounds of the latency ratio that counts, and of one latency in it.
const MIN_LATENCY_RATIO: f64 = 0.25;
const MAX_LATENCY_RATIO: f64 = 4.0;
const MAX_SAMPLE_RATIO: f64 = 5.0;
const MIN_CAPACITY: f64 = 1e-3;
/// Fraction of the overload limit that an upstream in slow start is sent.
const SLOW_START_LOAD_FRACTION: f64 = 0.4;
/// Cross-zone price at which other zones get no ordinary turns; less in proportion.
const MAX_CROSS_ZONE_PRICE: f64 = 0.05;

/// The present capacity of one upstream.
#[derive(Default)]
pub(super) struct UpstreamWeight {
    /// Fraction of a full-size upstream's work that it can do now.
    capacity: f64,
    /// Turns it gets each round of the rotation; its rate C_j is the service rate times this.
    weight: f64,
    /// When its slow start began; `None`: it is warm.
    slow_start_since_s: Option<f64>,
    /// Mean of latency over what is usual for the class.
    latency_ratio: f64,
    /// The number of responses in that mean, decaying.
    answer_count: f64,
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

    /// Its process starts, or will start, then.
    pub(super) fn begin_slow_start(&mut self, at_s: f64) {
        self.slow_start_since_s = Some(at_s);
    }

    /// Whether a start at this time is later than the one known.
    pub(super) fn is_later_start(&self, at_s: f64) -> bool {
        self.slow_start_since_s.is_none_or(|known_s| at_s > known_s)
    }

    /// A latency, as a multiple of what is usual for its class.
    pub(super) fn record_latency_ratio(&mut self, ratio: f64) {
        let ratio = ratio.min(MAX_SAMPLE_RATIO);
        self.answer_count += 1.0;
        self.latency_ratio += (ratio - self.latency_ratio) / self.answer_count.max(1.0);
    }

    /// The latency ratio, weighted with a prior of one.
    fn weighted_latency_ratio(&self) -> f64 {
        let ratio = (self.latency_ratio * self.answer_count + LATENCY_RATIO_PRIOR)
            / (self.answer_count + LATENCY_RATIO_PRIOR);
        ratio.clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO)
    }
}

/// At what rate upstreams in slow start are sent to.
#[derive(Clone, Copy)]
pub(super) struct SlowStartRate {
    /// The service rate of a warm upstream, on average.
    pub(super) steady_rate: f64,
    /// Multiple of it for each unit of capacity.
    pub(super) multiple: f64,
}

/// The settings that weights depend on.
pub(super) struct Weights {
    zone: ZoneId,
    /// Fraction of their turns that upstreams of other zones get.
    other_zone_fraction: f64,
    slow_start_initial_share: f64,
    slow_start_duration_s: f64,
    overload_multiple: f64,
}

impl Weights {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            zone: settings.zone,
            other_zone_fraction: (1.0 - settings.prices.cross_zone / MAX_CROSS_ZONE_PRICE).max(0.0),
            slow_start_initial_share: settings.slow_start_initial_share.min(1.0),
            slow_start_duration_s: settings.slow_start_duration.as_secs_f64(),
            overload_multiple: settings.overload_multiple,
        }
    }

    /// Whether an upstream that started then is still in slow start.
    pub(super) fn is_recent_start(&self, started_at_s: f64, now_s: f64) -> bool {
        now_s - started_at_s < self.slow_start_duration_s
    }

    /// Updates the weights of the upstreams in the rotation. Those ejected get no turns while
    /// `ejections_apply`.
    pub(super) fn update(
        &self,
        upstreams: &mut Upstreams,
        rotation: &[usize],
        ejections_apply: bool,
        elapsed_s: f64,
        now_s: f64,
    ) {
        let members = || rotation.iter().map(|slot| &upstreams[*slot]);
        let largest_size = members().map(|u| u.endpoint.size()).fold(1e-9, f64::max);
        let is_near = |u: &Upstream| self.is_near(u) && !u.health.is_ejected(now_s);
        let has_near = members().any(|u| u.endpoint.is_ready() && is_near(u));
        let fade = (-elapsed_s / LATENCY_RATIO_MEMORY_S).exp();
        for slot in rotation {
            let upstream = &mut upstreams[*slot];
            upstream.weight.answer_count *= fade;
            let warmth = self.advance_slow_start(&mut upstream.weight, now_s);
            let relative_size = upstream.endpoint.size() / largest_size;
            let capacity = relative_size * warmth / upstream.weight.weighted_latency_ratio();
            upstream.weight.capacity = capacity.max(MIN_CAPACITY);
            let is_out = ejections_apply && upstream.health.is_ejected(now_s);
            let is_usable = upstream.endpoint.is_ready() && !is_out;
            let zone_factor = if self.is_near(upstream) || !has_near {
                1.0
            } else {
                self.other_zone_fraction
            };
            let usable_factor = f64::from(u8::from(is_usable));
            upstream.weight.weight = upstream.weight.capacity * zone_factor * usable_factor;
        }
    }

    fn is_near(&self, upstream: &Upstream) -> bool {
        upstream.endpoint.zone() == self.zone
    }

    /// Fraction of its work that an upstream can do so long after its start; ends a slow start that
    /// is over.
    fn advance_slow_start(&self, weight: &mut UpstreamWeight, now_s: f64) -> f64 {
        let Some(since_s) = weight.slow_start_since_s else {
            return 1.0;
        };
        let progress = ((now_s - since_s) / self.slow_start_duration_s.max(1e-6)).clamp(0.0, 1.0);
        let initial = self.slow_start_initial_share;
        let share = initial + (1.0 - initial) * progress;
        if share >= 1.0 {
            weight.slow_start_since_s = None;
        }
        share
    }

    /// At what rate upstreams in slow start are sent to, by the service rate for each unit of
    /// weight.
    pub(super) fn slow_start_rate(
        &self,
        upstreams: &Upstreams,
        rotation: &[usize],
        service_rate: f64,
    ) -> SlowStartRate {
        let (mut steady_weight, mut steady_count) = (0.0, 0.0);
        for weight in rotation.iter().map(|slot| &upstreams[*slot].weight) {
            if weight.weight > 0.0 && !weight.is_warming_up() {
                steady_count += 1.0;
                steady_weight += weight.weight;
            }
        }
        let steady_rate = if steady_count > 0.0 {
            service_rate * steady_weight / steady_count
        } else {
            service_rate
        };
        SlowStartRate {
            steady_rate,
            multiple: SLOW_START_LOAD_FRACTION * self.overload_multiple,
        }
    }
}
