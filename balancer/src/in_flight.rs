//! The table of requests in flight: for each, the client's request, its attempts and its pending response.

use crate::memory_budget::MemoryReservation;
use crate::upstream::{AttemptState, ForwardedRequest, UpstreamResponse};
use frostkeel_policy::{AttemptNo, ClassId, RequestId, TenantId, UpstreamId};
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// An upstream's response with status 200.
    Forwarded(UpstreamResponse),
    /// The request was rejected, and the client can safely retry it.
    Rejected {
        /// The time that the client should wait before it retries; `None` if the response states no time.
        retry_after: Option<Duration>,
    },
    /// The request failed, but an upstream may have executed it.
    Failed,
}

/// A client's request that is ready to be submitted to the decision module.
pub struct ClientRequest {
    /// The class of the request, which its path names.
    pub class: ClassId,
    /// The tenant of the request; id 0 at a site without tenants.
    pub tenant: TenantId,
    /// The time until which an attempt may run: when the client stops waiting, less the time in transit.
    pub deadline: Instant,
    /// The CPU time that the request is expected to take, in milliseconds; `None` if the client does not state it.
    pub work_ms: Option<f64>,
    /// Whether the request must not be executed twice.
    pub is_at_most_once: bool,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The request in the form that is forwarded to upstreams.
    pub forwarded: ForwardedRequest,
    /// The reservation for the memory of the request, without that of its body.
    pub(crate) _memory: MemoryReservation,
}

impl ClientRequest {
    /// Returns the time until the deadline; zero if it has passed.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// One attempt at a request.
pub(crate) struct Attempt {
    pub(crate) upstream: UpstreamId,
    pub(crate) started_at: Instant,
    pub(crate) task: AbortHandle,
    /// The progress of the attempt, shared with its task, which updates it.
    pub(crate) state: Rc<Cell<AttemptState>>,
}

impl Attempt {
    /// Marks the attempt as ended. Returns `false` if it had already ended.
    pub(crate) fn end(&self) -> bool {
        self.state.replace(AttemptState::Ended) != AttemptState::Ended
    }

    fn is_ended(&self) -> bool {
        self.state.get() == AttemptState::Ended
    }
}

/// A request whose final response is pending, or of which an attempt has not ended.
pub(crate) struct InFlightRequest {
    pub(crate) request: Rc<ClientRequest>,
    pub(crate) received_at: Instant,
    /// Sends the final response; `None` once it has been sent or the client has disconnected.
    pub(crate) reply: Option<oneshot::Sender<FinalResponse>>,
    pub(crate) attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// Returns the attempt with a given number; `None` if it has ended.
    pub(crate) fn open_attempt(&self, attempt: AttemptNo) -> Option<&Attempt> {
        self.attempts
            .get(usize::from(attempt.0))
            .filter(|attempt| !attempt.is_ended())
    }

    /// Returns the numbers of the attempts of which nothing has been written.
    pub(crate) fn unwritten_attempts(&self) -> impl Iterator<Item = AttemptNo> {
        let waiting = |attempt: &Attempt| attempt.state.get() == AttemptState::WaitingForConnection;
        let attempts = self.attempts.iter().enumerate();
        attempts
            .filter(move |(_, attempt)| waiting(attempt))
            .map(|(k, _)| AttemptNo(k as u8))
    }

    /// Returns whether an attempt that has not ended may have been written.
    pub(crate) fn has_written_attempt(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.state.get() == AttemptState::Written)
    }

    /// Returns whether no client waits for the final response and every attempt has ended.
    pub(crate) fn is_complete(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(Attempt::is_ended)
    }
}

/// All requests in flight, by their ids.
#[derive(Default)]
pub(crate) struct InFlightTable {
    requests: FxHashMap<RequestId, InFlightRequest>,
    next_id: u32,
}

impl InFlightTable {
    /// Adds a request under a new id.
    pub(crate) fn insert(
        &mut self,
        request: ClientRequest,
        reply: oneshot::Sender<FinalResponse>,
    ) -> RequestId {
        // An id is used again only after 2^32 further requests, when its first request is no longer in flight.
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let request = InFlightRequest {
            request: Rc::new(request),
            received_at: Instant::now(),
            reply: Some(reply),
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        id
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// Removes a request if it is complete.
    pub(crate) fn remove_if_complete(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(InFlightRequest::is_complete)
        {
            self.requests.remove(&id);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
