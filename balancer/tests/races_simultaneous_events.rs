//! Races between two events. The balancer is suspended while both happen, so that both are pending
//! when it resumes.
#![expect(clippy::expect_used, reason = "a failed step fails the test")]

mod common;

use common::{
    BalancerProcess, Client, ERROR_RESPONSE, LIVENESS_REQUEST, OK_RESPONSE, RawPeer, TIMEOUT,
    TestConfig, UNKNOWN_PATH_REQUEST, Upstream, WatchingBalancer, at_most_once_request,
    endpoint_json, endpoint_list_json, idempotent_request, read_request,
};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A balancer with two upstreams at the same address, whose connections the test reads and writes.
struct TwoUpstreams {
    process: BalancerProcess,
    upstream: RawPeer,
}

impl TwoUpstreams {
    fn start(deadline_and_objective_ms: u64) -> Self {
        let upstream = RawPeer::start();
        let mut config = TestConfig::with_upstreams(&[upstream.address, upstream.address]);
        config.deadline_and_objective_ms = deadline_and_objective_ms;
        Self {
            process: config.start(),
            upstream,
        }
    }
}

#[test]
fn no_retry_when_the_client_disconnects_as_the_attempt_fails() {
    for error in [ERROR_RESPONSE, ""] {
        let TwoUpstreams { process, upstream } = TwoUpstreams::start(8000);
        let mut client = process.connect();
        client.write(&idempotent_request(8000));
        let mut attempt = upstream.next_connection_with_request();
        process.suspend();
        // The attempt fails before the client disconnects, so the balancer may process the failure
        // first.
        attempt.write_all(error.as_bytes()).unwrap();
        attempt.shutdown(Shutdown::Both).unwrap();
        client.disconnect();
        process.resume();
        process.round_trip();
        let retry = upstream.connections.try_recv();
        assert!(retry.is_err(), "a retry was sent after {error:?}");
    }
}

/// Many clients disconnect at the same time, half of them as their responses arrive. The attempts
/// that have no response must be cancelled, and the balancer must continue to serve requests.
#[test]
fn cancels_attempts_when_clients_disconnect_as_responses_arrive() {
    const CLIENT_COUNT: usize = 40;
    let TwoUpstreams { process, upstream } = TwoUpstreams::start(8000);
    let mut clients: Vec<Client> = (0..CLIENT_COUNT).map(|_| process.connect()).collect();
    for client in &mut clients {
        client.write(&idempotent_request(8000));
    }
    let mut attempts: Vec<TcpStream> = (0..CLIENT_COUNT)
        .map(|_| upstream.next_connection_with_request())
        .collect();
    process.suspend();
    for attempt in attempts.iter_mut().step_by(2) {
        attempt.write_all(OK_RESPONSE.as_bytes()).unwrap();
    }
    for client in clients {
        client.disconnect();
    }
    process.resume();
    for attempt in attempts.iter().skip(1).step_by(2) {
        attempt.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert!(
            read_request(attempt).is_none(),
            "an attempt continues although its client has disconnected"
        );
    }
    let mut client = process.connect();
    client.write(&idempotent_request(8000));
    let mut attempt = upstream.next_connection_with_request();
    attempt.write_all(OK_RESPONSE.as_bytes()).unwrap();
    let response = client.read_response().expect("a response");
    assert_eq!(response.status(), 200);
}

/// Reads the final response and returns its status, after a check that no second one follows: the
/// next request on the connection must get its own response.
fn read_single_response(client: &mut Client) -> u16 {
    let status = client.read_response().expect("a response").status();
    let next = client.exchange(UNKNOWN_PATH_REQUEST);
    assert_eq!(
        next.status(),
        404,
        "a second final response was sent: {next:?}"
    );
    status
}

/// The responses to an attempt and to its hedge arrive at the same time. The client must get exactly
/// one final response.
#[test]
fn simultaneous_hedge_responses_result_in_one_final_response() {
    let TwoUpstreams { process, upstream } = TwoUpstreams::start(1500);
    let mut client = process.connect();
    client.write(&idempotent_request(1500));
    let mut attempts = [
        upstream.next_connection_with_request(),
        upstream.next_connection_with_request(),
    ];
    process.suspend();
    for attempt in &mut attempts {
        attempt.write_all(OK_RESPONSE.as_bytes()).unwrap();
    }
    process.resume();
    assert_eq!(read_single_response(&mut client), 200);
}

/// The deadline passes at the same time as the response arrives. The client must get exactly one
/// final response.
#[test]
fn response_at_the_deadline_results_in_one_final_response() {
    let TwoUpstreams { process, upstream } = TwoUpstreams::start(400);
    let mut client = process.connect();
    client.write(&at_most_once_request(400, "x"));
    let mut attempt = upstream.next_connection_with_request();
    process.suspend();
    attempt.write_all(OK_RESPONSE.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    process.resume();
    let status = read_single_response(&mut client);
    assert!([200, 502].contains(&status), "{status}");
}

/// A request arrives at the same time as the idle timeout of its connection passes. It must be
/// served.
#[test]
fn request_at_the_client_idle_timeout_is_served() {
    let upstream = Upstream::healthy();
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = process.connect();
    assert_eq!(client.exchange(LIVENESS_REQUEST).status(), 200);
    process.suspend();
    client.write(&idempotent_request(8000));
    std::thread::sleep(Duration::from_millis(2700));
    process.resume();
    let response = client.read_response().expect("a response");
    assert_eq!(response.status(), 200);
}

/// A request arrives at the same time as an update that states that the upstream is draining. Later
/// requests must not be sent to that upstream.
#[test]
fn drain_update_applies_to_all_requests_after_a_simultaneous_one() {
    let upstream = Upstream::healthy();
    let balancer = WatchingBalancer::start(&[upstream.address]);
    let process = &balancer.process;
    let mut client = process.connect();
    assert_eq!(client.exchange(&idempotent_request(8000)).status(), 200);
    process.suspend();
    let drain = endpoint_json("s-0", upstream.address, "Terminating");
    balancer.watch.send(&endpoint_list_json(2, false, &[drain]));
    client.write(&idempotent_request(8000));
    process.resume();
    assert!(client.read_response().is_some());
    // The balancer may have processed that request before the update; it must process later
    // requests after the update.
    let before = upstream.request_count();
    for _ in 0..3 {
        assert_eq!(client.exchange(&idempotent_request(8000)).status(), 503);
    }
    assert_eq!(upstream.request_count(), before);
}

/// A watch that ends without an update must be reopened, so that the list does not become stale. An
/// upstream that the next snapshot does not contain must be removed, although it still responds.
#[test]
fn reopens_a_watch_that_ends_without_an_update() {
    let upstream = Upstream::healthy();
    let balancer = WatchingBalancer::start(&[upstream.address]);
    let process = &balancer.process;
    balancer.watch.send("");
    process.round_trip();
    drop(balancer.watch);
    let watch = balancer
        .discovery
        .watches
        .recv_timeout(Duration::from_secs(5));
    let watch = watch.expect("another watch");
    assert!(watch.target.contains("index=1"), "{watch:?}");
    watch.send(&endpoint_list_json(2, true, &[]));
    process.wait_for_status(&idempotent_request(8000), 503);
    assert!(upstream.request_count() <= 1);
}
