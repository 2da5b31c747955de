//! Clients that leave, flood, or take their answers slowly, in the moment in which something else happens.

mod common;

use common::*;
use std::collections::BTreeSet;
use std::io::Write;

const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";

/// How a client goes away.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    Resets,
    EndsItsSending,
}

/// Guards against work for nobody: however a client leaves, and whatever of it waits unread behind its request, its
/// attempt is called off at once and no further one begins.
#[test]
fn cancels_the_attempt_when_the_client_disconnects() {
    for leaves in [Leaves::Closes, Leaves::Resets, Leaves::EndsItsSending] {
        for behind in [0, 1, 300, 40_000, 400_000] {
            let (address, streams) = raw_peer();
            let node = Setup::with(&[address, address]).start();
            let mut client = node.connect();
            client.write(&look(8000));
            let upstream = streams.recv_timeout(LONG).expect("an attempt");
            assert!(next_request(&upstream).is_some());
            client.write_if_taken(&vec![b'x'; behind]);
            node.round_trip();
            match leaves {
                Leaves::Closes => client.leave(),
                Leaves::Resets => client.reset(),
                Leaves::EndsItsSending => client.end_sending(),
            }
            upstream.set_read_timeout(Some(LONG)).unwrap();
            assert!(
                next_request(&upstream).is_none(),
                "{leaves:?} with {behind} bytes behind: not called off"
            );
            // Had it been taken for an error of the upstream's, the next attempt would go out now.
            let _ = (&upstream).write_all(ERROR.as_bytes());
            node.round_trip();
            let further = streams.try_iter().count();
            assert_eq!(
                further, 0,
                "{leaves:?} with {behind} bytes behind: attempts after it had left"
            );
        }
    }
}

/// Guards against an attempt for a client that left while it waited for a connection, where the site allows no
/// attempt to be cancelled: nothing of it had left.
#[test]
fn drops_an_attempt_waiting_for_a_connection_when_the_client_disconnects() {
    let (address, streams) = raw_peer();
    let mut setup = Setup::with(&[address]);
    (setup.sockets, setup.cancellation) = (64, false);
    let node = setup.start();
    // Of 64 descriptors 24 are reserved, and of the rest 18 are for upstreams.
    let mut holders: Vec<Client> = (0..18).map(|_| node.connect()).collect();
    for (k, client) in holders.iter_mut().enumerate() {
        client.write(&look(8000).replace("77aa", &format!("held{k}")));
    }
    let held: Vec<_> = (0..18)
        .map(|_| streams.recv_timeout(LONG).expect("an attempt"))
        .collect();
    // Each of them is in use by a request of its own: there is no place for another.
    let requests = held
        .iter()
        .map(|stream| next_request(stream).expect("a request"));
    let ids: BTreeSet<_> = requests
        .map(|r| r.header("x-correlation-id").map(str::to_owned))
        .collect();
    assert_eq!(ids.len(), 18, "{ids:?}");
    let mut leaver = node.connect();
    leaver.write(&look(8000).replace("77aa", "left"));
    node.round_trip();
    leaver.leave();
    node.round_trip();
    let mut stayer = node.connect();
    stayer.write(&look(8000).replace("77aa", "stays"));
    node.round_trip();
    for stream in held {
        (&stream)
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            .unwrap();
    }
    let next = streams
        .recv_timeout(LONG)
        .expect("a connection that was waited for");
    let request = next_request(&next).expect("a request");
    assert_eq!(
        request.header("x-correlation-id"),
        Some("stays"),
        "{request:?}"
    );
}

/// Guards against a reset that takes an answer with it: what came behind the request is read before the close.
#[test]
fn response_is_complete_when_extra_bytes_follow_the_request() {
    let (address, streams) = raw_peer();
    let node = Setup::with(&[address]).start();
    let mut client = Client::narrow(node.address);
    client.write(&look(8000).replace("Host", "Connection: close\r\nHost"));
    let upstream = streams.recv_timeout(LONG).expect("an attempt");
    assert!(next_request(&upstream).is_some());
    // The first of these may be read ahead with the request; the second is not, unless somebody takes care to.
    for _ in 0..2 {
        client.write("GET /look HTTP/1.1\r\nHost");
        node.round_trip();
    }
    let body = "y".repeat(60_000);
    write!(
        &upstream,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    until("the answer begins", || client.has_bytes());
    node.round_trip();
    let answer = client.answer().expect("the whole answer");
    assert_eq!((answer.status(), answer.body.len()), (200, 60_000));
}

/// Guards the balancer against those who send what is no request, much of it or little: each gets an error or a
/// close, none reaches an upstream, and a good request beside them is served.
#[test]
fn malformed_requests_get_an_error_and_do_not_affect_others() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = Setup::with(&[upstream.address]).start();
    let long_head = format!(
        "GET /look HTTP/1.1\r\nX-Long: {}\r\n\r\n",
        "y".repeat(64 * 1024)
    );
    let long_body = book(8000, &"y".repeat(200_000));
    let endless =
        book(8000, "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + "fffff\r\n";
    let endless = endless + &"y".repeat(150_000);
    for (text, errors) in [
        ("\0\0\0\0\r\n\r\n", 400..=400),
        ("GET\r\n\r\n", 400..=400),
        ("GET /look HTTP/7.0\r\n\r\n", 400..=505),
        (
            "GET /look HTTP/1.1\r\nContent-Length: many\r\n\r\n",
            400..=400,
        ),
        (&long_head, 400..=431),
        (&long_body, 413..=413),
        (&endless, 413..=413),
    ] {
        let mut client = node.connect();
        client.write_if_taken(text.as_bytes());
        let answer = client
            .answer()
            .unwrap_or_else(|| panic!("an error for {:?}", &text[..text.len().min(60)]));
        assert!(
            errors.contains(&answer.status()),
            "{answer:?} for {:?}",
            &text[..text.len().min(60)]
        );
        assert!(client.is_open_no_more());
    }
    assert!(upstream.seen().is_empty());
    assert_eq!(node.connect().exchange(&look(5000)).status(), 200);
    assert!(node.runs());
}
