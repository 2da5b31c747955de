//! Races on connections to upstreams, with restarts, late responses and truncated responses.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    COOLDOWN_WAIT, EMPTY_RESPONSE, ERROR_RESPONSE, RawPeer, TIMEOUT, TestConfig, TestPool,
    UPSTREAM, attempt, idempotent_request, into_tokio_listener, raw_listener, read_request,
    ready_endpoint,
};
use frostkeel_balancer::memory_budget::MemoryBudget;
use frostkeel_balancer::upstream::Upstreams;
use frostkeel_policy::{Outcome, Settings};
use socket2::SockRef;
use std::io::Write;
use std::net::TcpStream as BlockingStream;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An update of the endpoint list contains a later start time of the upstream, which means that it
/// has restarted, while a request to its previous process is in flight. After the response, the
/// connection to that process must be closed.
#[tokio::test(flavor = "local")]
async fn closes_connections_to_the_previous_incarnation() {
    let mut pool = TestPool::start(8).await;
    let in_flight = pool.spawn_attempt();
    let mut stream = pool.accept_request().await;
    pool.endpoint.boot_ms += 1;
    pool.apply_endpoint();
    stream.write_all(EMPTY_RESPONSE.as_bytes()).await.unwrap();
    let outcome = in_flight.await.unwrap().outcome;
    assert_eq!(outcome, Outcome::Ok, "requests in flight complete");
    assert_eq!(
        pool.upstreams.open_connections(),
        0,
        "the connection to the previous process is still open"
    );
    assert_eq!(stream.read(&mut [0; 16]).await.unwrap(), 0);
}

/// The behavior of an upstream after the first part of its response.
#[derive(Clone, Copy, Debug)]
enum AfterFirstPart {
    Close,
    Reset,
    NeverContinue,
}

/// Sends part of a response to the next request; returns the connection if it stays open.
async fn send_partial_response(
    pool: &TestPool,
    part: &str,
    then: AfterFirstPart,
) -> Option<TcpStream> {
    let mut stream = pool.accept_request().await;
    stream.write_all(part.as_bytes()).await.unwrap();
    let linger = match then {
        AfterFirstPart::NeverContinue => return Some(stream),
        AfterFirstPart::Close => None,
        AfterFirstPart::Reset => Some(Duration::ZERO),
    };
    // The balancer must receive the bytes before the reset, which would discard them.
    tokio::task::yield_now().await;
    SockRef::from(&stream).set_linger(linger).unwrap();
    None
}

/// A truncated response must not be forwarded, and its attempt must end at the time limit. A
/// response without a length is complete if its connection is closed, but not if it is reset.
#[tokio::test(flavor = "local")]
async fn truncated_response_is_not_forwarded() {
    let no_length = "HTTP/1.1 200 OK\r\n\r\nhalf";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let (short, long) = (Duration::from_millis(50), TIMEOUT);
    for (part, then, time_limit, outcome) in [
        (no_length, AfterFirstPart::Close, long, Outcome::Ok),
        (no_length, AfterFirstPart::Reset, long, Outcome::Error),
        (
            no_length,
            AfterFirstPart::NeverContinue,
            short,
            Outcome::TimedOut,
        ),
        (chunked, AfterFirstPart::Close, long, Outcome::Error),
        (chunked, AfterFirstPart::Reset, long, Outcome::Error),
        (
            chunked,
            AfterFirstPart::NeverContinue,
            short,
            Outcome::TimedOut,
        ),
    ] {
        let pool = TestPool::start(8).await;
        let respond = send_partial_response(&pool, part, then);
        let (result, _open) = tokio::join!(pool.attempt(1, time_limit), respond);
        assert_eq!(result.outcome, outcome, "{part:?}, then {then:?}");
        assert_eq!(result.response.is_some(), outcome == Outcome::Ok);
    }
}

/// A connection that receives bytes while no request is in flight must not be used again.
#[tokio::test(flavor = "local")]
async fn unsolicited_bytes_close_an_idle_connection() {
    for unsolicited in [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
        "HTTP/1.1 2",
        "\r\n",
    ] {
        let pool = TestPool::start(8).await;
        let (result, mut stream) = tokio::join!(pool.attempt(1, TIMEOUT), pool.serve_next());
        assert_eq!(result.outcome, Outcome::Ok);
        // A connection could be used again only after its cooldown.
        tokio::time::sleep(COOLDOWN_WAIT).await;
        stream.write_all(unsolicited.as_bytes()).await.unwrap();
        let exchange = async { tokio::join!(pool.attempt(1, TIMEOUT), pool.serve_next()) };
        let exchange = tokio::time::timeout(TIMEOUT, exchange).await;
        let (result, _) = exchange.expect("a new connection");
        assert_eq!(result.outcome, Outcome::Ok, "{unsolicited:?}");
    }
}

