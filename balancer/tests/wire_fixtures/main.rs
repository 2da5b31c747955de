//! Compares bytes on the wire with the files in `tests/data/wire/`, one per test: requests as sent by clients and
//! as received by upstreams, every kind of final response, the watch request to discovery, and health checks.
//!
//! `WIRE_FIXTURES=write` writes the files instead of comparing them. The tests then fail, because nothing was compared.
#![expect(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails if its peers cannot be set up"
)]

mod bad_requests;
#[path = "../common/mod.rs"]
mod common;
mod connections;
mod forwarding;
mod outgoing_calls;
mod peers;
mod transcript;

/// The time left that the clients of these tests state.
const TIME_LEFT_MS: u64 = 5000;

/// Returns a POST request with the headers that every request needs, and with additional header lines.
fn post(path: &str, extra_headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f03aa\r\nX-Account: acme\r\n{extra_headers}\
         X-Time-Left-Ms: {TIME_LEFT_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
