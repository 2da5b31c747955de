//! The time of a decision.

use crate::random::Random;

/// The time of a decision, and the chance that spreads what it schedules.
pub(super) struct JitteredClock<'a> {
    pub(super) now_s: f64,
    pub(super) random: &'a mut Random,
}

impl JitteredClock<'_> {
    /// So long from now, give or take a quarter: balancers must not act together.
    pub(super) fn after_s(&mut self, span_s: f64) -> f64 {
        self.now_s + span_s * (0.75 + 0.5 * self.random.f64())
    }
}
