//! The reasons why client connections are closed.

/// The reason why a connection is closed.
pub(super) enum CloseReason {
    ClientDisconnected,
    Completed,
    ProtocolError(hyper::Error),
    /// The connection was due to close, and no request was in progress, or a write had been blocked for
    /// the longest time.
    ClosedWhileIdle,
    /// The client did not read its response, and its memory was needed.
    ResponseUnread,
}

impl CloseReason {
    /// Logs that a connection is closed.
    pub(super) fn log(&self) {
        let reason = match self {
            Self::ClientDisconnected => "client-disconnected",
            Self::Completed => "completed",
            Self::ProtocolError(error) => {
                return tracing::debug!(reason = "protocol-error", %error, "client connection closed");
            }
            Self::ClosedWhileIdle => "closed-while-idle",
            Self::ResponseUnread => "response-unread",
        };
        tracing::debug!(reason, "client connection closed");
    }
}
