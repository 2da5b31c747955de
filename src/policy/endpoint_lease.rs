//! The lease on the endpoint list: for how long the list is valid once discovery no longer confirms
//! it.
//!
//! A change counts as notified some seconds after a watch has failed, and as soon as it is written
//! to a response, whatever happens to the polls for another list. When a grace period after that
//! has passed, any upstream could be draining: no attempt is sent until a list, or a heartbeat, has
//! been received completely. While discovery is down it notifies no change: polls that time out or
//! are not accepted end such a cause of staleness, others do not.

use crate::interface::{LogEvent, SendPause, StalenessCause, WatchEvent};
use std::time::Duration;

/// Seconds after which missed changes count as notified: by a watch without heartbeats or one that
/// can't be established, by one that discovery ended, and where discovery has moved.
const NOTIFIED_AFTER_SILENCE_S: f64 = 6.0;
const NOTIFIED_AFTER_END_S: f64 = 2.0;
const NOTIFIED_AFTER_MOVE_S: f64 = 4.0;
/// Subtracted from the lease: for a pause between a look at the clock and a write, and for the
/// network.
const SAFETY_MARGIN_S: f64 = 0.2;
/// Seconds within which an overloaded discovery rejects a poll; one that is down does not respond.
const IMMEDIATE_REJECTION_S: f64 = 0.5;
/// Longest pause of sends: a balancer that is partitioned for longer serves with a stale list.
const MAX_PAUSE_S: f64 = 24.0;

/// All causes, in the order of their numbers.
const CAUSES: [StalenessCause; 5] = [
    StalenessCause::WatchSilent,
    StalenessCause::WatchEnded,
    StalenessCause::PollsRejected,
    StalenessCause::DiscoveryMoved,
    StalenessCause::PartialResponse,
];

/// Seconds after which missed changes count as notified.
fn notified_after_s(cause: StalenessCause) -> f64 {
    match cause {
        StalenessCause::WatchSilent | StalenessCause::PollsRejected => NOTIFIED_AFTER_SILENCE_S,
        StalenessCause::WatchEnded => NOTIFIED_AFTER_END_S,
        StalenessCause::DiscoveryMoved => NOTIFIED_AFTER_MOVE_S,
        StalenessCause::PartialResponse => 0.0,
    }
}

/// Whether an outage of discovery ends the cause: it notifies no change meanwhile.
fn ends_with_outage(cause: StalenessCause) -> bool {
    matches!(
        cause,
        StalenessCause::WatchEnded | StalenessCause::PollsRejected | StalenessCause::DiscoveryMoved
    )
}

/// The end of the lease, and what ends it.
#[derive(Clone, Copy)]
struct Expiry {
    at_s: f64,
    cause: StalenessCause,
}

/// How far the endpoint list can be trusted.
pub(super) struct EndpointLease {
    /// How long after a notification sends to a draining upstream may go on.
    drain_grace_s: f64,
    /// A local agent responds at once, and without a response there is no change: with one, only
    /// a partial response makes the list stale.
    has_local_agent: bool,
    /// Since when each of [`CAUSES`] exists.
    stale_since_s: [Option<f64>; CAUSES.len()],
    /// When the list was last confirmed, or discovery last seemed to be down.
    last_excused_at_s: f64,
}

impl EndpointLease {
    pub(super) fn new(drain_grace: Duration, has_local_agent: bool) -> Self {
        Self {
            drain_grace_s: drain_grace.as_secs_f64(),
            has_local_agent,
            stale_since_s: [None; CAUSES.len()],
            last_excused_at_s: 0.0,
        }
    }

