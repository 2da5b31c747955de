//! Clients that disconnect during a request, send too many bytes, or read their responses slowly.

mod common;

use common::{
    CORRELATION_ID, Client, ERROR_RESPONSE, RawPeer, TIMEOUT, TestConfig, Upstream,
    at_most_once_request, idempotent_request, read_request, wait_until,
};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;

/// The way in which a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// The client closes only its sending side.
    ShutdownWrite,
}

impl Disconnect {
    /// Disconnects the client; returns it if it can still read.
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

/// When a client disconnects, the attempt for its request must be cancelled and no further attempt
/// may start, regardless of how the client disconnects and how many bytes it sent after its
/// request.
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
            let _half_open_client = disconnect.perform(client);
            attempt.set_read_timeout(Some(TIMEOUT)).unwrap();
            assert!(
                read_request(&attempt).is_none(),
                "{disconnect:?} with {extra_bytes} extra bytes: the attempt was not cancelled"
            );
            // If this response were evaluated, it would count as an upstream error and be retried.
            let _ = attempt.write_all(ERROR_RESPONSE.as_bytes());
            process.round_trip();
            let later_attempts = upstream.connections.try_iter().count();
            assert_eq!(
                later_attempts, 0,
                "{disconnect:?} with {extra_bytes} extra bytes: attempts after the disconnect"
            );
        }
    }
}

/// Guards against a request that is forwarded although its client has closed the connection, because
/// the end of the stream is hidden behind bytes that have not been read yet. The same request on
/// another connection must be forwarded once.
#[test]
fn request_of_a_client_that_left_with_much_unread_is_not_forwarded() {
    for extra_bytes in [0, 20_000, 100_000, 600_000, 900_000, 2_000_000] {
        let upstream = Upstream::healthy();
        let process = TestConfig::with_upstreams(&[upstream.address]).start();
        // An idle connection to the upstream, so that an attempt is written at once.
        assert_eq!(process.status_of(&idempotent_request(8000)), 200);
        let request = at_most_once_request(8000, "once");
        let pipelined = request.repeat(1 + extra_bytes / request.len());
        for closes_after in [false, true] {
            let mut client = process.connect();
            if closes_after {
                // The balancer has accepted the connection before it is suspended.
                process.round_trip();
            }
            process.suspend();
            client.write_nonblocking(pipelined.as_bytes());
            client.disconnect();
            process.resume();
            process.round_trip();
        }
        assert_eq!(process.status_of(&request), 200);
        let forwarded = upstream.requests();
        let forwarded = forwarded.iter().filter(|request| request.body == b"once");
        assert_eq!(forwarded.count(), 1, "{extra_bytes} extra bytes");
    }
}

/// Guards against a request that must not be executed twice, and is forwarded again when it comes
/// again after its client has left. A request with another id is forwarded.
#[test]
fn request_that_comes_again_after_its_client_left_is_not_executed_twice() {
    let upstream = RawPeer::start();
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let request = at_most_once_request(8000, "once");
    let mut client = process.connect();
    client.write(&request);
    let attempt = upstream.next_connection_with_request();
    client.disconnect();
    process.round_trip();
    drop(attempt);
    assert_eq!(process.status_of(&request), 409);
    assert_eq!(upstream.connections.try_iter().count(), 0);
    let mut client = process.connect();
    client.write(&request.replace("9b1f03aa", "9b1f03ab"));
    assert!(read_request(&upstream.next_connection()).is_some());
}

/// Sends an idempotent request with this correlation id.
fn send_with_correlation_id(client: &mut Client, correlation_id: &str) {
    client.write(&idempotent_request(8000).replace(CORRELATION_ID, correlation_id));
}

/// Even if cancellation is off, an attempt that still waits for a connection must be dropped when
/// its client disconnects, because it has not been sent.
#[test]
fn drops_an_attempt_waiting_for_a_connection_when_the_client_disconnects() {
    // Of 64 descriptors, 24 are reserved. Of the other 40, 18 are for connections to upstreams.
    const MAX_SOCKETS: usize = 64;
    const MAX_UPSTREAM_CONNECTIONS: usize = 18;
    let upstream = RawPeer::start();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.max_sockets = MAX_SOCKETS;
    config.cancellation = false;
    let process = config.start();
    let mut clients: Vec<Client> = (0..MAX_UPSTREAM_CONNECTIONS)
        .map(|_| process.connect())
        .collect();
    for (k, client) in clients.iter_mut().enumerate() {
        send_with_correlation_id(client, &format!("in-flight-{k}"));
    }
    let connections: Vec<TcpStream> = (0..MAX_UPSTREAM_CONNECTIONS)
        .map(|_| upstream.next_connection())
        .collect();
    // Each connection carries a different request, so no connection is available for another
    // request.
    let ids: BTreeSet<String> = connections
        .iter()
        .map(|connection| {
            let request = read_request(connection).expect("a request");
            request.header("x-correlation-id").unwrap().to_owned()
        })
        .collect();
    assert_eq!(ids.len(), MAX_UPSTREAM_CONNECTIONS, "{ids:?}");
    let mut disconnecting = process.connect();
    send_with_correlation_id(&mut disconnecting, "disconnects");
    process.round_trip();
    disconnecting.disconnect();
    process.round_trip();
    let mut waiting = process.connect();
    send_with_correlation_id(&mut waiting, "waits");
    process.round_trip();
    let closing_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    for mut connection in connections {
        connection.write_all(closing_response.as_bytes()).unwrap();
    }
    let request = read_request(&upstream.next_connection()).expect("a request");
    assert_eq!(
        request.header("x-correlation-id"),
        Some("waits"),
        "{request:?}"
    );
}

/// If the balancer closed a connection with unread bytes, the system would reset it, and the client
/// would lose the rest of the response. The balancer must therefore read the bytes that follow the
/// request before it closes the connection.
#[test]
fn response_is_complete_when_extra_bytes_follow_the_request() {
    const BODY_BYTES: usize = 60_000;
    let upstream = RawPeer::start();
    let process = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = Client::connect_with_small_buffer(process.address);
    client.write(&idempotent_request(8000).replace("Host", "Connection: close\r\nHost"));
    let mut attempt = upstream.next_connection_with_request();
    // The client sends the beginning of another request twice. The balancer may read the first one
    // along with the complete request. The second one remains unread unless the balancer reads the
    // bytes that follow a request.
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

/// A client that sends a malformed or too long request must get an error, and its connection must
/// be closed. Nothing of the request may reach an upstream, and valid requests must still be
/// served.
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
        let response = response.unwrap_or_else(|| panic!("no response to {shown:?}"));
        assert!(
            statuses.contains(&response.status()),
            "{response:?} to {shown:?}"
        );
        assert!(client.is_closed(), "{shown:?}");
    }
    assert!(upstream.requests().is_empty());
    assert_eq!(process.status_of(&idempotent_request(5000)), 200);
    assert!(process.is_running());
}
