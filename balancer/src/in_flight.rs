//! Requests in flight: the client's request, its attempts and its pending response.

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
    /// An upstream's response.
    Forwarded(UpstreamResponse),
    /// The request was rejected; a retry is safe.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// The request failed; it may have been executed.
    Failed,
}

/// A client's request, as submitted to the decision module.
pub struct ClientRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The expected work in milliseconds, where the client states it.
    pub work_ms: Option<f64>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// The request as it is forwarded.
    pub forwarded: ForwardedRequest,
}

impl ClientRequest {
    /// How long the client will still wait.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) upstream: UpstreamId,
    pub(crate) started_at: Instant,
    pub(crate) task: AbortHandle,
    /// Shared with the attempt's task, which updates it until the attempt has ended.
    pub(crate) state: Rc<Cell<AttemptState>>,
}

impl Attempt {
    /// Marks the attempt as ended; `false` if it had already ended.
    pub(crate) fn end(&self) -> bool {
        self.state.replace(AttemptState::Ended) != AttemptState::Ended
    }

    fn is_ended(&self) -> bool {
        self.state.get() == AttemptState::Ended
    }
}

/// A request with a pending response, or with attempts that have not ended.
pub(crate) struct InFlightRequest {
    pub(crate) request: Rc<ClientRequest>,
    pub(crate) received_at: Instant,
    /// Removed when the final response is sent.
    pub(crate) reply: Option<oneshot::Sender<FinalResponse>>,
    pub(crate) attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// The attempt with this number, unless it has ended.
    pub(crate) fn open_attempt(&self, attempt: AttemptNo) -> Option<&Attempt> {
        self.attempts
            .get(usize::from(attempt.0))
            .filter(|attempt| !attempt.is_ended())
    }

    /// The numbers of the attempts of which nothing has been written.
    pub(crate) fn unwritten_attempts(&self) -> impl Iterator<Item = AttemptNo> {
        let waiting = |attempt: &Attempt| attempt.state.get() == AttemptState::WaitingForConnection;
        let attempts = self.attempts.iter().enumerate();
        attempts
            .filter(move |(_, attempt)| waiting(attempt))
            .map(|(k, _)| AttemptNo(k as u8))
    }

    /// Whether the final response was sent and every attempt has ended.
    pub(crate) fn is_complete(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(Attempt::is_ended)
    }
}

/// The requests in flight, by their ids.
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
        // Ids in use are not reused in practice: they wrap only after 2^32 requests.
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

    /// Removes a request that is complete.
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
