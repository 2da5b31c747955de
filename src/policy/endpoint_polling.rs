//! Decides when discovery is polled for the endpoint list: at the start, if a poll gets no
//! response, and with a jittered backoff after failures.

use crate::interface::Settings;
use crate::random::Random;

/// Seconds that discovery needs for the poll of each balancer. Discovery serves polls one after
/// another; a poll that waits for too long fails and is retried.
const POLL_SERVICE_S: f64 = 0.05;
/// Upper limit of the time over which the polls of all balancers are spread, as a fraction of the
/// poll interval.
const MAX_SPREAD_FRACTION: f64 = 0.5;
/// Seconds after which a change counts as notified even if this balancer has not received it.
/// `endpoint_lease.rs` describes when a change counts as notified.
const NOTIFIED_WITHIN_S: f64 = 6.0;
/// Part of [`NOTIFIED_WITHIN_S`] that a successful poll takes, including the time to connect.
const POLL_DURATION_S: f64 = 1.5;
/// Part of [`NOTIFIED_WITHIN_S`] that passes until the loss of the heartbeats of a watch is
/// detected.
const WATCH_SILENCE_S: f64 = 3.0;
/// Longest backoff, in seconds, after a poll that was rejected. If there are so many
/// balancers that their polls are spread over a longer time, that time is the longest backoff.
const MAX_REJECTED_BACKOFF_S: f64 = 2.0;
/// Shortest backoff in seconds, before jitter.
const MIN_BACKOFF_S: f64 = 0.25;
/// Longest time, in seconds, over which many balancers spread their polls after failures.
const MAX_BACKOFF_SPREAD_S: f64 = 3.0;
/// Longest exponential backoff, as a fraction of the poll interval.
const MAX_BACKOFF_FRACTION: f64 = 0.8;
/// Divisor of the longest exponential backoff that gives the first one.
const FIRST_BACKOFF_DIVISOR: f64 = 16.0;
/// Number of doublings from the first exponential backoff to the longest.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Smallest factor by which jitter multiplies a backoff.
const MIN_BACKOFF_JITTER_FACTOR: f64 = 0.1;
/// Width of the range of jitter factors above [`MIN_BACKOFF_JITTER_FACTOR`].
const BACKOFF_JITTER_RANGE: f64 = 0.9;
/// Shortest time, in seconds, after which a poll of discovery without a response is retried.
const MIN_POLL_TIMEOUT_S: f64 = 4.0;
/// Time after which a poll of discovery without a response is retried, as a fraction of the poll
/// interval, before jitter is added.
const POLL_TIMEOUT_FRACTION: f64 = 0.4;
/// Largest jitter that is added to the time after which a poll of discovery is retried, as a
/// fraction of the poll interval.
const POLL_TIMEOUT_JITTER_RANGE: f64 = 0.2;
/// Seconds after which a poll of a local agent, which responds immediately, is retried.
const LOCAL_AGENT_POLL_TIMEOUT_S: f64 = 1.0;

/// The service to which polls are sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollTarget {
    /// No target: the list is pushed to the balancer, which does not poll.
    Disabled,
    /// Discovery, together with all other balancers.
    Discovery,
    /// A local agent that serves this balancer alone.
    LocalAgent,
}

impl PollTarget {
    fn new(settings: &Settings) -> Self {
        match (settings.polls_endpoints, settings.has_local_agent) {
            (false, _) => Self::Disabled,
            (true, false) => Self::Discovery,
            (true, true) => Self::LocalAgent,
        }
    }
}

/// How a poll or a watch failed.
pub(super) struct PollFailure {
    /// Whether the response to the poll was truncated.
    pub(super) was_partial: bool,
    /// Whether discovery rejects polls, as an overloaded discovery does.
    pub(super) was_rejected: bool,
}

/// The schedule of one balancer's polls for the endpoint list.
pub(super) struct EndpointPolling {
    target: PollTarget,
    poll_interval_s: f64,
    /// Seconds over which the polls of all balancers are spread if all of them need their list at
    /// the same time.
    poll_spread_s: f64,
    /// Whether a watch is open: no poll is made while it is.
    is_watching: bool,
    /// Whether part of a response was received and the rest may follow.
    is_receiving_response: bool,
    next_poll_at_s: f64,
    last_poll_at_s: f64,
    /// Failures of polls or of the watch since the last update.
    consecutive_failures: u32,
}

impl EndpointPolling {
    pub(super) fn new(settings: &Settings) -> Self {
        let poll_interval_s = settings.poll_interval.as_secs_f64();
        // All balancers may poll discovery at the same time, so the polls of all are spread. A
        // local agent serves this balancer alone, so polls of an agent are not spread.
        let spread_poll_count = if settings.has_local_agent {
            0.0
        } else {
            f64::from(settings.balancers)
        };
        Self {
            target: PollTarget::new(settings),
            poll_interval_s,
            poll_spread_s: (POLL_SERVICE_S * spread_poll_count)
                .min(MAX_SPREAD_FRACTION * poll_interval_s),
            is_watching: false,
            is_receiving_response: false,
            next_poll_at_s: 0.0,
            last_poll_at_s: 0.0,
            consecutive_failures: 0,
        }
    }

