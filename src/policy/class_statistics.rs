//! Statistics of each class of requests: its mean latency, an upper quantile of its latencies, and
//! its fraction of the admitted requests.

use super::TICK_S;
use super::capacity::QUEUE_OBJECTIVE_FRACTION;
use super::smoothing::newest_weight;
use crate::interface::{Class, Settings};

/// Time constant, in seconds, of a class's mean latency. The weight of the newest latency in the
/// mean is the time since the previous latency divided by this time constant, limited to the range
/// from [`MIN_NEWEST_WEIGHT`] to [`MAX_NEWEST_WEIGHT`].
const LATENCY_TIME_CONSTANT_S: f64 = 3.0;
/// Lower limit of the weight of the newest latency in the mean.
const MIN_NEWEST_WEIGHT: f64 = 0.02;
/// Upper limit of the weight of the newest latency in the mean.
const MAX_NEWEST_WEIGHT: f64 = 0.2;
/// Upper limit of a latency that is added to the mean, as a multiple of the objective.
const MAX_LATENCY_MULTIPLE: f64 = 2.0;
/// Factor that is applied to the latency of an abandoned attempt before it is added to the mean:
/// the response would have taken longer than the time until the attempt was abandoned.
const ABANDONED_LATENCY_MULTIPLE: f64 = 1.5;
/// Quantile of a class's latencies after which an attempt is overdue.
const OVERDUE_QUANTILE: f64 = 0.95;
/// Relative step by which each latency changes the estimate of the quantile. The step is
/// multiplied by [`OVERDUE_QUANTILE`] for a rise, and by one minus [`OVERDUE_QUANTILE`] for a fall.
const QUANTILE_STEP: f64 = 0.05;
/// Lower limit of the quantile in seconds: two ticks, as each tick looks for overdue attempts. The
/// upper limit, the objective, can be shorter.
const MIN_QUANTILE_S: f64 = 2.0 * TICK_S;
/// Fraction of the objective after which an attempt is overdue even if the quantile is longer, so
/// that a hedged attempt can still succeed within the objective.
const OVERDUE_OBJECTIVE_FRACTION: f64 = 0.6;
/// Mean latency of a class before its first response, as a fraction of the objective.
const INITIAL_LATENCY_FRACTION: f64 = 0.3;
/// Weight of the newest admitted request in each class's fraction of the admitted requests.
const ADMITTED_NEWEST_WEIGHT: f64 = 0.01;
/// Fraction of the admitted requests above which the latency of a class limits the queues.
const MIN_ADMITTED_FRACTION: f64 = 0.02;
/// Seconds without a new latency after which the mean of a class decays; also the time constant of
/// this decay.
const LATENCY_VALID_S: f64 = 5.0;
/// Mean latency, as a fraction of the objective, that the decay approaches.
const DECAYED_LATENCY_FRACTION: f64 = 0.5 * QUEUE_OBJECTIVE_FRACTION;
/// Lower limit, in seconds, of the mean latency as a divisor of a priority weight.
const MIN_LATENCY_S: f64 = TICK_S;

/// Whether a recorded latency is that of a successful response or of an abandoned attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LatencySource {
    /// Time from the send of the attempt to its successful response.
    Success,
    /// Time from the send of the attempt to its time-out or cancellation, after it had become
    /// overdue without a response.
    Abandoned,
}

/// The statistics of one class.
struct ClassRecord {
    objective_s: f64,
    priority_weight: f64,
    mean_latency_s: f64,
    /// Time at which the last latency was added to the mean.
    last_sample_at_s: f64,
    /// Estimate of the quantile [`OVERDUE_QUANTILE`] of the latencies of successful responses.
    latency_quantile_s: f64,
    /// Fraction of the admitted requests that are of this class, smoothed.
    admitted_fraction: f64,
}

/// The statistics of all classes, in the order of the settings.
pub(super) struct ClassStatistics {
    classes: Vec<ClassRecord>,
    /// Whether `priority_weight` is a weight per unit of a request's work, so that an expensive
    /// request has a larger weight than a cheap one of its class. If false, it is a weight per
    /// request.
    scales_priority_weight_by_work: bool,
}

impl ClassStatistics {
    pub(super) fn new(settings: &Settings) -> Self {
        let record = |class: &Class| {
            let objective_s = class.latency_objective.as_secs_f64();
            ClassRecord {
                objective_s,
                priority_weight: class.priority_weight,
                mean_latency_s: objective_s * INITIAL_LATENCY_FRACTION,
                last_sample_at_s: 0.0,
                latency_quantile_s: objective_s * OVERDUE_OBJECTIVE_FRACTION,
                admitted_fraction: 1.0,
            }
        };
        Self {
            classes: settings.classes.iter().map(record).collect(),
            scales_priority_weight_by_work: settings.scales_priority_weight_by_work,
        }
    }

    /// Returns the mean latency of an attempt in seconds, weighted by each class's fraction of the
    /// admitted requests.
    pub(super) fn mean_latency_s(&self) -> f64 {
        let admitted_fraction_sum: f64 = self
            .classes
            .iter()
            .map(|class| class.admitted_fraction)
            .sum();
        let weighted = self
            .classes
            .iter()
            .map(|class| class.mean_latency_s * class.admitted_fraction);
        weighted.sum::<f64>() / admitted_fraction_sum.max(1e-9)
    }

