//! Responses that depend on the state of their connection: during a shutdown, and after a flood.

use crate::TIME_LEFT_MS;
use crate::common::{HEALTH, LONG, Setup, book, look, next_request, raw_peer, until};
use crate::peers::{RawClient, Recorder, WITH_LENGTH};
use crate::transcript::Transcript;
use std::io::Write;

/// A deadline that ends after the forced close of the shutdown.
const DEADLINE_MS: u64 = 60_000;
/// More bytes than the balancer buffers behind a request.
const FLOOD_SIZE: usize = 100_000;

#[test]
fn the_responses_of_a_shutdown_are_as_committed() {
    let mut transcript = Transcript::new("shutdown.txt");
    let unresponsive = Recorder::start("");
    let mut setup = Setup::with(&[unresponsive.address]);
    setup.deadline_ms = DEADLINE_MS;
    let mut balancer = setup.start();
    let ready = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    let mut idle = RawClient::connect(balancer.address);
    for (case, request) in [("live", HEALTH), ("ready", ready)] {
        idle.send(request.as_bytes());
        transcript.add_received(&format!("{case}: the client receives"), &idle.response());
    }
    let mut in_flight = RawClient::connect(balancer.address);
    in_flight.send(book(DEADLINE_MS, "x").as_bytes());
    until("the upstream has received the request", || {
        unresponsive.received().len() == 1
    });
    balancer.terminate();
    let mut draining = Vec::new();
    until("the balancer is not ready", || {
        let mut client = RawClient::connect(balancer.address);
        client.send(ready.as_bytes());
        draining = client.response();
        let is_not_ready = draining.starts_with(b"HTTP/1.1 503");
        if is_not_ready {
            transcript.add_received("draining, ready: the client receives", &draining);
            transcript.add("draining, ready: then", client.after_response());
        }
        is_not_ready
    });
    let mut client = RawClient::connect(balancer.address);
    client.send(HEALTH.as_bytes());
    transcript.add_received("draining, live: the client receives", &client.response());
    transcript.add_received("forced close: the client receives", &in_flight.response());
    transcript.add("forced close: then", in_flight.after_response());
    transcript.add_received("idle connection: the client receives", &idle.response());
    assert!(balancer.wait().success());
    transcript.check();
}

#[test]
fn the_response_after_a_flood_is_as_committed() {
    let mut transcript = Transcript::new("flood.txt");
    let (address, streams) = raw_peer();
    let balancer = Setup::with(&[address]).start();
    let mut client = RawClient::connect(balancer.address);
    client.send(look(TIME_LEFT_MS).as_bytes());
    let upstream = streams.recv_timeout(LONG).expect("an attempt");
    assert!(next_request(&upstream).is_some());
    client.send(&[b'x'; FLOOD_SIZE]);
    balancer.round_trip();
    (&upstream).write_all(WITH_LENGTH.as_bytes()).unwrap();
    transcript.add_received(
        "100,000 bytes behind a request: the client receives",
        &client.response(),
    );
    transcript.add_received("then the client receives", &client.response());
    transcript.check();
}
