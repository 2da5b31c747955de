//! Exchanges: one request and its response on an upstream connection.

use crate::connection::Connection;
use crate::headers::TIME_LEFT;
use bytes::Bytes;
use frostkeel_message_body::{BodyError, read_complete};
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use std::time::Duration;

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
}

impl ExchangeError {
    /// Returns whether the upstream's process has responded, even if the response cannot be forwarded.
    pub fn has_responded(&self) -> bool {
        !matches!(self, Self::ConnectionEnded(_))
    }
}

impl From<BodyError<hyper::Error>> for ExchangeError {
    fn from(error: BodyError<hyper::Error>) -> Self {
        match error {
            BodyError::TooLong { .. } => Self::BodyTooLong,
            BodyError::Invalid(error) => Self::InvalidBody(error),
        }
    }
}

/// Sends a request on a connection and reads the complete response.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = connection.send(request).await.map_err(|error| {
        if error.is_parse() {
            ExchangeError::InvalidHead(error)
        } else {
            ExchangeError::ConnectionEnded(error)
        }
    })?;
    let (parts, body) = response.into_parts();
    let body = read_complete(body, MAX_BODY_BYTES).await?;
    Ok(Response::from_parts(parts, body))
}
