//! The watch on the endpoint list: silent watches, heartbeats, and lists that are long, arrive in
//! pieces or slowly, or are partly unreadable.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    CHUNKED_HEAD, Discovery, PollingBalancer, RawPeer, TIMEOUT, TestConfig, Upstream,
    WatchingBalancer, at_most_once_request, endpoint_json, endpoint_list_json, idempotent_request,
    send_chunked_line, unreachable_address, wait_until,
};
use frostkeel_balancer::discovery::{Discovery as DiscoveryClient, DiscoveryEvent};
use frostkeel_balancer::memory_budget::MemoryBudget;
use frostkeel_policy::UpdateScope;
use frostkeel_settings::Names;
use std::cell::RefCell;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time from the last line of a silent watch until the balancer counts as notified of the
/// changes that it missed, even if it has not received them.
const NOTIFICATION_DELAY_AFTER_SILENCE: Duration = Duration::from_secs(6);

/// Returns a request whose response status shows the state of upstream `s-0`: 200 if it is ready,
/// 503 if it is draining.
fn request() -> String {
    at_most_once_request(5000, "x")
}

fn draining_entry(upstream: &Upstream) -> String {
    endpoint_json("s-0", upstream.address, "Terminating")
}

fn ready_entry(upstream: &Upstream) -> String {
    endpoint_json("s-0", upstream.address, "Ready")
}

/// In automatic mode, endpoints and their changes are pushed to a local agent. The balancer must
/// watch this agent from the start.
#[test]
fn watches_the_local_agent_from_the_start_in_automatic_mode() {
    let upstream = Upstream::healthy();
    let agent = Discovery::start();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.discovery = agent.address;
    let process = config.start();
    let watch = agent.watches.recv_timeout(Duration::from_secs(3));
    let watch = watch.expect("a watch");
    assert!(watch.target.contains("stream=1"), "{watch:?}");
    watch.send(&endpoint_list_json(2, false, &[draining_entry(&upstream)]));
    process.wait_for_status(&request(), 503);
}

#[test]
fn reads_an_endpoint_list_with_line_breaks() {
    let upstream = Upstream::healthy();
    let balancer = WatchingBalancer::start(&[upstream.address]);
    let text = endpoint_list_json(2, false, &[draining_entry(&upstream)]);
    let text = text.replace('{', "{\n  ").replace(',', ",\n  ");
    balancer.watch.send(&text.replace('}', "\n}"));
    balancer.process.wait_for_status(&request(), 503);
    let next_watch = balancer.discovery.watches.try_recv();
    assert!(
        next_watch.is_err(),
        "the watch was reopened: {next_watch:?}"
    );
}

/// An unreadable entry could state that its upstream is draining.
#[test]
fn treats_an_unreadable_entry_as_draining() {
    let upstream = Upstream::healthy();
    for unreadable in [
        r#"{"uid":"s-0","state":"Paused"}"#,
        r#"{"uid":"s-0","endpoint":7,"state":"Ready"}"#,
        r#"{"uid":"s-0","endpoint":"127.0.0.1:9","state":["Terminating"]}"#,
    ] {
        let balancer = WatchingBalancer::start(&[upstream.address]);
        let WatchingBalancer { process, watch, .. } = &balancer;
        assert_eq!(process.status_of(&request()), 200, "{unreadable}");
        watch.send(&endpoint_list_json(2, false, &[unreadable.to_owned()]));
        wait_until(&format!("{unreadable} is treated as draining"), || {
            process.status_of(&request()) == 503
        });
        watch.send(&endpoint_list_json(3, false, &[ready_entry(&upstream)]));
        process.wait_for_status(&request(), 200);
    }
}

/// A change that cannot be applied could state that any of the upstreams is draining.
#[test]
fn refetches_the_list_after_a_change_that_cannot_be_applied() {
    let upstream = Upstream::healthy();
    let without_uid = r#"{"state":"Terminating"}"#.to_owned();
    for (name, line) in [
        (
            "a change without a uid",
            endpoint_list_json(6, false, &[without_uid]),
        ),
        (
            "a change older than the list",
            endpoint_list_json(3, false, &[ready_entry(&upstream)]),
        ),
        (
            "half a list and a heartbeat",
            "{\"rev\":6,\"all\":false,\"targets\":[\n\n".to_owned(),
        ),
        ("half a JSON keyword", "{\"rev\":6,\"all\":fal".to_owned()),
        ("half a JSON string", "\"rev".to_owned()),
    ] {
        let balancer = WatchingBalancer::start(&[upstream.address]);
        let snapshot = endpoint_list_json(5, true, &[ready_entry(&upstream)]);
        balancer.watch.send(&snapshot);
        balancer.watch.send(&line);
        let watch = balancer.discovery.watches.recv_timeout(TIMEOUT);
        let watch = watch.unwrap_or_else(|e| panic!("{name}: no other watch: {e}"));
        assert!(watch.target.contains("index=0"), "{name}: {watch:?}");
    }
}

