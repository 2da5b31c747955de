//! The lease on the endpoint list: how long the list remains valid after discovery has stopped
//! confirming it.
//!
//! Sends to a draining or removed upstream have to stop within the drain grace, which begins when
//! the change counts as notified. A change that this balancer receives counts as notified on
//! receipt. A change that this balancer has missed counts as notified some seconds after the list
//! could first be stale; [`notified_after_s`] gives this time for each cause of staleness. The time
//! is zero for a response that may be truncated: discovery has written the change to that response,
//! and later polls do not alter this. When the drain grace after a missed change may have passed,
//! any upstream may be draining or removed: no attempt is sent until an update of the list or a
//! heartbeat confirms the list, for at most [`MAX_PAUSE_S`].
//!
//! While discovery is down, it notifies no balancer of a change, so no drain grace begins.
//! Discovery counts as down only if a poll can't connect. An outage ends the causes of staleness
//! that [`ends_with_outage`] accepts; the other causes remain. A poll that has reached discovery
//! and failed, at once or after a wait in its queue, does not show that discovery is down: an
//! overloaded one fails polls in the same way, and goes on notifying others.

use crate::interface::{LogEvent, SendPause, StalenessCause, WatchEvent};
use std::time::Duration;

/// Seconds until a missed change counts as notified, if nothing is received on the watch or in
/// response to a poll, or if polls are rejected.
const NOTIFIED_AFTER_SILENCE_S: f64 = 6.0;
/// Seconds until a missed change counts as notified, if discovery has ended the watch.
const NOTIFIED_AFTER_END_S: f64 = 2.0;
/// Seconds until a missed change counts as notified, if discovery has moved to another address.
const NOTIFIED_AFTER_MOVE_S: f64 = 4.0;
/// Seconds subtracted from the drain grace: for a pause between reading the clock and writing an
/// attempt, and for the network.
const SAFETY_MARGIN_S: f64 = 0.2;
/// Seconds after the send of a poll within which its rejection counts as immediate. A later one
/// ends a poll that has waited: what the ended watch missed then counts as notified only after the
/// time for failed polls.
const IMMEDIATE_REJECTION_S: f64 = 0.5;
/// Longest pause of sends, in seconds. If the list is not confirmed within this time, the balancer
/// sends again, although the list may be stale.
const MAX_PAUSE_S: f64 = 24.0;

/// All causes, in the order of their discriminants.
const CAUSES: [StalenessCause; 5] = [
    StalenessCause::WatchSilent,
    StalenessCause::WatchEnded,
    StalenessCause::PollsRejected,
    StalenessCause::DiscoveryMoved,
    StalenessCause::PartialResponse,
];

/// Returns how many seconds after the beginning of this cause a change that this balancer has
/// missed counts as notified.
fn notified_after_s(cause: StalenessCause) -> f64 {
    match cause {
        StalenessCause::WatchSilent | StalenessCause::PollsRejected => NOTIFIED_AFTER_SILENCE_S,
        StalenessCause::WatchEnded => NOTIFIED_AFTER_END_S,
        StalenessCause::DiscoveryMoved => NOTIFIED_AFTER_MOVE_S,
        StalenessCause::PartialResponse => 0.0,
    }
}

/// Returns whether the cause ends when discovery is found to be down. A discovery that is down
/// notifies no balancer of a change, so no drain grace begins for a change that this balancer has
/// missed.
fn ends_with_outage(cause: StalenessCause) -> bool {
    matches!(
        cause,
        StalenessCause::WatchEnded | StalenessCause::PollsRejected | StalenessCause::DiscoveryMoved
    )
}

/// The end of the lease, and the cause of staleness that leads to it.
#[derive(Clone, Copy)]
struct Expiry {
    at_s: f64,
    cause: StalenessCause,
}

/// The lease on the endpoint list, and the causes for which the list may be stale.
pub(super) struct EndpointLease {
    /// Seconds for which sends to an upstream may continue after its change to draining or removed
    /// counts as notified. The comment at the head of this file says when a change counts as
    /// notified.
    drain_grace_s: f64,
    /// Whether the list comes from a local agent. An agent responds immediately, and a change
    /// counts as notified only after the agent has responded. Of all causes, only a partial
    /// response therefore makes the list of an agent stale.
    has_local_agent: bool,
    /// Time since which each of [`CAUSES`] exists; `None` for a cause that does not exist.
    stale_since_s: [Option<f64>; CAUSES.len()],
    /// Time at which the list last counted as current: discovery confirmed the list, ended a watch,
    /// or seemed to be down. If discovery rejects polls, this balancer may have missed the changes
    /// after this time.
    last_current_at_s: f64,
}

