//! When upstreams started, on this balancer's own clock.
//!
//! The list dates a start by the wall clock, and the wall clocks of two machines may be far apart. What decides is when
//! a start is first seen. The wall clock only says how long ago it was where that fits what a list takes to come.

use crate::endpoint_list::EndpointEntry;
use frostkeel_policy::{Availability, UpstreamId};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::Duration;

/// A start is seen so long after it was at the most: the list may learn late of one that fell silent and came back. One
/// that looks older, or lies ahead, is dated by a clock that is off, unless it is in the first list of all.
const SEEN_AFTER_MOST: Duration = Duration::from_secs(15);

/// The latest start of one upstream.
struct Start {
    boot_ms: u64,
    at: Option<Duration>,
}

/// The latest start of each upstream that is listed.
#[derive(Default)]
pub struct Incarnations(FxHashMap<UpstreamId, Start>);

impl Incarnations {
    /// Whether no list has been seen yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// When an upstream started that is listed now; `None`: long ago. `dated` is that start by the wall clock, and
    /// `first` says that it is in the first list of all, which tells of starts of any age.
    pub fn observe(
        &mut self,
        entry: &EndpointEntry,
        now: Duration,
        dated: Option<Duration>,
        first: bool,
    ) -> Option<Duration> {
        if entry.place.availability == Availability::Removed {
            self.0.remove(&entry.id);
            return None;
        }
        let boot_ms = entry.place.boot_ms;
        if let Some(start) = self
            .0
            .get(&entry.id)
            .filter(|start| start.boot_ms == boot_ms)
        {
            return start.at;
        }
        let at = match dated {
            _ if boot_ms == 0 => None,
            None if first => None,
            Some(at) if at <= now && (first || now - at <= SEEN_AFTER_MOST) => Some(at),
            _ => Some(now),
        };
        self.0.insert(entry.id, Start { boot_ms, at });
        at
    }

    /// Forgets all that are not listed any more.
    pub fn retain_listed(&mut self, endpoints: &FxHashSet<UpstreamId>) {
        self.0.retain(|id, _| endpoints.contains(id));
    }
}
