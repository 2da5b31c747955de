//! The budget of the memory that peers can make the balancer hold: requests and responses of many
//! clients at the same time, beside peers that never complete a request.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    BalancerProcess, Behavior, COOLDOWN_WAIT, Client, TestConfig, TestServer, Upstream,
    at_most_once_request, idempotent_request,
};
use frostkeel_balancer::memory_budget::{CLIENT_CONNECTION_BYTES, MemoryBudget, MemoryUse};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The least memory of a balancer on the platform, in megabytes.
const MEMORY_LIMIT_MB: u64 = 32;
/// The most descriptors of a balancer on the platform.
const MAX_SOCKETS: usize = 1024;
/// The most clients that the platform allows with this number of descriptors: a third.
const CLIENT_COUNT: usize = MAX_SOCKETS / 3;
/// The number of peers that never complete a request.
const PEER_COUNT: usize = 160;
/// The maximum length of a body.
const BODY_BYTES: usize = 64 * 1024;
/// The time that an upstream needs for a request.
const SERVICE_TIME: Duration = Duration::from_millis(300);
const RUN_TIME: Duration = Duration::from_secs(4);
/// The pause of a peer before it connects again, and of a client whose request was rejected.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The number of bytes that a slow peer writes at a time, and the pause after them.
const SLOW_PIECE_BYTES: usize = 2000;
const SLOW_PIECE_PAUSE: Duration = Duration::from_millis(60);

/// Starts upstreams that serve every request with a body of [`BODY_BYTES`].
fn start_upstreams() -> Vec<Upstream> {
    let body = "y".repeat(BODY_BYTES);
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}");
    let response: &'static str = Box::leak(response.into_boxed_str());
    let start = |_| Upstream::start(Behavior::RespondAfter(SERVICE_TIME, response));
    (0..8).map(start).collect()
}

/// Sends requests with long bodies, one after another, and counts the statuses of the responses.
fn run_client(process: &BalancerProcess, stop: &AtomicBool, counts: &Mutex<BTreeMap<u16, usize>>) {
    let request = at_most_once_request(8000, &"x".repeat(BODY_BYTES));
    let mut client = process.connect();
    while !stop.load(Ordering::SeqCst) {
        let status = client.exchange(&request).status();
        *counts.lock().unwrap().entry(status).or_default() += 1;
        if status != 200 {
            std::thread::sleep(RETRY_PAUSE);
        }
    }
}

/// Sends one of several incomplete requests, waits until the connection ends, and connects again.
fn run_peer(number: usize, process: &BalancerProcess, stop: &AtomicBool) {
    let long_request = at_most_once_request(8000, &"x".repeat(BODY_BYTES));
    let short_fields: String = (0..96).map(|field| format!("a{field}: b\r\n")).collect();
    while !stop.load(Ordering::SeqCst) {
        let mut client = process.connect();
        match number % 4 {
            0 => client.write_nonblocking(&long_request.as_bytes()[..long_request.len() - 1]),
            1 => {
                client.write_nonblocking(format!("GET /look HTTP/1.1\r\n{short_fields}").as_bytes())
            }
            2 => client.write_nonblocking(
                format!("GET /look HTTP/1.1\r\nX: {}", "z".repeat(30_000)).as_bytes(),
            ),
            _ => write_slowly(
                &mut client,
                &long_request.as_bytes()[..long_request.len() - 1],
                stop,
            ),
        }
        assert!(client.is_closed_or_responds());
        std::thread::sleep(RETRY_PAUSE);
    }
}

fn write_slowly(client: &mut Client, bytes: &[u8], stop: &AtomicBool) {
    for piece in bytes.chunks(SLOW_PIECE_BYTES) {
        client.write_nonblocking(piece);
        if stop.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(SLOW_PIECE_PAUSE);
    }
}

/// Guards against buffers, heads and bodies that are limited one by one but not in their sum, so
/// that clients with long requests and responses, beside peers that stop within a request, write
/// slowly or send long heads, take the balancer over its memory limit.
#[test]
fn long_requests_beside_incomplete_ones_stay_within_the_memory_limit() {
    let upstreams = start_upstreams();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let mut config = TestConfig::with_upstreams(&addresses);
    (config.max_sockets, config.memory_mb) = (MAX_SOCKETS, MEMORY_LIMIT_MB);
    let mut process = config.start();
    let (stop, counts) = (AtomicBool::new(false), Mutex::default());
    std::thread::scope(|scope| {
        for _ in 0..CLIENT_COUNT {
            scope.spawn(|| run_client(&process, &stop, &counts));
        }
        for number in 0..PEER_COUNT {
            let (process, stop) = (&process, &stop);
            scope.spawn(move || run_peer(number, process, stop));
        }
        std::thread::sleep(RUN_TIME);
        stop.store(true, Ordering::SeqCst);
    });
    let counts = counts.into_inner().unwrap();
    let peak_mb = process.peak_memory_mb();
    println!("peak memory: {peak_mb} MB, responses: {counts:?}");
    assert!(process.is_running());
    assert!(peak_mb < MEMORY_LIMIT_MB as f64, "{peak_mb} MB");
    let is_expected = |status: &u16| matches!(status, 200 | 503);
    assert!(counts.keys().all(is_expected), "{counts:?}");
    assert!(counts.contains_key(&200), "{counts:?}");
    // The memory of those that have left is available again.
    let request = at_most_once_request(8000, &"x".repeat(BODY_BYTES));
    process.wait_for_status(&request, 200);
}

