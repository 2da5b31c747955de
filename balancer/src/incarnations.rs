//! The start times of upstream processes on this balancer's own clock.
//!
//! The list gives start times in Unix time, and the wall clocks of two machines may differ by any amount. A listed time
//! is therefore used only if it is at most 15 s before this balancer first observed the start. Otherwise the time of
//! that observation is used.

use crate::discovery::EndpointEntry;
use frostkeel_policy::{Availability, UpstreamId};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;

/// The longest plausible delay between a start and its observation; a delay arises where the list is updated late after
/// a restart. A start that seems older than this, or in the future, was dated by a wrong clock. Starts in the first
/// list of this process may be older.
const MAX_OBSERVATION_DELAY: Duration = Duration::from_secs(15);

/// The latest start of one upstream's process.
struct Incarnation {
    /// The start in Unix milliseconds, as listed; 0 if it is not listed.
    boot_ms: u64,
    /// The start on this balancer's clock; `None` if it is unknown or precedes the clock's range.
    started_at: Option<Duration>,
}

/// The observation of a start in an endpoint list, by which the start is dated.
pub struct StartObservation {
    /// The time of the observation, on this balancer's clock.
    pub now: Duration,
    /// The listed start, converted to this balancer's clock; `None` if it precedes the clock's range.
    pub wall_clock_start: Option<Duration>,
    /// Whether the start is in the first list that this process has received, which may contain starts of any age.
    pub is_first_list: bool,
}

/// The latest start of each listed upstream's process.
#[derive(Default)]
pub struct Incarnations(FxHashMap<UpstreamId, Incarnation>);

impl Incarnations {
    /// Returns whether no upstream is recorded, as before the first list.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records a listed upstream and returns its start time on this balancer's clock; `None` if the start is unknown,
    /// precedes the clock's range, or belongs to a removed upstream.
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

    /// Removes all upstreams that are not in `listed`.
    pub fn remove_unlisted(&mut self, listed: &FxHashSet<UpstreamId>) {
        self.0.retain(|id, _| listed.contains(id));
    }
}

impl StartObservation {
    /// Returns the listed start if it is plausible, otherwise the time of the observation; `None` for a start in the
    /// first list that precedes the clock's range.
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
