//! The handle with which a client connection waits for the final response to its request.

use crate::event_loop::EventLoop;
use crate::in_flight::FinalResponse;
use frostkeel_policy::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request in flight whose final response the client connection awaits. Dropping this before the final response
/// reports to the event loop that the client has disconnected.
pub struct PendingResponse {
    event_loop: Rc<EventLoop>,
    id: RequestId,
    /// Receives the final response; `None` once it has been received.
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

    /// Waits for the final response; [`FinalResponse::Failed`] if the event loop has dropped the request.
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
