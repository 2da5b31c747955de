//! The HTTP interface for writes, status and metrics.

use super::connection::{Api, MAX_CONNECTIONS, REQUEST_TIMEOUT, SlowReaderLimit};
use super::response::{Body, complete_body, error_response, json_response, overload_response};
use crate::metrics::Metrics;
use crate::published_view::PublishedView;
use crate::write_request::{RequestError, parse_command};
use crate::writer::WriteRequest;
use bytes::Bytes;
use frostkeel_message_body::{BodyError, read_complete};
use hyper::body::Incoming;
use hyper::header::IF_MATCH;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

/// The maximum size of a request's body.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// The HTTP interface for writes, status and metrics.
pub struct WriteApi {
    published: Arc<PublishedView>,
    metrics: Arc<Metrics>,
    writes: mpsc::Sender<WriteRequest>,
    connection_slots: Arc<Semaphore>,
    name: String,
}

impl WriteApi {
    pub fn new(
        published: Arc<PublishedView>,
        metrics: Arc<Metrics>,
        writes: mpsc::Sender<WriteRequest>,
        name: String,
    ) -> Arc<Self> {
        let connection_slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        Arc::new(Self {
            published,
            metrics,
            writes,
            connection_slots,
            name,
        })
    }

    async fn write(&self, parts: &Parts, body: Incoming) -> Response<Body> {
        match self.execute(parts, body).await {
            Ok(revision) => json_response(StatusCode::OK, &json!({"rev": revision})),
            Err(e @ RequestError::Overloaded) => {
                self.metrics.overloads.inc();
                overload_response(&e.to_string())
            }
            Err(e) => error_response(e.status(), &e.to_string()),
        }
    }

    /// Executes a write, and returns the revision of the list once the write is durable.
    async fn execute(&self, parts: &Parts, body: Incoming) -> Result<u64, RequestError> {
        let expected_revision = expected_revision(parts)?;
        let body = read_body(body).await?;
        let command = parse_command(&parts.method, parts.uri.path(), &body)?;
        let (reply, result) = oneshot::channel();
        let request = WriteRequest {
            command,
            expected_revision,
            reply,
        };
        self.writes
            .try_send(request)
            .map_err(|_| RequestError::Overloaded)?;
        let result = result.await.map_err(|_| RequestError::ServiceStopped)?;
        Ok(result?)
    }

    fn status(&self) -> Response<Body> {
        let metrics = &self.metrics;
        let status = json!({
            "name": self.name,
            "rev": self.published.revision(),
            "ready": metrics.ready.get(),
            "terminating": metrics.terminating.get(),
            "holds": metrics.self_preserving.get() == 1,
            "watches": metrics.watches.get(),
        });
        json_response(StatusCode::OK, &status)
    }
}

impl Api for WriteApi {
    fn connection_slots(&self) -> Arc<Semaphore> {
        Arc::clone(&self.connection_slots)
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
        _limit: Arc<SlowReaderLimit>,
    ) -> Response<Body> {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/status") => self.status(),
            (&Method::GET, "/metrics") => Response::new(complete_body(self.metrics.page())),
            _ => self.write(&parts, body).await,
        }
    }
}

/// Returns the revision in the `If-Match` header, with or without quotation marks, or `None` if
/// there is no such header.
fn expected_revision(parts: &Parts) -> Result<Option<u64>, RequestError> {
    let Some(value) = parts.headers.get(IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| RequestError::IfMatch)?;
    let revision = text
        .trim_matches('"')
        .parse()
        .map_err(|_| RequestError::IfMatch)?;
    Ok(Some(revision))
}

async fn read_body(body: Incoming) -> Result<Bytes, RequestError> {
    match timeout(REQUEST_TIMEOUT, read_complete(body, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong { .. })) => Err(RequestError::BodyTooLong),
        Ok(Err(BodyError::Invalid(_))) => Err(RequestError::BodyTruncated),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}
