//! Requests and responses that the balancer forwards, and the balancer's own responses if it cannot forward one.

use crate::common::{TestConfig, at_most_once_request, idempotent_request};
use crate::peers::{RESPONSE_UNTIL_CLOSE, RESPONSE_WITH_LENGTH, RawClient, Recorder};
use crate::transcript::Transcript;
use crate::{TIME_LEFT_MS, post};

const CHUNKED_RESPONSE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late\r\nX-Own: kept\r\n\r\n\
    4\r\ndone\r\n5\r\n twic\r\n0\r\nX-Late: 1\r\n\r\n";
const EMPTY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\
    Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\n";
const ERROR_RESPONSE: &str = "HTTP/1.1 500 No\r\nContent-Length: 4\r\nX-Own: kept\r\n\r\nlost";
const REJECTION: &str = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// Records one exchange: the request as sent, the request as received by the upstream, the response as received by the
/// client, and whether the client's connection is kept.
fn record_exchange(transcript: &mut Transcript, case: &str, request: &str, upstream: &Recorder) {
    let balancer = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = RawClient::connect(balancer.address);
    client.send(request.as_bytes());
    let response = client.response();
    transcript.add(&format!("{case}: the client sends"), request.as_bytes());
    for received in upstream.received() {
        transcript.add_received(&format!("{case}: the upstream receives"), &received);
    }
    transcript.add_received(&format!("{case}: the client receives"), &response);
    transcript.add(
        &format!("{case}: then"),
        client.connection_state_after_response(),
    );
}

#[test]
fn forwarded_requests_are_as_committed() {
    let mut transcript = Transcript::new("forwarded_requests.txt");
    let every_header = "Cookie: user=7f\r\nX-Repeat: 1\r\nX-Weight-Hint: 1500\r\nAccept: */*\r\nTE: trailers\r\n\
        Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nProxy-Authorization: none\r\n\
        Proxy-Connection: keep-alive\r\nUpgrade: h2c\r\nExpect: nothing\r\nX-Twice: a\r\nX-Twice: b\r\n";
    let chunked = post("/book/day", "", "").replace(
        "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n",
    ) + "3\r\none\r\n4\r\n two\r\n0\r\n\r\n";
    let idempotent = post("/keyed/a", "Idempotency-Key: \"k-1\"\r\n", "x");
    let http_1_0 = idempotent_request(TIME_LEFT_MS).replace("HTTP/1.1", "HTTP/1.0");
    let http_1_0_keep_alive = http_1_0.replace("Host", "Connection: keep-alive\r\nHost");
    let with_body =
        idempotent_request(TIME_LEFT_MS).replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc");
    let connection_close =
        idempotent_request(TIME_LEFT_MS).replace("Host", "Connection: close\r\nHost");
    let absolute_target = idempotent_request(TIME_LEFT_MS)
        .replace("/look", "http://app.svc:80/look/a%20b?q=%7e#part");
    for (case, request) in [
        ("GET", &idempotent_request(TIME_LEFT_MS)),
        ("GET with a body", &with_body),
        ("GET with an absolute target", &absolute_target),
        ("GET, the last on its connection", &connection_close),
        ("GET of HTTP/1.0", &http_1_0),
        ("GET of HTTP/1.0, kept", &http_1_0_keep_alive),
        ("POST", &post("/book/day?n=1", "", "a day")),
        ("POST with an empty body", &post("/book", "", "")),
        (
            "POST with every header",
            &post("/book/day?n=1&m=%20", every_header, "a day"),
        ),
        ("POST in chunks", &chunked),
        ("POST with an idempotency key", &idempotent),
    ] {
        record_exchange(
            &mut transcript,
            case,
            request,
            &Recorder::start(RESPONSE_WITH_LENGTH),
        );
    }
    transcript.check();
}

#[test]
fn forwarded_responses_are_as_committed() {
    let mut transcript = Transcript::new("forwarded_responses.txt");
    for (case, response) in [
        ("with a length", RESPONSE_WITH_LENGTH),
        ("in chunks", CHUNKED_RESPONSE),
        ("up to the close", RESPONSE_UNTIL_CLOSE),
        ("empty", EMPTY_RESPONSE),
    ] {
        transcript.add(
            &format!("{case}: the upstream answers"),
            response.as_bytes(),
        );
        record_exchange(
            &mut transcript,
            case,
            &idempotent_request(TIME_LEFT_MS),
            &Recorder::start(response),
        );
    }
    transcript.check();
}

#[test]
fn rejections_and_failures_are_as_committed() {
    let mut transcript = Transcript::new("rejections_and_failures.txt");
    for (case, response) in [
        ("an error", ERROR_RESPONSE),
        ("rejected unprocessed", REJECTION),
    ] {
        transcript.add(
            &format!("{case}: the upstream answers"),
            response.as_bytes(),
        );
        record_exchange(
            &mut transcript,
            case,
            &at_most_once_request(TIME_LEFT_MS, "x"),
            &Recorder::start(response),
        );
    }
    record_exchange(
        &mut transcript,
        "no upstream listens",
        &at_most_once_request(TIME_LEFT_MS, "x"),
        &Recorder::unreachable(),
    );
    record_exchange(
        &mut transcript,
        "no response",
        &at_most_once_request(400, "x"),
        &Recorder::start(""),
    );
    transcript.check();
}
