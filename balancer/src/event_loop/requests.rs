//! Requests, from their submission to their final response.

use super::{EventLoop, LoopState, QueuedEvent};
use crate::abandoned_requests::RequestDigest;
use crate::headers::CORRELATION_ID;
use crate::in_flight::{ClientRequest, FinalResponse};
use crate::pending_response::PendingResponse;
use frostkeel_policy::{AttemptNo, Event, FailureReason, Outcome, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

impl EventLoop {
    /// Submits a request to the decision module. Dropping the returned value before the final response reports that the
    /// client has disconnected.
    pub fn submit(self: &Rc<Self>, request: ClientRequest) -> PendingResponse {
        let (reply, response) = oneshot::channel();
        let id = self.state.borrow_mut().in_flight.insert(request, reply);
        self.enqueue(QueuedEvent::RequestReceived(id));
        PendingResponse::new(Rc::clone(self), id, response)
    }

    /// Returns whether a request that must not be executed twice was forwarded before, and its client left before the final
    /// response.
    pub fn may_have_been_executed(&self, request: &ClientRequest) -> bool {
        let digest = self.at_most_once_digest(request);
        digest.is_some_and(|digest| self.abandoned.contains(digest))
    }

    /// Returns the digest of the id of a request that must not be executed twice; `None` for other requests.
    fn at_most_once_digest(&self, request: &ClientRequest) -> Option<RequestDigest> {
        let id = request.forwarded.headers.get(CORRELATION_ID);
        let id = id.filter(|_| request.is_at_most_once)?;
        Some(self.abandoned.digest(id.as_bytes()))
    }

    /// Queues the event that a client has disconnected before the final response to its request.
    pub(crate) fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        self.enqueue(QueuedEvent::ClientDisconnected(id));
    }

    pub(super) fn on_request(&self, state: &mut LoopState, now: Duration, id: RequestId) {
        let Some(in_flight) = state.in_flight.get(id) else {
            return;
        };
        let request = &in_flight.request;
        state.counters.count_received(request.class);
        let event = Event::Request {
            id,
            class: request.class,
            tenant: request.tenant,
            time_left: request.time_left(),
            work_ms: request.work_ms,
            is_retry: request.is_retry,
        };
        tracing::debug!(
            request_id = id.0,
            correlation_id = ?request.forwarded.headers.get(CORRELATION_ID),
            class = request.class.0,
            tenant = request.tenant.0,
            time_left = ?request.time_left(),
            is_retry = request.is_retry,
            "request received"
        );
        state.decide(now, event);
    }

    pub(super) fn on_client_disconnected(
        &self,
        state: &mut LoopState,
        now: Duration,
        id: RequestId,
    ) {
        let Some(in_flight) = state.in_flight.get_mut(id) else {
            return;
        };
        if in_flight.reply.take().is_some() {
            tracing::debug!(request_id = id.0, "client disconnected");
            if in_flight.has_written_attempt()
                && let Some(digest) = self.at_most_once_digest(&in_flight.request)
            {
                self.abandoned.insert(digest);
            }
            state
                .counters
                .count_client_disconnected(in_flight.request.class);
            state.decide(now, Event::ClientDisconnected { id });
        }
        self.release(state, id);
    }

    /// Completes a request with a final response that does not come from an upstream.
    pub(super) fn respond(
        &self,
        state: &mut LoopState,
        id: RequestId,
        response: FinalResponse,
        reason: FailureReason,
    ) {
        if let Some(in_flight) = state.in_flight.get_mut(id)
            && let Some(reply) = in_flight.reply.take()
        {
            state.counters.count_failed(in_flight.request.class, reason);
            // Sending fails if the client has just disconnected; the event of the disconnect is then in the queue.
            let _ = reply.send(response);
        }
        self.release(state, id);
    }

    /// Removes a request that has its final response and no attempt in progress. First aborts those attempts of which
    /// nothing was written. This is not a cancellation, which the settings of a site may forbid, because the upstream
    /// has received nothing.
    pub(super) fn release(&self, state: &mut LoopState, id: RequestId) {
        let Some(in_flight) = state
            .in_flight
            .get(id)
            .filter(|request| request.reply.is_none())
        else {
            return;
        };
        let unwritten: Vec<AttemptNo> = in_flight.unwritten_attempts().collect();
        for attempt in unwritten {
            self.abort_attempt(state, id, attempt, Outcome::NotSent);
        }
        state.in_flight.remove_if_complete(id);
    }
}
