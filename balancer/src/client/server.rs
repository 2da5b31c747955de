//! The server that accepts client connections and responds to their requests.

use super::accept::{AcceptQueue, AcceptedConnection};
use super::connection::ClientConnection;
use super::request::{RequestError, RequestReader};
use super::response::{into_http_response, plain_response};
use super::{Phase, stream};
use crate::error_origin::ErrorOrigin;
use crate::event_loop::EventLoop;
use crate::rate_limited_log::RateLimitedLog;
use crate::task_group::TaskGroup;
use bytes::Bytes;
use frostkeel_settings::Site;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{sleep, timeout};

/// The interval at which a server at its connection limit searches for an idle connection to close, while a new
/// connection waits.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The pause after an accept that failed because of a local fault. While no descriptors are available, immediate
/// retries would fail again and again and use all CPU time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The longest time for which further client data is read and discarded after the last response, so that the client can
/// receive the response before the connection is closed.
const LINGER: Duration = Duration::from_millis(150);

/// The HTTP server that accepts the connections of clients.
pub struct Server {
    event_loop: Rc<EventLoop>,
    requests: RequestReader,
    phase: watch::Receiver<Phase>,
    /// The open client connections, by number.
    clients: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_client: Cell<u64>,
    accept_log: RateLimitedLog,
}

impl Server {
    /// Creates a server that submits requests to `event_loop` and follows the phases of the shutdown in `phase`.
    pub fn new(event_loop: Rc<EventLoop>, site: &Site, phase: watch::Receiver<Phase>) -> Rc<Self> {
        Rc::new(Self {
            event_loop,
            requests: RequestReader::new(site),
            phase,
            clients: RefCell::default(),
            next_client: Cell::new(0),
            accept_log: RateLimitedLog::default(),
        })
    }

    /// Accepts clients until [`Phase::Closing`], and serves at most `max_clients` at a time. Returns when the last
    /// connection has closed.
    pub async fn run(self: Rc<Self>, listener: TcpListener, max_clients: usize) {
        let queue = AcceptQueue::new(listener);
        let permits = Arc::new(Semaphore::new(max_clients));
        let connections = TaskGroup::default();
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = queue.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
            };
            self.on_accept(accepted, &permits, &connections).await;
        }
        // The kernel has already established the connections in the accept queue, so requests on them need a response.
        // A failed accept does not end this loop; the caller limits its time.
        while let Some(accepted) = queue.accept_waiting().await {
            self.on_accept(accepted, &permits, &connections).await;
        }
        drop(queue);
        let _ = permits.acquire_many(max_clients as u32).await;
    }

    async fn on_accept(
        self: &Rc<Self>,
        accepted: io::Result<AcceptedConnection>,
        permits: &Arc<Semaphore>,
        connections: &TaskGroup,
    ) {
        match accepted {
            Ok(connection) => {
                let permit = self.acquire_permit(permits).await;
                let open = self.clients.borrow().len() + 1;
                let max_queue_time = connection.max_queue_time();
                tracing::debug!(open, ?max_queue_time, "client connection accepted");
                let server = Rc::clone(self);
                connections.spawn(async move {
                    server.serve_client(connection.stream).await;
                    drop(permit);
                });
            }
            Err(error) => self.on_accept_error(&error).await,
        }
    }

    /// Logs an accept error, and pauses if its cause is a local fault. After other errors the next accept may succeed
    /// immediately.
    async fn on_accept_error(&self, error: &io::Error) {
        self.accept_log
            .warn(|suppressed| tracing::warn!(suppressed, %error, "accept failed"));
        if ErrorOrigin::of_accept(error) == ErrorOrigin::Local {
            sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Waits for a connection permit, and closes idle connections until one is available.
    async fn acquire_permit(&self, permits: &Arc<Semaphore>) -> OwnedSemaphorePermit {
        // Each iteration searches for an idle connection, because all clients may be busy now and one may become idle
        // later.
        loop {
            if permits.available_permits() == 0 {
                self.close_longest_idle();
            }
            if let Ok(Ok(permit)) =
                timeout(PERMIT_RETRY_INTERVAL, Arc::clone(permits).acquire_owned()).await
            {
                return permit;
            }
        }
    }

    /// Closes the connection that has been idle for the longest; its client can open another.
    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        let candidates = clients.values().filter(|client| client.may_be_closed());
        let idle = candidates.filter_map(|client| client.idle_since().map(|since| (since, client)));
        if let Some((_, client)) = idle.min_by_key(|(since, _)| *since) {
            client.request_close();
        }
    }

    async fn serve_client(self: Rc<Self>, stream: TcpStream) {
        // An error is ignored: without TCP_NODELAY responses may be delayed, but the connection works.
        let _ = stream.set_nodelay(true);
        let (stream, mut receiver, state) = stream::split(stream);
        let number = self.next_client.replace(self.next_client.get() + 1);
        let client = ClientConnection::new(state);
        self.clients.borrow_mut().insert(number, Rc::clone(&client));
        client.serve(stream, &mut receiver, &self).await;
        self.clients.borrow_mut().remove(&number);
        if client.could_lose_response() {
            receiver.discard_rest(LINGER).await;
        }
    }

    pub(super) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.clone()
    }

    /// Responds to a client's request, or to a health check of this balancer.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Response<Full<Bytes>> {
        let is_draining = || *self.phase.borrow() != Phase::Serving;
        let mut response = match request.uri().path() {
            "/health/ready" if is_draining() => {
                plain_response(StatusCode::SERVICE_UNAVAILABLE, "draining")
            }
            "/health/ready" | "/health/live" => plain_response(StatusCode::OK, "ok"),
            _ => self.forward(request, client).await,
        };
        if is_draining() || client.is_flooded() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn forward(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Response<Full<Bytes>> {
        let request = match self.requests.read(request).await {
            Ok(_) if client.has_disconnected() => {
                return RequestError::ClientDisconnected.response();
            }
            Ok(request) => request,
            Err(error) => return error.response(),
        };
        client.mark_response_pending();
        into_http_response(self.event_loop.submit(request).response().await)
    }
}
