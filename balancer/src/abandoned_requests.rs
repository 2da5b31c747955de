//! The ids of requests that may have been executed although their client has left before the final response.
//!
//! A request that must not be executed twice may come again on another connection, with the same correlation id. If it was
//! forwarded before, it must not be forwarded again.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

/// The time for which an id is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of ids; beyond it the oldest one is dropped.
const MAX_IDS: usize = 4096;

/// The digest of a request's correlation id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestDigest(u64);

/// The requests that were abandoned recently.
#[derive(Default)]
pub struct AbandonedRequests {
    hasher: RandomState,
    /// The ids, in the order of the times at which they were abandoned.
    ids: RefCell<VecDeque<(Instant, RequestDigest)>>,
}

impl AbandonedRequests {
    /// Returns the digest of a correlation id.
    pub fn digest(&self, correlation_id: &[u8]) -> RequestDigest {
        RequestDigest(self.hasher.hash_one(correlation_id))
    }

    /// Adds a request that may have been executed and whose client has left.
    pub fn insert(&self, request: RequestDigest) {
        let mut ids = self.ids.borrow_mut();
        let is_expired = |at: &Instant| at.elapsed() >= RETENTION;
        while ids.len() >= MAX_IDS || ids.front().is_some_and(|(at, _)| is_expired(at)) {
            ids.pop_front();
        }
        ids.push_back((Instant::now(), request));
    }

    /// Returns whether a request may have been executed before.
    pub fn contains(&self, request: RequestDigest) -> bool {
        let ids = self.ids.borrow();
        let mut recent = ids
            .iter()
            .rev()
            .take_while(|(at, _)| at.elapsed() < RETENTION);
        recent.any(|(_, abandoned)| *abandoned == request)
    }
}
