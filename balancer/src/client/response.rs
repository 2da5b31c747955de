//! HTTP responses to clients.

use crate::in_flight::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};

/// The response on a connection on which there is no memory to read a request. It is written directly, because the HTTP
/// library responds only to complete heads.
pub(super) const NO_MEMORY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Returns a response that the balancer generates itself, with `text` as its body.
pub fn plain_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Converts the final response to a request into an HTTP response: 200 if an upstream's response is forwarded, 503 if
/// the request was rejected, and 502 if it failed.
pub fn into_http_response(response: FinalResponse) -> Response<Full<Bytes>> {
    match response {
        FinalResponse::Forwarded(forwarded) => {
            let mut response = Response::new(Full::new(forwarded.body));
            *response.headers_mut() = forwarded.headers;
            response
        }
        FinalResponse::Rejected { retry_after } => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value =
                retry_after.and_then(|after| format!("{:.3}", after.as_secs_f64()).parse().ok());
            if let Some(value) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        FinalResponse::Failed => plain_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}
