//! Endpoint updates and the requests that follow them.

mod common;

use common::{
    Upstream, WatchingBalancer, at_most_once_request, endpoint_json, endpoint_list_json,
    idempotent_request, unreachable_address, wait_until,
};
use std::io::Write;
use std::time::Duration;

/// Once a balancer has been notified, nothing new goes there, not even on a connection that is
/// still open.
#[test]
fn sends_nothing_to_a_draining_or_removed_upstream() {
    for state in ["Terminating", "Gone"] {
        let upstream = Upstream::healthy();
        let balancer = WatchingBalancer::start(&[upstream.address]);
        let target = &balancer.watch.target;
        assert!(
            target.contains("stream=1") && target.contains("index=1"),
            "{target}"
        );
        let mut client = balancer.process.connect();
        let request = at_most_once_request(5000, "x");
        assert_eq!(client.exchange(&request).status(), 200);
        let entry = endpoint_json("s-0", upstream.address, state);
        balancer.watch.send(&endpoint_list_json(2, false, &[entry]));
        wait_until("its idle connection is closed", || {
            upstream.closed_connection_count() == 1
        });
        assert_eq!(client.exchange(&request).status(), 503, "{state}");
        assert_eq!(upstream.request_count(), 1, "{state}");
    }
}

/// An upstream is known by its name, not by its address.
#[test]
fn follows_an_upstream_to_its_new_address() {
    let (before, after) = (Upstream::healthy(), Upstream::healthy());
    let balancer = WatchingBalancer::start(&[before.address]);
    let mut client = balancer.process.connect();
    let request = at_most_once_request(5000, "x");
    assert_eq!(client.exchange(&request).status(), 200);
    let entry = endpoint_json("s-0", after.address, "Ready");
    balancer.watch.send(&endpoint_list_json(2, false, &[entry]));
    wait_until("the connection to its old address is closed", || {
        before.closed_connection_count() == 1
    });
    assert_eq!(client.exchange(&request).status(), 200);
    assert_eq!((before.request_count(), after.request_count()), (1, 1));
}

/// A line that can't be read may have been a drain, so the whole list is fetched. An entry of it
/// that can't be read costs only itself.
#[test]
fn refetches_the_list_after_an_unreadable_line() {
    let upstream = Upstream::healthy();
    let mut balancer = WatchingBalancer::start(&[]);
    balancer.watch.send("");
    balancer.watch.send("{\"rev\":5,\"all\":tr");
    let watch = balancer.discovery.next_watch();
    assert!(watch.target.contains("index=0"), "{watch:?}");
    let wrong_types = r#"{"uid":7,"endpoint":[],"state":"Ready"}"#.to_owned();
    let no_address = r#"{"uid":"s-8","endpoint":"nowhere","state":"Ready"}"#.to_owned();
    let ready = endpoint_json("s-9", upstream.address, "Ready");
    watch.send(&endpoint_list_json(
        9,
        true,
        &[wrong_types, no_address, ready],
    ));
    let mut client = balancer.process.connect();
    wait_until("the list has arrived", || {
        client.exchange(&idempotent_request(5000)).status() == 200
    });
    assert!(balancer.process.is_running());
}

/// A watch may be dead without having ended: one on which no line arrives for long is replaced.
#[test]
fn gives_up_a_silent_watch() {
    let balancer = WatchingBalancer::start(&[unreachable_address()]);
    // Each watch has a line first: a poll that was never answered is repeated for that reason.
    balancer.watch.send(&endpoint_list_json(2, true, &[]));
    let second = balancer.discovery.next_watch();
    second.send(&endpoint_list_json(3, true, &[]));
    // Bytes without a line do not count either.
    let mut stream = second.stream;
    std::thread::spawn(move || {
        while stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    balancer.discovery.next_watch();
}
