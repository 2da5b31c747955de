//! The watch on the list, crossed by silence, moves, broken lines and what comes out of order.
#![expect(
    clippy::unwrap_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod common;

use common::*;
use frostkeel_balancer::discovery::{Discovery, DiscoveryEvent};
use frostkeel_policy::UpdateScope;
use frostkeel_settings::Names;
use std::cell::RefCell;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Seconds after which what a silent watch missed counts as told.
const TOLD_WITHIN: Duration = Duration::from_secs(6);

/// Guards sites whose lists are pushed: what their agent has counts as told, so it is watched from the start.
#[test]
fn watches_the_local_agent_from_the_start_in_automatic_mode() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[upstream.address]);
    setup.discovery = discovery;
    let node = setup.start();
    let (target, watch) = calls.recv_timeout(Duration::from_secs(3)).expect("a watch");
    assert!(target.contains("stream=1"), "{target}");
    tell(
        &watch,
        &list(2, false, &[entry("s-0", upstream.address, "Terminating")]),
    );
    until("the drain is known", || {
        node.connect().exchange(&book(5000, "x")).status() == 503
    });
}

/// Guards lists that go over several lines, on a watch too.
#[test]
fn reads_an_endpoint_list_with_line_breaks() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (node, calls, watch) = watching(&upstream);
    let text = list(2, false, &[entry("s-0", upstream.address, "Terminating")]);
    tell(
        &watch,
        &text
            .replace('{', "{\n  ")
            .replace(',', ",\n  ")
            .replace('}', "\n}"),
    );
    until("the drain is known", || {
        node.connect().exchange(&book(5000, "x")).status() == 503
    });
    assert!(calls.try_recv().is_err(), "the watch went on");
}

/// Guards against a drain missed where part of a list can't be used: it is taken for a drain, or the whole list is
/// asked for.
#[test]
fn treats_an_unreadable_change_as_a_drain_or_refetches_the_list() {
    let upstream = Upstream::start(Then::Answer(OK));
    for odd in [
        r#"{"uid":"s-0","state":"Paused"}"#,
        r#"{"uid":"s-0","endpoint":7,"state":"Ready"}"#,
        r#"{"uid":"s-0","endpoint":"127.0.0.1:9","state":["Terminating"]}"#,
    ] {
        let (node, _calls, watch) = watching(&upstream);
        assert_eq!(node.connect().exchange(&book(5000, "x")).status(), 200);
        tell(&watch, &list(2, false, &[odd.to_owned()]));
        until(odd, || {
            node.connect().exchange(&book(5000, "x")).status() == 503
        });
        tell(
            &watch,
            &list(3, false, &[entry("s-0", upstream.address, "Ready")]),
        );
        until("it is ready again", || {
            node.connect().exchange(&book(5000, "x")).status() == 200
        });
    }
    for (odd, what) in [
        (
            list(6, false, &[r#"{"state":"Terminating"}"#.to_owned()]),
            "a change of nobody",
        ),
        (
            list(3, false, &[entry("s-0", upstream.address, "Ready")]),
            "a change older than the list",
        ),
        (
            "{\"rev\":6,\"all\":false,\"targets\":[\n\n".to_owned(),
            "half a list and a heartbeat",
        ),
        ("{\"rev\":6,\"all\":fal".to_owned(), "half a word"),
        ("\"rev".to_owned(), "half a string"),
    ] {
        let (_node, calls, watch) = watching(&upstream);
        tell(
            &watch,
            &list(5, true, &[entry("s-0", upstream.address, "Ready")]),
        );
        tell(&watch, &odd);
        let (target, _) = calls
            .recv_timeout(LONG)
            .unwrap_or_else(|e| panic!("{what}: no further call: {e}"));
        assert!(target.contains("index=0"), "{what}: {target}");
    }
}

/// Guards the one clock for silence: wherever a watch falls silent, the next call comes in time for what was missed
/// to be known within 6 s.
#[test]
fn reopens_a_silent_watch_in_time() {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    let whole = list(1, true, &[]) + "\n";
    let (first, rest) = whole.split_at(9);
    let watches = [
        ("before its head", String::new()),
        ("within its head", "HTTP/1.1 200 OK\r\nTrans".to_owned()),
        ("after its head", head.clone()),
        ("between two chunks of a line", head.clone() + &chunk(first)),
        (
            "within a chunk",
            format!("{head}{:x}\r\n{first}", whole.len()),
        ),
        ("after a line", head.clone() + &chunk(first) + &chunk(rest)),
        ("after a heartbeat", head + &chunk("\n")),
    ];
    std::thread::scope(|scope| {
        for (where_silent, text) in watches {
            scope.spawn(move || {
                let (address, streams) = raw_peer();
                let mut setup = Setup::with(&[nobody()]);
                (setup.discovery, setup.asks) = (address, true);
                let _node = setup.start();
                let mut watch = streams.recv_timeout(LONG).expect("a watch");
                assert!(next_request(&watch).is_some());
                watch.write_all(text.as_bytes()).unwrap();
                let silent = Instant::now();
                streams
                    .recv_timeout(LONG)
                    .unwrap_or_else(|e| panic!("{where_silent}: {e}"));
                let after = silent.elapsed();
                assert!(
                    after < TOLD_WITHIN - Duration::from_millis(500),
                    "{where_silent}: after {after:?}"
                );
            });
        }
    });
}

/// Writes a list of 3,201 entries, all of which drain, in pieces over some seconds.
fn tell_slowly(mut watch: &TcpStream, upstream: &Upstream) {
    const PIECES: usize = 40;
    let others = (0..3200).map(|k| entry(&format!("t-{k}"), upstream.address, "Terminating"));
    let all: Vec<_> = others
        .chain([entry("s-0", upstream.address, "Terminating")])
        .collect();
    let text = list(2, true, &all) + "\n";
    for piece in text.as_bytes().chunks(text.len().div_ceil(PIECES)) {
        write!(watch, "{:x}\r\n", piece.len()).unwrap();
        watch.write_all(piece).unwrap();
        watch.write_all(b"\r\n").unwrap();
        std::thread::sleep(Duration::from_millis(175));
    }
}

/// Guards long lists on a slow way: one that goes on coming is read to its end, on a watch and as its first answer.
#[test]
fn reads_a_long_list_that_arrives_slowly() {
    let upstream = Upstream::start(Then::Answer(OK));
    let drain_is_known = |node: &Node| {
        until("the drain is known", || {
            node.connect().exchange(&book(5000, "x")).status() == 503
        });
    };
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (node, calls, watch) = watching(&upstream);
            tell_slowly(&watch, &upstream);
            drain_is_known(&node);
            assert!(calls.try_recv().is_err(), "the watch went on");
        });
        scope.spawn(|| {
            let (node, streams, mut watch) = calling(&upstream);
            watch
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .unwrap();
            tell_slowly(&watch, &upstream);
            drain_is_known(&node);
            assert!(streams.try_recv().is_err(), "the first call went on");
        });
    });
}

