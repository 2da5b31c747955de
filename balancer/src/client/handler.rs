//! The interface between client connections and the server that responds to their requests.

use super::connection::ClientConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::Instant;

/// Responds to the requests on client connections.
pub(super) trait RequestHandler {
    /// Waits until other connections have had their turn, before a request that the client has sent without waiting for
    /// the response to the one before.
    async fn next_turn(&self);

    /// Responds to a request on the connection of `client`. `received_at` is the earliest time at which the client can
    /// have sent it.
    async fn respond(
        &self,
        request: Request<Incoming>,
        received_at: Instant,
        client: &ClientConnection,
    ) -> Response<Full<Bytes>>;
}