/// An upstream processes a request only when it is complete. A response that the balancer receives
/// before it has written the complete request may therefore be to an earlier request, and must not
/// be forwarded. The attempt counts as a failed connect, or as rejected if the response states that
/// the request was not processed.
#[tokio::test(flavor = "local")]
async fn response_before_the_end_of_the_request_is_not_forwarded() {
    const SMALL_BUFFER_BYTES: usize = 2048;
    const LARGE_BODY_BYTES: usize = 8_000_000;
    let configure = |listener: &socket2::Socket| {
        listener.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    };
    let pool = TestPool::with_listener(into_tokio_listener(raw_listener(configure, 8)), 8);
    let rejected = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    for (response, outcome) in [
        (EMPTY_RESPONSE, Outcome::ConnectFailed),
        (rejected, Outcome::Rejected),
    ] {
        let respond = async {
            let (mut stream, _) = pool.listener.accept().await.unwrap();
            stream.write_all(response.as_bytes()).await.unwrap();
            stream
        };
        let (result, _stream) = tokio::join!(pool.attempt(LARGE_BODY_BYTES, TIMEOUT), respond);
        assert_eq!(result.outcome, outcome);
        // The connection is closed in a later iteration of the event loop, because part of the
        // request is still unwritten.
        let closed = async {
            while pool.upstreams.open_connections() > 0 {
                tokio::task::yield_now().await;
            }
        };
        let closed = tokio::time::timeout(TIMEOUT, closed).await;
        closed.expect("the connection is closed");
    }
}

/// If an attempt ends before its connection is established, its request must not be sent, even if
/// the connection is established later.
#[tokio::test(flavor = "local")]
async fn connection_established_after_the_timeout_is_not_used() {
    // While the backlog is full, the system keeps other connections pending.
    let listener = raw_listener(|_| (), 0);
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _fills_backlog = BlockingStream::connect(address).unwrap();
    let settings = Settings {
        connect_timeout: Duration::from_millis(200),
        ..Settings::default()
    };
    let upstreams = Upstreams::new(&settings, 8, &MemoryBudget::unlimited());
    upstreams.apply_endpoint(UPSTREAM, &ready_endpoint(address));
    let result = attempt(&upstreams, UPSTREAM, 1, Duration::from_millis(50)).await;
    assert_eq!(
        result.outcome,
        Outcome::NotSent,
        "the attempt ended before the connect timeout"
    );
    let result = attempt(&upstreams, UPSTREAM, 1, TIMEOUT).await;
    assert_eq!(result.outcome, Outcome::ConnectFailed);
    assert_eq!(upstreams.open_connections(), 0);
}

/// The longest delay after which the upstream of this test sends a second response to a request.
const MAX_SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(25);

/// Serves requests on a connection like an upstream that sends each response twice. A request that
/// arrives within [`MAX_SECOND_RESPONSE_DELAY`] after a response gets the second response to the
/// previous request, with the body `late` instead of `mine`.
fn serve_with_second_responses(mut stream: BlockingStream) {
    let mut responded_at: Option<Instant> = None;
    while read_request(&stream).is_some() {
        let gets_second_response =
            responded_at.is_some_and(|at| at.elapsed() < MAX_SECOND_RESPONSE_DELAY);
        let body = if gets_second_response { "late" } else { "mine" };
        responded_at = Some(Instant::now());
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
        if write!(stream, "{head}{body}").is_err() {
            return;
        }
    }
}

/// An upstream may send a second response some milliseconds after the first. If the connection
/// already carried the next request, the second response could not be distinguished from the
/// response to that request. It must not be forwarded as the response to another request.
#[test]
fn late_second_response_reaches_no_other_request() {
    let upstream = RawPeer::start();
    let address = upstream.address;
    std::thread::spawn(move || {
        for stream in upstream.connections {
            std::thread::spawn(move || serve_with_second_responses(stream));
        }
    });
    let process = TestConfig::with_upstreams(&[address]).start();
    let mut client = process.connect();
    for _ in 0..20 {
        let response = client.exchange(&idempotent_request(5000));
        assert_eq!((response.status(), &response.body[..]), (200, &b"mine"[..]));
    }
}

/// The value of `X-Time-Left-Ms` in a retry must not exceed the time that is left for the request
/// when the retry is sent.
#[test]
fn retry_carries_the_remaining_time() {
    const TIME_LEFT_MS: u64 = 3000;
    let upstream = RawPeer::start();
    let process = TestConfig::with_upstreams(&[upstream.address, upstream.address]).start();
    let mut client = process.connect();
    let requested_at = Instant::now();
    client.write(&idempotent_request(TIME_LEFT_MS));
    let mut first = upstream.next_connection_with_request();
    std::thread::sleep(Duration::from_millis(200));
    let elapsed_ms = requested_at.elapsed().as_millis() as u64;
    first.write_all(ERROR_RESPONSE.as_bytes()).unwrap();
    let retry = read_request(&upstream.next_connection()).expect("a retry");
    let stated = retry.header("x-time-left-ms").expect("a time");
    let stated_ms: u64 = stated.parse().unwrap();
    assert!(
        stated_ms + elapsed_ms <= TIME_LEFT_MS,
        "{stated_ms} ms stated after {elapsed_ms} of {TIME_LEFT_MS} ms"
    );
}
