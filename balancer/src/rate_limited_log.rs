//! Rate limits for warnings that a faulty peer or a shortage of resources could otherwise repeat until the log is full.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The minimum interval between two warnings that are written.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// A rate limit for one kind of warning: it passes at most one warning per second and counts the suppressed ones.
#[derive(Default)]
pub struct RateLimitedLog {
    /// When the last warning was written; `None` if none was.
    last_written_at: Cell<Option<Instant>>,
    /// The number of warnings suppressed since then.
    suppressed: Cell<u64>,
}

impl RateLimitedLog {
    /// Calls `write` with the number of warnings suppressed since the last written one. If that was written less than
    /// one second ago, counts this warning as suppressed instead.
    pub fn warn(&self, write: impl FnOnce(u64)) {
        let now = Instant::now();
        if self
            .last_written_at
            .get()
            .is_some_and(|last| now - last < MIN_INTERVAL)
        {
            self.suppressed.set(self.suppressed.get() + 1);
            return;
        }
        self.last_written_at.set(Some(now));
        write(self.suppressed.replace(0));
    }
}
