//! One request and its answer on a connection to an upstream.

use crate::connection::Connection;
use crate::headers::TIME_LEFT;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use std::error::Error;
use std::time::Duration;

/// The longest body of an answer; more is no answer.
const BODY_MOST: usize = 64 * 1024;

/// A request as it is passed on.
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
    /// The request of one attempt, which says how long the balancer will wait.
    pub fn request(&self, left: Duration) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        headers.insert(TIME_LEFT, HeaderValue::from(left.as_millis() as u64));
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

/// Why an exchange has no answer.
pub enum ExchangeError {
    /// The connection ended without one.
    ConnectionEnded(hyper::Error),
    /// The upstream answered, with something that can't be read.
    Unreadable(Box<dyn Error + Send + Sync>),
}

/// Sends a request and reads its whole answer.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = connection.send(request).await.map_err(|e| {
        if e.is_parse() {
            ExchangeError::Unreadable(e.into())
        } else {
            ExchangeError::ConnectionEnded(e)
        }
    })?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, BODY_MOST)
        .collect()
        .await
        .map_err(ExchangeError::Unreadable)?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}
