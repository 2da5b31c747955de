//! Rate-limited warnings about peers, which could otherwise fill the log.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The minimum interval between two warnings.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Passes at most one warning a second, and counts the suppressed ones.
#[derive(Default)]
pub struct RateLimitedLog {
    last: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl RateLimitedLog {
    /// Calls `write` with the number of warnings suppressed before, unless one was written within the last second.
    pub fn warn(&self, write: impl FnOnce(u64)) {
        let now = Instant::now();
        if self
            .last
            .get()
            .is_some_and(|last| now - last < MIN_INTERVAL)
        {
            self.suppressed.set(self.suppressed.get() + 1);
            return;
        }
        self.last.set(Some(now));
        write(self.suppressed.replace(0));
    }
}
