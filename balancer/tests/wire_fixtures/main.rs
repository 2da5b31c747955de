//! Compares the bytes on the wire with committed data: requests as sent by clients and as received by upstreams, each
//! kind of final response as received by the client, the watch request to discovery, and the health check.
//!
//! The data is in `tests/data/wire/`, one file per test. It shows every byte: a line on the wire ends with the escaped
//! `\r\n` and a line break of the file, and bytes other than printable ASCII are escaped.
//!
//! Only values that vary between runs are masked:
//! - the value of `date` becomes `<date>`;
//! - the value of `x-time-left-ms`, where the upstream receives it, becomes `<ms>`, after a check of its range;
//! - each digit in the value of `retry-after` becomes `#`;
//! - the port in a `host` of 127.0.0.1 becomes `<port>`.
//!
//! `WIRE_FIXTURES=write` writes the files instead of comparing them. The tests then fail, because nothing was compared.
#![expect(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod bad_requests;
#[path = "../common/mod.rs"]
mod common;
mod connections;
mod forwarding;
mod outgoing_calls;
mod peers;
mod transcript;

/// The time left, as stated by the clients of these tests.
const TIME_LEFT_MS: u64 = 5000;

/// A POST request with the headers that every request needs, and `more` headers.
fn post(path: &str, more: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f03aa\r\nX-Account: acme\r\n{more}\
         X-Time-Left-Ms: {TIME_LEFT_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
