//! Attempts at upstreams on real sockets.
#![expect(
    clippy::unwrap_used,
    reason = "a test fails where its peers cannot be set up"
)]

use bytes::Bytes;
use frostkeel_balancer::upstream::{AttemptResult, EndpointState, ForwardedRequest, Upstreams};
use frostkeel_policy::{Availability, Outcome, Settings, UpstreamId};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

const ID: UpstreamId = UpstreamId(7);
const LONG: Duration = Duration::from_secs(20);
/// Longer than a connection rests after an answer.
const RESTED: Duration = Duration::from_millis(40);

fn outgoing() -> ForwardedRequest {
    ForwardedRequest {
        method: Method::POST,
        target: Uri::from_static("/book"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"x"),
    }
}

async fn upstreams(most_open: usize) -> (Rc<Upstreams>, TcpListener, EndpointState) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings {
        connect_timeout: LONG,
        connection_idle_timeout: LONG,
        ..Settings::default()
    };
    let upstreams = Rc::new(Upstreams::new(&settings, most_open));
    let endpoint = Some(listener.local_addr().unwrap());
    let place = EndpointState {
        address: endpoint,
        availability: Availability::Ready,
        boot_ms: 0,
    };
    upstreams.apply_endpoint(ID, &place);
    (upstreams, listener, place)
}

/// Answers the request on the next connection.
async fn answer_next(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .await
        .unwrap();
    stream
}

async fn attempt(
    upstreams: &Upstreams,
    id: UpstreamId,
    outgoing: &ForwardedRequest,
    give_up: Instant,
) -> AttemptResult {
    upstreams
        .attempt(id, outgoing, give_up, &Cell::default())
        .await
}

/// Guards the drain rule where an attempt was decided on before the news and has no connection yet.
#[tokio::test(flavor = "local")]
async fn attempt_waiting_for_a_connection_is_not_sent_after_a_drain() {
    let (upstreams, listener, mut place) = upstreams(1).await;
    let held = Rc::clone(&upstreams);
    let first =
        spawn_local(async move { attempt(&held, ID, &outgoing(), Instant::now() + LONG).await });
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
    // The only place is taken: this one waits.
    let waits = Rc::clone(&upstreams);
    let second =
        spawn_local(async move { attempt(&waits, ID, &outgoing(), Instant::now() + LONG).await });
    tokio::task::yield_now().await;
    place.availability = Availability::Draining;
    upstreams.apply_endpoint(ID, &place);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .await
        .unwrap();
    assert_eq!(
        first.await.unwrap().outcome,
        Outcome::Ok,
        "what it has it finishes"
    );
    assert_eq!(second.await.unwrap().outcome, Outcome::NotSent);
    assert_eq!(
        stream.read(&mut [0; 1024]).await.unwrap_or(0),
        0,
        "nothing more came"
    );
}

/// Guards against taking out an upstream whose process lives: only a connection that ends without an
/// answer is a reset. What can't be read may have run all the same.
#[tokio::test(flavor = "local")]
async fn unreadable_response_is_an_error_and_a_missing_one_a_reset() {
    let (upstreams, listener, _) = upstreams(8).await;
    let long = format!(
        "HTTP/1.1 200 OK\r\nX-Long: {}\r\n\r\n",
        "y".repeat(64 * 1024)
    );
    for (answer, outcome) in [
        ("", Outcome::Reset),
        (
            "HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
            Outcome::Error,
        ),
        (
            "HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n",
            Outcome::Error,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: few\r\n\r\n",
            Outcome::Error,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf",
            Outcome::Error,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            Outcome::Error,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
            Outcome::Error,
        ),
        (&long, Outcome::Error),
    ] {
        let respond = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            // The balancer may close as soon as it has seen enough.
            let _ = stream.write_all(answer.as_bytes()).await;
        };
        let request = outgoing();
        let (ended, ()) = tokio::join!(
            attempt(&upstreams, ID, &request, Instant::now() + LONG),
            respond
        );
        assert_eq!(
            ended.outcome,
            outcome,
            "{:?}",
            &answer[..answer.len().min(60)]
        );
        assert!(ended.response.is_none());
    }
}

/// Guards against the moment between an upstream's close and this process's look at it.
#[tokio::test(flavor = "local")]
async fn does_not_write_to_a_connection_closed_by_the_upstream() {
    let (upstreams, listener, _) = upstreams(8).await;
    for _ in 0..20 {
        let answer = answer_next(&listener);
        let request = outgoing();
        // Without the guard the request goes into the old connection and no new one ever comes.
        let both = async {
            tokio::join!(
                attempt(&upstreams, ID, &request, Instant::now() + LONG),
                answer
            )
        };
        let (ended, stream) = timeout_at(Instant::now() + LONG, both)
            .await
            .expect("a new connection");
        assert_eq!(ended.outcome, Outcome::Ok);
        // Only a connection that has rested is used again. No task runs between its end and the next attempt.
        tokio::time::sleep(RESTED).await;
        drop(stream);
    }
}

/// Guards against running out of descriptors: an idle connection makes room, and where there is none
/// the wait ends as not sent, which says nothing of the upstream.
#[tokio::test(flavor = "local")]
async fn open_connections_stay_within_the_limit() {
    let (upstreams, listener, place) = upstreams(1).await;
    let other = UpstreamId(8);
    upstreams.apply_endpoint(other, &place);
    for id in [ID, other] {
        let answer = answer_next(&listener);
        let request = outgoing();
        let (ended, _stream) = tokio::join!(
            attempt(&upstreams, id, &request, Instant::now() + LONG),
            answer
        );
        assert_eq!(ended.outcome, Outcome::Ok);
        assert_eq!(upstreams.open_connections(), 1);
    }
    // The only place is in use, by an upstream that never answers.
    let holder = Rc::clone(&upstreams);
    let holds =
        spawn_local(async move { attempt(&holder, ID, &outgoing(), Instant::now() + LONG).await });
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
    let ended = attempt(
        &upstreams,
        ID,
        &outgoing(),
        Instant::now() + Duration::from_millis(50),
    )
    .await;
    assert_eq!(ended.outcome, Outcome::NotSent);
    holds.abort();
}
