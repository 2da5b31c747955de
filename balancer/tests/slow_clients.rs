//! A client's connection at its end, with the balancer in the test's own process, so that the clock and the sizes of
//! the system's buffers are the test's.
#![expect(
    clippy::unwrap_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod common;

use common::{look, nobody};
use frostkeel_balancer::client::{Phase, Server};
use frostkeel_balancer::discovery::Discovery;
use frostkeel_balancer::discovery::{EndpointEntry, EndpointUpdate};
use frostkeel_balancer::event_loop::EventLoop;
use frostkeel_balancer::request_counters::RequestCounters;
use frostkeel_balancer::upstream::{EndpointState, Upstreams};
use frostkeel_policy::{
    Availability, Balancer, CellId, Class, Effect, KindId, Settings, UpdateScope, UpstreamId,
    ZoneId,
};
use frostkeel_settings::{Names, Site};
use socket2::{Domain, SockAddr, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

const BODY: usize = 60_000;
/// Far less than an answer.
const SMALL: usize = 2048;

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

/// A server in this process that sends little at a time, before one upstream.
async fn serve(upstream: SocketAddr) -> (SocketAddr, watch::Sender<Phase>) {
    let site = site();
    let place = EndpointState {
        address: Some(upstream),
        availability: Availability::Ready,
        boot_ms: 0,
    };
    let (id, zone, kind, cell) = (UpstreamId(1), ZoneId(0), KindId(0), CellId(0));
    let entries = vec![EndpointEntry {
        id,
        zone,
        kind,
        cell,
        weight: 1.0,
        state: place,
    }];
    let driver = EventLoop::start(
        Balancer::new(site.settings.clone(), 7).unwrap(),
        RequestCounters::new(&site),
        Upstreams::new(&site.settings, 8),
        Discovery::new(nobody(), site.names.clone()),
        EndpointUpdate {
            scope: UpdateScope::Cached,
            entries,
        },
    );
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // Connections take this over from their listener.
    listener.set_send_buffer_size(SMALL).unwrap();
    listener
        .bind(&SockAddr::from(
            "127.0.0.1:0".parse::<SocketAddr>().unwrap(),
        ))
        .unwrap();
    listener.listen(8).unwrap();
    listener.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(listener.into()).unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, phases) = watch::channel(Phase::Serving);
    spawn_local(Server::new(driver, &site, phases).run(listener, 8));
    (address, phase)
}

/// Guards against an answer cut short: a client that is slow to take it does not count as idle, neither to the limit
/// for idle clients nor when the process is ending.
#[tokio::test(flavor = "local", start_paused = true)]
async fn slowly_read_response_is_not_truncated() {
    for ends in [false, true] {
        let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, phase) = serve(upstream.local_addr().unwrap()).await;
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SMALL).unwrap();
        socket.connect(&SockAddr::from(address)).unwrap();
        socket.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(socket.into()).unwrap();
        client.write_all(look(50_000).as_bytes()).await.unwrap();
        let (mut stream, _) = upstream.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY}\r\n\r\n");
        stream
            .write_all(&[head.as_bytes(), &[b'y'; BODY]].concat())
            .await
            .unwrap();
        client.readable().await.unwrap();
        if ends {
            phase.send_replace(Phase::Closing);
        }
        // Nothing is taken for longer than a client may be idle.
        tokio::time::sleep(Duration::from_secs(8)).await;
        let mut taken = Vec::new();
        let mut part = [0; 1000];
        while taken.len() < BODY {
            match client.read(&mut part).await {
                Ok(n) if n > 0 => taken.extend_from_slice(&part[..n]),
                ended => panic!(
                    "cut short after {} bytes, ending: {ends}: {ended:?}",
                    taken.len()
                ),
            }
        }
    }
}

/// Guards against a place held for ever by one who takes nothing of its answer.
#[tokio::test(flavor = "local", start_paused = true)]
async fn closes_a_client_that_never_reads_its_response() {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, _phase) = serve(upstream.local_addr().unwrap()).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    let mut answers = 0;
    // As many answers as it takes to fill what the system holds.
    for _ in 0..40 {
        if client.write_all(look(50_000).as_bytes()).await.is_err() {
            break;
        }
        let accepted = tokio::time::timeout(Duration::from_secs(1), upstream.accept()).await;
        let Ok(Ok((mut stream, _))) = accepted else {
            continue;
        };
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY}\r\nConnection: close\r\n\r\n");
        stream
            .write_all(&[head.as_bytes(), &[b'y'; BODY]].concat())
            .await
            .unwrap();
        answers += 1;
    }
    assert!(answers > 0);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(Duration::from_secs(60), client.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the connection is still open");
}
