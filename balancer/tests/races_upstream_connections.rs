//! Connections to upstreams, crossed by restarts, late answers and answers that break off.
#![expect(
    clippy::unwrap_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod common;

use bytes::Bytes;
use common::{LONG, Setup, look, next_request};
use frostkeel_balancer::upstream::{AttemptResult, EndpointState, ForwardedRequest, Upstreams};
use frostkeel_policy::{Availability, Outcome, Settings, UpstreamId};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::Cell;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant as WallInstant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

const ID: UpstreamId = UpstreamId(7);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn outgoing(body: usize) -> ForwardedRequest {
    ForwardedRequest {
        method: Method::POST,
        target: Uri::from_static("/book"),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; body]),
    }
}

/// One upstream, listed as ready, and where it listens.
async fn one() -> (Rc<Upstreams>, TcpListener, EndpointState) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings {
        connect_timeout: LONG,
        connection_idle_timeout: LONG,
        ..Settings::default()
    };
    let upstreams = Rc::new(Upstreams::new(&settings, 8));
    let endpoint = Some(listener.local_addr().unwrap());
    let place = EndpointState {
        address: endpoint,
        availability: Availability::Ready,
        boot_ms: 5,
    };
    upstreams.apply_endpoint(ID, &place);
    (upstreams, listener, place)
}

async fn attempt(upstreams: &Upstreams, body: usize, within: Duration) -> AttemptResult {
    upstreams
        .attempt(
            ID,
            &outgoing(body),
            Instant::now() + within,
            &Cell::default(),
        )
        .await
}

/// A connection of the balancer's, with the request on it read.
async fn requested(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
    stream
}

/// Guards against a request on a connection to a process that is no more: the upstream is listed with a new start
/// while an answer of the old process is under way.
#[tokio::test(flavor = "local")]
async fn closes_connections_to_the_previous_incarnation() {
    let (upstreams, listener, mut place) = one().await;
    let asks = Rc::clone(&upstreams);
    let asked = spawn_local(async move { attempt(&asks, 1, LONG).await });
    let mut stream = requested(&listener).await;
    place.boot_ms = 6;
    upstreams.apply_endpoint(ID, &place);
    stream.write_all(OK).await.unwrap();
    assert_eq!(
        asked.await.unwrap().outcome,
        Outcome::Ok,
        "what it has it finishes"
    );
    assert_eq!(
        upstreams.open_connections(),
        0,
        "the connection to the old process is kept"
    );
    assert_eq!(stream.read(&mut [0; 16]).await.unwrap(), 0);
}

/// Guards against half an answer passed on as a whole one, and against one that is waited for longer than there is
/// time: an answer without a length ends with its connection's end, and a reset is no end.
#[tokio::test(flavor = "local")]
async fn truncated_response_is_not_forwarded() {
    let no_length = "HTTP/1.1 200 OK\r\n\r\nhalf";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let (short, long) = (Duration::from_millis(50), LONG);
    for (answer, closes, within, outcome) in [
        (no_length, Some(false), long, Outcome::Ok),
        (no_length, Some(true), long, Outcome::Error),
        (no_length, None, short, Outcome::TimedOut),
        (chunked, Some(false), long, Outcome::Error),
        (chunked, Some(true), long, Outcome::Error),
        (chunked, None, short, Outcome::TimedOut),
    ] {
        let (upstreams, listener, _) = one().await;
        let respond = async {
            let mut stream = requested(&listener).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
            match closes {
                None => Some(stream),
                Some(reset) => {
                    let linger = reset.then_some(Duration::ZERO);
                    // The bytes have to be there before the reset, which would overtake them.
                    tokio::task::yield_now().await;
                    SockRef::from(&stream).set_linger(linger).unwrap();
                    None
                }
            }
        };
        let (ended, _open) = tokio::join!(attempt(&upstreams, 1, within), respond);
        assert_eq!(
            ended.outcome, outcome,
            "{answer:?}, closed by a reset: {closes:?}"
        );
        assert_eq!(ended.response.is_some(), outcome == Outcome::Ok);
    }
}

/// Guards against bytes that nobody asked for, on a connection at rest: it is not used any more.
#[tokio::test(flavor = "local")]
async fn unsolicited_bytes_close_an_idle_connection() {
    for late in [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
        "HTTP/1.1 2",
        "\r\n",
    ] {
        let (upstreams, listener, _) = one().await;
        let respond = async {
            let mut stream = requested(&listener).await;
            stream.write_all(OK).await.unwrap();
            stream
        };
        let (ended, mut stream) = tokio::join!(attempt(&upstreams, 1, LONG), respond);
        assert_eq!(ended.outcome, Outcome::Ok);
        // Only a connection that has rested would be used again.
        tokio::time::sleep(Duration::from_millis(40)).await;
        stream.write_all(late.as_bytes()).await.unwrap();
        let respond = async { requested(&listener).await.write_all(OK).await.unwrap() };
        let both = async { tokio::join!(attempt(&upstreams, 1, LONG), respond) };
        let (ended, ()) = tokio::time::timeout(LONG, both)
            .await
            .expect("a new connection");
        assert_eq!(ended.outcome, Outcome::Ok, "{late:?}");
    }
}

