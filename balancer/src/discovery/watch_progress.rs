//! The timeouts of a watch: how long it may send no line, and how long one line may take.

use std::time::Duration;
use tokio::time::Instant;

/// The longest time between two lines of a watch. Discovery sends a line every 2 s, so a watch without a line for
/// longer than this has failed, even if its connection is still open. Changes count as notified 6 s after the last
/// line; the rest of that time is for opening another watch.
pub const MAX_SILENCE: Duration = Duration::from_millis(3000);
/// The longest time between two parts of one line. A line without further data for this time counts as truncated. The
/// list is then requested again early enough to learn of a drain before its grace period ends.
const MAX_STALL: Duration = Duration::from_millis(500);
/// The longest time to receive one line. While a line is incomplete, the previous list may be outdated: sends that are
/// based on it are paused once the drain grace has passed.
const MAX_LINE_TIME: Duration = Duration::from_secs(12);

/// The progress of a watch, from which its next timeout is computed.
pub(super) struct WatchProgress {
    /// When the last complete line was received, or when the response began if there was none.
    last_line_at: Instant,
    /// When data was last received, or when the response began if there was none.
    last_byte_at: Instant,
    /// When the first part of the current, incomplete line was received; `None` between lines.
    line_began_at: Option<Instant>,
}

impl WatchProgress {
    /// Creates the progress of a watch whose response began at `responded_at`, before its first line.
    pub(super) fn new(responded_at: Instant) -> Self {
        Self {
            last_line_at: responded_at,
            last_byte_at: responded_at,
            line_began_at: None,
        }
    }

    /// Records that data has been received now.
    pub(super) fn on_bytes(&mut self) {
        self.last_byte_at = Instant::now();
    }

    /// Records that the last received data completed a line.
    pub(super) fn on_line(&mut self) {
        self.last_line_at = self.last_byte_at;
        self.line_began_at = None;
    }

    /// Records that the last received data is part of an incomplete line. Returns whether it is the line's first part.
    pub(super) fn on_partial_line(&mut self) -> bool {
        let is_first = self.line_began_at.is_none();
        self.line_began_at.get_or_insert(self.last_byte_at);
        is_first
    }

    /// Returns when the watch times out unless further data is received.
    pub(super) fn times_out_at(&self) -> Instant {
        match self.line_began_at {
            None => self.last_line_at + MAX_SILENCE,
            Some(began_at) => (self.last_byte_at + MAX_STALL).min(began_at + MAX_LINE_TIME),
        }
    }

    /// Returns when the last complete line was received; `None` while a line is incomplete.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        self.line_began_at.is_none().then_some(self.last_line_at)
    }

    /// Returns when data was last received.
    pub(super) fn last_byte_at(&self) -> Instant {
        self.last_byte_at
    }
}
