//! Requests and responses that pass through a balancer process, between clients and upstreams on
//! loopback.

mod common;

use common::{
    Behavior, COOLDOWN_WAIT, ERROR_RESPONSE, OK_RESPONSE, TestConfig, Upstream,
    at_most_once_request, unreachable_address, wait_until,
};
use std::time::{Duration, Instant};

const REJECTED_UNPROCESSED: &str =
    "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
const PLAIN_503: &str = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
const TRUNCATED_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf";
/// The statuses that tell a client that its request has run, or that it can safely be retried.
const SUCCESS_OR_RETRYABLE: [u16; 3] = [200, 429, 503];

#[test]
fn forwards_request_and_response_unchanged_and_reuses_connections() {
    const TIME_LEFT_MS: u64 = 5000;
    let upstream = Upstream::healthy();
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = process.connect();
    for _ in 0..3 {
        // A connection is used again only after its cooldown of 30 ms.
        std::thread::sleep(COOLDOWN_WAIT);
        let response = client.exchange(&at_most_once_request(TIME_LEFT_MS, "a day"));
        assert_eq!((response.status(), &response.body[..]), (200, &b"done"[..]));
        assert_eq!(response.header("x-own"), Some("kept"));
    }
    let requests = upstream.requests();
    assert_eq!((requests.len(), upstream.connection_count()), (3, 1));
    let request = &requests[0];
    assert_eq!(request.start_line, "POST /book/day?n=1 HTTP/1.1");
    assert_eq!(request.header("x-correlation-id"), Some("9b1f03aa"));
    assert_eq!(request.body, b"a day");
    let time_left = request.header("x-time-left-ms").unwrap();
    let time_left_ms: u64 = time_left.parse().unwrap();
    assert!(
        time_left_ms > 0 && time_left_ms <= TIME_LEFT_MS,
        "{time_left_ms}"
    );
}

/// If an at-most-once request may have run, it must not be sent again, and the status must not tell
/// the client that a retry is safe.
#[test]
fn fails_an_at_most_once_request_that_may_have_run() {
    for behavior in [
        Behavior::Close,
        Behavior::Respond(PLAIN_503),
        Behavior::Respond(ERROR_RESPONSE),
        Behavior::RespondAndClose(TRUNCATED_RESPONSE),
    ] {
        let upstreams = [Upstream::start(behavior), Upstream::start(behavior)];
        let addresses = upstreams.each_ref().map(|upstream| upstream.address);
        let process = TestConfig::with_upstreams(&addresses).start();
        let status = process.status_of(&at_most_once_request(5000, "x"));
        assert!(
            !SUCCESS_OR_RETRYABLE.contains(&status),
            "{status} after {behavior:?}"
        );
        let attempts: usize = upstreams.iter().map(Upstream::request_count).sum();
        assert_eq!(attempts, 1, "{behavior:?}");
    }
}

/// If an at-most-once request has provably not run, it must be sent to another upstream.
#[test]
fn retries_an_at_most_once_request_that_never_ran() {
    let rejecting = Upstream::start(Behavior::Respond(REJECTED_UNPROCESSED));
    let healthy = Upstream::healthy();
    let addresses = [rejecting.address, unreachable_address(), healthy.address];
    let process = TestConfig::with_upstreams(&addresses).start();
    let mut client = process.connect();
    for _ in 0..6 {
        let response = client.exchange(&at_most_once_request(5000, "x"));
        assert_eq!(response.status(), 200);
    }
    assert_eq!(healthy.request_count(), 6);
}

#[test]
fn rejects_with_retry_after_when_no_upstream_is_reachable() {
    let process = TestConfig::with_upstreams(&[unreachable_address()]).start();
    let response = process.connect().exchange(&at_most_once_request(5000, "x"));
    assert_eq!(response.status(), 503);
    let retry_after = response.header("retry-after").expect("a time");
    let seconds: f64 = retry_after.parse().unwrap();
    assert!(seconds > 0.0 && seconds <= 1.0, "{seconds}");
}