/// Guards against an answer that belongs to something else: it is there before its request has left whole.
#[tokio::test(flavor = "local")]
async fn response_before_the_end_of_the_request_is_not_forwarded() {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.set_recv_buffer_size(2048).unwrap();
    listener
        .bind(
            &"127.0.0.1:0"
                .parse::<std::net::SocketAddr>()
                .unwrap()
                .into(),
        )
        .unwrap();
    listener.listen(8).unwrap();
    listener.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(listener.into()).unwrap();
    let settings = Settings {
        connect_timeout: LONG,
        connection_idle_timeout: LONG,
        ..Settings::default()
    };
    let upstreams = Upstreams::new(&settings, 8);
    let endpoint = Some(listener.local_addr().unwrap());
    upstreams.apply_endpoint(
        ID,
        &EndpointState {
            address: endpoint,
            availability: Availability::Ready,
            boot_ms: 0,
        },
    );
    for (answer, outcome) in [
        (OK, Outcome::ConnectFailed),
        (
            &b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"[..],
            Outcome::Rejected,
        ),
    ] {
        let respond = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(answer).await.unwrap();
            stream
        };
        let (ended, _stream) = tokio::join!(attempt(&upstreams, 8_000_000, LONG), respond);
        assert_eq!(ended.outcome, outcome);
        // The connection ends with the next turn of the loop: the rest of the request is in the way.
        let closed = async {
            while upstreams.open_connections() > 0 {
                tokio::task::yield_now().await
            }
        };
        tokio::time::timeout(LONG, closed)
            .await
            .expect("it is closed");
    }
}

/// Guards against a request on a connection that comes up after its attempt was given up.
#[tokio::test(flavor = "local")]
async fn connection_established_after_the_timeout_is_not_used() {
    // With a full backlog the system leaves further connections hanging until there is room.
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener
        .bind(
            &"127.0.0.1:0"
                .parse::<std::net::SocketAddr>()
                .unwrap()
                .into(),
        )
        .unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _fills = std::net::TcpStream::connect(address).unwrap();
    let settings = Settings {
        connect_timeout: Duration::from_millis(200),
        ..Settings::default()
    };
    let upstreams = Upstreams::new(&settings, 8);
    upstreams.apply_endpoint(
        ID,
        &EndpointState {
            address: Some(address),
            availability: Availability::Ready,
            boot_ms: 0,
        },
    );
    let ended = attempt(&upstreams, 1, Duration::from_millis(50)).await;
    assert_eq!(
        ended.outcome,
        Outcome::NotSent,
        "given up before the connection counts as failed"
    );
    assert_eq!(
        attempt(&upstreams, 1, LONG).await.outcome,
        Outcome::ConnectFailed
    );
    assert_eq!(upstreams.open_connections(), 0);
}

/// Guards a client against another one's answer: an upstream may send a second answer some milliseconds late, and
/// on a connection in use again by then nothing tells whose it is.
#[test]
fn late_second_response_reaches_no_other_request() {
    const LATE: Duration = Duration::from_millis(25);
    let (address, streams) = common::raw_peer();
    std::thread::spawn(move || {
        for mut stream in streams {
            std::thread::spawn(move || {
                let mut answered: Option<WallInstant> = None;
                while next_request(&stream).is_some() {
                    // A further request so soon would meet the second answer to the one before.
                    let crossed = answered.is_some_and(|at| at.elapsed() < LATE);
                    let body = if crossed { "late" } else { "mine" };
                    answered = Some(WallInstant::now());
                    let head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
                    if write!(stream, "{head}{body}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    let node = Setup::with(&[address]).start();
    let mut client = node.connect();
    for _ in 0..20 {
        let answer = client.exchange(&look(5000));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"mine"[..]));
    }
}

/// Guards what a further attempt says of the time: no more than is left to the client then.
#[test]
fn retry_carries_the_remaining_time() {
    let (address, streams) = common::raw_peer();
    let node = Setup::with(&[address, address]).start();
    let mut client = node.connect();
    let asked = WallInstant::now();
    client.write(&look(3000));
    let first = streams.recv_timeout(LONG).expect("an attempt");
    assert!(next_request(&first).is_some());
    std::thread::sleep(Duration::from_millis(200));
    let passed = asked.elapsed().as_millis() as u64;
    (&first)
        .write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let second = streams.recv_timeout(LONG).expect("a further attempt");
    let told = next_request(&second).expect("a request");
    let told: u64 = told
        .header("x-time-left-ms")
        .expect("a time")
        .parse()
        .unwrap();
    assert!(
        told + passed <= 3000,
        "{told} ms told after {passed} of 3000"
    );
}
