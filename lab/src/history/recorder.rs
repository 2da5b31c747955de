//! The recorder of events, and the clock of a run.

use crate::history::{Event, EventKind};
use crate::sync::lock;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// The furthest moment that [`History::instant_at`] returns, for a time that cannot be represented.
const MAX_OFFSET: Duration = Duration::from_secs(3600);

/// The events of a run.
#[derive(Debug, Default)]
pub struct Recording {
    /// The recorded events, in the order of time.
    pub events: Vec<Event>,
    /// Events that were dropped at the limit.
    pub dropped_count: u64,
}

/// Records events up to a limit.
pub struct History {
    start: OnceLock<Instant>,
    recording: Mutex<Recording>,
    max_events: usize,
}

impl History {
    /// An empty history. Its clock is at zero until [`start_clock`](Self::start_clock).
    pub fn new(max_events: usize) -> Self {
        Self {
            start: OnceLock::new(),
            recording: Mutex::default(),
            max_events,
        }
    }

    /// Starts the clock.
    pub fn start_clock(&self) {
        self.start.get_or_init(Instant::now);
    }

    /// The time since the start of the clock.
    pub fn now(&self) -> Duration {
        self.start.get().map_or(Duration::ZERO, |start| {
            Instant::now().saturating_duration_since(*start)
        })
    }

    /// The moment that is so many seconds after the start of the clock.
    pub fn instant_at(&self, seconds: f64) -> Instant {
        let start = self.start.get().copied().unwrap_or_else(Instant::now);
        start + Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_OFFSET)
    }

    /// Records what has just happened.
    pub fn record(&self, kind: EventKind) {
        // The lock covers the reading of the clock, so that events are in the order of their times.
        let mut recording = lock(&self.recording);
        let at_us = self.now().as_micros() as u64;
        if recording.events.len() < self.max_events {
            recording.events.push(Event { at_us, kind });
        } else {
            recording.dropped_count += 1;
        }
    }

    /// Removes and returns the events recorded so far.
    pub fn take(&self) -> Recording {
        std::mem::take(&mut *lock(&self.recording))
    }
}
