//! Exchanges: one request and its response on an upstream connection.

use crate::connection::Connection;
use crate::headers::{self, TIME_LEFT};
use crate::memory_budget::{MemoryBudget, MemoryUse};
use bytes::Bytes;
use frostkeel_message_body::{BodyError, ReservedBodyError, read_reserved};
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum length of a response body.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A client's request without hop-by-hop headers, as it is forwarded to upstreams.
pub struct ForwardedRequest {
    /// The HTTP method of the client's request.
    pub method: Method,
    /// The path and query of the request.
    pub target: Uri,
    /// The headers of the client's request, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete request body; empty if there is none.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Builds the HTTP request of one attempt. Its header [`TIME_LEFT`] states how long the balancer will wait.
    pub fn for_attempt(&self, time_left: Duration) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        headers.insert(TIME_LEFT, HeaderValue::from(time_left.as_millis() as u64));
        if self.method != Method::GET || !self.body.is_empty() {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// The reason why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended before the response head was received. The request may have been executed only if all of it
    /// was written.
    #[error("connection ended before the response head: {0}")]
    ConnectionEnded(#[source] hyper::Error),
    /// The upstream sent data that is not an HTTP response head.
    #[error("invalid response head: {0}")]
    InvalidHead(#[source] hyper::Error),
    /// The response body was truncated, or its framing is invalid.
    #[error("truncated or invalid response body: {0}")]
    InvalidBody(#[source] hyper::Error),
    /// The response body exceeds the limit for forwarded bodies.
    #[error("response body must have at most {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// No memory for the response body was available in time.
    #[error("no memory for the response body")]
    NoMemory,
}

impl ExchangeError {
    /// Returns whether the upstream's process has responded, even if the response cannot be forwarded.
    pub fn has_responded(&self) -> bool {
        !matches!(self, Self::ConnectionEnded(_))
    }
}

impl From<ReservedBodyError<hyper::Error, NoMemory>> for ExchangeError {
    fn from(error: ReservedBodyError<hyper::Error, NoMemory>) -> Self {
        match error {
            ReservedBodyError::Body(BodyError::TooLong { .. }) => Self::BodyTooLong,
            ReservedBodyError::Body(BodyError::Invalid(error)) => Self::InvalidBody(error),
            ReservedBodyError::NotReserved(NoMemory) => Self::NoMemory,
        }
    }
}

/// The memory budget was spent for too long.
struct NoMemory;

/// Sends a request on a connection and reads the complete response by `expires_at`. Its memory is reserved in `memory`.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    memory: &Arc<MemoryBudget>,
    expires_at: Instant,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = connection.send(request).await.map_err(|error| {
        if error.is_parse() {
            ExchangeError::InvalidHead(error)
        } else {
            ExchangeError::ConnectionEnded(error)
        }
    })?;
    let (mut parts, body) = response.into_parts();
    headers::release_receive_buffer(&mut parts.headers);
    let reserve = async |bytes| {
        let reserved = memory.reserve(MemoryUse::Exchange, bytes, expires_at);
        reserved.await.ok_or(NoMemory)
    };
    let body = read_reserved(body, MAX_BODY_BYTES, reserve).await?;
    Ok(Response::from_parts(parts, body))
}
