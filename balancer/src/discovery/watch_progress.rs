//! How long a watch may go without a line, or a line without its end.

use std::time::Duration;
use tokio::time::Instant;

/// A watch sends a line every 2 s. Without one for this long it is dead, whatever its connection looks like; the
/// rest of the 6 s after which a change counts as notified is for opening another.
pub const MAX_SILENCE: Duration = Duration::from_millis(3000);
/// A line that has begun and does not go on for this long is truncated: the list is requested anew while the change
/// may still be learned within the grace time of a drain.
const MAX_STALL: Duration = Duration::from_millis(500);
/// The longest that one line may take to arrive: meanwhile nothing is sent by the list before it.
const MAX_LINE_TIME: Duration = Duration::from_secs(12);

/// How far the lines of a watch have come.
pub(super) struct WatchProgress {
    last_line_at: Instant,
    last_byte_at: Instant,
    /// Since when part of a line has been in hand.
    line_began_at: Option<Instant>,
}

impl WatchProgress {
    /// The response has begun, and its first line is still to come.
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

    /// Notes that part of a line is in hand; returns whether it is the first part.
    pub(super) fn on_partial_line(&mut self) -> bool {
        let is_first = self.line_began_at.is_none();
        self.line_began_at.get_or_insert(self.last_byte_at);
        is_first
    }

    /// When the watch is given up if nothing comes.
    pub(super) fn give_up_at(&self) -> Instant {
        match self.line_began_at {
            None => self.last_line_at + MAX_SILENCE,
            Some(began_at) => (self.last_byte_at + MAX_STALL).min(began_at + MAX_LINE_TIME),
        }
    }

    /// Since when the watch has been silent; `None`: part of a line is in hand.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        self.line_began_at.is_none().then_some(self.last_line_at)
    }

    pub(super) fn last_byte_at(&self) -> Instant {
        self.last_byte_at
    }
}
