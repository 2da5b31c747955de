//! Temporary failures of the balancer's system calls.

mod common;

use common::{
    Behavior, Client, Discovery, OK_RESPONSE, TestConfig, Upstream, at_most_once_request,
    idempotent_request, wait_until,
};
use std::collections::HashSet;
use std::time::Duration;

/// A time after SIGTERM at which the balancer no longer accepts new connections. It accepts them
/// for 600 ms; the rest is a margin.
const LISTENER_CLOSED_AFTER: Duration = Duration::from_millis(1000);
const DESCRIPTOR_LIMIT: u64 = 1024;
const CONNECTION_COUNT: usize = 20;
const REQUESTS_PER_CONNECTION: usize = 10;
const REQUEST_COUNT: usize = CONNECTION_COUNT * REQUESTS_PER_CONNECTION;

/// Connections wait in the listener's queue during the shutdown while `accept` fails. Once it
/// succeeds again, each of them must get a response.
#[test]
fn waiting_clients_get_a_response_when_accept_fails_during_shutdown() {
    let upstream = Upstream::healthy();
    let mut process = TestConfig::with_upstreams(&[upstream.address]).start();
    assert_eq!(process.status_of(&idempotent_request(5000)), 200);
    process.exhaust_descriptors();
    let mut clients: Vec<Client> = (0..5).map(|_| process.connect()).collect();
    for client in &mut clients {
        client.write(&idempotent_request(5000));
    }
    process.terminate();
    std::thread::sleep(LISTENER_CLOSED_AFTER);
    process.limit_descriptors(DESCRIPTOR_LIMIT);
    for (k, client) in clients.iter_mut().enumerate() {
        assert!(
            client.read_response().is_some(),
            "client {k} got no response"
        );
    }
    assert!(process.wait_for_exit().success());
}

/// A shortage of descriptors on this machine must not eject an upstream, because it is not the
/// upstream's fault.
#[test]
fn descriptor_exhaustion_ejects_no_upstream() {
    let start_upstream = || Upstream::start(Behavior::RespondAndClose(OK_RESPONSE));
    let upstreams = [start_upstream(), start_upstream()];
    let addresses = upstreams.each_ref().map(|upstream| upstream.address);
    let process = TestConfig::with_upstreams(&addresses).start();
    let mut client = process.connect();
    let request = idempotent_request(5000);
    assert_eq!(client.exchange(&request).status(), 200);
    wait_until("requests fail because no descriptor is available", || {
        process.exhaust_descriptors();
        client.exchange(&request).status() == 503
    });
    for _ in 0..20 {
        assert_eq!(client.exchange(&request).status(), 503);
    }
    process.limit_descriptors(DESCRIPTOR_LIMIT);
    let status = client.exchange(&request).status();
    assert_eq!(status, 200, "an upstream was ejected");
}

/// The configuration file may be incomplete or unreadable at SIGHUP. It must be read again until it
/// is complete, and the balancer must continue to serve requests.
#[test]
fn rereads_a_partially_written_configuration() {
    let upstream = Upstream::healthy();
    let discovery = Discovery::start();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.watches_discovery_directly = true;
    let mut process = config.start();
    config.discovery = discovery.address;
    let text = config.to_json();
    process.reload(&text[..text.len() / 2]);
    process.round_trip();
    assert_eq!(process.status_of(&idempotent_request(5000)), 200);
    process.replace_configuration(&text);
    discovery.next_watch();
    assert!(process.is_running());
}

/// Sends requests on many connections to a balancer with these faults, and returns the number of
/// requests served. Checks that each request gets a final response and that no at-most-once request
/// reaches an upstream twice.
fn count_served(behavior: Behavior, faults: &[(&'static str, &str)]) -> usize {
    let upstreams = [Upstream::start(behavior), Upstream::start(behavior)];
    let addresses = upstreams.each_ref().map(|upstream| upstream.address);
    let mut config = TestConfig::with_upstreams(&addresses);
    config.syscall_faults = faults
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()))
        .collect();
    let mut process = config.start();
    let mut served = 0;
    for k in 0..CONNECTION_COUNT {
        let mut client = process.connect();
        for n in 0..REQUESTS_PER_CONNECTION {
            let request = if k % 2 == 0 {
                idempotent_request(5000)
            } else {
                at_most_once_request(5000, &format!("{k}-{n}"))
            };
            client.write(&request);
            let response = client.read_response();
            let response =
                response.unwrap_or_else(|| panic!("{faults:?}: connection {k} was closed"));
            served += usize::from(response.status() == 200);
        }
    }
    assert!(process.is_running());
    let mut bodies = HashSet::new();
    for message in upstreams.iter().flat_map(Upstream::requests) {
        if message.start_line.starts_with("POST") {
            assert!(
                bodies.insert(message.body.clone()),
                "{faults:?}: {message:?} ran twice"
            );
        }
    }
    served
}

/// System calls fail for local or transient reasons. Each request must still get a final response,
/// although that response may be an error if connects fail. No failure may count against an
/// upstream.
#[test]
fn each_request_gets_a_final_response_when_syscalls_fail() {
    let respond = Behavior::Respond(OK_RESPONSE);
    let close_after_response = Behavior::RespondAndClose(OK_RESPONSE);
    for (name, value, behavior, min_served) in [
        (
            "FAULT_ACCEPT",
            "0.5:ECONNABORTED,EMFILE,ENOBUFS,EPROTO",
            respond,
            REQUEST_COUNT,
        ),
        ("FAULT_READ", "0.3:EINTR", respond, REQUEST_COUNT),
        ("FAULT_WRITE", "0.3:EINTR", respond, REQUEST_COUNT),
        // The upstreams close the connection after each response, so that every attempt has to
        // connect, and half of the connects fail. A request is attempted at most once at each of
        // the two upstreams, so about one request in four ends with an error response.
        (
            "FAULT_CONNECT",
            "0.5:EADDRNOTAVAIL,ENOBUFS,ENETUNREACH,ENOMEM",
            close_after_response,
            REQUEST_COUNT * 13 / 20,
        ),
        ("FAULT_WALL_MS", "3600000", respond, REQUEST_COUNT),
        ("FAULT_WALL_MS", "-3600000", respond, REQUEST_COUNT),
    ] {
        for seed in ["1", "2", "3"] {
            let faults = [(name, value), ("FAULT_SEED", seed)];
            let served = count_served(behavior, &faults);
            assert!(
                served >= min_served,
                "{faults:?}: served {served} of {REQUEST_COUNT}"
            );
        }
    }
}
