//! The meaning of a status for a client.

/// What a response is to the client, by its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request was served.
    Served,
    /// The request was rejected and has not run.
    Rejected,
    /// The request has failed.
    Failed,
}

impl ResponseClass {
    /// The class of a status.
    pub fn of(status: u16) -> Self {
        match status {
            200 => Self::Served,
            429 | 503 => Self::Rejected,
            _ => Self::Failed,
        }
    }
}
