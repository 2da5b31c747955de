//! The server that accepts client connections and responds to their requests.

use super::accept::{AcceptQueue, AcceptedConnection};
use super::connection::ClientConnection;
use super::handler::RequestHandler;
use super::open_connections::{Admission, OpenConnections};
use super::request::{RequestError, RequestReader};
use super::response::{NO_MEMORY_RESPONSE, into_http_response, plain_response};
use super::turns::Turns;
use super::{Phase, receiver};
use crate::error_origin::ErrorOrigin;
use crate::event_loop::EventLoop;
use crate::head_memory::is_long_head;
use crate::headers;
use crate::memory_budget::{MemoryBudget, UPSTREAM_CONNECTION_BYTES};
use crate::rate_limited_log::RateLimitedLog;
use crate::task_group::TaskGroup;
use bytes::Bytes;
use frostkeel_settings::Site;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// The time in the accept queue after which a connection is closed unread if it cannot be admitted within one more
/// search. A request on it counts as lost if its response comes 0.5 s after its deadline, and the balancer may be held
/// up for 0.15 s.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(300);
/// The pause after an accept that failed because of a local fault. While no descriptors are available, immediate
/// retries would fail again and again and use all CPU time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The longest time for which further client data is read and discarded after the last response, so that the client can
/// receive the response before the connection is closed. A client whose request was rejected may still be writing its body.
const MAX_LINGER: Duration = Duration::from_secs(2);

/// The HTTP server that accepts the connections of clients.
pub struct Server {
    event_loop: Rc<EventLoop>,
    requests: RequestReader,
    phase: watch::Receiver<Phase>,
    connections: OpenConnections,
    turns: Turns,
    memory: Arc<MemoryBudget>,
    accept_log: RateLimitedLog,
    limit_log: RateLimitedLog,
}

impl Server {
    /// Creates a server that submits requests to `event_loop` and follows the phases of the shutdown in `phase`. It
    /// serves at most `max_clients` connections at a time, and reserves what clients send in `memory`.
    pub fn new(
        event_loop: Rc<EventLoop>,
        site: &Site,
        phase: watch::Receiver<Phase>,
        max_clients: usize,
        memory: &Arc<MemoryBudget>,
    ) -> Rc<Self> {
        Rc::new(Self {
            event_loop,
            requests: RequestReader::new(site, memory),
            phase,
            connections: OpenConnections::new(max_clients, memory),
            turns: Turns::default(),
            memory: Arc::clone(memory),
            accept_log: RateLimitedLog::default(),
            limit_log: RateLimitedLog::default(),
        })
    }

