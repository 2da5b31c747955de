//! Connections to upstreams, in a race with restarts, late responses and truncated responses.
#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

mod common;

use common::{
    COOLDOWN_WAIT, EMPTY_RESPONSE, ERROR_RESPONSE, RawPeer, TIMEOUT, TestConfig, TestPool,
    UPSTREAM, attempt, idempotent_request, into_tokio_listener, raw_listener, read_request,
    ready_endpoint,
};
use frostkeel_balancer::upstream::Upstreams;
use frostkeel_policy::{Outcome, Settings};
use socket2::SockRef;
use std::io::Write;
use std::net::TcpStream as BlockingStream;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The upstream is listed with a new start while a response of the old process is under way: its
/// connection must not carry a further request.
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
        "the connection to the old process is retained"
    );
    assert_eq!(stream.read(&mut [0; 16]).await.unwrap(), 0);
}

/// What an upstream does after the first part of its response.
#[derive(Clone, Copy, Debug)]
enum AfterPart {
    Close,
    Reset,
    NeverContinue,
}

/// Writes part of a response; returns the connection if it stays open.
async fn respond_in_part(pool: &TestPool, part: &str, then: AfterPart) -> Option<TcpStream> {
    let mut stream = pool.accept_request().await;
    stream.write_all(part.as_bytes()).await.unwrap();
    let linger = match then {
        AfterPart::NeverContinue => return Some(stream),
        AfterPart::Close => None,
        AfterPart::Reset => Some(Duration::ZERO),
    };
    // The bytes have to be there before the reset, which would overtake them.
    tokio::task::yield_now().await;
    SockRef::from(&stream).set_linger(linger).unwrap();
    None
}

/// A truncated response must not pass for a complete one, nor be waited for longer than the time
/// limit. One without a length ends with its connection; a reset does not complete it.
#[tokio::test(flavor = "local")]
async fn truncated_response_is_not_forwarded() {
    let no_length = "HTTP/1.1 200 OK\r\n\r\nhalf";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let (short, long) = (Duration::from_millis(50), TIMEOUT);
    for (part, then, time_limit, outcome) in [
        (no_length, AfterPart::Close, long, Outcome::Ok),
        (no_length, AfterPart::Reset, long, Outcome::Error),
        (
            no_length,
            AfterPart::NeverContinue,
            short,
            Outcome::TimedOut,
        ),
        (chunked, AfterPart::Close, long, Outcome::Error),
        (chunked, AfterPart::Reset, long, Outcome::Error),
        (chunked, AfterPart::NeverContinue, short, Outcome::TimedOut),
    ] {
        let pool = TestPool::start(8).await;
        let respond = respond_in_part(&pool, part, then);
        let (ended, _open) = tokio::join!(pool.attempt(1, time_limit), respond);
        assert_eq!(ended.outcome, outcome, "{part:?}, then {then:?}");
        assert_eq!(ended.response.is_some(), outcome == Outcome::Ok);
    }
}

/// Bytes that belong to no request: the connection must not be used any more.
#[tokio::test(flavor = "local")]
async fn unsolicited_bytes_close_an_idle_connection() {
    for unsolicited in [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
        "HTTP/1.1 2",
        "\r\n",
    ] {
        let pool = TestPool::start(8).await;
        let (ended, mut stream) = tokio::join!(pool.attempt(1, TIMEOUT), pool.serve_next());
        assert_eq!(ended.outcome, Outcome::Ok);
        // Only a connection that has rested would be used again.
        tokio::time::sleep(COOLDOWN_WAIT).await;
        stream.write_all(unsolicited.as_bytes()).await.unwrap();
        let both = async { tokio::join!(pool.attempt(1, TIMEOUT), pool.serve_next()) };
        let both = tokio::time::timeout(TIMEOUT, both).await;
        let (ended, _) = both.expect("a new connection");
        assert_eq!(ended.outcome, Outcome::Ok, "{unsolicited:?}");
    }
}

/// A response that is there before its request has been sent completely belongs to something else.
#[tokio::test(flavor = "local")]
async fn response_before_the_end_of_the_request_is_not_forwarded() {
    const SMALL_BUFFER_BYTES: usize = 2048;
    const LARGE_BODY: usize = 8_000_000;
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
        let (ended, _stream) = tokio::join!(pool.attempt(LARGE_BODY, TIMEOUT), respond);
        assert_eq!(ended.outcome, outcome);
        // The connection ends with the next turn of the loop: the rest of the request is in the way.
        let closed = async {
            while pool.upstreams.open_connections() > 0 {
                tokio::task::yield_now().await;
            }
        };
        let closed = tokio::time::timeout(TIMEOUT, closed).await;
        closed.expect("the connection is closed");
    }
}

/// A connection that comes up after its attempt was given up must not carry the request.
#[tokio::test(flavor = "local")]
async fn connection_established_after_the_timeout_is_not_used() {
    // With a full backlog the system leaves further connections pending until there is space.
    let listener = raw_listener(|_| (), 0);
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _fills_backlog = BlockingStream::connect(address).unwrap();
    let settings = Settings {
        connect_timeout: Duration::from_millis(200),
        ..Settings::default()
    };
    let upstreams = Upstreams::new(&settings, 8);
    upstreams.apply_endpoint(UPSTREAM, &ready_endpoint(address));
    let ended = attempt(&upstreams, UPSTREAM, 1, Duration::from_millis(50)).await;
    assert_eq!(
        ended.outcome,
        Outcome::NotSent,
        "given up before the connection counts as failed"
    );
    let ended = attempt(&upstreams, UPSTREAM, 1, TIMEOUT).await;
    assert_eq!(ended.outcome, Outcome::ConnectFailed);
    assert_eq!(upstreams.open_connections(), 0);
}

/// How late an upstream may send a second response.
const SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(25);

/// Serves requests on a connection. A request that follows a response so soon that it would meet
/// a second response to the one before gets that one.
fn respond_twice(mut stream: BlockingStream) {
    let mut responded_at: Option<Instant> = None;
    while read_request(&stream).is_some() {
        let meets_second = responded_at.is_some_and(|at| at.elapsed() < SECOND_RESPONSE_DELAY);
        let body = if meets_second { "late" } else { "mine" };
        responded_at = Some(Instant::now());
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
        if write!(stream, "{head}{body}").is_err() {
            return;
        }
    }
}

/// An upstream may send a second response some milliseconds late, and on a connection in use again
/// by then nothing tells whose it is: it must not reach another client.
#[test]
fn late_second_response_reaches_no_other_request() {
    let upstream = RawPeer::start();
    let address = upstream.address;
    std::thread::spawn(move || {
        for stream in upstream.connections {
            std::thread::spawn(move || respond_twice(stream));
        }
    });
    let process = TestConfig::with_upstreams(&[address]).start();
    let mut client = process.connect();
    for _ in 0..20 {
        let response = client.exchange(&idempotent_request(5000));
        assert_eq!((response.status(), &response.body[..]), (200, &b"mine"[..]));
    }
}

/// A retry states no more time than the client has left then.
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
        "{stated_ms} ms stated after {elapsed_ms} of {TIME_LEFT_MS}"
    );
}
