//! The events that a balancer writes to the log.

use std::fmt;

/// A line for the operators' log; its `Display` form is the text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// Discovery has confirmed the endpoint list again, after a pause of sends.
    EndpointsConfirmed {
        /// How long no attempt was sent, in seconds.
        paused_for_s: f64,
        /// Why.
        cause: StalenessCause,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EndpointsConfirmed {
                paused_for_s,
                cause,
            } => write!(
                f,
                "list confirmed again: sends were held for {paused_for_s:.2} s, as {cause}"
            ),
        }
    }
}

/// Why the endpoint list may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessCause {
    /// Nothing was received on a watch, or on a poll for one, for too long.
    WatchSilent,
    /// Discovery ended the watch.
    WatchEnded,
    /// Discovery rejects polls.
    PollsRejected,
    /// Discovery has moved to another address.
    DiscoveryMoved,
    /// A response was truncated.
    PartialResponse,
}

impl StalenessCause {
    /// All causes.
    pub const ALL: [Self; 5] = [
        Self::WatchSilent,
        Self::WatchEnded,
        Self::PollsRejected,
        Self::DiscoveryMoved,
        Self::PartialResponse,
    ];

    /// The cause as the log writes it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WatchSilent => "watch-silent",
            Self::WatchEnded => "watch-ended",
            Self::PollsRejected => "polls-rejected",
            Self::DiscoveryMoved => "discovery-moved",
            Self::PartialResponse => "partial-response",
        }
    }
}

impl fmt::Display for StalenessCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WatchSilent => "discovery was silent",
            Self::WatchEnded => "discovery ended the watch",
            Self::PollsRejected => "discovery turned calls away",
            Self::DiscoveryMoved => "discovery moved",
            Self::PartialResponse => "an answer broke off",
        })
    }
}
