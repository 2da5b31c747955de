//! The decision module's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How far the module's clock has gone at the start: upstreams may have started before this balancer.
const BEFORE_START: Duration = Duration::from_secs(3600);

/// A clock that only goes forward, from an hour before the start.
pub struct Clock {
    start: Instant,
    /// Unix time of the start.
    start_unix: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let start_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_unix,
        }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        BEFORE_START + self.start.elapsed()
    }

    /// A moment of the system's monotonic clock on this one.
    pub fn at(&self, instant: Instant) -> Duration {
        BEFORE_START + instant.saturating_duration_since(self.start)
    }

    /// The moment of the system's monotonic clock at a time on this one.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(BEFORE_START)
    }

    /// A Unix time on this clock, by the wall clock at the start; the same one always comes out the same, and may lie
    /// ahead. `None`: long ago.
    pub fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        let at = (Duration::from_millis(ms) + BEFORE_START).checked_sub(self.start_unix)?;
        (!at.is_zero()).then_some(at)
    }
}
