//! The recorder of events, which also keeps the clock of a run.

use crate::history::{Event, EventKind};
use crate::sync::lock;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// The offset from the start that [`History::instant_at`] uses for a number of seconds that a
/// [`Duration`] cannot represent.
const FALLBACK_OFFSET: Duration = Duration::from_secs(3600);

/// The events that were recorded in a run.
#[derive(Debug, Default)]
pub struct Recording {
    /// The recorded events, in the order of their times.
    pub events: Vec<Event>,
    /// The number of events that were dropped because the history had reached its limit.
    pub dropped_count: u64,
}

/// The history of a run, which records events up to a limit.
pub struct History {
    start: OnceLock<Instant>,
    recording: Mutex<Recording>,
    max_events: usize,
}

impl History {
    /// Creates an empty history for at most `max_events` events. Its clock stays at zero until
    /// [`start_clock`](Self::start_clock) is called.
    pub fn new(max_events: usize) -> Self {
        Self {
            start: OnceLock::new(),
            recording: Mutex::default(),
            max_events,
        }
    }

    /// Starts the clock; later calls have no effect.
    pub fn start_clock(&self) {
        self.start.get_or_init(Instant::now);
    }

    /// Returns the time since the start of the clock, or zero before the start.
    pub fn now(&self) -> Duration {
        self.start.get().map_or(Duration::ZERO, |start| {
            Instant::now().saturating_duration_since(*start)
        })
    }

    /// Returns the instant that is `seconds` after the start of the clock, or after now if the
    /// clock has not started. A negative value counts as 0.
    pub fn instant_at(&self, seconds: f64) -> Instant {
        let start = self.start.get().copied().unwrap_or_else(Instant::now);
        start + Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(FALLBACK_OFFSET)
    }

    /// Records an event with the current time of the clock, or counts it as dropped at the limit.
    pub fn record(&self, kind: EventKind) {
        // The lock is held while the clock is read, so that the events are in the order of their
        // times.
        let mut recording = lock(&self.recording);
        let at_us = self.now().as_micros() as u64;
        if recording.events.len() < self.max_events {
            recording.events.push(Event { at_us, kind });
        } else {
            recording.dropped_count += 1;
        }
    }

    /// Removes and returns the events that have been recorded until now.
    pub fn take(&self) -> Recording {
        std::mem::take(&mut *lock(&self.recording))
    }
}
