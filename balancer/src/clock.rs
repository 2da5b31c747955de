//! The decision module's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock's reading at the start of the process: upstreams may have started before this balancer.
const START_OFFSET: Duration = Duration::from_secs(3600);

/// A monotonic clock that reads one hour at the start of the process.
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
        START_OFFSET + self.start.elapsed()
    }

    /// The reading at a moment of the system's monotonic clock.
    pub fn at(&self, instant: Instant) -> Duration {
        START_OFFSET + instant.saturating_duration_since(self.start)
    }

    /// The moment of the system's monotonic clock at a reading.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(START_OFFSET)
    }

    /// The reading at a Unix time, by the wall clock at the start of the process. The same Unix time always gives the
    /// same reading, which may lie ahead. `None`: before the clock's zero.
    pub fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        let at = (Duration::from_millis(ms) + START_OFFSET).checked_sub(self.start_unix)?;
        (!at.is_zero()).then_some(at)
    }
}
