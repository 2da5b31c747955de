//! System calls of the balancer that fail for a while.

mod common;

use common::*;
use std::collections::HashSet;
use std::time::Duration;

/// When the listener is closed after SIGTERM, and some time more.
const LISTENER_CLOSED_AFTER: Duration = Duration::from_millis(1000);
const DESCRIPTORS: u64 = 1024;
/// Connections and requests on each, with faults.
const CONNECTIONS: usize = 20;
const REQUESTS_EACH: usize = 10;

/// Guards connections that wait in the listener's queue as the process ends, where `accept` fails just then: each is
/// owed an answer once it works again.
#[test]
fn failing_accept_during_shutdown_loses_no_waiting_client() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = Setup::with(&[upstream.address]).start();
    assert_eq!(node.connect().exchange(&look(5000)).status(), 200);
    node.exhaust_descriptors();
    let mut clients: Vec<Client> = (0..5).map(|_| node.connect()).collect();
    clients
        .iter_mut()
        .for_each(|client| client.write(&look(5000)));
    node.terminate();
    std::thread::sleep(LISTENER_CLOSED_AFTER);
    node.limit_descriptors(DESCRIPTORS);
    for (k, client) in clients.iter_mut().enumerate() {
        assert!(client.answer().is_some(), "client {k} gets an answer");
    }
    assert!(node.wait().success());
}

/// Guards upstreams against being ejected because this machine has no descriptor for a connection to them.
#[test]
fn descriptor_exhaustion_ejects_no_upstream() {
    let upstreams = [
        Upstream::start(Then::AnswerAndClose(OK)),
        Upstream::start(Then::AnswerAndClose(OK)),
    ];
    let node = Setup::with(&[upstreams[0].address, upstreams[1].address]).start();
    let mut client = node.connect();
    assert_eq!(client.exchange(&look(5000)).status(), 200);
    until("no descriptor is left", || {
        node.exhaust_descriptors();
        client.exchange(&look(5000)).status() == 503
    });
    for _ in 0..20 {
        assert_eq!(client.exchange(&look(5000)).status(), 503);
    }
    node.limit_descriptors(DESCRIPTORS);
    assert_eq!(
        client.exchange(&look(5000)).status(),
        200,
        "nobody is ejected"
    );
}

/// Guards a reload against a configuration file that is half written, or cannot be read, as the signal comes: it is read
/// again until it is whole.
#[test]
fn rereads_a_partially_written_configuration() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[upstream.address]);
    setup.asks = true;
    let mut node = setup.start();
    setup.discovery = discovery;
    let text = setup.text();
    node.reload(&text[..text.len() / 2]);
    node.round_trip();
    assert_eq!(node.connect().exchange(&look(5000)).status(), 200);
    node.replace_configuration(&text);
    calls
        .recv_timeout(LONG)
        .expect("a watch at the new address");
    assert!(node.runs());
}

/// Plays requests over many connections against a balancer with these faults: how many were served. Each gets a final
/// answer, and none that may not run twice reaches an upstream twice.
fn served_with(then: Then, faults: &[(&'static str, &str)]) -> usize {
    let upstreams = [Upstream::start(then), Upstream::start(then)];
    let mut setup = Setup::with(&[upstreams[0].address, upstreams[1].address]);
    setup.faults = faults
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()))
        .collect();
    let mut node = setup.start();
    let mut served = 0;
    for k in 0..CONNECTIONS {
        let mut client = node.connect();
        for n in 0..REQUESTS_EACH {
            client.write(&if k % 2 == 0 {
                look(5000)
            } else {
                book(5000, &format!("{k}-{n}"))
            });
            let answer = client
                .answer()
                .unwrap_or_else(|| panic!("{faults:?}: connection {k} ended"));
            served += usize::from(answer.status() == 200);
        }
    }
    assert!(node.runs());
    let mut booked = HashSet::new();
    for message in upstreams
        .iter()
        .flat_map(Upstream::seen)
        .filter(|m| m.line.starts_with("POST"))
    {
        assert!(
            booked.insert(message.body.clone()),
            "{faults:?}: {message:?} ran twice"
        );
    }
    served
}

/// Guards requests against calls that fail for this machine's reasons, or for nobody's: no one of them loses a request
/// or is put down to an upstream.
#[test]
fn intermittent_syscall_failures_lose_no_request() {
    let all = CONNECTIONS * REQUESTS_EACH;
    let (keeps, closes) = (Then::Answer(OK), Then::AnswerAndClose(OK));
    for (name, value, then, least) in [
        (
            "FAULT_ACCEPT",
            "0.5:ECONNABORTED,EMFILE,ENOBUFS,EPROTO",
            keeps,
            all,
        ),
        ("FAULT_READ", "0.3:EINTR", keeps, all),
        ("FAULT_WRITE", "0.3:EINTR", keeps, all),
        (
            "FAULT_CONNECT",
            "0.5:EADDRNOTAVAIL,ENOBUFS,ENETUNREACH,ENOMEM",
            closes,
            all * 13 / 20,
        ),
        ("FAULT_WALL_MS", "3600000", keeps, all),
        ("FAULT_WALL_MS", "-3600000", keeps, all),
    ] {
        for seed in ["1", "2", "3"] {
            let faults = [(name, value), ("FAULT_SEED", seed)];
            let served = served_with(then, &faults);
            assert!(served >= least, "{faults:?}: served {served} of {all}");
        }
    }
}
