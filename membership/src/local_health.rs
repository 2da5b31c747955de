//! Local health, after Lifeguard: a process that is slow itself must not conclude from its own
//! timeouts that others have failed.

use std::time::Duration;

/// The worst score. With a score of n, the intervals and timeouts of this process's own probes and
/// checks are multiplied by n + 1.
const MAX_SCORE: u32 = 4;
/// The lateness of a timeout above which this process counts as slow.
const SLOW_AFTER: Duration = Duration::from_millis(250);
/// The lateness of a timeout above which this process counts as paused: checks in progress are then
/// no evidence of a failure.
pub(crate) const PAUSED_AFTER: Duration = Duration::from_millis(500);

/// The local health score of this process, from 0 (healthy) to 4 (worst).
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records how late a timeout ran, and worsens the score if this process was slow.
    pub(crate) fn record_lateness(&mut self, lateness: Duration) {
        if lateness > SLOW_AFTER {
            self.degrade();
        }
    }

    /// Worsens the score by one point. Called when this process ran late or when others suspect it.
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Improves the score by one point. Called when a member acknowledged a check in time.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns the score, from 0 (healthy) to 4 (worst).
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// Returns the factor by which the intervals and timeouts of probes and checks are multiplied
    /// at the current score: 1 to 5.
    pub(crate) fn time_factor(&self) -> u32 {
        1 + self.score
    }

    /// Returns a duration multiplied by the factor of the current score.
    pub(crate) fn scale(&self, duration: Duration) -> Duration {
        duration * self.time_factor()
    }
}
