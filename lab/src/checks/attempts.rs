//! The events of each client attempt, collected from a history.

use crate::history::{AttemptFailure, ClientAttemptId, Event, EventKind, UpstreamReply};
use std::collections::BTreeMap;

/// The time when a client sent an attempt, the balancer that it was sent to and its class.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    pub at_us: u64,
    pub balancer: u32,
    /// Index of the request's class in the experiment.
    pub class: u16,
}

/// A complete response that a client received, with its HTTP status.
pub(super) struct Response {
    pub at_us: u64,
    pub status: u16,
}

/// The end of an attempt without a response, with its cause.
pub(super) struct Failure {
    pub at_us: u64,
    pub cause: AttemptFailure,
}

/// The arrival of an attempt at an upstream. A balancer's retries of one client attempt are
/// recorded separately.
#[derive(Clone, Copy)]
pub(super) struct Reached {
    pub at_us: u64,
    pub upstream: u32,
}

/// The reply of an upstream to an attempt: processed or rejected.
pub(super) struct Reply {
    pub upstream: u32,
    pub reply: UpstreamReply,
}

/// All events that are recorded about one client attempt. A field is `None` or empty if the history
/// has no event of its kind.
#[derive(Default)]
pub(super) struct AttemptRecord {
    pub sent: Option<Sent>,
    pub responses: Vec<Response>,
    pub failure: Option<Failure>,
    pub reached: Vec<Reached>,
    pub replies: Vec<Reply>,
}

/// The records of all client attempts of a history, by the attempt's id.
pub(super) type AttemptRecords = BTreeMap<ClientAttemptId, AttemptRecord>;

/// Collects the records of all client attempts in a history.
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
