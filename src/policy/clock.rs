//! The time of a decision, with jitter for the times that it schedules.

use crate::random::Random;

/// Smallest jitter factor: a time span is shortened by up to a quarter.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Width of the range of jitter factors above [`MIN_JITTER_FACTOR`]: a time span is extended by up
/// to a quarter.
const JITTER_RANGE: f64 = 0.5;

/// The time of a decision, and the random numbers that spread the times it schedules.
pub(super) struct JitteredClock<'a> {
    pub(super) now_s: f64,
    pub(super) random: &'a mut Random,
}

impl JitteredClock<'_> {
    /// Returns the time at which the span of `span_s` seconds from now ends, with jitter added to
    /// the span, so that balancers do not act at the same time.
    pub(super) fn jittered_time_s(&mut self, span_s: f64) -> f64 {
        self.now_s + span_s * (MIN_JITTER_FACTOR + JITTER_RANGE * self.random.f64())
    }
}
