//! When discovery is polled for the endpoint list: at the start, where no response comes, and with
//! a jittered backoff after failures.

use crate::interface::Settings;
use crate::random::Random;

/// Time that discovery needs for each balancer's poll: it serves polls one after another, and a
/// poll that has waited for too long fails and is retried.
const POLL_SERVICE_S: f64 = 0.05;
/// Fraction of the poll interval over which the polls of all balancers are spread at most.
const MAX_SPREAD_FRACTION: f64 = 0.5;
/// Seconds after which a change counts as notified, whatever happened to the polls for it. Of
/// these: the duration of a successful poll with its connection, and the time until a watch without
/// heartbeats is detected.
const NOTIFIED_WITHIN_S: f64 = 6.0;
const POLL_DURATION_S: f64 = 1.5;
const WATCH_SILENCE_S: f64 = 3.0;
/// Longest backoff after a poll that was rejected at once, where few balancers poll.
const MAX_REJECTED_BACKOFF_S: f64 = 2.0;
/// Shortest backoff, and the longest over which many balancers spread their polls.
const MIN_BACKOFF_S: f64 = 0.25;
const MAX_BACKOFF_SPREAD_S: f64 = 3.0;
/// Longest doubling backoff, as a fraction of the poll interval; it starts at a sixteenth of that.
const MAX_BACKOFF_FRACTION: f64 = 0.8;
const FIRST_BACKOFF_DIVISOR: f64 = 16.0;
const MAX_DOUBLINGS: u32 = 4;
/// Jitter: a backoff is at least this fraction of its length.
const MIN_BACKOFF_JITTER: f64 = 0.1;
const BACKOFF_JITTER: f64 = 0.9;
/// Seconds after which a poll without a response is replaced by another; a local agent responds at
/// once.
const MIN_POLL_TIMEOUT_S: f64 = 4.0;
/// The same as a fraction of the poll interval, with its jitter.
const POLL_TIMEOUT_FRACTION: f64 = 0.4;
const POLL_TIMEOUT_JITTER: f64 = 0.2;
const LOCAL_AGENT_POLL_TIMEOUT_S: f64 = 1.0;

/// Who is polled.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollTarget {
    /// No polls: the list is pushed.
    Nobody,
    /// Discovery, together with all other balancers.
    Discovery,
    /// A local agent that serves this balancer alone.
    LocalAgent,
}

impl PollTarget {
    fn new(settings: &Settings) -> Self {
        match (settings.polls_endpoints, settings.has_local_agent) {
            (false, _) => Self::Nobody,
            (true, false) => Self::Discovery,
            (true, true) => Self::LocalAgent,
        }
    }
}

/// How a poll or a watch failed, as far as the lease knows.
pub(super) struct PollFailure {
    /// A response was truncated.
    pub(super) was_partial: bool,
    /// Discovery rejects polls at once.
    pub(super) was_rejected: bool,
}

/// The polls for the endpoint list of one balancer.
pub(super) struct EndpointPolling {
    target: PollTarget,
    interval_s: f64,
    /// Seconds over which the polls of all balancers are spread, should all need their list at
    /// once.
    spread_s: f64,
    is_watching: bool,
    /// Part of a response was received, and the rest may follow.
    is_receiving: bool,
    next_poll_at_s: f64,
    last_poll_at_s: f64,
    consecutive_failures: u32,
}

impl EndpointPolling {
    pub(super) fn new(settings: &Settings) -> Self {
        let interval_s = settings.poll_interval.as_secs_f64();
        let balancers = if settings.has_local_agent {
            0.0
        } else {
            f64::from(settings.balancers)
        };
        Self {
            target: PollTarget::new(settings),
            interval_s,
            spread_s: (POLL_SERVICE_S * balancers).min(MAX_SPREAD_FRACTION * interval_s),
            is_watching: false,
            is_receiving: false,
            next_poll_at_s: 0.0,
            last_poll_at_s: 0.0,
            consecutive_failures: 0,
        }
    }