    pub(super) fn shortest_objective_s(&self) -> f64 {
        let objectives = self.classes.iter().map(|class| class.objective_s);
        objectives.fold(f64::INFINITY, f64::min)
    }

    pub(super) fn class_mean_latency_s(&self, class: usize) -> f64 {
        self.classes[class].mean_latency_s
    }

    /// Returns how many seconds after its send an attempt becomes overdue.
    pub(super) fn overdue_after_s(&self, class: usize) -> f64 {
        let class = &self.classes[class];
        class
            .latency_quantile_s
            .min(OVERDUE_OBJECTIVE_FRACTION * class.objective_s)
    }

    /// Returns the value of a class as a fraction, 0 to 1, of the highest value of all classes. The
    /// value is the priority weight per unit of the capacity that a request uses, as an expensive
    /// request displaces several cheap ones. If weights are per request, the mean latency of the
    /// class stands for that capacity.
    pub(super) fn relative_value(&self, class: usize) -> f64 {
        let highest_value = self
            .classes
            .iter()
            .map(|class| self.value(class))
            .fold(1e-9, f64::max);
        self.value(&self.classes[class]) / highest_value
    }

    fn value(&self, class: &ClassRecord) -> f64 {
        if self.scales_priority_weight_by_work {
            class.priority_weight
        } else {
            class.priority_weight / class.mean_latency_s.max(MIN_LATENCY_S)
        }
    }

    /// Returns how much the queues may still grow, in seconds of latency; negative if they are too
    /// long. All classes share the queues, so the class whose mean latency is closest to its limit
    /// decides. The limit is `objective_fraction` of the latency objective of the class.
    pub(super) fn queue_slack_s(&self, objective_fraction: f64) -> f64 {
        let counted = self
            .classes
            .iter()
            .filter(|class| class.admitted_fraction > MIN_ADMITTED_FRACTION);
        let slack_s =
            |class: &ClassRecord| objective_fraction * class.objective_s - class.mean_latency_s;
        counted.map(slack_s).fold(f64::INFINITY, f64::min)
    }

    /// Records that a request of the class was admitted.
    pub(super) fn record_admission(&mut self, class: usize) {
        for (index, record) in self.classes.iter_mut().enumerate() {
            let newest_fraction = f64::from(u8::from(index == class));
            record.admitted_fraction +=
                ADMITTED_NEWEST_WEIGHT * (newest_fraction - record.admitted_fraction);
        }
    }

    /// Adds the latency of an attempt to the statistics of its class. Returns the latency as a
    /// multiple of the previous mean latency of the class.
    pub(super) fn record_latency(
        &mut self,
        class: usize,
        source: LatencySource,
        latency_s: f64,
        now_s: f64,
    ) -> f64 {
        let record = &mut self.classes[class];
        let latency_ratio = latency_s / record.mean_latency_s.max(1e-6);
        let counted_latency_s = match source {
            LatencySource::Success => {
                record.update_quantile(latency_s);
                latency_s
            }
            LatencySource::Abandoned => ABANDONED_LATENCY_MULTIPLE * latency_s,
        };
        record.update_mean(counted_latency_s, now_s);
        latency_ratio
    }

    /// Reduces the mean latency of classes without recent responses. Without this, a high mean
    /// could leave no spare capacity, and no request would be admitted whose latency could lower
    /// the mean.
    pub(super) fn decay_stale_latencies(&mut self, elapsed_s: f64, now_s: f64) {
        let is_stale = |class: &&mut ClassRecord| now_s > class.last_sample_at_s + LATENCY_VALID_S;
        for class in self.classes.iter_mut().filter(is_stale) {
            let excess_latency_s =
                class.mean_latency_s - DECAYED_LATENCY_FRACTION * class.objective_s;
            class.mean_latency_s -=
                newest_weight(elapsed_s, LATENCY_VALID_S) * excess_latency_s.max(0.0);
        }
    }
}

impl ClassRecord {
    fn update_quantile(&mut self, latency_s: f64) {
        let is_above = latency_s > self.latency_quantile_s;
        self.latency_quantile_s *= if is_above {
            1.0 + QUANTILE_STEP * OVERDUE_QUANTILE
        } else {
            1.0 - QUANTILE_STEP * (1.0 - OVERDUE_QUANTILE)
        };
        // An objective below the lower limit takes precedence, so this is not a `clamp`.
        self.latency_quantile_s = self
            .latency_quantile_s
            .max(MIN_QUANTILE_S)
            .min(self.objective_s);
    }

    fn update_mean(&mut self, latency_s: f64, now_s: f64) {
        let latency_s = latency_s.min(MAX_LATENCY_MULTIPLE * self.objective_s);
        let sample_interval_s = now_s - self.last_sample_at_s;
        let weight_of_newest = (sample_interval_s / LATENCY_TIME_CONSTANT_S)
            .clamp(MIN_NEWEST_WEIGHT, MAX_NEWEST_WEIGHT);
        self.last_sample_at_s = now_s;
        self.mean_latency_s += weight_of_newest * (latency_s - self.mean_latency_s);
    }
}
