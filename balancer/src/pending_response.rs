//! The client connection's handle of a request in flight.

use crate::event_loop::EventLoop;
use crate::in_flight::FinalResponse;
use frostkeel_policy::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request without a final response. Dropping it before that means that the client has disconnected.
pub struct PendingResponse {
    event_loop: Rc<EventLoop>,
    id: RequestId,
    response: Option<oneshot::Receiver<FinalResponse>>,
}

impl PendingResponse {
    pub(crate) fn new(
        event_loop: Rc<EventLoop>,
        id: RequestId,
        response: oneshot::Receiver<FinalResponse>,
    ) -> Self {
        Self {
            event_loop,
            id,
            response: Some(response),
        }
    }

    /// Waits for the final response.
    pub async fn response(mut self) -> FinalResponse {
        let Some(receiver) = &mut self.response else {
            return FinalResponse::Failed;
        };
        let response = receiver.await;
        self.response = None;
        response.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.response.take().is_some() {
            self.event_loop.client_disconnected(self.id);
        }
    }
}
