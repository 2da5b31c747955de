//! Clients that read their responses slowly or never. The balancer's server runs in the test's own
//! process, so that the test controls the clock and the sizes of the socket buffers.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{SMALL_BUFFER_BYTES, TestServer, idempotent_request};
use frostkeel_balancer::client::Phase;
use socket2::{Domain, SockAddr, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The limit on client connections.
const MAX_CLIENTS: usize = 8;

const BODY_BYTES: usize = 60_000;

/// Reads a request on a connection to the upstream, and sends a response with a long body and these
/// additional headers.
async fn respond(mut stream: TcpStream, headers: &str) -> TcpStream {
    assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n{headers}\r\n");
    let response = [head.as_bytes(), &[b'y'; BODY_BYTES]].concat();
    stream.write_all(&response).await.unwrap();
    stream
}

fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    socket.connect(&SockAddr::from(address)).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpStream::from_std(socket.into()).unwrap()
}

/// A client that reads its response slowly must not count as idle, neither for the idle timeout nor
/// during the shutdown. Otherwise its connection would be closed and the response truncated.
#[tokio::test(flavor = "local", start_paused = true)]
async fn slowly_read_response_is_not_truncated() {
    for is_shutting_down in [false, true] {
        let server = TestServer::start(MAX_CLIENTS).await;
        let mut client = connect_with_small_buffer(server.address);
        let request = idempotent_request(50_000);
        client.write_all(request.as_bytes()).await.unwrap();
        let (stream, _) = server.upstream.accept().await.unwrap();
        let _stream = respond(stream, "").await;
        client.readable().await.unwrap();
        if is_shutting_down {
            server.phase.send_replace(Phase::Closing);
        }
        // The client reads nothing for longer than the idle timeout.
        tokio::time::sleep(Duration::from_secs(8)).await;
        let mut received = 0;
        let mut buffer = [0; 1000];
        while received < BODY_BYTES {
            match client.read(&mut buffer).await {
                Ok(length) if length > 0 => received += length,
                ended => panic!(
                    "truncated after {received} bytes, shutting down: {is_shutting_down}: {ended:?}"
                ),
            }
        }
    }
}

/// A client that never reads its response must be disconnected, so that it does not occupy a
/// connection permanently.
#[tokio::test(flavor = "local", start_paused = true)]
async fn closes_a_client_that_never_reads_its_response() {
    let server = TestServer::start(MAX_CLIENTS).await;
    let mut client = TcpStream::connect(server.address).await.unwrap();
    let request = idempotent_request(50_000);
    let mut responses = 0;
    // Enough responses to fill the socket buffers.
    for _ in 0..40 {
        if client.write_all(request.as_bytes()).await.is_err() {
            break;
        }
        let accept = server.upstream.accept();
        let accepted = tokio::time::timeout(Duration::from_secs(1), accept).await;
        let Ok(Ok((stream, _))) = accepted else {
            continue;
        };
        respond(stream, "Connection: close\r\n").await;
        responses += 1;
    }
    assert!(responses > 0);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let mut rest = Vec::new();
    let read = client.read_to_end(&mut rest);
    let ended = tokio::time::timeout(Duration::from_secs(60), read).await;
    assert!(ended.is_ok(), "the connection is still open");
}
