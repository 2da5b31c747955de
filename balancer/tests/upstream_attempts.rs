//! Attempts to send requests to upstreams, on real sockets.

mod common;

use common::{COOLDOWN_WAIT, EMPTY_RESPONSE, TIMEOUT, TestPool, UPSTREAM, attempt};
use frostkeel_policy::{Availability, Outcome, Settings, UpstreamId};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

/// The upstream begins to drain while an attempt waits for a connection to it. The request must not
/// be sent.
#[tokio::test(flavor = "local")]
async fn attempt_waiting_for_a_connection_is_not_sent_after_a_drain() {
    let mut pool = TestPool::start(1).await;
    let first = pool.spawn_attempt();
    let mut stream = pool.accept_request().await;
    // The only connection is in use, so this attempt waits.
    let second = pool.spawn_attempt();
    tokio::task::yield_now().await;
    pool.endpoint.availability = Availability::Draining;
    pool.apply_endpoint();
    stream.write_all(EMPTY_RESPONSE.as_bytes()).await.unwrap();
    let outcome = first.await.unwrap().outcome;
    assert_eq!(outcome, Outcome::Ok, "requests in flight complete");
    assert_eq!(second.await.unwrap().outcome, Outcome::NotSent);
    let read = stream.read(&mut [0; 1024]).await.unwrap_or(0);
    assert_eq!(read, 0, "another request was sent");
}

/// If a connection ends without a response, the upstream's process may have died, and the outcome
/// is a reset. An unreadable response shows that the process has responded, so the outcome is an
/// error. In both cases, the request may have run.
#[tokio::test(flavor = "local")]
async fn outcome_is_error_for_an_unreadable_response_and_reset_without_a_response() {
    let pool = TestPool::start(8).await;
    let long_head = format!(
        "HTTP/1.1 200 OK\r\nX-Long: {}\r\n\r\n",
        "y".repeat(64 * 1024)
    );
    for (response, outcome) in [
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
        (&long_head, Outcome::Error),
    ] {
        let respond = async {
            let mut stream = pool.accept_request().await;
            // The write can fail, because the balancer may close the connection before the end.
            let _ = stream.write_all(response.as_bytes()).await;
        };
        let (result, ()) = tokio::join!(pool.attempt(1, TIMEOUT), respond);
        let shown = &response[..response.len().min(60)];
        assert_eq!(result.outcome, outcome, "{shown:?}");
        assert!(result.response.is_none(), "{shown:?}");
    }
}

/// The upstream closes an idle connection just before the balancer would use it for a request. The
/// request must be sent on a new connection.
#[tokio::test(flavor = "local")]
async fn does_not_write_to_a_connection_closed_by_the_upstream() {
    let pool = TestPool::start(8).await;
    for _ in 0..20 {
        // If the request were written to the old connection, no new connection would be opened.
        let exchange = async { tokio::join!(pool.attempt(1, TIMEOUT), pool.serve_next()) };
        let exchange = timeout_at(Instant::now() + TIMEOUT, exchange).await;
        let (result, stream) = exchange.expect("a new connection");
        assert_eq!(result.outcome, Outcome::Ok);
        // A connection is used again only after its cooldown. No task runs between the close and
        // the next attempt.
        tokio::time::sleep(COOLDOWN_WAIT).await;
        drop(stream);
    }
}

/// At the connection limit, an idle connection must be closed before another one is opened, so that
/// the balancer does not run out of descriptors. If all connections are in use, an attempt that
/// gets none in time ends as not sent, which does not count against the upstream.
#[tokio::test(flavor = "local")]
async fn open_connections_stay_within_the_limit() {
    let pool = TestPool::start(1).await;
    let other = UpstreamId(8);
    pool.upstreams.apply_endpoint(other, &pool.endpoint);
    for id in [UPSTREAM, other] {
        let attempt = attempt(&pool.upstreams, id, 1, TIMEOUT);
        let (result, _stream) = tokio::join!(attempt, pool.serve_next());
        assert_eq!(result.outcome, Outcome::Ok);
        assert_eq!(pool.upstreams.open_connections(), 1);
    }
    // The only connection is in use, by an upstream that never responds.
    let unanswered = pool.spawn_attempt();
    let _stream = pool.accept_request().await;
    let result = pool.attempt(1, Duration::from_millis(50)).await;
    assert_eq!(result.outcome, Outcome::NotSent);
    unanswered.abort();
}

/// Guards against a crash at the first connection if the settings state the longest timeouts.
#[tokio::test(flavor = "local")]
async fn connects_with_the_longest_timeouts() {
    let settings = Settings {
        connect_timeout: Duration::MAX,
        connection_idle_timeout: Duration::MAX,
        ..Settings::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = TestPool::with_settings(&settings, listener, 8);
    let (result, _stream) = tokio::join!(pool.attempt(1, TIMEOUT), pool.serve_next());
    assert_eq!(result.outcome, Outcome::Ok);
}
