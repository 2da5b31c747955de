//! The limit on client connections, and clients that occupy a connection without a complete
//! request.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{BalancerProcess, Client, TestConfig, Upstream};
use common::{at_most_once_request, idempotent_request, wait_until};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The number of clients that stop within a request. With the descriptor limit of the platform's
/// smallest balancers, the limit on client connections is lower: 128.
const STOPPED_CLIENTS: usize = 150;
/// The number of these that connect before the others do.
const ACCEPTED_CLIENTS: usize = 100;
const SMALLEST_SOCKET_LIMIT: usize = 256;
/// The number of clients that send a complete request after that, and the time between them.
const COMPLETE_CLIENTS: usize = 20;
const CLIENT_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time for which clients send single bytes.
const MAX_TRICKLE_TIME: Duration = Duration::from_secs(5);
const TIME_LEFT: Duration = Duration::from_millis(1300);
/// The time after its deadline within which a request must get its response; later it is lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// Returns a configuration with a low limit on client connections: 22.
fn small_config(upstream: &Upstream) -> TestConfig {
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.max_sockets = 64;
    config
}

/// Idle clients must not prevent others from connecting. At the limit, the connection that has been
/// idle for the longest time is closed.
#[test]
fn closes_the_longest_idle_client_at_the_connection_limit() {
    let upstream = Upstream::healthy();
    let mut process = small_config(&upstream).start();
    let mut clients = Vec::new();
    for _ in 0..100 {
        let mut client = process.connect();
        assert_eq!(client.exchange(&idempotent_request(5000)).status(), 200);
        clients.push(client);
    }
    assert!(
        clients[0].is_closed_without_data(),
        "the connection that was idle for the longest time must be closed without data"
    );
    assert!(process.is_running());
}

/// Clients that send part of a request head and never complete it must not prevent others from
/// being served.
#[test]
fn clients_with_unfinished_heads_do_not_block_others() {
    let upstream = Upstream::healthy();
    let process = small_config(&upstream).start();
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = process.connect();
        client.write("POST /book HTTP/1.1\r\nHost: a");
        clients.push(client);
    }
    assert_eq!(process.status_of(&idempotent_request(8000)), 200);
}

/// A client that sends no request, or only part of one, must soon get an error or be disconnected,
/// regardless of the `X-Time-Left-Ms` of its request.
#[test]
fn closes_clients_that_never_complete_a_request() {
    let upstream = Upstream::healthy();
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let half_body = at_most_once_request(60_000, "half");
    let half_body = half_body.replace("Content-Length: 4", "Content-Length: 9");
    let texts = [
        "",
        "POST /book/day HT",
        "POST /book/day HTTP/1.1\r\nHost: app.svc\r\n",
        &half_body,
    ];
    let connect_and_write = |text: &str| {
        let mut client = process.connect();
        client.write(text);
        client
    };
    let mut clients: Vec<Client> = texts.into_iter().map(connect_and_write).collect();
    for (k, client) in clients.iter_mut().enumerate() {
        // Reading times out after `TIMEOUT`, a third of the last client's `X-Time-Left-Ms`.
        let response = client.read_response();
        let is_error = response
            .as_ref()
            .is_none_or(|response| (400..500).contains(&response.status()));
        assert!(is_error && client.is_closed(), "client {k}: {response:?}");
    }
    assert!(upstream.requests().is_empty());
}

/// Guards against timeouts for head and body that add up: a client that completes the head just in
/// time and then stops must get an error or a close within 3 s of connecting.
#[test]
fn time_limits_of_head_and_body_do_not_add_up() {
    let upstream = Upstream::healthy();
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let half_body = at_most_once_request(60_000, "half");
    let half_body = half_body.replace("Content-Length: 4", "Content-Length: 9");
    let (start, rest) = half_body.split_at(20);
    let connected_at = Instant::now();
    let mut client = process.connect();
    client.write(start);
    std::thread::sleep(Duration::from_millis(2000));
    client.write(rest);
    assert!(client.is_closed_or_responds());
    let time = connected_at.elapsed();
    assert!(time < Duration::from_secs(3), "open for {time:?}");
}

