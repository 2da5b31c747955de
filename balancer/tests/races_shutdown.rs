//! The graceful shutdown, crossed by what arrives in its moments.

mod common;

use common::*;
use std::net::TcpStream;
use std::time::Duration;

const READY: &str = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";

/// Waits until a balancer that was told to end has begun to.
fn until_draining(node: &Node) {
    until("not ready any more", || {
        node.connect().exchange(READY).status() == 503
    });
}

/// Guards requests on connections that the system has accepted and the balancer has not yet: while all places are
/// taken they wait in the listener's queue, and the listener is closed at the end.
#[test]
fn shutdown_serves_requests_waiting_in_the_accept_queue() {
    let mute = Upstream::start(Then::Mute);
    let mut setup = Setup::with(&[mute.address]);
    (setup.sockets, setup.deadline_ms) = (64, 3000);
    let mut node = setup.start();
    // Of 64 descriptors 24 are reserved, and 22 of the rest are for clients.
    let mut holders: Vec<Client> = (0..22).map(|_| node.connect()).collect();
    // Some send more behind their request, over which a connection would be reset at the process's end.
    holders
        .iter_mut()
        .for_each(|client| client.write(&book(1500, "x")));
    holders
        .iter_mut()
        .step_by(3)
        .for_each(|client| client.write(&look(1500)));
    until("all are in flight or waiting", || mute.seen().len() == 18);
    let mut waiting: Vec<Client> = (0..4).map(|_| node.connect()).collect();
    waiting
        .iter_mut()
        .for_each(|client| client.write(&book(8000, "x")));
    node.terminate();
    for (k, client) in holders.iter_mut().chain(&mut waiting).enumerate() {
        let answer = client
            .answer()
            .unwrap_or_else(|| panic!("client {k} was closed upon without an answer"));
        assert!(answer.status() >= 500, "{answer:?}");
    }
    assert!(node.wait().success());
}

/// Guards a request that comes on a resting connection while the balancer is ending: it gets its answer, or the
/// connection ends before anything of it has been sent on.
#[test]
fn shutdown_serves_or_never_forwards_requests_on_idle_connections() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = Setup::with(&[upstream.address]).start();
    let mut clients: Vec<Client> = (0..12).map(|_| node.connect()).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.exchange(HEALTH).status(), 200));
    node.terminate();
    until_draining(&node);
    // Each goes on as soon as the one before has its answer: some before the connections are closed, one or two in
    // the instant of it, the rest after it.
    let (mut served, mut closed) = (0, 0);
    for client in &mut clients {
        client.write_if_taken(look(3000).as_bytes());
        match client.answer() {
            Some(answer) => {
                assert_eq!(
                    (answer.status(), answer.header("connection")),
                    (200, Some("close"))
                );
                served += 1;
            }
            None => closed += 1,
        }
        std::thread::sleep(Duration::from_millis(60));
    }
    assert!(
        served > 0 && closed > 0,
        "{served} served, {closed} closed: nothing was crossed"
    );
    assert_eq!(upstream.seen().len(), served, "sent on and not answered");
    assert!(node.wait().success());
}

/// Guards a request of which half has come when the balancer is told to end: where the rest comes in time it is
/// answered, where it does not the process ends all the same.
#[test]
fn shutdown_serves_a_partial_request_once_it_is_complete() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = Setup::with(&[upstream.address]).start();
    let text = book(3000, "a day");
    let mut halves: Vec<(Client, usize)> = [20, text.len() - 3]
        .into_iter()
        .map(|cut| (node.connect(), cut))
        .collect();
    let mut never = node.connect();
    for (client, cut) in &mut halves {
        client.write(&text[..*cut]);
    }
    never.write(&text[..20]);
    node.round_trip();
    node.terminate();
    until_draining(&node);
    for (client, cut) in &mut halves {
        client.write(&text[*cut..]);
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    assert!(node.wait().success());
    assert!(never.answer().is_none());
    assert_eq!(upstream.seen().len(), 2);
}

/// Guards against a second signal that undoes the first, and against a list that is old because discovery moved
/// after the end had begun.
#[test]
fn shutdown_ignores_repeated_sigterm_and_applies_sighup() {
    let (slow, streams) = raw_peer();
    let ((before, calls), (after, calls_after)) = (discovery(), discovery());
    let mut setup = Setup::with(&[slow]);
    (setup.discovery, setup.asks, setup.deadline_ms) = (before, true, 3000);
    let mut node = setup.start();
    let (_, watch) = calls.recv_timeout(LONG).expect("a watch");
    tell(&watch, "");
    let mut client = node.connect();
    client.write(&book(3000, "x"));
    let upstream = streams.recv_timeout(LONG).expect("an attempt");
    assert!(next_request(&upstream).is_some());
    node.terminate();
    until_draining(&node);
    node.terminate();
    setup.discovery = after;
    node.reload(&setup.text());
    let moved = calls_after.recv_timeout(Duration::from_secs(2));
    assert!(moved.is_ok(), "no watch at the new address: {moved:?}");
    std::io::Write::write_all(&mut (&upstream), OK.as_bytes()).unwrap();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert!(node.wait().success());
}

/// Guards the first moments: a balancer told to end as soon as it serves answers what it took, with discovery down.
#[test]
fn shutdown_right_after_start_answers_accepted_requests() {
    let mute = Upstream::start(Then::Mute);
    let mut setup = Setup::with(&[mute.address]);
    (setup.asks, setup.deadline_ms) = (true, 1000);
    let mut node = setup.start();
    let mut client = node.connect();
    client.write(&book(1000, "x"));
    node.terminate();
    let answer = client.answer().expect("an answer");
    assert!(answer.status() >= 500, "{answer:?}");
    assert!(node.wait().success());
    assert!(TcpStream::connect(node.address).is_err());
}
