//! Connections of clients: their number, and clients that keep them without a request.

mod common;

use common::*;

/// Guards against clients locked out by others that only keep their connections.
#[test]
fn closes_the_longest_idle_client_at_the_connection_limit() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    let mut node = setup.start();
    let mut clients = Vec::new();
    for _ in 0..100 {
        let mut client = node.connect();
        assert_eq!(client.exchange(&look(5000)).status(), 200);
        clients.push(client);
    }
    assert!(
        clients[0].ends(),
        "the longest idle was closed between requests"
    );
    assert!(node.runs());
}

/// Guards against places taken by clients that begin a request and never end it.
#[test]
fn clients_with_unfinished_heads_do_not_block_others() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    let node = setup.start();
    let mut slow = Vec::new();
    for _ in 0..40 {
        let mut client = node.connect();
        client.write("POST /book HTTP/1.1\r\nHost: a");
        slow.push(client);
    }
    assert_eq!(node.connect().exchange(&look(8000)).status(), 200);
}

/// Guards against peers that connect and send nothing, or stop in the middle: each gets an error or a close soon,
/// however long it says that it would wait.
#[test]
fn closes_clients_that_never_complete_a_request() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    let body = book(60_000, "half").replace("Content-Length: 4", "Content-Length: 9");
    let mut peers: Vec<Client> = Vec::new();
    for text in [
        "",
        "POST /book/day HT",
        "POST /book/day HTTP/1.1\r\nHost: app.svc\r\n",
        &body,
    ] {
        let mut peer = node.connect();
        peer.write(text);
        peers.push(peer);
    }
    for (k, peer) in peers.iter_mut().enumerate() {
        // Reading fails after `LONG`, a third of what the last one says that it would wait.
        let answer = peer.answer();
        let error = answer
            .as_ref()
            .is_none_or(|a| (400..500).contains(&a.status()));
        assert!(error && peer.is_open_no_more(), "peer {k}: {answer:?}");
    }
    assert!(upstream.seen().is_empty());
}
