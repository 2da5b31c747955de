//! Header names and formats, and the headers that are not forwarded.

use frostkeel_policy::LoadField;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The id of a request; a client's retry has a new one.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// The tenant.
pub const TENANT: HeaderName = HeaderName::from_static("x-account");
/// How long the sender will still wait, in whole milliseconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// Marks a client's retry.
pub const RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// The expected work, in microseconds.
pub const WORK_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// The idempotency key, by which upstreams recognise a repeated request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set to 1: the upstream rejected the request without processing it.
pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// A load report.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("x-backend-load");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const EXPECT: HeaderName = HeaderName::from_static("expect");

/// Removes hop-by-hop and framing headers.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in fixed.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Parses a load report, `name=value,name=value`, into the values of `fields`. A missing or invalid value becomes NaN,
/// which the decision module ignores; `None` if there are no valid values.
pub fn load_report(text: &str, fields: &[LoadField]) -> Option<Vec<f32>> {
    let mut values = vec![f32::NAN; fields.len()];
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let field = frostkeel_settings::parse_load_field(name.trim());
        let value = value.trim().parse().ok().filter(|v: &f32| v.is_finite());
        if let (Some(index), Some(value)) =
            (fields.iter().position(|listed| *listed == field), value)
        {
            values[index] = value;
        }
    }
    values.iter().any(|value| !value.is_nan()).then_some(values)
}