    /// Processes a change in the state of the watch or a poll.
    pub(super) fn on_watch_event(&mut self, event: WatchEvent, now_s: f64) {
        match event {
            WatchEvent::Partial { since } => {
                self.add_cause(StalenessCause::PartialResponse, since.as_secs_f64());
            }
            _ if self.has_local_agent => (),
            WatchEvent::Silent { since } => {
                self.add_cause(StalenessCause::WatchSilent, since.as_secs_f64());
            }
            WatchEvent::Ended => {
                self.last_excused_at_s = now_s;
                self.add_cause(StalenessCause::WatchEnded, now_s);
            }
            WatchEvent::Rejected { requested_at }
                if now_s - requested_at.as_secs_f64() < IMMEDIATE_REJECTION_S =>
            {
                self.add_cause(StalenessCause::PollsRejected, self.last_excused_at_s);
            }
            WatchEvent::Rejected { requested_at } | WatchEvent::Unreachable { requested_at } => {
                self.excuse_outage(requested_at.as_secs_f64());
            }
            WatchEvent::Moved => self.add_cause(StalenessCause::DiscoveryMoved, now_s),
        }
    }

    /// Discovery has confirmed the list: a new lease begins. Returns the log event for the pause of
    /// sends that this ends.
    pub(super) fn renew(&mut self, now_s: f64) -> Option<LogEvent> {
        let expired = self.expiry().filter(|expiry| expiry.at_s <= now_s);
        self.stale_since_s = [None; CAUSES.len()];
        self.last_excused_at_s = now_s;
        expired.map(|expiry| LogEvent::EndpointsConfirmed {
            paused_for_s: (now_s - expiry.at_s).min(MAX_PAUSE_S),
            cause: expiry.cause,
        })
    }

    /// Whether no attempt may be sent now.
    pub(super) fn is_expired(&self, now_s: f64) -> bool {
        self.expiry().is_some_and(|expiry| {
            let pause = expiry.at_s..expiry.at_s + MAX_PAUSE_S;
            pause.contains(&now_s)
        })
    }

    /// Whether a response was truncated.
    pub(super) fn has_partial_response(&self) -> bool {
        self.has_cause(StalenessCause::PartialResponse)
    }

    /// Whether discovery rejects polls at once.
    pub(super) fn polls_are_rejected(&self) -> bool {
        self.has_cause(StalenessCause::PollsRejected)
    }

    /// When no attempt may be sent, unless a list is received first; `None`: it is confirmed.
    pub(super) fn send_pause(&self) -> Option<SendPause> {
        let from_s = self.expiry()?.at_s;
        let point = |at_s: f64| Duration::from_secs_f64(at_s.clamp(0.0, 1e9));
        Some(SendPause {
            from: point(from_s),
            until: point(from_s + MAX_PAUSE_S),
        })
    }

    /// Adds a cause, unless it has existed for longer.
    fn add_cause(&mut self, cause: StalenessCause, since_s: f64) {
        self.stale_since_s[cause as usize].get_or_insert(since_s);
    }

    fn has_cause(&self, cause: StalenessCause) -> bool {
        self.stale_since_s[cause as usize].is_some()
    }

    /// Discovery seemed to be down then.
    fn excuse_outage(&mut self, at_s: f64) {
        self.last_excused_at_s = self.last_excused_at_s.max(at_s);
        for cause in CAUSES.iter().filter(|cause| ends_with_outage(**cause)) {
            self.stale_since_s[*cause as usize] = None;
        }
    }

    /// When the lease on the list ends, and why; `None`: the list is confirmed.
    fn expiry(&self) -> Option<Expiry> {
        let notified = |cause: &StalenessCause| {
            let since_s = self.stale_since_s[*cause as usize]?;
            Some(Expiry {
                at_s: since_s + notified_after_s(*cause),
                cause: *cause,
            })
        };
        let first = CAUSES
            .iter()
            .filter_map(notified)
            .min_by(|a, b| a.at_s.total_cmp(&b.at_s))?;
        let grace_s = (self.drain_grace_s - SAFETY_MARGIN_S).max(0.0);
        Some(Expiry {
            at_s: first.at_s + grace_s,
            ..first
        })
    }
}
