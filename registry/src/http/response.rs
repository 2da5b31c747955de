//! HTTP responses, and the form in which errors are reported to clients.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;
use std::convert::Infallible;

/// The `Retry-After` header of a response with status 503, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

pub(super) type Body = BoxBody<Bytes, Infallible>;

pub(super) fn complete_body(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).boxed()
}

/// Returns a response with status 200 and a body that is already JSON.
pub(super) fn json_text_response(text: Bytes) -> Response<Body> {
    let mut response = Response::new(complete_body(text));
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}

pub(super) fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = json_text_response(format!("{value}\n").into());
    *response.status_mut() = status;
    response
}

pub(super) fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({"error": message}))
}

/// Returns a response with status 503, which asks the client to retry later.
pub(super) fn overload_response(message: &str) -> Response<Body> {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, message);
    response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
    response
}
