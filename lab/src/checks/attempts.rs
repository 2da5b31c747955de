//! The events of each client attempt in a history.

use crate::history::{AttemptFailure, ClientAttemptId, Event, EventKind, UpstreamReply};
use std::collections::BTreeMap;

/// When a client sent an attempt, and to which balancer.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    pub at_us: u64,
    pub balancer: u32,
    /// Index of the request's class.
    pub class: u16,
}

/// A response that a client received.
pub(super) struct Response {
    pub at_us: u64,
    pub status: u16,
}

/// The end of an attempt without a response.
pub(super) struct Failure {
    pub at_us: u64,
    pub cause: AttemptFailure,
}

/// An upstream that an attempt reached.
#[derive(Clone, Copy)]
pub(super) struct Reached {
    pub at_us: u64,
    pub upstream: u32,
}

/// What an upstream replied.
pub(super) struct Reply {
    pub upstream: u32,
    pub reply: UpstreamReply,
}

/// Everything that is recorded about one client attempt.
#[derive(Default)]
pub(super) struct AttemptRecord {
    pub sent: Option<Sent>,
    pub responses: Vec<Response>,
    pub failure: Option<Failure>,
    pub reached: Vec<Reached>,
    pub replies: Vec<Reply>,
}

/// The records of all attempts.
pub(super) type AttemptRecords = BTreeMap<ClientAttemptId, AttemptRecord>;

/// Collects the records of all attempts in a history.
pub(super) fn collect(events: &[Event]) -> AttemptRecords {
    let mut records = AttemptRecords::new();
    for Event { at_us, kind } in events {
        let at_us = *at_us;
        match *kind {
            EventKind::AttemptSent {
                id,
                balancer,
                class,
                ..
            } => {
                records.entry(id).or_default().sent = Some(Sent {
                    at_us,
                    balancer,
                    class,
                });
            }
            EventKind::ResponseReceived { id, status } => {
                records
                    .entry(id)
                    .or_default()
                    .responses
                    .push(Response { at_us, status });
            }
            EventKind::AttemptFailed { id, failure: cause } => {
                records.entry(id).or_default().failure = Some(Failure { at_us, cause });
            }
            EventKind::UpstreamReceived { id, upstream } => {
                records
                    .entry(id)
                    .or_default()
                    .reached
                    .push(Reached { at_us, upstream });
            }
            EventKind::UpstreamReplied {
                id,
                upstream,
                reply,
            } => {
                records
                    .entry(id)
                    .or_default()
                    .replies
                    .push(Reply { upstream, reply });
            }
            _ => {}
        }
    }
    records
}