/// A watch can become silent at any point of its response. It must be reopened before the balancer
/// counts as notified of the changes that it missed.
#[test]
fn reopens_a_silent_watch_in_time() {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let line = endpoint_list_json(1, true, &[]) + "\n";
    let (first, rest) = line.split_at(9);
    let head = CHUNKED_HEAD.to_owned();
    let cases = [
        ("before its head", String::new()),
        ("within its head", "HTTP/1.1 200 OK\r\nTrans".to_owned()),
        ("after its head", head.clone()),
        ("between two chunks of a line", head.clone() + &chunk(first)),
        (
            "within a chunk",
            format!("{head}{:x}\r\n{first}", line.len()),
        ),
        ("after a line", head.clone() + &chunk(first) + &chunk(rest)),
        ("after a heartbeat", head + &chunk("\n")),
    ];
    std::thread::scope(|scope| {
        for (name, text) in cases {
            scope.spawn(move || check_silent_watch(name, &text));
        }
    });
}

/// Sends `text` as the only part of the response to a poll, and checks that the balancer polls
/// again in time.
fn check_silent_watch(name: &str, text: &str) {
    let discovery = RawPeer::start();
    let mut config = TestConfig::with_upstreams(&[unreachable_address()]);
    config.discovery = discovery.address;
    config.watches_discovery_directly = true;
    let _process = config.start();
    let mut watch = discovery.next_connection_with_request();
    watch.write_all(text.as_bytes()).unwrap();
    let silent_since = Instant::now();
    let reopened = discovery.connections.recv_timeout(TIMEOUT);
    reopened.unwrap_or_else(|e| panic!("{name}: {e}"));
    let delay = silent_since.elapsed();
    let max_delay = NOTIFICATION_DELAY_AFTER_SILENCE - Duration::from_millis(500);
    assert!(delay < max_delay, "{name}: after {delay:?}");
}

/// Sends a list of 3,201 draining entries in 40 pieces, over 7 s.
fn send_long_list_slowly(mut watch: &TcpStream, upstream: &Upstream) {
    const PIECE_COUNT: usize = 40;
    const PAUSE: Duration = Duration::from_millis(175);
    let others = 0..3200;
    let others = others.map(|k| endpoint_json(&format!("t-{k}"), upstream.address, "Terminating"));
    let entries: Vec<String> = others.chain([draining_entry(upstream)]).collect();
    let text = endpoint_list_json(2, true, &entries) + "\n";
    for piece in text.as_bytes().chunks(text.len().div_ceil(PIECE_COUNT)) {
        write!(watch, "{:x}\r\n", piece.len()).unwrap();
        watch.write_all(piece).unwrap();
        watch.write_all(b"\r\n").unwrap();
        std::thread::sleep(PAUSE);
    }
}

/// A list that takes seconds to receive must be read completely while data continues to arrive,
/// both on an open watch and as the response to the first poll.
#[test]
fn reads_a_long_list_that_arrives_slowly() {
    let upstream = Upstream::healthy();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let balancer = WatchingBalancer::start(&[upstream.address]);
            send_long_list_slowly(&balancer.watch.stream, &upstream);
            balancer.process.wait_for_status(&request(), 503);
            let next_watch = balancer.discovery.watches.try_recv();
            assert!(
                next_watch.is_err(),
                "the watch was reopened: {next_watch:?}"
            );
        });
        scope.spawn(|| {
            let mut balancer = PollingBalancer::start(&upstream);
            balancer.poll.write_all(CHUNKED_HEAD.as_bytes()).unwrap();
            send_long_list_slowly(&balancer.poll, &upstream);
            balancer.process.wait_for_status(&request(), 503);
            let next_poll = balancer.discovery.connections.try_recv();
            assert!(
                next_poll.is_err(),
                "the first poll was retried: {next_poll:?}"
            );
        });
    });
}

