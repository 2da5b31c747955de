//! The clock whose readings the decision module receives as times.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock's reading at the start of the process. It is above zero, so that the start of an upstream up to one hour
/// before the start of this process has a reading.
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

    /// Returns the current reading.
    pub fn now(&self) -> Duration {
        START_OFFSET + self.start.elapsed()
    }

    /// Returns the reading at an instant of the system's monotonic clock; instants before the start of the process
    /// count as that start.
    pub fn at(&self, instant: Instant) -> Duration {
        START_OFFSET + instant.saturating_duration_since(self.start)
    }

    /// Returns the instant of the system's monotonic clock at a reading; readings before the start of the process count
    /// as that start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(START_OFFSET)
    }

    /// Returns the reading at a Unix time in milliseconds, based on the wall clock at the start of the process: later
    /// changes of the wall clock have no effect, and the reading may be in the future. `None` for a Unix time one hour
    /// or more before the start of the process, where the reading would be zero or negative.
    pub fn at_unix_ms(&self, ms: u64) -> Option<Duration> {
        let at = (Duration::from_millis(ms) + START_OFFSET).checked_sub(self.start_unix)?;
        (!at.is_zero()).then_some(at)
    }
}