impl EndpointLease {
    pub(super) fn new(drain_grace: Duration, has_local_agent: bool) -> Self {
        Self {
            drain_grace_s: drain_grace.as_secs_f64(),
            has_local_agent,
            stale_since_s: [None; CAUSES.len()],
            last_current_at_s: 0.0,
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
                self.last_current_at_s = now_s;
                self.add_cause(StalenessCause::WatchEnded, now_s);
            }
            WatchEvent::Rejected { requested_at } => {
                let waited_s = now_s - requested_at.as_secs_f64();
                if waited_s >= IMMEDIATE_REJECTION_S {
                    self.remove_cause(StalenessCause::WatchEnded);
                }
                self.add_cause(StalenessCause::PollsRejected, self.last_current_at_s);
            }
            WatchEvent::Unreachable { requested_at } => {
                self.record_outage(requested_at.as_secs_f64());
            }
            WatchEvent::Moved => self.add_cause(StalenessCause::DiscoveryMoved, now_s),
        }
    }

    /// Begins a new lease after discovery has confirmed the list. Returns the log event for the
    /// pause of sends that followed the end of the last lease; `None` if that lease had not ended.
    pub(super) fn renew(&mut self, now_s: f64) -> Option<LogEvent> {
        let past_expiry = self.expiry().filter(|expiry| expiry.at_s <= now_s);
        self.stale_since_s = [None; CAUSES.len()];
        self.last_current_at_s = now_s;
        past_expiry.map(|expiry| LogEvent::EndpointsConfirmed {
            paused_for_s: (now_s - expiry.at_s).min(MAX_PAUSE_S),
            cause: expiry.cause,
        })
    }

    /// Returns whether sends are paused: the lease ended less than [`MAX_PAUSE_S`] ago.
    pub(super) fn is_expired(&self, now_s: f64) -> bool {
        self.expiry().is_some_and(|expiry| {
            let pause = expiry.at_s..expiry.at_s + MAX_PAUSE_S;
            pause.contains(&now_s)
        })
    }

    /// Returns whether the response to the last poll may be truncated.
    pub(super) fn has_partial_response(&self) -> bool {
        self.has_cause(StalenessCause::PartialResponse)
    }

    /// Returns whether discovery rejects polls.
    pub(super) fn polls_are_rejected(&self) -> bool {
        self.has_cause(StalenessCause::PollsRejected)
    }

    /// Returns the period in which no attempt may be sent unless discovery confirms the list first;
    /// `None` while the list is confirmed.
    pub(super) fn send_pause(&self) -> Option<SendPause> {
        let pause_from_s = self.expiry()?.at_s;
        let to_duration = |at_s: f64| Duration::from_secs_f64(at_s.clamp(0.0, 1e9));
        Some(SendPause {
            from: to_duration(pause_from_s),
            until: to_duration(pause_from_s + MAX_PAUSE_S),
        })
    }

    /// Adds a cause that exists since `since_s`; a cause that is already known keeps its time.
    fn add_cause(&mut self, cause: StalenessCause, since_s: f64) {
        self.stale_since_s[cause as usize].get_or_insert(since_s);
    }

    fn remove_cause(&mut self, cause: StalenessCause) {
        self.stale_since_s[cause as usize] = None;
    }

    fn has_cause(&self, cause: StalenessCause) -> bool {
        self.stale_since_s[cause as usize].is_some()
    }

    /// Records that discovery seemed to be down at `at_s`. This ends the causes that
    /// [`ends_with_outage`] accepts.
    fn record_outage(&mut self, down_at_s: f64) {
        self.last_current_at_s = self.last_current_at_s.max(down_at_s);
        for cause in CAUSES.into_iter().filter(|cause| ends_with_outage(*cause)) {
            self.remove_cause(cause);
        }
    }

    /// Returns the time at which the lease on the list ends, and the cause; `None` while the list
    /// is confirmed.
    fn expiry(&self) -> Option<Expiry> {
        let expiry_without_grace = |cause: &StalenessCause| {
            let since_s = self.stale_since_s[*cause as usize]?;
            Some(Expiry {
                at_s: since_s + notified_after_s(*cause),
                cause: *cause,
            })
        };
        let first_expiry = CAUSES
            .iter()
            .filter_map(expiry_without_grace)
            .min_by(|a, b| a.at_s.total_cmp(&b.at_s))?;
        let grace_s = (self.drain_grace_s - SAFETY_MARGIN_S).max(0.0);
        Some(Expiry {
            at_s: first_expiry.at_s + grace_s,
            ..first_expiry
        })
    }
}
