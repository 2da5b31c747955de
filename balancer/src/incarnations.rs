//! The start times of upstreams on this balancer's own clock.
//!
//! The endpoint list gives start times by the wall clock, and the wall clocks of two machines may differ by any amount.
//! A start is therefore dated by the time of its first observation. The wall clock is used only to estimate how long
//! before that it was, and only if the estimate is within the delay with which a list may arrive.

use crate::discovery::EndpointEntry;
use frostkeel_policy::{Availability, UpstreamId};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;

/// The longest delay between a start and its observation: the list may be updated late after a restart. A start that
/// seems older, or in the future, was dated by a wrong clock, unless it is in the first list of the process.
const MAX_OBSERVATION_DELAY: Duration = Duration::from_secs(15);

/// The latest start of one upstream.
struct Incarnation {
    boot_ms: u64,
    started_at: Option<Duration>,
}

/// The times used to date a start.
pub struct StartObservation {
    /// The time of the observation.
    pub now: Duration,
    /// The start by the wall clock; `None` if it is before the clock's zero.
    pub wall_clock_start: Option<Duration>,
    /// Whether it is in the first list of the process, which may contain starts of any age.
    pub is_first_list: bool,
}

/// The latest start of each listed upstream.
#[derive(Default)]
pub struct Incarnations(FxHashMap<UpstreamId, Incarnation>);

impl Incarnations {
    /// Whether no list has been observed yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records a listed upstream and returns its start time; `None` if it is unknown or before the clock's zero.
    pub fn observe(
        &mut self,
        entry: &EndpointEntry,
        observation: &StartObservation,
    ) -> Option<Duration> {
        if entry.state.availability == Availability::Removed {
            self.0.remove(&entry.id);
            return None;
        }
        let boot_ms = entry.state.boot_ms;
        if let Some(known) = self
            .0
            .get(&entry.id)
            .filter(|known| known.boot_ms == boot_ms)
        {
            return known.started_at;
        }
        let started_at = if boot_ms == 0 {
            None
        } else {
            observation.started_at()
        };
        self.0.insert(
            entry.id,
            Incarnation {
                boot_ms,
                started_at,
            },
        );
        started_at
    }

    /// Removes all upstreams that are not listed.
    pub fn remove_unlisted(&mut self, listed: &FxHashSet<UpstreamId>) {
        self.0.retain(|id, _| listed.contains(id));
    }
}

impl StartObservation {
    fn started_at(&self) -> Option<Duration> {
        let is_plausible = |at: Duration| {
            at <= self.now && (self.is_first_list || self.now - at <= MAX_OBSERVATION_DELAY)
        };
        match self.wall_clock_start {
            None if self.is_first_list => None,
            Some(at) if is_plausible(at) => Some(at),
            _ => Some(self.now),
        }
    }
}
