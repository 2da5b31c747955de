//! Clients that disconnect, flood, or read their responses slowly, while something else happens.

mod common;

use common::{
    CORRELATION_ID, Client, ERROR_RESPONSE, RawPeer, TIMEOUT, TestConfig, Upstream,
    at_most_once_request, idempotent_request, read_request, wait_until,
};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    ShutdownWrite,
}

impl Disconnect {
    /// Disconnects; returns the client if it goes on reading.
    fn perform(self, client: Client) -> Option<Client> {
        match self {
            Self::Close => client.disconnect(),
            Self::Reset => client.reset(),
            Self::ShutdownWrite => {
                client.shutdown_write();
                return Some(client);
            }
        }
        None
    }
}

/// However a client disconnects, and whatever of it waits unread behind its request, its attempt is
/// cancelled at once and no further one begins.
#[test]
fn cancels_the_attempt_when_the_client_disconnects() {
    for disconnect in [
        Disconnect::Close,
        Disconnect::Reset,
        Disconnect::ShutdownWrite,
    ] {
        for extra_bytes in [0, 1, 300, 40_000, 400_000] {
            let upstream = RawPeer::start();
            let process = TestConfig::with_upstreams(&[upstream.address, upstream.address]).start();
            let mut client = process.connect();
            client.write(&idempotent_request(8000));
            let mut attempt = upstream.next_connection_with_request();
            client.write_nonblocking(&vec![b'x'; extra_bytes]);
            process.round_trip();
            let _reading = disconnect.perform(client);
            attempt.set_read_timeout(Some(TIMEOUT)).unwrap();
            assert!(
                read_request(&attempt).is_none(),
                "{disconnect:?} with {extra_bytes} bytes behind: not cancelled"
            );
            // If it counted as an error of the upstream, the next attempt would be sent now.
            let _ = attempt.write_all(ERROR_RESPONSE.as_bytes());
            process.round_trip();
            let further = upstream.connections.try_iter().count();
            assert_eq!(
                further, 0,
                "{disconnect:?} with {extra_bytes} bytes behind: attempts after the disconnect"
            );
        }
    }
}

/// Sends a request with this correlation id.
fn send_identified(client: &mut Client, correlation_id: &str) {
    client.write(&idempotent_request(8000).replace(CORRELATION_ID, correlation_id));
}

/// The site allows no attempt to be cancelled; one that still waits for a connection has not been
/// sent, so it is dropped all the same.
#[test]
fn drops_an_attempt_waiting_for_a_connection_when_the_client_disconnects() {
    // Of 64 descriptors 24 are reserved, and of the rest 18 are for upstreams.
    const MAX_SOCKETS: usize = 64;
    const MAX_CONNECTIONS: usize = 18;
    let upstream = RawPeer::start();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.max_sockets = MAX_SOCKETS;
    config.cancellation = false;
    let process = config.start();
    let mut clients: Vec<Client> = (0..MAX_CONNECTIONS).map(|_| process.connect()).collect();
    for (k, client) in clients.iter_mut().enumerate() {
        send_identified(client, &format!("in-flight-{k}"));
    }
    let connections: Vec<TcpStream> = (0..MAX_CONNECTIONS)
        .map(|_| upstream.next_connection())
        .collect();
    // Each of them is in use by a request of its own: there is no connection for another.
    let ids: BTreeSet<String> = connections
        .iter()
        .map(|connection| {
            let request = read_request(connection).expect("a request");
            request.header("x-correlation-id").unwrap().to_owned()
        })
        .collect();
    assert_eq!(ids.len(), MAX_CONNECTIONS, "{ids:?}");
    let mut disconnecting = process.connect();
    send_identified(&mut disconnecting, "disconnects");
    process.round_trip();
    disconnecting.disconnect();
    process.round_trip();
    let mut waiting = process.connect();
    send_identified(&mut waiting, "waits");
    process.round_trip();
    let closing = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    for mut connection in connections {
        connection.write_all(closing.as_bytes()).unwrap();
    }
    let request = read_request(&upstream.next_connection()).expect("a request");
    assert_eq!(
        request.header("x-correlation-id"),
        Some("waits"),
        "{request:?}"
    );
}

/// A connection that is closed with bytes unread is reset, which would discard the response: extra
/// bytes are read before the close.
#[test]
fn response_is_complete_when_extra_bytes_follow_the_request() {
    const BODY_BYTES: usize = 60_000;
    let upstream = RawPeer::start();
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = Client::connect_with_small_buffer(process.address);
    client.write(&idempotent_request(8000).replace("Host", "Connection: close\r\nHost"));
    let mut attempt = upstream.next_connection_with_request();
    // The first of these may be read with the request; the second is not, unless the balancer takes
    // care to.
    for _ in 0..2 {
        client.write("GET /look HTTP/1.1\r\nHost");
        process.round_trip();
    }
    let body = "y".repeat(BODY_BYTES);
    write!(
        attempt,
        "HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}"
    )
    .unwrap();
    wait_until("the response begins", || client.has_unread_bytes());
    process.round_trip();
    let response = client.read_response().expect("the complete response");
    assert_eq!((response.status(), response.body.len()), (200, BODY_BYTES));
}

/// Each client that sends something else than a request, much of it or little, gets an error or a
/// close; none of it reaches an upstream, and a valid request beside it is served.
#[test]
fn malformed_requests_get_an_error_and_do_not_affect_others() {
    let upstream = Upstream::healthy();
    let mut process = TestConfig::with_upstreams(&[upstream.address]).start();
    let long_head = format!(
        "GET /look HTTP/1.1\r\nX-Long: {}\r\n\r\n",
        "y".repeat(64 * 1024)
    );
    let long_body = at_most_once_request(8000, &"y".repeat(200_000));
    let chunked =
        at_most_once_request(8000, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let endless_chunk = chunked + "fffff\r\n" + &"y".repeat(150_000);
    for (text, statuses) in [
        ("\0\0\0\0\r\n\r\n", 400..=400),
        ("GET\r\n\r\n", 400..=400),
        ("GET /look HTTP/7.0\r\n\r\n", 400..=505),
        (
            "GET /look HTTP/1.1\r\nContent-Length: many\r\n\r\n",
            400..=400,
        ),
        (&long_head, 400..=431),
        (&long_body, 413..=413),
        (&endless_chunk, 413..=413),
    ] {
        let shown = &text[..text.len().min(60)];
        let mut client = process.connect();
        client.write_nonblocking(text.as_bytes());
        let response = client.read_response();
        let response = response.unwrap_or_else(|| panic!("an error for {shown:?}"));
        assert!(
            statuses.contains(&response.status()),
            "{response:?} for {shown:?}"
        );
        assert!(client.is_closed(), "{shown:?}");
    }
    assert!(upstream.requests().is_empty());
    assert_eq!(process.status_of(&idempotent_request(5000)), 200);
    assert!(process.is_running());
}