/// Guards against connections that stay open with what a head of many or long fields has made them
/// keep: the tables of headers and the write buffers of the HTTP library.
#[test]
fn connections_with_heads_of_many_or_long_fields_are_not_kept() {
    let fields: String = (0..80).map(|field| format!("a{field}: b\r\n")).collect();
    let long_field = format!("x-long: {}\r\n", "z".repeat(10_000));
    let response = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n");
    let response: &'static str = Box::leak(response.into_boxed_str());
    for (added, is_kept) in [("", true), (&fields[..], false), (&long_field[..], false)] {
        let upstream = Upstream::healthy();
        let process = TestConfig::with_upstreams(&[upstream.address]).start();
        let request = idempotent_request(8000).replace("Host", &format!("{added}Host"));
        for _ in 0..3 {
            assert_eq!(process.status_of(&request), 200);
            std::thread::sleep(COOLDOWN_WAIT);
        }
        let expected = if is_kept { 1 } else { 3 };
        assert_eq!(upstream.connection_count(), expected, "{added:?}");
    }
    let upstream = Upstream::start(Behavior::Respond(response));
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = process.connect();
    let received = client.exchange(&idempotent_request(8000));
    assert_eq!(received.header("connection"), Some("close"));
    assert!(client.is_closed_without_data());
}

/// Sends a request on a new connection to the server, and returns the beginning of the response.
async fn exchange(server: &TestServer, request: &[u8]) -> String {
    let mut client = TcpStream::connect(server.address).await.unwrap();
    client.write_all(request).await.unwrap();
    let mut response = [0; 512];
    let length = client.read(&mut response).await.unwrap();
    String::from_utf8_lossy(&response[..length]).into_owned()
}

/// Guards against a request that is dropped without a response because there is no memory for its
/// head or its body.
#[tokio::test(flavor = "local")]
async fn rejects_a_request_without_memory_for_its_head_or_body() {
    let memory = MemoryBudget::new(8 * CLIENT_CONNECTION_BYTES, 4);
    let server = TestServer::start_with_memory(4, &memory).await;
    let field = format!("X-Long: {}\r\nHost", "z".repeat(12_000));
    let long_head = idempotent_request(8000).replace("Host", &field);
    let long_body = at_most_once_request(8000, &"x".repeat(BODY_BYTES)).replace("/book", "/look");
    let long_body = long_body.replace("POST", "GET");
    for request in [long_head, long_body] {
        let response = exchange(&server, request.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    }
    let in_time = tokio::time::timeout(Duration::from_secs(5), async {
        while memory.reserved_bytes() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(in_time.await.is_ok(), "{} bytes", memory.reserved_bytes());
}

/// Guards against a connection that is closed without a response because there is no memory to read
/// a request on it.
#[tokio::test(flavor = "local")]
async fn rejects_on_a_connection_without_memory() {
    let memory = MemoryBudget::new(CLIENT_CONNECTION_BYTES - 1, 0);
    let server = TestServer::start_with_memory(4, &memory).await;
    for request in [
        idempotent_request(8000),
        at_most_once_request(8000, &"x".repeat(BODY_BYTES)),
    ] {
        let response = exchange(&server, request.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    }
}

/// Guards against requests that leave no memory for the connections of other clients, or for the
/// responses without which their own memory is never released.
#[test]
fn requests_leave_memory_for_client_connections_and_exchanges() {
    const TOTAL_BYTES: usize = 1_000_000;
    const CLIENTS: usize = 20;
    let memory = MemoryBudget::new(TOTAL_BYTES, CLIENTS);
    let mut reservations = Vec::new();
    let mut fill = |memory_use, bytes| {
        let before = memory.reserved_bytes();
        while let Some(reservation) = memory.try_reserve(memory_use, bytes) {
            reservations.push(reservation);
        }
        memory.reserved_bytes() - before
    };
    assert!(fill(MemoryUse::Request, 1000) > 0);
    assert!(fill(MemoryUse::Exchange, 1000) > 100_000);
    assert!(
        fill(MemoryUse::ClientConnection, CLIENT_CONNECTION_BYTES)
            >= CLIENTS * CLIENT_CONNECTION_BYTES
    );
    assert!(memory.reserved_bytes() <= TOTAL_BYTES);
    drop(reservations);
    assert_eq!(memory.reserved_bytes(), 0);
}

/// Guards against a reservation that waits although memory has been released, or that never gives
/// up.
#[tokio::test(flavor = "local", start_paused = true)]
async fn reservation_waits_for_released_memory_up_to_its_time_limit() {
    const TOTAL_BYTES: usize = 1000;
    let memory = MemoryBudget::new(TOTAL_BYTES, 0);
    let first = memory.try_reserve(MemoryUse::Exchange, TOTAL_BYTES);
    let start = tokio::time::Instant::now();
    let until = start + Duration::from_millis(100);
    let second = memory.reserve(MemoryUse::Exchange, 1, until).await;
    assert!(first.is_some() && second.is_none());
    assert_eq!(start.elapsed(), Duration::from_millis(100));
    let waiting = memory.reserve(MemoryUse::Exchange, 1, until + Duration::from_secs(1));
    let release = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        drop(first);
        Instant::now()
    };
    let (reserved, _) = tokio::join!(waiting, release);
    assert!(reserved.is_some());
    assert_eq!(memory.reserved_bytes(), 1);
}
