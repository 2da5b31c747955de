//! One request and its response on an upstream connection.

use crate::connection::Connection;
use crate::headers::TIME_LEFT;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use std::time::Duration;

/// The longest accepted response body.
const MAX_BODY: usize = 64 * 1024;

/// A client's request in the form that is forwarded.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Builds the request of one attempt, which states how long the balancer will wait.
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

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended before the response head. Whether the request may have been executed depends on how much of
    /// it was written.
    #[error("the connection ended: {0}")]
    ConnectionEnded(#[source] hyper::Error),
    /// The upstream sent something that is not a response head.
    #[error("no HTTP response: {0}")]
    InvalidHead(#[source] hyper::Error),
    /// The body was truncated, or its framing is invalid.
    #[error("the body is not complete: {0}")]
    InvalidBody(#[source] hyper::Error),
    /// The body exceeds the limit for forwarded bodies.
    #[error("the body is longer than {MAX_BODY} bytes")]
    BodyTooLong,
}

impl ExchangeError {
    /// Whether the upstream's process responded, even if the response cannot be forwarded.
    pub fn has_responded(&self) -> bool {
        !matches!(self, Self::ConnectionEnded(_))
    }
}

/// Sends a request and reads the complete response.
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
    let body = Limited::new(body, MAX_BODY).collect().await;
    let body = body.map_err(|error| match error.downcast::<hyper::Error>() {
        Ok(error) => ExchangeError::InvalidBody(*error),
        // The only error that `Limited` adds.
        Err(_) => ExchangeError::BodyTooLong,
    })?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}
