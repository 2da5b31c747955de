//! Two events in one instant: the balancer is stopped, both happen, and it goes on with both before it.
#![expect(
    clippy::expect_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod common;

use common::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::Duration;

const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";

/// A balancer before two upstreams at one address, whose connections the test reads and writes.
fn before_two(deadline_ms: u64) -> (Node, Receiver<TcpStream>) {
    let (address, streams) = raw_peer();
    let mut setup = Setup::with(&[address, address]);
    setup.deadline_ms = deadline_ms;
    (setup.start(), streams)
}

/// The next attempt, its request read.
fn attempt(streams: &Receiver<TcpStream>) -> TcpStream {
    let stream = streams.recv_timeout(LONG).expect("an attempt");
    assert!(next_request(&stream).is_some());
    stream
}

/// Guards against a further attempt for a client that left as the one before failed.
#[test]
fn no_retry_when_the_client_disconnects_as_the_attempt_fails() {
    for error in [ERROR, ""] {
        let (node, streams) = before_two(8000);
        let mut client = node.connect();
        client.write(&look(8000));
        let upstream = attempt(&streams);
        node.stop();
        // The failure is seen first, where it is seen by order of time.
        (&upstream).write_all(error.as_bytes()).unwrap();
        upstream.shutdown(Shutdown::Both).unwrap();
        client.leave();
        node.go_on();
        node.round_trip();
        assert!(
            streams.try_recv().is_err(),
            "a further attempt, after {error:?}"
        );
    }
}

/// Guards the balancer where a client leaves as its answer comes, and where many leave at once.
#[test]
fn clients_that_disconnect_as_responses_arrive_leave_no_work_behind() {
    let (node, streams) = before_two(8000);
    let mut clients: Vec<Client> = (0..40).map(|_| node.connect()).collect();
    clients
        .iter_mut()
        .for_each(|client| client.write(&look(8000)));
    let attempts: Vec<TcpStream> = (0..40).map(|_| attempt(&streams)).collect();
    node.stop();
    for stream in attempts.iter().step_by(2) {
        (&mut &*stream).write_all(OK.as_bytes()).unwrap();
    }
    clients.into_iter().for_each(Client::leave);
    node.go_on();
    for stream in attempts.iter().skip(1).step_by(2) {
        stream.set_read_timeout(Some(LONG)).unwrap();
        assert!(
            next_request(stream).is_none(),
            "an attempt goes on for nobody"
        );
    }
    let mut client = node.connect();
    client.write(&look(8000));
    let stream = attempt(&streams);
    (&stream).write_all(OK.as_bytes()).unwrap();
    assert_eq!(client.answer().expect("an answer").status(), 200);
}

/// Guards the one final answer: two copies answer in one instant, and the connection goes on as before.
#[test]
fn simultaneous_hedge_responses_give_one_final_response() {
    let (node, streams) = before_two(1500);
    let mut client = node.connect();
    client.write(&look(1500));
    let copies = [attempt(&streams), attempt(&streams)];
    node.stop();
    for stream in &copies {
        (&mut &*stream).write_all(OK.as_bytes()).unwrap();
    }
    node.go_on();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    // A second answer would be read in place of this one.
    assert_eq!(
        client
            .exchange("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n")
            .status(),
        404
    );
}

/// Guards the one final answer where the time is over as the last byte comes.
#[test]
fn response_at_the_deadline_gives_one_final_response() {
    let (node, streams) = before_two(400);
    let mut client = node.connect();
    client.write(&book(400, "x"));
    let upstream = attempt(&streams);
    node.stop();
    (&upstream).write_all(OK.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    node.go_on();
    let answer = client.answer().expect("an answer");
    assert!([200, 502].contains(&answer.status()), "{answer:?}");
    assert_eq!(
        client
            .exchange("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n")
            .status(),
        404
    );
}

/// Guards a request that comes as its connection is due to be closed as idle.
#[test]
fn request_at_the_client_idle_timeout_is_served() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    let mut client = node.connect();
    assert_eq!(client.exchange(HEALTH).status(), 200);
    node.stop();
    client.write(&look(8000));
    std::thread::sleep(Duration::from_millis(2700));
    node.go_on();
    assert_eq!(client.answer().expect("an answer").status(), 200);
}

/// Guards the drain rule where a drain is told as requests come: none of them goes there.
#[test]
fn drain_update_applies_to_requests_that_arrive_with_it() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (node, _calls, watch) = watching(&upstream);
    let mut client = node.connect();
    assert_eq!(client.exchange(&look(8000)).status(), 200);
    node.stop();
    tell(
        &watch,
        &list(2, false, &[entry("s-0", upstream.address, "Terminating")]),
    );
    client.write(&look(8000));
    node.go_on();
    assert!(client.answer().is_some());
    // The request may have been read before the list; any that comes after it may not go there.
    let before = upstream.seen().len();
    for _ in 0..3 {
        assert_eq!(client.exchange(&look(8000)).status(), 503);
    }
    assert_eq!(upstream.seen().len(), before);
}

/// Guards against a list that is old: a watch that ends in place of telling is opened anew at once, and what a whole
/// list does not name is gone, though it still answers.
#[test]
fn reopens_a_watch_that_ends_without_an_update() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (node, calls, watch) = watching(&upstream);
    tell(&watch, "");
    node.round_trip();
    drop(watch);
    let (target, watch) = calls
        .recv_timeout(Duration::from_secs(5))
        .expect("another watch");
    assert!(target.contains("index=1"), "{target}");
    tell(&watch, &list(2, true, &[]));
    until("it is gone", || {
        node.connect().exchange(&look(8000)).status() == 503
    });
    assert!(upstream.seen().len() <= 1);
}
