//! The decision module's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock's reading at the start of the process. It is not zero, because upstreams may have started earlier.
const START_OFFSET: Duration = Duration::from_secs(3600);

/// A monotonic clock that reads one hour at the start of the process.
pub struct Clock {
    start: Instant,
    /// The Unix time at the start of the process.
    start_unix: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        let start_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_unix,
        }
    }

    /// The current reading.
    pub fn now(&self) -> Duration {
        START_OFFSET + self.start.elapsed()
    }

    /// The reading at an instant of the system's monotonic clock.
    pub fn at(&self, instant: Instant) -> Duration {
        START_OFFSET + instant.saturating_duration_since(self.start)
    }

    /// The instant of the system's monotonic clock at a reading.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(START_OFFSET)
    }

    /// The reading at a Unix time, based on the wall clock at the start of the process. The same Unix time always gives
    /// the same reading, which may be in the future. `None` if it is before the clock's zero.
    pub fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        let at = (Duration::from_millis(ms) + START_OFFSET).checked_sub(self.start_unix)?;
        (!at.is_zero()).then_some(at)
    }
}
