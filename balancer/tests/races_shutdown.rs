//! Races of the graceful shutdown with connections, requests and signals.

mod common;

use common::{
    Behavior, Client, Discovery, LIVENESS_REQUEST, OK_RESPONSE, RawPeer, TestConfig, Upstream,
    at_most_once_request, idempotent_request, wait_until,
};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// While all client connections are in use, new ones wait in the listener's queue. The system has
/// already accepted them, and closing the listener at the shutdown would discard them. Their
/// requests must get a response.
#[test]
fn shutdown_serves_requests_waiting_in_the_accept_queue() {
    // Of 64 descriptors, 24 are reserved. Of the other 40, 22 are for clients and 18 for upstreams.
    const MAX_SOCKETS: usize = 64;
    const MAX_CLIENTS: usize = 22;
    const MAX_UPSTREAM_CONNECTIONS: usize = 18;
    let upstream = Upstream::start(Behavior::NeverRespond);
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.max_sockets = MAX_SOCKETS;
    config.deadline_and_objective_ms = 3000;
    let mut process = config.start();
    let mut accepted: Vec<Client> = (0..MAX_CLIENTS).map(|_| process.connect()).collect();
    for client in &mut accepted {
        client.write(&at_most_once_request(1500, "x"));
    }
    // Some clients send a second request. If its bytes were unread when the balancer exits, the
    // system would reset the connection.
    for client in accepted.iter_mut().step_by(3) {
        client.write(&idempotent_request(1500));
    }
    wait_until("all upstream connections are in use", || {
        upstream.request_count() == MAX_UPSTREAM_CONNECTIONS
    });
    let mut waiting: Vec<Client> = (0..4).map(|_| process.connect()).collect();
    for client in &mut waiting {
        client.write(&at_most_once_request(8000, "x"));
    }
    process.terminate();
    for (k, client) in accepted.iter_mut().chain(&mut waiting).enumerate() {
        let response = client.read_response();
        let response =
            response.unwrap_or_else(|| panic!("client {k} was closed without a response"));
        assert!(response.status() >= 500, "{response:?}");
    }
    assert!(process.wait_for_exit().success());
}

/// A request that arrives on an idle connection during the shutdown must either be served, or not
/// be forwarded at all before the connection is closed.
#[test]
fn shutdown_serves_or_never_forwards_requests_on_idle_connections() {
    let upstream = Upstream::healthy();
    let mut process = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut clients: Vec<Client> = (0..12).map(|_| process.connect()).collect();
    for client in &mut clients {
        assert_eq!(client.exchange(LIVENESS_REQUEST).status(), 200);
    }
    process.terminate();
    process.wait_until_draining();
    // The clients send one after another, 60 ms apart: some before the balancer closes idle
    // connections, one or two at about the same time, and the rest later.
    let (mut served, mut closed) = (0, 0);
    for client in &mut clients {
        client.write_nonblocking(idempotent_request(3000).as_bytes());
        match client.read_response() {
            Some(response) => {
                assert_eq!(response.status(), 200);
                assert_eq!(response.header("connection"), Some("close"));
                served += 1;
            }
            None => closed += 1,
        }
        std::thread::sleep(Duration::from_millis(60));
    }
    assert!(
        served > 0 && closed > 0,
        "{served} served, {closed} closed: there was no race"
    );
    assert_eq!(
        upstream.request_count(),
        served,
        "forwarded without a response"
    );
    assert!(process.wait_for_exit().success());
}

/// Part of a request has arrived at SIGTERM. The request must be served if the rest arrives in
/// time, and the process must exit even if it does not.
#[test]
fn shutdown_serves_a_partial_request_once_it_is_complete() {
    let upstream = Upstream::healthy();
    let mut process = TestConfig::with_upstreams(&[upstream.address]).start();
    let text = at_most_once_request(3000, "a day");
    let (head_part, all_but_three_bytes) = (&text[..20], &text[..text.len() - 3]);
    let mut clients = [head_part, all_but_three_bytes].map(|part| (process.connect(), part));
    let mut never_completes = process.connect();
    for (client, part) in &mut clients {
        client.write(part);
    }
    never_completes.write(head_part);
    process.round_trip();
    process.terminate();
    process.wait_until_draining();
    for (client, part) in &mut clients {
        client.write(&text[part.len()..]);
        let response = client.read_response().expect("a response");
        assert_eq!(response.status(), 200);
    }
    assert!(process.wait_for_exit().success());
    assert!(never_completes.read_response().is_none());
    assert_eq!(upstream.request_count(), 2);
}

/// A second SIGTERM must not end the shutdown early. If discovery moves during the shutdown, SIGHUP
/// must still take effect, so that the endpoint list does not become stale.
#[test]
fn shutdown_ignores_repeated_sigterm_and_applies_sighup() {
    let upstream = RawPeer::start();
    let (discovery, moved_discovery) = (Discovery::start(), Discovery::start());
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.discovery = discovery.address;
    config.watches_discovery_directly = true;
    config.deadline_and_objective_ms = 3000;
    let mut process = config.start();
    let watch = discovery.next_watch();
    watch.send("");
    let mut client = process.connect();
    client.write(&at_most_once_request(3000, "x"));
    let mut attempt = upstream.next_connection_with_request();
    process.terminate();
    process.wait_until_draining();
    process.terminate();
    config.discovery = moved_discovery.address;
    process.reload(&config.to_json());
    let watch = moved_discovery.watches.recv_timeout(Duration::from_secs(2));
    assert!(watch.is_ok(), "no watch at the new address: {watch:?}");
    attempt.write_all(OK_RESPONSE.as_bytes()).unwrap();
    let response = client.read_response().expect("a response");
    assert_eq!(response.status(), 200);
    assert!(process.wait_for_exit().success());
}

/// The balancer receives SIGTERM immediately after its start, while discovery is down. A request
/// that it has accepted must still get a response.
#[test]
fn shutdown_right_after_start_answers_accepted_requests() {
    let upstream = Upstream::start(Behavior::NeverRespond);
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.watches_discovery_directly = true;
    config.deadline_and_objective_ms = 1000;
    let mut process = config.start();
    let mut client = process.connect();
    client.write(&at_most_once_request(1000, "x"));
    process.terminate();
    let response = client.read_response().expect("a response");
    assert!(response.status() >= 500, "{response:?}");
    assert!(process.wait_for_exit().success());
    assert!(TcpStream::connect(process.address).is_err());
}
