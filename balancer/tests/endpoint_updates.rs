//! The effect of endpoint updates on subsequent requests and on open connections.

mod common;

use common::{
    Upstream, WatchingBalancer, at_most_once_request, endpoint_json, endpoint_list_json,
    idempotent_request, unreachable_address, wait_until,
};
use std::io::Write;
use std::time::Duration;

/// After an update states that an upstream is draining or removed, no request may be sent to it,
/// not even on a connection that was open before the update.
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
        wait_until("the idle connection to the upstream is closed", || {
            upstream.closed_connection_count() == 1
        });
        assert_eq!(client.exchange(&request).status(), 503, "{state}");
        assert_eq!(upstream.request_count(), 1, "{state}");
    }
}

/// An upstream is identified by its uid. If its address changes, requests must go to the new
/// address only.
#[test]
fn follows_an_upstream_to_its_new_address() {
    let (old, new) = (Upstream::healthy(), Upstream::healthy());
    let balancer = WatchingBalancer::start(&[old.address]);
    let mut client = balancer.process.connect();
    let request = at_most_once_request(5000, "x");
    assert_eq!(client.exchange(&request).status(), 200);
    let entry = endpoint_json("s-0", new.address, "Ready");
    balancer.watch.send(&endpoint_list_json(2, false, &[entry]));
    wait_until("the connection to the old address is closed", || {
        old.closed_connection_count() == 1
    });
    assert_eq!(client.exchange(&request).status(), 200);
    assert_eq!((old.request_count(), new.request_count()), (1, 1));
}

/// An unreadable line could state that an upstream is draining, so the complete list must be
/// requested. Unreadable entries in that list must not prevent the readable ones from being
/// applied.
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

/// The connection of a failed watch may remain open. A watch that receives no line for too long
/// counts as failed, and the balancer must open another one.
#[test]
fn replaces_a_silent_watch() {
    let balancer = WatchingBalancer::start(&[unreachable_address()]);
    // Each watch receives a line before it becomes silent. If a watch receives no line, the
    // balancer retries its request for the watch after a timeout. This retry would open another
    // watch even if the balancer did not detect that a watch has become silent.
    balancer.watch.send(&endpoint_list_json(2, true, &[]));
    let second = balancer.discovery.next_watch();
    second.send(&endpoint_list_json(3, true, &[]));
    // Bytes without a line end do not count as a line, so this watch counts as silent too.
    let mut stream = second.stream;
    std::thread::spawn(move || {
        while stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    balancer.discovery.next_watch();
}
