//! Accepts client connections and responds to their requests.

use super::connection::ClientConnection;
use super::request::{RequestError, RequestReader};
use super::response::{plain_response, response_of};
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
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// How often a server at its connection limit looks for a connection to close in favour of a new one.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed accept: if descriptors have run out, an immediate retry would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long remaining client data is discarded after the last response.
const LINGER: Duration = Duration::from_millis(150);

/// The server for clients.
pub struct Server {
    event_loop: Rc<EventLoop>,
    requests: RequestReader,
    phase: watch::Receiver<Phase>,
    clients: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_client: Cell<u64>,
    accept_log: RateLimitedLog,
}

impl Server {
    /// Creates a server that submits requests to `event_loop`.
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

    /// Accepts clients, at most `max_clients` at a time, until the process is closing; returns when the last connection
    /// has closed.
    pub async fn run(self: Rc<Self>, listener: TcpListener, max_clients: usize) {
        let permits = Arc::new(Semaphore::new(max_clients));
        let connections = TaskGroup::default();
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted.map(|(stream, _)| stream),
                _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
            };
            self.on_accept(accepted, &permits, &connections).await;
        }
        // The kernel has already accepted these connections: requests on them need a response, even if an accept fails.
        // The caller limits how long this takes.
        while let Some(accepted) = accept_waiting(&listener).await {
            self.on_accept(accepted, &permits, &connections).await;
        }
        drop(listener);
        let _ = permits.acquire_many(max_clients as u32).await;
    }

    async fn on_accept(
        self: &Rc<Self>,
        accepted: io::Result<TcpStream>,
        permits: &Arc<Semaphore>,
        connections: &TaskGroup,
    ) {
        match accepted {
            Ok(stream) => {
                let permit = self.permit(permits).await;
                let server = Rc::clone(self);
                connections.spawn(async move {
                    server.serve_client(stream).await;
                    drop(permit);
                });
            }
            Err(error) => self.on_accept_error(&error).await,
        }
    }

    /// Pauses if an accept failed because of a local fault; otherwise the next one may succeed immediately.
    async fn on_accept_error(&self, error: &io::Error) {
        self.accept_log
            .warn(|suppressed| tracing::warn!(suppressed, %error, "accept failed"));
        if ErrorOrigin::of_accept(error) == ErrorOrigin::Local {
            sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Waits for a connection permit, and closes idle connections until there is one.
    async fn permit(&self, permits: &Arc<Semaphore>) -> OwnedSemaphorePermit {
        // Retried in a loop: all clients may be busy now and become idle later.
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
        // Without TCP_NODELAY responses are delayed; a failure to set it has no other effect.
        let _ = stream.set_nodelay(true);
        let (stream, mut watch, state) = stream::split(stream);
        let number = self.next_client.replace(self.next_client.get() + 1);
        let client = ClientConnection::new(state);
        self.clients.borrow_mut().insert(number, Rc::clone(&client));
        client.serve(stream, &mut watch, &self).await;
        self.clients.borrow_mut().remove(&number);
        if client.is_reset_risky() {
            watch.discard_rest(LINGER).await;
        }
    }

    pub(super) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.clone()
    }

    /// Responds to one request, or to a health check of the balancer.
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
        client.begin_response();
        response_of(self.event_loop.submit(request).response().await)
    }
}

/// A connection from the accept queue, or why the accept failed; `None` if the queue is empty.
async fn accept_waiting(listener: &TcpListener) -> Option<io::Result<TcpStream>> {
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted.map(|(stream, _)| stream)),
        () = yield_now() => None,
    }
}
