//! Parsing of load reports, and removal of the headers that are not forwarded.

use bytes::Bytes;
use frostkeel_balancer::headers::{
    CORRELATION_ID, load_report, memory_bytes, release_receive_buffer, strip_hop_by_hop,
};
use frostkeel_policy::LoadField;
use hyper::header::{CONNECTION, COOKIE, HeaderMap, HeaderValue, TRANSFER_ENCODING};

#[test]
fn load_report_values_follow_the_order_of_the_settings() {
    let fields = [LoadField::Queue, LoadField::InFlight];
    assert_eq!(
        load_report("inflight=7,queue=2,util=0.61", &fields),
        Some(vec![2.0, 7.0])
    );
    let partly_invalid = load_report("depth=3, inflight=many", &fields).unwrap();
    assert_eq!(partly_invalid[0], 3.0);
    assert!(partly_invalid[1].is_nan());
    for invalid in ["", "queue", "queue=nan", "a=1", "=,=,=", "queue=inf"] {
        assert_eq!(load_report(invalid, &fields), None, "{invalid}");
    }
}

#[test]
fn strips_hop_by_hop_headers() {
    let mut headers = HeaderMap::new();
    headers.insert(CONNECTION, "close, X-Mine".parse().unwrap());
    headers.insert("x-mine", "1".parse().unwrap());
    headers.insert(TRANSFER_ENCODING, "chunked".parse().unwrap());
    headers.insert(CORRELATION_ID, "9b1f".parse().unwrap());
    strip_hop_by_hop(&mut headers);
    assert_eq!(headers.len(), 1);
    assert!(headers.contains_key(CORRELATION_ID));
}

/// Guards against parsed headers that keep the whole receive buffer of their connection until the
/// final response to their request.
#[test]
fn copied_headers_are_unchanged_and_release_the_receive_buffer() {
    let buffer = Bytes::from(vec![b'v'; 8 * 1024]);
    let mut headers = HeaderMap::new();
    for length in [0, 1, 300] {
        let value = HeaderValue::from_maybe_shared(buffer.slice(..length)).unwrap();
        headers.append(COOKIE, value);
    }
    headers.insert(CORRELATION_ID, "9b1f".parse().unwrap());
    let before = headers.clone();
    release_receive_buffer(&mut headers);
    assert_eq!(headers, before);
    drop(before);
    assert!(buffer.is_unique(), "the receive buffer is still in use");
    assert!(memory_bytes(&headers) > 300);
}