/// A connection that the upstream closed while it was idle must not be used. If a request were
/// written to it, the balancer could not prove that the request did not run.
#[test]
fn no_request_is_lost_on_a_connection_closed_while_idle() {
    let upstream = Upstream::start(Behavior::RespondAndClose(OK_RESPONSE));
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = process.connect();
    for n in 1..=4 {
        let response = client.exchange(&at_most_once_request(5000, "x"));
        assert_eq!(response.status(), 200);
        wait_until("the upstream has closed its connection", || {
            upstream.closed_connection_count() == n
        });
        // A connection could be used again only after its cooldown.
        std::thread::sleep(COOLDOWN_WAIT);
    }
    assert_eq!(
        (upstream.request_count(), upstream.connection_count()),
        (4, 4)
    );
}

#[test]
fn client_disconnect_closes_the_upstream_connection() {
    let upstream = Upstream::start(Behavior::NeverRespond);
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = process.connect();
    client.write(&at_most_once_request(8000, "x"));
    wait_until("the upstream has the request", || {
        upstream.request_count() == 1
    });
    assert_eq!(upstream.closed_connection_count(), 0);
    let disconnected_at = Instant::now();
    drop(client);
    wait_until("the upstream's connection is closed", || {
        upstream.closed_connection_count() == 1
    });
    assert!(
        disconnected_at.elapsed() < Duration::from_secs(5),
        "the connection was closed at the deadline, not at the disconnect"
    );
}

#[test]
fn answers_before_the_deadline_when_the_upstream_never_responds() {
    let upstream = Upstream::start(Behavior::NeverRespond);
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let status = process.status_of(&at_most_once_request(500, "x"));
    assert!(!SUCCESS_OR_RETRYABLE.contains(&status), "{status}");
    wait_until("the attempt's connection is closed", || {
        upstream.closed_connection_count() == 1
    });
}

/// The length of the longest body that the balancer forwards.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// An invalid request must get an error, must not reach an upstream, and must not stop the
/// balancer.
#[test]
fn rejects_invalid_requests_without_forwarding_them() {
    let upstream = Upstream::healthy();
    let mut process = TestConfig::with_upstreams(&[upstream.address]).start();
    let valid = at_most_once_request(5000, "x");
    for (from, to) in [
        ("/book/day", "/nothing"),
        ("/book/day", "/%ff%00"),
        ("POST", "DELETE"),
        ("POST", "GET"),
        ("acme", "nobody"),
        ("X-Account: acme\r\n", ""),
        ("X-Correlation-Id: 9b1f03aa\r\n", ""),
        ("9b1f03aa", ""),
        ("X-Time-Left-Ms: 5000\r\n", ""),
        (": 5000", ": soon"),
        (": 5000", ": -5"),
        (": 5000", ": 99999999999999999999"),
        ("Host", "X-Weight-Hint: heavy\r\nHost"),
        ("/book/day", "/keyed"),
        (
            "Content-Length: 1\r\n\r\nx",
            "Content-Length: 99999999\r\n\r\n",
        ),
        ("Content-Length: 1", "Content-Length: one"),
        (" HTTP/1.1", ""),
    ] {
        let invalid = valid.replacen(from, to, 1);
        assert_ne!(invalid, valid);
        let status = process.status_of(&invalid);
        assert!(
            (400..500).contains(&status) && status != 429,
            "{invalid:?}: {status}"
        );
    }
    let too_long = "y".repeat(MAX_BODY_BYTES + 1);
    let chunked = format!(
        "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{too_long}\r\n0\r\n\r\n",
        too_long.len()
    );
    let invalid = valid.replacen("Content-Length: 1\r\n\r\nx", &chunked, 1);
    assert_eq!(process.status_of(&invalid), 413);
    process.connect().write("\u{1}\u{2} nonsense\r\n\r\n");
    assert!(upstream.requests().is_empty());
    let longest = at_most_once_request(5000, &too_long[1..]);
    assert_eq!(process.status_of(&longest), 200);
    assert!(process.is_running());
}