/// Guards against a watch that is given up because its first line comes some time after its head.
#[test]
fn accepts_a_first_line_long_after_the_response_head() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (node, streams, mut watch) = calling(&upstream);
    watch
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    std::thread::sleep(Duration::from_millis(1500));
    tell(
        &watch,
        &list(2, true, &[entry("s-0", upstream.address, "Ready")]),
    );
    until("the list is sent by", || {
        node.connect().exchange(&book(5000, "x")).status() == 200
    });
    assert!(streams.try_recv().is_err(), "the first call went on");
}

/// Guards against blank lines that keep alive a watch which has broken off within a line.
#[test]
fn blank_lines_within_a_list_are_not_heartbeats() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (_node, calls, watch) = watching(&upstream);
    tell(&watch, "{\"rev\":2,\"all\":false,");
    std::thread::spawn(move || {
        while (&watch).write_all(b"1\r\n\n\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let (target, _) = calls.recv_timeout(TOLD_WITHIN).expect("a further call");
    assert!(target.contains("index=0"), "{target}");
}

/// Guards the calls and the upstreams' connections while idle clients hold all descriptors that are theirs, and
/// discovery is down, comes back, or has moved.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_upstreams() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    (setup.sockets, setup.asks) = (64, true);
    let mut node = setup.start();
    let idle: Vec<Client> = (0..120).map(|_| node.connect()).collect();
    assert_eq!(node.connect().exchange(&look(5000)).status(), 200);
    let (discovery, calls) = discovery();
    setup.discovery = discovery;
    node.reload(&setup.text());
    let (_, watch) = calls
        .recv_timeout(LONG)
        .expect("a watch at the new address");
    tell(
        &watch,
        &list(2, true, &[entry("s-0", upstream.address, "Ready")]),
    );
    for _ in 0..10 {
        assert_eq!(node.connect().exchange(&look(5000)).status(), 200);
    }
    assert!(node.runs());
    drop(idle);
}

/// Guards against the last words of a watch that another has taken the place of, at SIGHUP or as it was asked for
/// anew: its task may still be reading.
#[tokio::test(flavor = "local")]
async fn replaced_watch_reports_no_more_events() {
    let (address, calls) = discovery();
    let watched = Rc::new(Discovery::new(address, Names::default()));
    let told = Rc::new(RefCell::new(Vec::new()));
    let number = watched.begin_watch();
    let (watch, tells) = (Rc::clone(&watched), Rc::clone(&told));
    let task = tokio::task::spawn_local(async move {
        let update = |event| match event {
            DiscoveryEvent::Update(update) => tells.borrow_mut().push(update.scope),
            DiscoveryEvent::Partial(_) => (),
            other => panic!("{other:?}"),
        };
        watch.watch(number, update).await;
    });
    let (_, stream) = tokio::task::spawn_blocking(move || calls.recv_timeout(LONG).unwrap())
        .await
        .unwrap();
    tell(&stream, &list(5, true, &[]));
    while told.borrow().len() < 2 {
        tokio::task::yield_now().await;
    }
    watched.begin_watch();
    tell(&stream, &list(6, true, &[]));
    drop(stream);
    tokio::time::timeout(LONG, task)
        .await
        .expect("it ends")
        .unwrap();
    assert_eq!(*told.borrow(), [UpdateScope::Delta, UpdateScope::Snapshot]);
}

/// Guards a good watch on which nothing has changed: a heartbeat is an answer, and the call is not made again.
#[test]
fn heartbeat_completes_the_poll() {
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[nobody()]);
    setup.discovery = discovery;
    let _node = setup.start();
    let (_, watch) = calls.recv_timeout(LONG).expect("a watch");
    tell(&watch, "");
    let again = calls.recv_timeout(Duration::from_millis(2500));
    assert!(again.is_err(), "called again: {again:?}");
}
