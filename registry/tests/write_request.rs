//! Parsing the requests of the write interface.

use frostkeel_registry::write_request::parse_command;
use hyper::Method;

/// Parses malformed input as a fuzzer would generate it: each must give an error with the expected
/// status, and not a panic. Valid requests must give a command.
#[test]
fn malformed_write_requests_are_rejected_with_a_status() {
    for (method, path, body, status) in [
        (Method::PUT, "/upstreams/u1", "{}", 400),
        (Method::PUT, "/upstreams/u1", "not json", 400),
        (
            Method::PUT,
            "/upstreams/u1",
            r#"{"endpoint":"1.2.3.4:5","boot_ms":1,"ttl_s":-1}"#,
            400,
        ),
        (
            Method::PUT,
            "/upstreams/u1",
            r#"{"endpoint":"1.2.3.4:5","boot_ms":1,"ttl_s":1e300}"#,
            400,
        ),
        (
            Method::POST,
            "/upstreams/u1/renew",
            r#"{"boot_ms":-1}"#,
            400,
        ),
        (Method::POST, "/upstreams/u1/what", "", 404),
        (Method::GET, "/", "", 404),
    ] {
        let error = parse_command(&method, path, body.as_bytes()).expect_err(body);
        assert_eq!(error.status().as_u16(), status, "{method} {path} {body}");
    }
    let valid = r#"{"endpoint":"1.2.3.4:5","boot_ms":1,"ttl_s":10}"#;
    assert!(parse_command(&Method::PUT, "/upstreams/u1", valid.as_bytes()).is_ok());
    assert!(parse_command(&Method::DELETE, "/upstreams/u1", b"").is_ok());
}
