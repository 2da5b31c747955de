//! Two events at the same time: the balancer is suspended, both happen, and it resumes with both
//! before it.
#![expect(clippy::expect_used, reason = "a step that fails fails the test")]

mod common;

use common::{
    BalancerProcess, Client, ERROR_RESPONSE, LIVENESS_REQUEST, OK_RESPONSE, RawPeer, TIMEOUT,
    TestConfig, UNKNOWN_PATH_REQUEST, Upstream, WatchingBalancer, at_most_once_request,
    endpoint_json, endpoint_list_json, idempotent_request, read_request,
};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A balancer with two upstreams at one address, whose connections the test reads and writes.
struct TwoUpstreams {
    process: BalancerProcess,
    upstream: RawPeer,
}

impl TwoUpstreams {
    fn start(deadline_ms: u64) -> Self {
        let upstream = RawPeer::start();
        let mut config = TestConfig::with_upstreams(&[upstream.address, upstream.address]);
        config.deadline_ms = deadline_ms;
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
        // The failure is seen first, if events are seen in the order of time.
        attempt.write_all(error.as_bytes()).unwrap();
        attempt.shutdown(Shutdown::Both).unwrap();
        client.disconnect();
        process.resume();
        process.round_trip();
        let retry = upstream.connections.try_recv();
        assert!(retry.is_err(), "a retry after {error:?}");
    }
}

/// Many clients disconnect at once, half of them as their responses arrive.
#[test]
fn clients_that_disconnect_as_responses_arrive_leave_no_work_behind() {
    const CLIENTS: usize = 40;
    let TwoUpstreams { process, upstream } = TwoUpstreams::start(8000);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| process.connect()).collect();
    for client in &mut clients {
        client.write(&idempotent_request(8000));
    }
    let mut attempts: Vec<TcpStream> = (0..CLIENTS)
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
            "an attempt goes on for a client that is gone"
        );
    }
    let mut client = process.connect();
    client.write(&idempotent_request(8000));
    let mut attempt = upstream.next_connection_with_request();
    attempt.write_all(OK_RESPONSE.as_bytes()).unwrap();
    let response = client.read_response().expect("a response");
    assert_eq!(response.status(), 200);
}

/// Reads the final response and sends another request on the connection: a second final response
/// would be read in place of its own.
fn read_only_response(client: &mut Client) -> u16 {
    let status = client.read_response().expect("a response").status();
    let next = client.exchange(UNKNOWN_PATH_REQUEST);
    assert_eq!(next.status(), 404, "a second response: {next:?}");
    status
}

#[test]
fn simultaneous_hedge_responses_give_one_final_response() {
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
    assert_eq!(read_only_response(&mut client), 200);
}

/// The deadline passes as the last byte of the response arrives.
#[test]
fn response_at_the_deadline_gives_one_final_response() {
    let TwoUpstreams { process, upstream } = TwoUpstreams::start(400);
    let mut client = process.connect();
    client.write(&at_most_once_request(400, "x"));
    let mut attempt = upstream.next_connection_with_request();
    process.suspend();
    attempt.write_all(OK_RESPONSE.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    process.resume();
    let status = read_only_response(&mut client);
    assert!([200, 502].contains(&status), "{status}");
}

/// A request arrives as its connection is due to be closed for being idle.
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

/// A drain is notified as requests arrive: none of them goes there.
#[test]
fn drain_update_applies_to_requests_that_arrive_with_it() {
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
    // That request may have been read before the update; none that comes after it may go there.
    let before = upstream.request_count();
    for _ in 0..3 {
        assert_eq!(client.exchange(&idempotent_request(8000)).status(), 503);
    }
    assert_eq!(upstream.request_count(), before);
}

/// A list must not become stale: a watch that ends without an update is reopened at once, and an
/// upstream that the next snapshot does not contain is removed, though it still responds.
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