#[test]
fn accepts_a_first_line_long_after_the_response_head() {
    let upstream = Upstream::healthy();
    let mut balancer = PollingBalancer::start(&upstream);
    balancer.poll.write_all(CHUNKED_HEAD.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(1500));
    let snapshot = endpoint_list_json(2, true, &[ready_entry(&upstream)]);
    send_chunked_line(&balancer.poll, &snapshot);
    balancer.process.wait_for_status(&request(), 200);
    let next_poll = balancer.discovery.connections.try_recv();
    assert!(
        next_poll.is_err(),
        "the first poll was retried: {next_poll:?}"
    );
}

/// A watch whose last line is incomplete must be reopened, even if blank lines follow.
#[test]
fn blank_lines_within_a_list_are_not_heartbeats() {
    let upstream = Upstream::healthy();
    let balancer = WatchingBalancer::start(&[upstream.address]);
    balancer.watch.send("{\"rev\":2,\"all\":false,");
    let mut stream = balancer.watch.stream;
    std::thread::spawn(move || {
        while stream.write_all(b"1\r\n\n\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let watch = balancer
        .discovery
        .watches
        .recv_timeout(NOTIFICATION_DELAY_AFTER_SILENCE);
    let watch = watch.expect("another watch");
    assert!(watch.target.contains("index=0"), "{watch:?}");
}

/// More idle clients connect than the descriptor limit allows. Requests must still be served, and
/// discovery, which is first unreachable, must be watched at its new address.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_upstreams() {
    let upstream = Upstream::healthy();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.max_sockets = 64;
    config.watches_discovery_directly = true;
    let mut process = config.start();
    let idle_clients: Vec<_> = (0..120).map(|_| process.connect()).collect();
    assert_eq!(process.status_of(&idempotent_request(5000)), 200);
    let discovery = Discovery::start();
    config.discovery = discovery.address;
    process.reload(&config.to_json());
    let watch = discovery.next_watch();
    watch.send(&endpoint_list_json(2, true, &[ready_entry(&upstream)]));
    for _ in 0..10 {
        assert_eq!(process.status_of(&idempotent_request(5000)), 200);
    }
    assert!(process.is_running());
    drop(idle_clients);
}

/// A watch is replaced at SIGHUP or by a poll, while its task may still be reading. The lines that
/// the task reads after the replacement must not be reported.
#[tokio::test(flavor = "local")]
async fn replaced_watch_reports_no_events() {
    let discovery = Discovery::start();
    let client = Rc::new(DiscoveryClient::new(
        discovery.address,
        Names::default(),
        &MemoryBudget::unlimited(),
    ));
    // Whether each reported update is a snapshot or a delta.
    let reported_scopes = Rc::new(RefCell::new(Vec::new()));
    let watch_id = client.begin_watch();
    let (task_client, task_scopes) = (Rc::clone(&client), Rc::clone(&reported_scopes));
    let task = tokio::task::spawn_local(async move {
        let report = |event| match event {
            DiscoveryEvent::Update(update) => task_scopes.borrow_mut().push(update.scope),
            DiscoveryEvent::Partial(_) => (),
            other => panic!("{other:?}"),
        };
        task_client.watch(watch_id, report).await;
    });
    let watch = tokio::task::spawn_blocking(move || discovery.next_watch());
    let watch = watch.await.unwrap();
    watch.send(&endpoint_list_json(5, true, &[]));
    while reported_scopes.borrow().len() < 2 {
        tokio::task::yield_now().await;
    }
    client.begin_watch();
    watch.send(&endpoint_list_json(6, true, &[]));
    drop(watch);
    let ended = tokio::time::timeout(TIMEOUT, task).await;
    ended.expect("the task of the replaced watch ends").unwrap();
    assert_eq!(
        *reported_scopes.borrow(),
        [UpdateScope::Delta, UpdateScope::Snapshot]
    );
}

/// If the endpoint list does not change, the watch contains only heartbeats after its first line.
/// The poll that opened the watch must not be retried.
#[test]
fn poll_is_not_retried_if_only_heartbeats_follow() {
    let discovery = Discovery::start();
    let mut config = TestConfig::with_upstreams(&[unreachable_address()]);
    config.discovery = discovery.address;
    let _process = config.start();
    let watch = discovery.next_watch();
    watch.send("");
    let next_watch = discovery.watches.recv_timeout(Duration::from_millis(2500));
    assert!(next_watch.is_err(), "the poll was retried: {next_watch:?}");
}
