//! Timeouts of a watch: the time without a line, and the time to complete a line.

use std::time::Duration;
use tokio::time::Instant;

/// A watch sends a line every 2 s. Without one for this long it has failed, even if its connection is still open. A
/// change counts as notified after 6 s; the remaining time is for opening another watch.
pub const MAX_SILENCE: Duration = Duration::from_millis(3000);
/// A line that makes no progress for this long is truncated. The list is then requested again while the change can
/// still be learned within the grace time of a drain.
const MAX_STALL: Duration = Duration::from_millis(500);
/// The longest time to receive one line: meanwhile no request is sent based on the previous list.
const MAX_LINE_TIME: Duration = Duration::from_secs(12);

/// The progress of a watch.
pub(super) struct WatchProgress {
    last_line_at: Instant,
    last_byte_at: Instant,
    /// When the first part of the current, incomplete line was received.
    line_began_at: Option<Instant>,
}

impl WatchProgress {
    /// Starts when the response has begun; its first line is outstanding.
    pub(super) fn new(responded_at: Instant) -> Self {
        Self {
            last_line_at: responded_at,
            last_byte_at: responded_at,
            line_began_at: None,
        }
    }

    pub(super) fn on_bytes(&mut self) {
        self.last_byte_at = Instant::now();
    }

    pub(super) fn on_line(&mut self) {
        self.last_line_at = self.last_byte_at;
        self.line_began_at = None;
    }

    /// Records that part of a line has been received; returns whether it is the first part.
    pub(super) fn on_partial_line(&mut self) -> bool {
        let is_first = self.line_began_at.is_none();
        self.line_began_at.get_or_insert(self.last_byte_at);
        is_first
    }

    /// When the watch times out if no data is received.
    pub(super) fn give_up_at(&self) -> Instant {
        match self.line_began_at {
            None => self.last_line_at + MAX_SILENCE,
            Some(began_at) => (self.last_byte_at + MAX_STALL).min(began_at + MAX_LINE_TIME),
        }
    }

    /// Since when the watch has sent no line; `None` while a line is incomplete.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        self.line_began_at.is_none().then_some(self.last_line_at)
    }

    pub(super) fn last_byte_at(&self) -> Instant {
        self.last_byte_at
    }
}
