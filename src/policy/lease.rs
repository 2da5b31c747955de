//! The lease on the list of upstreams: for how long it is sent by once discovery no longer confirms it.
//!
//! A change counts as notified some seconds after a watch has broken, and as soon as it is written on an
//! answer, whatever the calls for another list meet. From a grace after that on, any upstream could be one
//! that drains: nothing new is sent until a list, or a heartbeat, has come whole. While discovery is down it
//! knows of no change: calls that wait in vain or meet nobody end such a doubt, others do not.

use super::Balancer;
use crate::interface::{Action, WatchEvent};
use std::time::Duration;

/// Seconds after which what was missed counts as notified: by a watch that fell silent or is not to be had,
/// by one that discovery ended, and where discovery has moved.
const AFTER_SILENCE: f64 = 6.0;
const AFTER_END: f64 = 2.0;
const AFTER_MOVE: f64 = 4.0;
/// What the end of a lease leaves for a pause between a look at the clock and a write, and for the way there.
const MARGIN: f64 = 0.2;
/// Seconds within which a discovery that is up and crowded turns a call away; one that is down lets it wait.
const REFUSED_AT_ONCE: f64 = 0.5;
/// Seconds for which sends are held back at the most: who is cut off for longer serves with an old list.
const HELD_MOST: f64 = 24.0;

/// Why the list in hand may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// A watch, or a call for one, fell silent.
    Silent,
    /// Discovery ended the watch.
    Ended,
    /// Discovery turns calls away.
    Refused,
    /// Discovery has moved.
    Moved,
    /// An answer came in part.
    Partial,
}

const DOUBTS: [Doubt; 5] = [
    Doubt::Silent,
    Doubt::Ended,
    Doubt::Refused,
    Doubt::Moved,
    Doubt::Partial,
];

impl Doubt {
    /// Seconds after which what was missed counts as notified.
    fn notified_after(self) -> f64 {
        match self {
            Self::Silent | Self::Refused => AFTER_SILENCE,
            Self::Ended => AFTER_END,
            Self::Moved => AFTER_MOVE,
            Self::Partial => 0.0,
        }
    }

    /// Whether it is over where discovery seems to be down.
    fn is_excused(self) -> bool {
        matches!(self, Self::Ended | Self::Refused | Self::Moved)
    }

    /// Its words in the log.
    fn cause(self) -> &'static str {
        match self {
            Self::Silent => "discovery was silent",
            Self::Ended => "discovery ended the watch",
            Self::Refused => "discovery turned calls away",
            Self::Moved => "discovery moved",
            Self::Partial => "an answer broke off",
        }
    }
}

/// What is known of how far the list in hand can be trusted. Times are seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListLease {
    /// Since when there is each of [`DOUBTS`].
    since: [Option<f64>; DOUBTS.len()],
    /// When the list was last confirmed, or discovery last seemed to be down.
    excused_at: f64,
}

/// A span in which nothing new may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPause {
    /// Its begin.
    pub from: Duration,
    /// Its end, should no list come before.
    pub until: Duration,
}

impl ListLease {
    /// A list confirmed now.
    fn confirmed(at: f64) -> Self {
        Self {
            excused_at: at,
            ..Self::default()
        }
    }

    /// A doubt since then, unless there has been the same for longer.
    fn doubt(&mut self, doubt: Doubt, since: f64) {
        self.since[doubt as usize].get_or_insert(since);
    }

    fn has(&self, doubt: Doubt) -> bool {
        self.since[doubt as usize].is_some()
    }

    /// Discovery seemed to be down then.
    fn excuse(&mut self, at: f64) {
        self.excused_at = self.excused_at.max(at);
        for doubt in DOUBTS.iter().filter(|doubt| doubt.is_excused()) {
            self.since[*doubt as usize] = None;
        }
    }

    /// When the list stops to be sent by, and why.
    fn end(&self, grace: f64) -> Option<(f64, Doubt)> {
        let notified = |doubt: &Doubt| {
            Some((
                self.since[*doubt as usize]? + doubt.notified_after(),
                *doubt,
            ))
        };
        let first = DOUBTS
            .iter()
            .filter_map(notified)
            .min_by(|a, b| a.0.total_cmp(&b.0));
        first.map(|(notified, doubt)| (notified + (grace - MARGIN).max(0.0), doubt))
    }
}

impl Balancer {
    /// Takes in what befell the watch or a call. An agent of this balancer's own is silent only where it
    /// knows of nothing, and answers at once else: there only an answer in part is a doubt.
    pub(super) fn list_event(&mut self, event: WatchEvent) {
        let (at, lease) = (self.at, &mut self.lease);
        match event {
            WatchEvent::Partial { since } => {
                lease.doubt(Doubt::Partial, since.as_secs_f64());
                self.list_coming = true;
            }
            _ if self.set.has_local_agent => (),
            WatchEvent::Silent { since } => lease.doubt(Doubt::Silent, since.as_secs_f64()),
            WatchEvent::Ended => {
                lease.excused_at = at;
                lease.doubt(Doubt::Ended, at);
            }
            WatchEvent::Rejected { requested_at }
                if at - requested_at.as_secs_f64() < REFUSED_AT_ONCE =>
            {
                lease.doubt(Doubt::Refused, lease.excused_at);
            }
            WatchEvent::Rejected { requested_at } | WatchEvent::Unreachable { requested_at } => {
                lease.excuse(requested_at.as_secs_f64());
            }
            WatchEvent::Moved => lease.doubt(Doubt::Moved, at),
        }
    }

    /// Discovery has confirmed the list in hand.
    pub(super) fn renew_lease(&mut self) {
        let lease = std::mem::replace(&mut self.lease, ListLease::confirmed(self.at));
        if let Some((end, doubt)) = lease.end(self.grace()).filter(|(end, _)| *end <= self.at) {
            let (held, cause) = ((self.at - end).min(HELD_MOST), doubt.cause());
            let line = format!("list confirmed again: sends were held for {held:.2} s, as {cause}");
            self.out.push(Action::Log { line });
        }
    }

    fn grace(&self) -> f64 {
        self.set.drain_grace.as_secs_f64()
    }

    /// Whether nothing new may be sent now: the list in hand may be out of date.
    pub(super) fn list_is_stale(&self) -> bool {
        self.lease
            .end(self.grace())
            .is_some_and(|(end, _)| (end..end + HELD_MOST).contains(&self.at))
    }

    /// Whether part of an answer came, and not its end.
    pub(super) fn list_is_partial(&self) -> bool {
        self.lease.has(Doubt::Partial)
    }

    /// Whether discovery turns calls away at once.
    pub(super) fn list_calls_are_refused(&self) -> bool {
        self.lease.has(Doubt::Refused)
    }

    /// The span in which nothing new may be sent, unless a list comes before; `None`: the list is confirmed.
    /// An embedder looks here again just before it writes an attempt.
    pub fn send_pause(&self) -> Option<SendPause> {
        let (from, _) = self.lease.end(self.grace())?;
        let at = |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, 1e9));
        Some(SendPause {
            from: at(from),
            until: at(from + HELD_MOST),
        })
    }
}
