//! The balancer's connections to upstreams, in the test's own process.

use super::{EMPTY_RESPONSE, TIMEOUT};
use bytes::Bytes;
use frostkeel_balancer::upstream::{AttemptResult, EndpointState, ForwardedRequest, Upstreams};
use frostkeel_policy::{Availability, Settings, UpstreamId};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// The upstream that a [`TestPool`] begins with.
pub const UPSTREAM: UpstreamId = UpstreamId(7);
/// Longer than a connection rests after a response before it is used again.
pub const COOLDOWN_WAIT: Duration = Duration::from_millis(40);

/// Settings in which nothing times out before the test does.
pub fn long_timeout_settings() -> Settings {
    Settings {
        connect_timeout: TIMEOUT,
        connection_idle_timeout: TIMEOUT,
        ..Settings::default()
    }
}

/// The state of a ready endpoint.
pub fn ready_endpoint(address: SocketAddr) -> EndpointState {
    EndpointState {
        address: Some(address),
        availability: Availability::Ready,
        boot_ms: 5,
    }
}

/// A listening socket with options that the standard library does not offer.
pub fn raw_listener(configure: impl FnOnce(&Socket), backlog: i32) -> Socket {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    configure(&listener);
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&address.into()).unwrap();
    listener.listen(backlog).unwrap();
    listener
}

/// The same socket for use with tokio.
pub fn into_tokio_listener(listener: Socket) -> TcpListener {
    listener.set_nonblocking(true).unwrap();
    TcpListener::from_std(listener.into()).unwrap()
}

/// Connections to one ready upstream, which the test plays.
pub struct TestPool {
    pub upstreams: Rc<Upstreams>,
    pub listener: TcpListener,
    /// The state of the upstream's endpoint.
    pub endpoint: EndpointState,
}

impl TestPool {
    pub async fn start(max_connections: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::with_listener(listener, max_connections)
    }

    pub fn with_listener(listener: TcpListener, max_connections: usize) -> Self {
        let upstreams = Rc::new(Upstreams::new(&long_timeout_settings(), max_connections));
        let endpoint = ready_endpoint(listener.local_addr().unwrap());
        upstreams.apply_endpoint(UPSTREAM, &endpoint);
        Self {
            upstreams,
            listener,
            endpoint,
        }
    }

    /// Applies the endpoint's state after a change by the test.
    pub fn apply_endpoint(&self) {
        self.upstreams.apply_endpoint(UPSTREAM, &self.endpoint);
    }

    pub async fn attempt(&self, body_length: usize, time_limit: Duration) -> AttemptResult {
        attempt(&self.upstreams, UPSTREAM, body_length, time_limit).await
    }

    /// Begins an attempt that goes on beside the test.
    pub fn spawn_attempt(&self) -> JoinHandle<AttemptResult> {
        let upstreams = Rc::clone(&self.upstreams);
        spawn_local(async move { attempt(&upstreams, UPSTREAM, 1, TIMEOUT).await })
    }

    /// The next connection, with its request read.
    pub async fn accept_request(&self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        stream
    }

    /// Serves the request on the next connection.
    pub async fn serve_next(&self) -> TcpStream {
        let mut stream = self.accept_request().await;
        stream.write_all(EMPTY_RESPONSE.as_bytes()).await.unwrap();
        stream
    }
}

/// Sends a request to the upstream and waits for its response up to a time.
pub async fn attempt(
    upstreams: &Upstreams,
    id: UpstreamId,
    body_length: usize,
    time_limit: Duration,
) -> AttemptResult {
    let request = ForwardedRequest {
        method: Method::POST,
        target: Uri::from_static("/book"),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; body_length]),
    };
    let give_up_at = Instant::now() + time_limit;
    upstreams
        .attempt(id, &request, give_up_at, &Cell::default())
        .await
}
