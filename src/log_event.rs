//! The events that a balancer reports for the operators' log.

use std::fmt;

/// An event for the operators' log. Its `Display` form is a line of text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// Discovery has confirmed the endpoint list again, after a pause of sends.
    EndpointsConfirmed {
        /// The duration of the pause of sends, in seconds.
        paused_for_s: f64,
        /// Why the endpoint list may have been out of date.
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
    /// Nothing was received on the watch, or in response to a poll, for longer than the embedder's
    /// limit.
    WatchSilent,
    /// Discovery ended the watch.
    WatchEnded,
    /// Discovery rejects polls for the endpoint list.
    PollsRejected,
    /// Discovery has moved to another address.
    DiscoveryMoved,
    /// Only a part of an endpoint list was received.
    PartialResponse,
}

impl StalenessCause {
    /// All causes, in the order of their discriminants.
    pub const ALL: [Self; 5] = [
        Self::WatchSilent,
        Self::WatchEnded,
        Self::PollsRejected,
        Self::DiscoveryMoved,
        Self::PartialResponse,
    ];

    /// Returns the cause as the log writes it.
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
