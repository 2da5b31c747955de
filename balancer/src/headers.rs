//! The names and formats of headers, and the removal of headers that are not forwarded.

use bytes::BytesMut;
use frostkeel_policy::LoadField;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The client's id of a request; a client's retry has a new id.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// The name of the tenant that a request belongs to.
pub const TENANT: HeaderName = HeaderName::from_static("x-account");
/// The time until the sender of a request stops waiting for the response, in whole milliseconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// The mark of a client's retry, with the value 1.
pub const RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// The CPU time that a request is expected to take, in microseconds, as stated by the client.
pub const WORK_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// The idempotency key, by which an upstream detects that it has already processed a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The mark, with the value 1, of a response to a request that the upstream rejected without processing it.
pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// The upstream's load report, in the format that [`load_report`] parses.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("x-backend-load");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const EXPECT: HeaderName = HeaderName::from_static("expect");

/// Removes the hop-by-hop headers, including those that `Connection` names, and the headers for framing.
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

/// Parses a load report of the form `name=value,name=value` and returns the values of `fields`, in their order. A
/// missing or invalid value becomes NaN, which the decision module ignores. `None` if no value is valid.
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

/// The memory of one parsed header beside its name and value: its entry in the map, which grows by doubling, and the
/// reference counts of its name and value.
const HEADER_OVERHEAD_BYTES: usize = 256;

/// Returns the memory of parsed headers.
pub fn memory_bytes(headers: &HeaderMap) -> usize {
    text_bytes(headers) + headers.len() * HEADER_OVERHEAD_BYTES
}

/// Returns the length of the names and values of headers.
pub fn text_bytes(headers: &HeaderMap) -> usize {
    let headers = headers.iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Copies the values of headers into one block of memory. Parsed values are slices of the receive buffer of their
/// connection, and keep all of it allocated.
pub fn release_receive_buffer(headers: &mut HeaderMap) {
    let length = headers.values().map(HeaderValue::len).sum();
    let mut copy = BytesMut::with_capacity(length);
    for value in headers.values() {
        copy.extend_from_slice(value.as_bytes());
    }
    let copy = copy.freeze();
    let mut start = 0;
    for value in headers.values_mut() {
        let end = start + value.len();
        let is_sensitive = value.is_sensitive();
        // The bytes of a valid value are valid.
        if let Ok(copied) = HeaderValue::from_maybe_shared(copy.slice(start..end)) {
            *value = copied;
            value.set_sensitive(is_sensitive);
        }
        start = end;
    }
}
