//! The meaning of an HTTP status for a client.

/// The meaning of a response for the client, by its HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request was processed successfully (status 200).
    Served,
    /// The request was rejected and has not run (status 429 or 503).
    Rejected,
    /// The request has failed (any other status).
    Failed,
}

impl ResponseClass {
    /// Returns the class of an HTTP status.
    pub fn of(status: u16) -> Self {
        match status {
            200 => Self::Served,
            429 | 503 => Self::Rejected,
            _ => Self::Failed,
        }
    }
}
