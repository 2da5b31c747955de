//! Local health, after Lifeguard: a process that is slow must not judge others by its own clock.

use std::time::Duration;

/// The worst score. Each point lengthens this process's own probes by their full duration.
const MAX_SCORE: u32 = 4;
/// A timeout that runs later than this is a sign of slowness.
const SLOW_AFTER: Duration = Duration::from_millis(250);
/// A timeout that runs later than this means that the process was stopped: checks in progress prove
/// nothing.
pub(crate) const PAUSED_AFTER: Duration = Duration::from_millis(500);

/// The local health score; 0 is healthy.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records how late a timeout ran.
    pub(crate) fn record_lateness(&mut self, lateness: Duration) {
        if lateness > SLOW_AFTER {
            self.degrade();
        }
    }

    /// Others suspect this process, or it ran late.
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// A check was acknowledged in time.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score: 0 is healthy, 4 the worst.
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// How many times as long probes take with the current score.
    pub(crate) fn time_factor(&self) -> u32 {
        1 + self.score
    }

    /// A duration, lengthened by the current score.
    pub(crate) fn scale(&self, duration: Duration) -> Duration {
        duration * self.time_factor()
    }
}