    /// Schedules the first poll; those of many balancers are spread.
    pub(super) fn start(&mut self, now_s: f64, random: &mut Random) {
        self.next_poll_at_s = now_s + self.spread_s * random.f64();
    }

    /// Whether to poll now; if so, the poll counts as made.
    pub(super) fn poll_if_due(&mut self, now_s: f64, random: &mut Random) -> bool {
        let is_answered = self.is_watching || self.is_receiving;
        if self.target == PollTarget::Nobody || is_answered || now_s < self.next_poll_at_s {
            return false;
        }
        // A poll without a response is retried well before a change counts as notified.
        let timeout_s =
            self.interval_s * (POLL_TIMEOUT_FRACTION + POLL_TIMEOUT_JITTER * random.f64());
        let timeout_s = if self.target == PollTarget::LocalAgent {
            LOCAL_AGENT_POLL_TIMEOUT_S
        } else {
            timeout_s.max(MIN_POLL_TIMEOUT_S)
        };
        (self.last_poll_at_s, self.next_poll_at_s) = (now_s, now_s + timeout_s);
        true
    }

    /// Part of a response was received: no other poll is made meanwhile.
    pub(super) fn on_partial_response(&mut self) {
        self.is_receiving = true;
    }

    /// An update has arrived, or a failure: either ends a response that was arriving.
    pub(super) fn on_response_end(&mut self) {
        self.is_receiving = false;
    }

    /// Discovery has sent an update: there is a watch.
    pub(super) fn on_update(&mut self) {
        (self.is_watching, self.consecutive_failures) = (true, 0);
    }

    /// A poll failed, or the watch ended: the next poll is made after a backoff.
    pub(super) fn on_failure(&mut self, failure: &PollFailure, now_s: f64, random: &mut Random) {
        let backoff_s = self.backoff_s(failure, now_s);
        self.consecutive_failures += 1;
        self.is_watching = false;
        self.next_poll_at_s =
            now_s + backoff_s * (MIN_BACKOFF_JITTER + BACKOFF_JITTER * random.f64());
    }

    /// Doubles with each failure, so that a discovery that has recovered is not polled by all
    /// balancers at the same time; but no backoff is so long that a change is received later than
    /// it counts as notified.
    fn backoff_s(&self, failure: &PollFailure, now_s: f64) -> f64 {
        let spread_s = self.spread_s.min(MAX_BACKOFF_SPREAD_S);
        let backoff_s = if self.target == PollTarget::LocalAgent {
            MIN_BACKOFF_S
        } else {
            self.doubled_s(self.interval_s * MAX_BACKOFF_FRACTION / FIRST_BACKOFF_DIVISOR)
                .max(spread_s)
                .min(self.remaining_s(spread_s, now_s))
        };
        // Sends will have to pause soon, and no other balancer is affected.
        let backoff_s = if failure.was_partial {
            backoff_s.min(self.doubled_s(MIN_BACKOFF_S))
        } else {
            backoff_s
        };
        // Rejections cost an overloaded discovery time as well: the backoff is neither short nor
        // long.
        if failure.was_rejected {
            backoff_s.min(spread_s.max(MAX_REJECTED_BACKOFF_S))
        } else {
            backoff_s
        }
    }

    fn doubled_s(&self, first_s: f64) -> f64 {
        first_s * f64::from(1u32 << self.consecutive_failures.min(MAX_DOUBLINGS))
    }

    /// Time left for a backoff, if the next poll succeeds.
    fn remaining_s(&self, spread_s: f64, now_s: f64) -> f64 {
        let elapsed_s = if self.is_watching {
            WATCH_SILENCE_S
        } else {
            now_s - self.last_poll_at_s
        };
        // With the most balancers the spread remains: a discovery that all poll at once serves few.
        let min_s = if spread_s < MAX_BACKOFF_SPREAD_S {
            MIN_BACKOFF_S
        } else {
            MAX_BACKOFF_SPREAD_S
        };
        (NOTIFIED_WITHIN_S - POLL_DURATION_S - elapsed_s).max(min_s)
    }
}
