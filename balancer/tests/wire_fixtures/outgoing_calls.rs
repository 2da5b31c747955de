//! The requests that the balancer itself sends: watch requests to discovery, and health checks.

use crate::common::{RawPeer, TestConfig, endpoint_json, endpoint_list_json, send_chunked_line};
use crate::peers::{RESPONSE_WITH_LENGTH, Recorder, read_raw};
use crate::transcript::Transcript;
use frostkeel_balancer::memory_budget::MemoryBudget;
use frostkeel_balancer::upstream::{EndpointState, Upstreams};
use frostkeel_policy::{Availability, LoadReports, Settings, UpstreamId};
use std::io::{BufReader, Write};

const MAX_CONNECTIONS: usize = 8;

#[test]
fn the_watch_request_to_discovery_is_as_committed() {
    let mut transcript = Transcript::new("discovery_call.txt");
    let upstream = Recorder::start(RESPONSE_WITH_LENGTH);
    let discovery = RawPeer::start();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.discovery = discovery.address;
    config.watches_discovery_directly = true;
    let _balancer = config.start();
    let connection = discovery.next_connection();
    transcript.add_received(
        "discovery receives",
        &read_raw(&mut BufReader::new(&connection)),
    );
    let line = endpoint_list_json(7, true, &[endpoint_json("s-0", upstream.address, "Ready")]);
    (&connection)
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    send_chunked_line(&connection, &line);
    (&connection).write_all(b"0\r\n\r\n").unwrap();
    let next_connection = discovery.next_connection();
    transcript.add_received(
        "discovery receives next",
        &read_raw(&mut BufReader::new(&next_connection)),
    );
    transcript.check();
}

/// Sends a health check with this setting and returns the bytes that the upstream receives.
async fn received_health_check(load_reports: LoadReports) -> Vec<u8> {
    let upstream = Recorder::start(RESPONSE_WITH_LENGTH);
    let settings = Settings {
        load_reports,
        ..Settings::default()
    };
    let upstreams = Upstreams::new(&settings, MAX_CONNECTIONS, &MemoryBudget::unlimited());
    let id = UpstreamId(7);
    upstreams.apply_endpoint(
        id,
        &EndpointState {
            address: Some(upstream.address),
            availability: Availability::Ready,
            boot_ms: 0,
        },
    );
    let result = upstreams.health_check(id).await;
    assert!(result.response.is_some(), "{result:?}");
    upstream.received().concat()
}

#[tokio::test(flavor = "local")]
async fn health_checks_are_as_committed() {
    let mut transcript = Transcript::new("health_checks.txt");
    transcript.add_received(
        "without load reports: the upstream receives",
        &received_health_check(LoadReports::Off).await,
    );
    transcript.add_received(
        "with load reports: the upstream receives",
        &received_health_check(LoadReports::OnHealthCheck).await,
    );
    transcript.check();
}
