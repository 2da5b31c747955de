//! Requests that wait in the accept queue while the limit on client connections is reached. The
//! balancer's server runs in the test's own process, so that the test controls the clock.
#![expect(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a failed step fails the test"
)]

mod common;

use common::{EMPTY_RESPONSE, Message, TestServer, idempotent_request};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The limit on client connections.
const MAX_CLIENTS: usize = 4;
/// The number of clients that connect when all connections are occupied.
const WAITING_CLIENTS: usize = 6;
/// The deadline of the requests that occupy all connections.
const LONG_TIME_LEFT_MS: u64 = 30_000;
const TIME_LEFT_MS: u64 = 800;
/// How long after its deadline a request is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// How much more time than is left to the client an attempt may tell its upstream.
const TOLD_TIME_SLACK: Duration = Duration::from_millis(150);

/// The longest time for which a test waits for one event, on its own clock.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// An attempt that the upstream has received.
struct Attempt {
    stream: TcpStream,
    request: Message,
}

impl Attempt {
    async fn receive(server: &TestServer) -> Self {
        let accepted = timeout(MAX_WAIT, server.upstream.accept()).await;
        let (mut stream, _) = accepted.expect("an attempt").unwrap();
        let mut text = [0; 4096];
        let length = stream.read(&mut text).await.unwrap();
        let request = Message::read(&mut &text[..length]).unwrap();
        Self { stream, request }
    }

    /// Sends a response, and closes the connection.
    async fn respond(mut self) {
        let response = EMPTY_RESPONSE.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        self.stream.write_all(response.as_bytes()).await.unwrap();
    }

    /// Returns the time that the attempt tells the upstream.
    fn told_time(&self) -> Duration {
        let value = self.request.header("x-time-left-ms").unwrap();
        Duration::from_millis(value.parse().unwrap())
    }
}

/// A server whose client connections all wait for their response, so that none of them may be
/// closed to admit another one.
struct FullServer {
    server: TestServer,
    clients: Vec<TcpStream>,
    /// The attempts of the clients' requests, which get no response.
    _attempts: Vec<Attempt>,
}

impl FullServer {
    async fn start() -> Self {
        let server = TestServer::start(MAX_CLIENTS).await;
        let (mut clients, mut attempts) = (Vec::new(), Vec::new());
        for _ in 0..MAX_CLIENTS {
            clients.push(send_request(&server, LONG_TIME_LEFT_MS).await);
            attempts.push(Attempt::receive(&server).await);
        }
        Self {
            server,
            clients,
            _attempts: attempts,
        }
    }
}

async fn send_request(server: &TestServer, time_left_ms: u64) -> TcpStream {
    let mut client = TcpStream::connect(server.address).await.unwrap();
    let request = idempotent_request(time_left_ms);
    client.write_all(request.as_bytes()).await.unwrap();
    client
}

/// Guards against an accept that waits for a free connection without a time limit, so that a
/// request in the accept queue gets its response only after its deadline and is lost.
#[tokio::test(flavor = "local", start_paused = true)]
async fn connection_is_closed_unread_if_none_can_be_closed_to_admit_it() {
    let full = FullServer::start().await;
    let sent_at = Instant::now();
    let mut waiting = Vec::new();
    for _ in 0..WAITING_CLIENTS {
        waiting.push(send_request(&full.server, TIME_LEFT_MS).await);
    }
    for client in &mut waiting {
        let read = timeout(MAX_WAIT, client.read(&mut [0; 1])).await;
        let read = read.expect("the connection is still open");
        assert!(!read.is_ok_and(|length| length > 0), "a response");
        assert!(sent_at.elapsed() < LOST_AFTER, "{:?}", sent_at.elapsed());
    }
    assert_eq!(full.clients.len(), MAX_CLIENTS);
}

/// Guards against a deadline that counts from when a request is read, so that the time that it has
/// waited in the accept queue is told to the upstream as if it were left.
#[tokio::test(flavor = "local", start_paused = true)]
async fn time_in_the_accept_queue_is_not_told_to_the_upstream() {
    let mut full = FullServer::start().await;
    let sent_at = Instant::now();
    let mut waiting = send_request(&full.server, TIME_LEFT_MS).await;
    sleep(Duration::from_millis(200)).await;
    drop(full.clients.remove(0));
    let attempt = Attempt::receive(&full.server).await;
    let time_left = Duration::from_millis(TIME_LEFT_MS) - sent_at.elapsed();
    let told = attempt.told_time();
    assert!(
        told <= time_left + TOLD_TIME_SLACK,
        "{told:?} of {time_left:?}"
    );
    attempt.respond().await;
    let mut response = [0; 64];
    let length = waiting.read(&mut response).await.unwrap();
    assert!(response[..length].starts_with(b"HTTP/1.1 200 OK"));
}