    /// Schedules the first poll at a random time, so that the first polls of many balancers are
    /// spread.
    pub(super) fn start(&mut self, now_s: f64, random: &mut Random) {
        self.next_poll_at_s = now_s + self.poll_spread_s * random.f64();
    }

    /// Returns whether a poll is due, and records it as made if it is.
    pub(super) fn poll_if_due(&mut self, now_s: f64, random: &mut Random) -> bool {
        let has_open_response = self.is_watching || self.is_receiving_response;
        if self.target == PollTarget::Disabled || has_open_response || now_s < self.next_poll_at_s {
            return false;
        }
        // A poll without a response is retried well before the changes that this balancer has
        // missed count as notified.
        let poll_timeout_s = self.poll_interval_s
            * (POLL_TIMEOUT_FRACTION + POLL_TIMEOUT_JITTER_RANGE * random.f64());
        let poll_timeout_s = if self.target == PollTarget::LocalAgent {
            LOCAL_AGENT_POLL_TIMEOUT_S
        } else {
            poll_timeout_s.max(MIN_POLL_TIMEOUT_S)
        };
        (self.last_poll_at_s, self.next_poll_at_s) = (now_s, now_s + poll_timeout_s);
        true
    }

    /// Records that part of a response was received: no other poll is made until the response ends.
    pub(super) fn on_partial_response(&mut self) {
        self.is_receiving_response = true;
    }

    /// Records that an update was received or a poll failed: either ends a response that was being
    /// received.
    pub(super) fn on_response_end(&mut self) {
        self.is_receiving_response = false;
    }

    /// Records that discovery has sent an update, so that a watch is open.
    pub(super) fn on_update(&mut self) {
        (self.is_watching, self.consecutive_failures) = (true, 0);
    }

    /// Records that a poll failed or the watch ended: the next poll is made after a backoff.
    pub(super) fn on_failure(&mut self, failure: &PollFailure, now_s: f64, random: &mut Random) {
        let backoff_s = self.backoff_s(failure, now_s);
        self.consecutive_failures += 1;
        self.is_watching = false;
        self.next_poll_at_s =
            now_s + backoff_s * (MIN_BACKOFF_JITTER_FACTOR + BACKOFF_JITTER_RANGE * random.f64());
    }

    /// Returns the backoff in seconds, before jitter. The backoff doubles with each failure, so
    /// that not all balancers poll a recovered discovery at the same time. The backoff is limited
    /// so that the next poll receives a change before the change counts as notified.
    fn backoff_s(&self, failure: &PollFailure, now_s: f64) -> f64 {
        let backoff_spread_s = self.poll_spread_s.min(MAX_BACKOFF_SPREAD_S);
        let backoff_s = if self.target == PollTarget::LocalAgent {
            MIN_BACKOFF_S
        } else {
            self.exponential_backoff_s(
                self.poll_interval_s * MAX_BACKOFF_FRACTION / FIRST_BACKOFF_DIVISOR,
            )
            .max(backoff_spread_s)
            .min(self.longest_backoff_s(backoff_spread_s, now_s))
        };
        // The backoff is short after a truncated response: sends will have to pause soon, and no
        // other balancer is affected.
        let backoff_s = if failure.was_partial {
            backoff_s.min(self.exponential_backoff_s(MIN_BACKOFF_S))
        } else {
            backoff_s
        };
        // While polls are rejected, the list stays unconfirmed and sends will have to pause, so the
        // backoff is limited. The limit is not short, as an overloaded discovery spends time on
        // each rejection.
        if failure.was_rejected {
            backoff_s.min(backoff_spread_s.max(MAX_REJECTED_BACKOFF_S))
        } else {
            backoff_s
        }
    }

    fn exponential_backoff_s(&self, first_backoff_s: f64) -> f64 {
        first_backoff_s * f64::from(1u32 << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS))
    }

    /// Returns the longest backoff, in seconds, after which the next poll still receives a change
    /// before the change counts as notified. The result has a lower limit, which applies even if
    /// the next poll then receives the change too late.
    fn longest_backoff_s(&self, backoff_spread_s: f64, now_s: f64) -> f64 {
        let unconfirmed_for_s = if self.is_watching {
            WATCH_SILENCE_S
        } else {
            now_s - self.last_poll_at_s
        };
        // If there are so many balancers that their polls are spread over the longest time, the
        // limit is at least that time: discovery serves few of them if all poll at the same time.
        let min_backoff_s = if backoff_spread_s < MAX_BACKOFF_SPREAD_S {
            MIN_BACKOFF_S
        } else {
            MAX_BACKOFF_SPREAD_S
        };
        (NOTIFIED_WITHIN_S - POLL_DURATION_S - unconfirmed_for_s).max(min_backoff_s)
    }
}
