//! The responses to invalid requests, none of which is forwarded.

use crate::common::{BalancerProcess, TestConfig};
use crate::peers::{RESPONSE_WITH_LENGTH, RawClient, Recorder};
use crate::post;
use crate::transcript::Transcript;

/// The length of the longest body that the balancer accepts.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The length of a header value that exceeds the limit for request heads.
const OVERSIZED_HEADER_BYTES: usize = 40_000;

/// An invalid request: a valid one in which the first occurrence of `replaced` becomes `replacement`.
struct BadRequest {
    case: &'static str,
    replaced: &'static str,
    replacement: &'static str,
}

const BAD_REQUESTS: [BadRequest; 18] = [
    BadRequest {
        case: "unknown class",
        replaced: "/book/day",
        replacement: "/nothing",
    },
    BadRequest {
        case: "another method",
        replaced: "POST",
        replacement: "GET",
    },
    BadRequest {
        case: "unknown method",
        replaced: "POST",
        replacement: "DELETE",
    },
    BadRequest {
        case: "no correlation id",
        replaced: "X-Correlation-Id: 9b1f03aa\r\n",
        replacement: "",
    },
    BadRequest {
        case: "empty correlation id",
        replaced: "9b1f03aa",
        replacement: "",
    },
    BadRequest {
        case: "no idempotency key",
        replaced: "/book/day",
        replacement: "/keyed",
    },
    BadRequest {
        case: "unknown account",
        replaced: "acme",
        replacement: "nobody",
    },
    BadRequest {
        case: "no account",
        replaced: "X-Account: acme\r\n",
        replacement: "",
    },
    BadRequest {
        case: "no time left",
        replaced: "X-Time-Left-Ms: 5000\r\n",
        replacement: "",
    },
    BadRequest {
        case: "unreadable time left",
        replaced: ": 5000",
        replacement: ": soon",
    },
    BadRequest {
        case: "unreadable weight hint",
        replaced: "Host",
        replacement: "X-Weight-Hint: heavy\r\nHost",
    },
    BadRequest {
        case: "body too long, by its length",
        replaced: "Content-Length: 1\r\n\r\nx",
        replacement: "Content-Length: 99999999\r\n\r\n",
    },
    BadRequest {
        case: "body does not come",
        replaced: "Content-Length: 1\r\n\r\nx",
        replacement: "Content-Length: 9\r\n\r\nx",
    },
    BadRequest {
        case: "unreadable length",
        replaced: "Content-Length: 1",
        replacement: "Content-Length: one",
    },
    BadRequest {
        case: "no version",
        replaced: " HTTP/1.1",
        replacement: "",
    },
    BadRequest {
        case: "unknown version",
        replaced: "HTTP/1.1",
        replacement: "HTTP/7.0",
    },
    BadRequest {
        case: "broken chunk",
        replaced: "Content-Length: 1\r\n\r\nx",
        replacement: "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    },
    BadRequest {
        case: "expects to go on",
        replaced: "Content-Length: 1\r\n\r\nx",
        replacement: "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n",
    },
];

#[test]
fn responses_to_bad_requests_are_as_committed() {
    let upstream = Recorder::start(RESPONSE_WITH_LENGTH);
    let balancer = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut transcript = Transcript::new("bad_requests.txt");
    let valid = post("/book/day", "", "x");
    for BadRequest {
        case,
        replaced,
        replacement,
    } in BAD_REQUESTS
    {
        let request = valid.replacen(replaced, replacement, 1);
        assert_ne!(request, valid, "{case}");
        record_rejection(&mut transcript, case, &request, &balancer);
    }
    let oversized_chunk = format!(
        "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n",
        MAX_BODY_BYTES + 1
    );
    let oversized = valid.replacen("Content-Length: 1\r\n\r\nx", &oversized_chunk, 1);
    let mut client = RawClient::connect(balancer.address);
    client.send(oversized.as_bytes());
    client.send("y".repeat(MAX_BODY_BYTES + 1).as_bytes());
    transcript.add_received(
        "body too long, in chunks: the client receives",
        &client.response(),
    );
    let mut client = RawClient::connect(balancer.address);
    client.send(
        format!(
            "GET /look HTTP/1.1\r\nX-Long: {}\r\n",
            "y".repeat(OVERSIZED_HEADER_BYTES)
        )
        .as_bytes(),
    );
    transcript.add_received("head too long: the client receives", &client.response());
    assert!(upstream.received().is_empty());
    transcript.check();
}

/// Records an invalid request and its response, and the interim response before it if there is one.
fn record_rejection(
    transcript: &mut Transcript,
    case: &str,
    request: &str,
    balancer: &BalancerProcess,
) {
    let mut client = RawClient::connect(balancer.address);
    client.send(request.as_bytes());
    let mut response = client.response();
    let mut interim = Vec::new();
    if response.starts_with(b"HTTP/1.1 100 ") {
        interim = std::mem::replace(&mut response, client.response());
    }
    transcript.add(&format!("{case}: the client sends"), request.as_bytes());
    if !interim.is_empty() {
        transcript.add(&format!("{case}: the client receives first"), &interim);
    }
    transcript.add_received(&format!("{case}: the client receives"), &response);
}
