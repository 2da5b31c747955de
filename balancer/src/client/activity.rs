//! What a client connection is doing.

use tokio::time::Instant;

/// The current activity of a connection. When a blocked write completes, the time in an idle state is set to that
/// moment.
#[derive(Clone, Copy)]
pub(super) enum Activity {
    /// No request has been received on the connection since it was accepted at this time.
    AwaitingFirst(Instant),
    /// The body of a request has been awaited since this time.
    AwaitingBody(Instant),
    /// A request has been received completely, and its response is pending.
    ResponsePending,
    /// No request has been in progress since the last response, which ended at this time.
    Idle(Instant),
}

impl Activity {
    /// Returns the activity with the time in an idle state set to `now`.
    pub(super) fn restarted_at(self, now: Instant) -> Self {
        match self {
            Self::AwaitingFirst(_) => Self::AwaitingFirst(now),
            Self::Idle(_) => Self::Idle(now),
            in_progress @ (Self::AwaitingBody(_) | Self::ResponsePending) => in_progress,
        }
    }
}