    /// Accepts clients until [`Phase::Closing`]. Returns when the last connection has closed.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let queue = AcceptQueue::new(listener);
        let tasks = TaskGroup::default();
        let server = Rc::clone(&self);
        let background_tasks = TaskGroup::default();
        background_tasks.spawn(async move { server.reclaim_memory_on_request().await });
        let server = Rc::clone(&self);
        background_tasks.spawn(async move { server.turns.run().await });
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = queue.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
            };
            self.on_accept(accepted, &tasks).await;
        }
        // The kernel has already established the connections in the accept queue, so requests on them need a response.
        // A failed accept does not end this loop; the caller limits its time.
        while let Some(accepted) = queue.accept_waiting().await {
            self.on_accept(accepted, &tasks).await;
        }
        drop(queue);
        self.connections.all_closed().await;
    }

    /// Reclaims memory whenever that is requested; never returns.
    async fn reclaim_memory_on_request(&self) {
        loop {
            let wanted = self.memory.reclaim_requested().await;
            let missing = self.connections.reclaim_memory(wanted);
            let count = missing.div_ceil(UPSTREAM_CONNECTION_BYTES);
            self.event_loop.close_idle_connections(count);
        }
    }

    async fn on_accept(
        self: &Rc<Self>,
        accepted: io::Result<AcceptedConnection>,
        tasks: &TaskGroup,
    ) {
        let connection = match accepted {
            Ok(connection) => connection,
            Err(error) => return self.on_accept_error(&error).await,
        };
        // During the shutdown a connection waits for longer: the shutdown itself is bounded, and the client's next
        // connection would be refused.
        let has_expired = || {
            *self.phase.borrow() == Phase::Serving && connection.max_queue_time() >= MAX_QUEUE_TIME
        };
        let admission = self.connections.admit(has_expired).await;
        let max_queue_time = connection.max_queue_time();
        let open = self.connections.count();
        tracing::debug!(open, ?max_queue_time, "client connection accepted");
        match admission {
            Admission::Admitted(permit) => {
                let server = Rc::clone(self);
                tasks.spawn(async move {
                    server.serve_client(connection).await;
                    drop(permit);
                });
            }
            Admission::NoMemory(permit) => {
                let server = Rc::clone(self);
                tasks.spawn(async move {
                    server.reject_unread(connection).await;
                    drop(permit);
                });
            }
            Admission::NoPermit => self.shut_unread(connection).await,
        }
    }

    /// Responds on a connection on which no request can be read, because there is no memory for one.
    async fn reject_unread(&self, connection: AcceptedConnection) {
        let (stream, receiver, _) = receiver::split(connection.stream, None, &self.memory);
        receiver.respond(NO_MEMORY_RESPONSE);
        // Dropping the stream shuts down the direction to the client.
        drop(stream);
        receiver.discard_rest(MAX_LINGER).await;
    }

    /// Closes a connection on which nothing has been read, because the connection limit is reached and no connection
    /// could be closed to admit it in time.
    async fn shut_unread(&self, connection: AcceptedConnection) {
        let (open, max_queue_time) = (self.connections.count(), connection.max_queue_time());
        self.limit_log.warn(|suppressed| {
            tracing::warn!(
                suppressed,
                open,
                ?max_queue_time,
                "client connection shut unread"
            );
        });
        drop(connection);
        // Other tasks must run even if new connections arrive as fast as they are closed.
        yield_now().await;
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

    async fn serve_client(self: Rc<Self>, connection: AcceptedConnection) {
        let unread_since = connection.unread_since().await;
        let stream = connection.stream;
        // An error is ignored: without TCP_NODELAY responses may be delayed, but the connection works.
        let _ = stream.set_nodelay(true);
        let (stream, mut receiver, state) = receiver::split(stream, unread_since, &self.memory);
        let client = ClientConnection::new(state);
        let number = self.connections.add(Rc::clone(&client));
        let phase = self.phase.clone();
        client.serve(stream, &mut receiver, &self, phase).await;
        if client.could_lose_response() || client.is_head_refused() {
            client.request_close();
            receiver.discard_rest(MAX_LINGER).await;
        }
        self.connections.remove(number);
    }

    async fn forward(
        &self,
        request: Request<Incoming>,
        received_at: Instant,
        client: &ClientConnection,
    ) -> Response<Full<Bytes>> {
        let read = tokio::select! {
            biased;
            read = self.requests.read(request, received_at, client.request_due_at()) => read,
            () = client.close_requested() => Err(RequestError::TooManyConnections),
        };
        let request = match read {
            Ok(request) => request,
            // The rest of the body is not read, so the next request could not be found.
            Err(error @ RequestError::NoMemory) => {
                client.request_close();
                return error.response();
            }
            Err(error) => return error.response(),
        };
        client.mark_response_pending();
        if !client.has_caught_up().await {
            return RequestError::Flooded.response();
        }
        if client.has_disconnected() {
            return RequestError::ClientDisconnected.response();
        }
        if self.event_loop.may_have_been_executed(&request) {
            return RequestError::AlreadyForwarded.response();
        }
        into_http_response(self.event_loop.submit(request).response().await)
    }
}

impl RequestHandler for Server {
    async fn next_turn(&self) {
        self.turns.next().await;
    }

    /// Responds to a client's request, or to a health check of this balancer.
    async fn respond(
        &self,
        request: Request<Incoming>,
        received_at: Instant,
        client: &ClientConnection,
    ) -> Response<Full<Bytes>> {
        let is_draining = || *self.phase.borrow() != Phase::Serving;
        let mut response = match request.uri().path() {
            "/health/ready" if is_draining() => {
                plain_response(StatusCode::SERVICE_UNAVAILABLE, "draining")
            }
            "/health/ready" | "/health/live" => plain_response(StatusCode::OK, "ok"),
            _ => self.forward(request, received_at, client).await,
        };
        let head_length = headers::text_bytes(response.headers());
        if is_long_head(head_length, response.headers()) {
            client.send_long_head(head_length);
        }
        let is_last = client.is_flooded() || client.has_grown() || client.is_close_requested();
        if is_draining() || is_last {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
