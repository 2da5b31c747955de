//! The balancer's pool of connections to upstreams, run in the test's own process.

use super::{EMPTY_RESPONSE, TIMEOUT};
use bytes::Bytes;
use frostkeel_balancer::memory_budget::MemoryBudget;
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

/// The id of the upstream of a [`TestPool`].
pub const UPSTREAM: UpstreamId = UpstreamId(7);
/// The time for which tests wait after a response until its connection can be used again. It is
/// longer than a connection's cooldown: the 30 ms after a response in which it carries no request.
pub const COOLDOWN_WAIT: Duration = Duration::from_millis(40);

/// Returns settings whose connection timeouts are as long as the test's own timeout.
pub fn long_timeout_settings() -> Settings {
    Settings {
        connect_timeout: TIMEOUT,
        connection_idle_timeout: TIMEOUT,
        ..Settings::default()
    }
}

/// Returns the state of a ready endpoint at this address.
pub fn ready_endpoint(address: SocketAddr) -> EndpointState {
    EndpointState {
        address: Some(address),
        availability: Availability::Ready,
        boot_ms: 5,
    }
}

/// Returns a listening socket with a backlog and options that the standard library cannot set.
pub fn raw_listener(configure: impl FnOnce(&Socket), backlog: i32) -> Socket {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    configure(&listener);
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&address.into()).unwrap();
    listener.listen(backlog).unwrap();
    listener
}

/// Converts a listening socket into a tokio listener.
pub fn into_tokio_listener(listener: Socket) -> TcpListener {
    listener.set_nonblocking(true).unwrap();
    TcpListener::from_std(listener.into()).unwrap()
}

/// The balancer's connections to one ready upstream. The test accepts these connections and acts as
/// the upstream.
pub struct TestPool {
    pub upstreams: Rc<Upstreams>,
    /// The upstream's listener.
    pub listener: TcpListener,
    /// The state of the upstream's endpoint. It takes effect with [`Self::apply_endpoint`].
    pub endpoint: EndpointState,
}

impl TestPool {
    /// Starts a pool with at most `max_connections` open connections.
    pub async fn start(max_connections: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::with_listener(listener, max_connections)
    }

    /// Creates a pool whose upstream accepts connections on `listener`.
    pub fn with_listener(listener: TcpListener, max_connections: usize) -> Self {
        Self::with_settings(&long_timeout_settings(), listener, max_connections)
    }

    /// Creates a pool like [`Self::with_listener`], with these settings.
    pub fn with_settings(
        settings: &Settings,
        listener: TcpListener,
        max_connections: usize,
    ) -> Self {
        let upstreams = Rc::new(Upstreams::new(
            settings,
            max_connections,
            &MemoryBudget::unlimited(),
        ));
        let endpoint = ready_endpoint(listener.local_addr().unwrap());
        upstreams.apply_endpoint(UPSTREAM, &endpoint);
        Self {
            upstreams,
            listener,
            endpoint,
        }
    }

    /// Applies the endpoint's state after the test has changed it.
    pub fn apply_endpoint(&self) {
        self.upstreams.apply_endpoint(UPSTREAM, &self.endpoint);
    }

    /// Sends a request to the upstream; see [`attempt`].
    pub async fn attempt(&self, body_length: usize, time_limit: Duration) -> AttemptResult {
        attempt(&self.upstreams, UPSTREAM, body_length, time_limit).await
    }

    /// Starts an attempt in a separate task.
    pub fn spawn_attempt(&self) -> JoinHandle<AttemptResult> {
        let upstreams = Rc::clone(&self.upstreams);
        spawn_local(async move { attempt(&upstreams, UPSTREAM, 1, TIMEOUT).await })
    }

    /// Accepts the next connection and reads the first bytes of its request.
    pub async fn accept_request(&self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        stream
    }

    /// Accepts the next connection and responds to its request with [`EMPTY_RESPONSE`].
    pub async fn serve_next(&self) -> TcpStream {
        let mut stream = self.accept_request().await;
        stream.write_all(EMPTY_RESPONSE.as_bytes()).await.unwrap();
        stream
    }
}

/// Sends a request with a body of `body_length` bytes to the upstream `id`, and waits for the
/// response for at most `time_limit`.
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
    let expires_at = Instant::now() + time_limit;
    upstreams
        .attempt(id, &request, expires_at, &Cell::default())
        .await
}
