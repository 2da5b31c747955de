//! The lease on the list of upstreams: for how long it is sent by once discovery no longer confirms it.
//!
//! A change counts as notified some seconds after a watch has fallen silent, whatever the further calls meet,
//! and as soon as it is written on an answer, though the answer may break off on its way. From a grace after
//! that on, any upstream could be one that drains: nothing new is sent until a list, or a heartbeat, has come
//! whole. A watch that discovery ends is no such doubt: it ends all of them when it goes down.

use super::Balancer;
use crate::interface::Action;
use std::time::Duration;

/// Seconds after which what a silent watch missed counts as notified.
const NOTIFIED_WITHIN: f64 = 6.0;
/// What the end of a lease leaves for a pause between a look at the clock and a write, and for the way there.
const MARGIN: f64 = 0.2;
/// Seconds for which sends are held back at the most: who is cut off for longer serves with an old list.
const HELD_MOST: f64 = 24.0;

/// What is known of how far the list in hand can be trusted. Times are seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListLease {
    /// Since when discovery has been silent.
    silent_since: Option<f64>,
    /// Since when part of an answer has been in hand, and not its end.
    partial_since: Option<f64>,
}

/// A span in which nothing new may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendsHeld {
    /// Its begin.
    pub from: Duration,
    /// Its end, should no list come before.
    pub until: Duration,
}

impl ListLease {
    /// Nothing has come since then, or since an earlier silence that no list has ended.
    pub(super) fn silent(&mut self, since: f64) {
        self.silent_since.get_or_insert(since);
    }

    /// Part of an answer came then, after any other part without an end.
    pub(super) fn partial(&mut self, since: f64) {
        self.partial_since.get_or_insert(since);
    }

    /// When the list stops to be sent by.
    fn end(&self, grace: f64) -> Option<f64> {
        let silent = self.silent_since.map(|since| since + NOTIFIED_WITHIN);
        let notified = [silent, self.partial_since].into_iter().flatten().min_by(f64::total_cmp)?;
        Some(notified + (grace - MARGIN).max(0.0))
    }

    /// Whether nothing new may be sent now.
    fn holds_sends(&self, at: f64, grace: f64) -> bool {
        self.end(grace).is_some_and(|end| (end..end + HELD_MOST).contains(&at))
    }

    /// Whether the list has to be called for before its lease ends.
    pub(super) fn is_partial(&self) -> bool {
        self.partial_since.is_some()
    }
}

impl Balancer {
    /// Discovery has confirmed the list in hand.
    pub(super) fn renew_lease(&mut self) {
        let lease = std::mem::take(&mut self.lease);
        let grace = self.set.drain_grace.as_secs_f64();
        let Some(end) = lease.end(grace).filter(|end| *end <= self.at) else { return };
        let held = (self.at - end).min(HELD_MOST);
        let silent = lease.silent_since.is_some_and(|since| since + NOTIFIED_WITHIN + grace - MARGIN <= end);
        let cause = if silent { "discovery was silent" } else { "an answer broke off" };
        let line = format!("list confirmed again: sends were held for {held:.2} s, as {cause}");
        self.out.push(Action::Log { line });
    }

    /// Whether nothing new may be sent now: the list in hand may be out of date.
    pub(super) fn list_is_stale(&self) -> bool {
        self.lease.holds_sends(self.at, self.set.drain_grace.as_secs_f64())
    }

    /// The span in which nothing new may be sent, unless a list comes before; `None`: the list is confirmed.
    /// An embedder looks here again just before it writes an attempt.
    pub fn sends_held(&self) -> Option<SendsHeld> {
        let from = self.lease.end(self.set.drain_grace.as_secs_f64())?;
        let at = |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, 1e9));
        Some(SendsHeld { from: at(from), until: at(from + HELD_MOST) })
    }
}
