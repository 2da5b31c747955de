//! Responses during the shutdown, and after a client has sent more bytes than the balancer buffers.

use crate::TIME_LEFT_MS;
use crate::common::{
    LIVENESS_REQUEST, READINESS_REQUEST, RawPeer, TestConfig, at_most_once_request,
    idempotent_request, wait_until,
};
use crate::peers::{RESPONSE_WITH_LENGTH, RawClient, Recorder};
use crate::transcript::Transcript;
use std::io::Write;

/// A deadline that is later than the time at which the shutdown closes connections with a request in flight.
const DEADLINE_MS: u64 = 60_000;
/// The number of bytes sent after a request, more than the balancer buffers.
const FLOOD_BYTES: usize = 100_000;

#[test]
fn the_responses_of_a_shutdown_are_as_committed() {
    let mut transcript = Transcript::new("shutdown.txt");
    let unresponsive = Recorder::start("");
    let mut config = TestConfig::with_upstreams(&[unresponsive.address]);
    config.deadline_and_objective_ms = DEADLINE_MS;
    let mut balancer = config.start();
    let mut idle = RawClient::connect(balancer.address);
    for (case, request) in [("live", LIVENESS_REQUEST), ("ready", READINESS_REQUEST)] {
        idle.send(request.as_bytes());
        transcript.add_received(&format!("{case}: the client receives"), &idle.response());
    }
    let mut in_flight = RawClient::connect(balancer.address);
    in_flight.send(at_most_once_request(DEADLINE_MS, "x").as_bytes());
    wait_until("the upstream has received the request", || {
        unresponsive.received().len() == 1
    });
    balancer.terminate();
    let mut draining = Vec::new();
    wait_until("the balancer is not ready", || {
        let mut client = RawClient::connect(balancer.address);
        client.send(READINESS_REQUEST.as_bytes());
        draining = client.response();
        let is_not_ready = draining.starts_with(b"HTTP/1.1 503");
        if is_not_ready {
            transcript.add_received("draining, ready: the client receives", &draining);
            transcript.add(
                "draining, ready: then",
                client.connection_state_after_response(),
            );
        }
        is_not_ready
    });
    let mut client = RawClient::connect(balancer.address);
    client.send(LIVENESS_REQUEST.as_bytes());
    transcript.add_received("draining, live: the client receives", &client.response());
    transcript.add_received("forced close: the client receives", &in_flight.response());
    transcript.add(
        "forced close: then",
        in_flight.connection_state_after_response(),
    );
    transcript.add_received("idle connection: the client receives", &idle.response());
    assert!(balancer.wait_for_exit().success());
    transcript.check();
}

#[test]
fn the_response_after_a_flood_is_as_committed() {
    let mut transcript = Transcript::new("flood.txt");
    let peer = RawPeer::start();
    let balancer = TestConfig::with_upstreams(&[peer.address]).start();
    let mut client = RawClient::connect(balancer.address);
    client.send(idempotent_request(TIME_LEFT_MS).as_bytes());
    let upstream = peer.next_connection_with_request();
    client.send(&[b'x'; FLOOD_BYTES]);
    balancer.round_trip();
    (&upstream)
        .write_all(RESPONSE_WITH_LENGTH.as_bytes())
        .unwrap();
    transcript.add_received(
        "100,000 bytes behind a request: the client receives",
        &client.response(),
    );
    transcript.add_received("then the client receives", &client.response());
    transcript.check();
}
