//! Ids of client attempts.

/// The id of a client's attempt. It is unique in a run, and the client sends it as the correlation
/// id.
pub type ClientAttemptId = u64;

/// The number of low bits that hold the number of the attempt, for at most 8 attempts a request.
const ATTEMPT_BITS: u32 = 3;

/// Returns the id of an attempt of a request; attempt 0 is the first one.
pub fn client_attempt_id(request: u32, attempt: u8) -> ClientAttemptId {
    (ClientAttemptId::from(request) << ATTEMPT_BITS) | ClientAttemptId::from(attempt)
}

/// Returns the number of the request that an attempt belongs to.
pub fn request_of(id: ClientAttemptId) -> u64 {
    id >> ATTEMPT_BITS
}
