//! Clients that read their responses slowly or never. The balancer's server runs in the test's own
//! process, so that the test controls the clock and the sizes of the socket buffers.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{idempotent_request, into_tokio_listener, raw_listener, unreachable_address};
use frostkeel_balancer::client::{Phase, Server};
use frostkeel_balancer::discovery::Discovery;
use frostkeel_balancer::discovery::{EndpointEntry, EndpointUpdate};
use frostkeel_balancer::event_loop::EventLoop;
use frostkeel_balancer::request_counters::RequestCounters;
use frostkeel_balancer::upstream::{EndpointState, Upstreams};
use frostkeel_policy::{
    Availability, Balancer, CellId, Class, Effect, HardwareKindId, Settings, UpdateScope,
    UpstreamId, ZoneId,
};
use frostkeel_settings::{Names, Site};
use socket2::{Domain, SockAddr, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

const BODY_BYTES: usize = 60_000;
/// The size requested for socket buffers, far smaller than a response.
const SMALL_BUFFER_BYTES: usize = 2048;

fn site() -> Site {
    let class = Class {
        effect: Effect::Idempotent,
        deadline: Duration::from_secs(60),
        ..Class::default()
    };
    Site {
        settings: Settings {
            classes: vec![class],
            ..Settings::default()
        },
        names: Names {
            classes: vec!["look".to_owned()],
            ..Names::default()
        },
    }
}

/// Returns a list with one ready endpoint.
fn cached_list(address: SocketAddr) -> EndpointUpdate {
    let state = EndpointState {
        address: Some(address),
        availability: Availability::Ready,
        boot_ms: 0,
    };
    let entry = EndpointEntry {
        id: UpstreamId(1),
        zone: ZoneId(0),
        hardware_kind: HardwareKindId(0),
        cell: CellId(0),
        weight: 1.0,
        state,
    };
    EndpointUpdate {
        scope: UpdateScope::Cached,
        entries: vec![entry],
    }
}

/// The balancer's server, run in the test's process, and the listener of one upstream, whose
/// connections the test reads and writes.
struct TestServer {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    upstream: TcpListener,
}

impl TestServer {
    /// Starts a server with small send buffers.
    async fn start() -> Self {
        let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let site = site();
        let event_loop = EventLoop::start(
            Balancer::new(site.settings.clone(), 7).unwrap(),
            RequestCounters::new(&site),
            Upstreams::new(&site.settings, 8),
            Discovery::new(unreachable_address(), site.names.clone()),
            cached_list(upstream.local_addr().unwrap()),
        );
        // Accepted connections inherit the buffer size from the listener.
        let configure =
            |listener: &Socket| listener.set_send_buffer_size(SMALL_BUFFER_BYTES).unwrap();
        let listener = into_tokio_listener(raw_listener(configure, 8));
        let address = listener.local_addr().unwrap();
        let (phase, phases) = watch::channel(Phase::Serving);
        spawn_local(Server::new(event_loop, &site, phases).run(listener, 8));
        Self {
            address,
            phase,
            upstream,
        }
    }
}

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
        let server = TestServer::start().await;
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
    let server = TestServer::start().await;
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
