//! The time of a decision.

use crate::random::Random;

/// Bounds of the jitter: a span is cut or extended by a quarter.
const MIN_JITTER: f64 = 0.75;
const JITTER: f64 = 0.5;

/// The time of a decision, and the randomness that spreads what it schedules.
pub(super) struct JitteredClock<'a> {
    pub(super) now_s: f64,
    pub(super) random: &'a mut Random,
}

impl JitteredClock<'_> {
    /// A time after this span, with jitter: balancers must not act at the same time.
    pub(super) fn after_s(&mut self, span_s: f64) -> f64 {
        self.now_s + span_s * (MIN_JITTER + JITTER * self.random.f64())
    }
}
