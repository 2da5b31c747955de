//! Attempts at requests. Each runs as its own task, which queues one event when the attempt has ended.

use super::{EventLoop, LoopState, QueuedEvent};
use crate::in_flight::{Attempt, FinalResponse};
use crate::upstream::{AttemptResult, AttemptState};
use frostkeel_policy::{AttemptNo, Event, Outcome, RequestId, UpstreamId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl EventLoop {
    /// Starts an attempt. It ends at the client's deadline, or after `timeout` if that is earlier.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut LoopState,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
    ) {
        let Some(in_flight) = state.in_flight.get_mut(id) else {
            return;
        };
        let (started_at, attempt) = (Instant::now(), AttemptNo(in_flight.attempts.len() as u8));
        let deadline = in_flight.request.deadline;
        let expires_at = timeout.map_or(deadline, |timeout| deadline.min(started_at + timeout));
        let (event_loop, request) = (Rc::clone(self), Rc::clone(&in_flight.request));
        let mut force_close = self.force_close.subscribe();
        let attempt_state = Rc::new(Cell::new(AttemptState::default()));
        let shared_state = Rc::clone(&attempt_state);
        let task = spawn_local(async move {
            let result = if *force_close.borrow() {
                Outcome::NotSent.into()
            } else {
                let exchange = event_loop.upstreams.attempt(
                    upstream,
                    &request.forwarded,
                    expires_at,
                    &shared_state,
                );
                tokio::select! {
                    result = exchange => result,
                    _ = force_close.wait_for(|is_forced| *is_forced) => Outcome::TimedOut.into(),
                }
            };
            event_loop.enqueue(QueuedEvent::AttemptEnded {
                id,
                attempt,
                result,
            });
        });
        let task = task.abort_handle();
        in_flight.attempts.push(Attempt {
            upstream,
            started_at,
            task,
            state: attempt_state,
        });
    }

    /// Cancels an attempt; no effect if it has ended.
    pub(super) fn cancel_attempt(&self, state: &LoopState, id: RequestId, attempt: AttemptNo) {
        self.abort_attempt(state, id, attempt, Outcome::Cancelled);
    }

    /// Aborts the task of an attempt and queues `outcome` as its result; no effect if the attempt has ended.
    pub(super) fn abort_attempt(
        &self,
        state: &LoopState,
        id: RequestId,
        attempt: AttemptNo,
        outcome: Outcome,
    ) {
        let in_flight = state.in_flight.get(id);
        if let Some(open) = in_flight.and_then(|request| request.open_attempt(attempt)) {
            open.task.abort();
            let result = outcome.into();
            self.queue
                .borrow_mut()
                .push_back(QueuedEvent::AttemptEnded {
                    id,
                    attempt,
                    result,
                });
        }
    }

    pub(super) fn on_attempt_ended(
        &self,
        state: &mut LoopState,
        now: Duration,
        id: RequestId,
        attempt: AttemptNo,
        result: AttemptResult,
    ) {
        let Some(in_flight) = state.in_flight.get_mut(id) else {
            return;
        };
        // An attempt that ends just before it is cancelled has two events in the queue; the second is ignored.
        let Some(open) = in_flight.open_attempt(attempt) else {
            return;
        };
        open.end();
        let (upstream, latency) = (open.upstream, open.started_at.elapsed());
        let AttemptResult {
            outcome,
            response,
            load_report,
        } = result;
        let class = in_flight.request.class;
        state.counters.count_attempt(class, outcome);
        tracing::debug!(
            request_id = id.0,
            attempt = attempt.0,
            upstream = upstream.0,
            ?latency,
            ?outcome,
            ?load_report,
            "attempt ended"
        );
        // If the request already has its final response, or its client has disconnected, this response is dropped.
        if let Some(response) = response
            && let Some(reply) = in_flight.reply.take()
        {
            state
                .counters
                .count_forwarded(class, in_flight.received_at.elapsed());
            // Sending fails if the client has just disconnected; its event is then in the queue.
            let _ = reply.send(FinalResponse::Forwarded(response));
        }
        let request_finished = in_flight.reply.is_none();
        let report = &load_report;
        state.decide(
            now,
            Event::AttemptEnded {
                id,
                attempt,
                upstream,
                outcome,
                latency,
                request_finished,
                report,
            },
        );
        self.release(state, id);
    }
}
