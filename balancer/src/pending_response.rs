//! A request that is owed its final answer.

use crate::event_loop::EventLoop;
use crate::in_flight::FinalResponse;
use frostkeel_policy::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that is owed its final answer; dropped before, its client has gone.
pub struct PendingResponse {
    event_loop: Rc<EventLoop>,
    id: RequestId,
    answer: Option<oneshot::Receiver<FinalResponse>>,
}

impl PendingResponse {
    pub(crate) fn new(
        event_loop: Rc<EventLoop>,
        id: RequestId,
        answer: oneshot::Receiver<FinalResponse>,
    ) -> Self {
        Self {
            event_loop,
            id,
            answer: Some(answer),
        }
    }

    /// The final answer.
    pub async fn response(mut self) -> FinalResponse {
        let Some(answer) = &mut self.answer else {
            return FinalResponse::Failed;
        };
        let answer = answer.await;
        self.answer = None;
        answer.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.answer.take().is_some() {
            self.event_loop.client_disconnected(self.id);
        }
    }
}
