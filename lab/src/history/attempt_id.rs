//! Numbers of client attempts.

/// An attempt of a client: unique in a run, and sent as the correlation id.
pub type ClientAttemptId = u64;

/// The low bits that count the attempts of one request: eight at most.
const ATTEMPT_BITS: u32 = 3;

/// The id of an attempt of a request; 0 is the first attempt.
pub fn client_attempt_id(request: u32, attempt: u8) -> ClientAttemptId {
    (ClientAttemptId::from(request) << ATTEMPT_BITS) | ClientAttemptId::from(attempt)
}

/// The number of the request that an attempt belongs to.
pub fn request_of(id: ClientAttemptId) -> u64 {
    id >> ATTEMPT_BITS
}