/// Connects clients that send only this part of a request, and stay.
fn connect_stopped_clients(process: &BalancerProcess, part: &str) -> Vec<Client> {
    let connect = || {
        let mut client = process.connect();
        client.write(part);
        client
    };
    let mut clients: Vec<Client> = (0..ACCEPTED_CLIENTS).map(|_| connect()).collect();
    // Otherwise the backlog of the listener could overflow. The next connection would then take 1 s,
    // during which the first clients come closer to their timeout.
    wait_until("the clients are accepted", || {
        process.open_descriptors() >= ACCEPTED_CLIENTS
    });
    clients.extend((ACCEPTED_CLIENTS..STOPPED_CLIENTS).map(|_| connect()));
    clients
}

/// Sends a request on a new connection. Returns the status of the response, or `None` if the
/// connection was closed without one, and the time since the request was sent.
fn timed_status(process: &BalancerProcess) -> (Option<u16>, Duration) {
    let mut client = process.connect();
    client.write(&idempotent_request(TIME_LEFT.as_millis() as u64));
    let sent_at = Instant::now();
    let response = client.read_response();
    (
        response.map(|response| response.status()),
        sent_at.elapsed(),
    )
}

/// Sends [`COMPLETE_CLIENTS`] requests, each on a new connection. All must be served in time.
fn assert_others_are_served(process: &BalancerProcess, context: &str) {
    let responses: Vec<_> = std::thread::scope(|scope| {
        let send = |_| {
            std::thread::sleep(CLIENT_INTERVAL);
            scope.spawn(|| timed_status(process))
        };
        let sends: Vec<_> = (0..COMPLETE_CLIENTS).map(send).collect();
        sends.into_iter().map(|send| send.join().unwrap()).collect()
    });
    for (status, time) in responses {
        assert_eq!(status, Some(200), "{context}");
        assert!(time < TIME_LEFT + MAX_LATENESS, "{context}: {time:?}");
    }
}

fn start_with_smallest_limit(upstream: &Upstream) -> BalancerProcess {
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.max_sockets = SMALLEST_SOCKET_LIMIT;
    config.start()
}

/// Guards against requests that wait in the accept queue until they are lost, because clients that
/// stopped within a request hold all connections.
#[test]
fn clients_that_stop_within_a_request_do_not_delay_others() {
    let half_body = at_most_once_request(8000, "half");
    let half_body = half_body.replace("Content-Length: 4", "Content-Length: 9");
    for part in ["", "POST /book HTTP/1.1\r\nHost: a", &half_body] {
        let upstream = Upstream::healthy();
        let process = start_with_smallest_limit(&upstream);
        let _stopped = connect_stopped_clients(&process, part);
        assert_others_are_served(&process, &format!("after {part:?}"));
    }
}

/// Guards against requests that wait in the accept queue until they are lost, because clients that
/// send one byte of a body now and then hold all connections.
#[test]
fn clients_that_trickle_a_body_do_not_delay_others() {
    let upstream = Upstream::healthy();
    let process = start_with_smallest_limit(&upstream);
    let long_body = at_most_once_request(8000, "half");
    let long_body = long_body.replace("Content-Length: 4", "Content-Length: 4000");
    let mut trickling = connect_stopped_clients(&process, &long_body);
    let has_ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let start = Instant::now();
            // The time limit ends this thread if an assertion fails.
            while !has_ended.load(Ordering::SeqCst) && start.elapsed() < MAX_TRICKLE_TIME {
                std::thread::sleep(CLIENT_INTERVAL);
                for client in &mut trickling {
                    client.write_nonblocking(b"x");
                }
            }
        });
        assert_others_are_served(&process, "beside clients that trickle");
        has_ended.store(true, Ordering::SeqCst);
    });
}
