//! The clients' side: accepts connections, and looks after each from its first byte to its close.

use crate::client_stream::{self, ClientState, ClientWatch};
use crate::error_origin::ErrorOrigin;
use crate::event_loop::EventLoop;
use crate::rate_limited_log::RateLimitedLog;
use crate::request::{READ_TIMEOUT, Rejected, RequestReader, plain, response_of};
use bytes::Bytes;
use frostkeel_settings::Site;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a connection that is to end may take over the rest of a head it has begun.
const HEAD_GRACE: Duration = Duration::from_millis(250);
/// How long what a client still sends is read and thrown away after the last answer, and how soon after that answer
/// the connection must end for it to be in danger.
const LINGER: Duration = Duration::from_millis(150);
const LINGER_AFTER: Duration = Duration::from_millis(500);
/// How often a full server looks for a connection to close in favour of a new one.
const PERMIT_RETRY: Duration = Duration::from_millis(250);
/// A client that takes no byte of its answer for so long is closed upon.
const WRITE_STALL_MOST: Duration = Duration::from_secs(10);
/// How often a connection is looked at whose answer is not taken.
const WRITE_CHECK_EVERY: Duration = Duration::from_millis(250);
/// Pause after an accept has failed: when descriptors have run out, trying at once only spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Size of a connection's buffer, the longest head.
const BUFFER: usize = 32 * 1024;

/// How far the graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has not begun.
    Serving,
    /// Not ready any more; connections end with their next answer.
    Draining,
    /// Nothing new is accepted; connections end between requests.
    Closing,
}

/// What clients reach.
pub struct Server {
    event_loop: Rc<EventLoop>,
    requests: RequestReader,
    phase: watch::Receiver<Phase>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    next_client: Cell<u64>,
    accept_warnings: RateLimitedLog,
}

/// A client's connection.
struct Client {
    state: ClientState,
    /// Since when no request is on it.
    idle_since: Cell<Option<Instant>>,
    /// A request has come on it before.
    known: Cell<bool>,
    /// Told when it is to end after the answer in hand, or at once.
    close: Notify,
    /// It has been told.
    closing: Cell<bool>,
}

impl Server {
    /// A server that hands requests to `event_loop`.
    pub fn new(event_loop: Rc<EventLoop>, site: &Site, phase: watch::Receiver<Phase>) -> Rc<Self> {
        Rc::new(Self {
            event_loop,
            requests: RequestReader::new(site),
            phase,
            clients: RefCell::default(),
            next_client: Cell::new(0),
            accept_warnings: RateLimitedLog::default(),
        })
    }

    /// Accepts clients, at most `most` at a time, until the process is closing; returns when the last of
    /// them has gone.
    pub async fn run(self: Rc<Self>, listener: TcpListener, most: usize) {
        let permits = Arc::new(Semaphore::new(most));
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|p| *p == Phase::Closing) => break,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream, &permits).await,
                Err(e) => self.accept_failed(e).await,
            }
        }
        // The system has taken these connections already: a request on one of them is owed its answer, also where
        // an accept fails. Whoever waits for this bounds how long.
        while let Some(accepted) = accept_waiting(&listener).await {
            match accepted {
                Ok(stream) => self.admit(stream, &permits).await,
                Err(e) => self.accept_failed(e).await,
            }
        }
        drop(listener);
        let _ = permits.acquire_many(most as u32).await;
    }

    /// Pauses after an accept that failed by this machine's fault; the next may work where it was nobody's.
    async fn accept_failed(&self, e: io::Error) {
        self.accept_warnings
            .warn(|suppressed| tracing::warn!(suppressed, error = %e, "accept failed"));
        if ErrorOrigin::of_accept(&e) == ErrorOrigin::Local {
            sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Serves a connection as soon as there is a permit for it.
    async fn admit(self: &Rc<Self>, stream: TcpStream, permits: &Arc<Semaphore>) {
        let permit = self.permit(permits).await;
        let server = Rc::clone(self);
        spawn_local(async move {
            server.connection(stream).await;
            drop(permit);
        });
    }

    async fn permit(&self, permits: &Arc<Semaphore>) -> OwnedSemaphorePermit {
        // Again and again: all may be busy now, and keep their connections once they are not.
        loop {
            if permits.available_permits() == 0 {
                self.close_longest_idle();
            }
            if let Ok(Ok(permit)) = timeout(PERMIT_RETRY, Arc::clone(permits).acquire_owned()).await
            {
                return permit;
            }
        }
    }

    /// Makes room for a client that waits: one that only keeps its connection can open another.
    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        let open = clients.values().filter(|c| !c.closing.get());
        let open = open.filter(|c| c.state.write_blocked_since().is_none());
        let idle = open.filter_map(|c| c.idle_since.get().map(|since| (since, c)));
        if let Some((_, client)) = idle.min_by_key(|(since, _)| *since) {
            client.closing.set(true);
            client.close.notify_one();
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        // An unset option costs time, not truth.
        let _ = stream.set_nodelay(true);
        let (stream, mut watch, state) = client_stream::split(stream);
        let number = self.next_client.replace(self.next_client.get() + 1);
        let client = Rc::new(Client {
            state,
            idle_since: Cell::new(Some(Instant::now())),
            known: Cell::new(false),
            close: Notify::new(),
            closing: Cell::new(false),
        });
        self.clients.borrow_mut().insert(number, Rc::clone(&client));
        self.serve(stream, &mut watch, &client).await;
        self.clients.borrow_mut().remove(&number);
        if client.has_just_been_answered() {
            watch.discard_rest(LINGER).await;
        }
    }

    /// Serves requests until the connection is done; the sending has ended then.
    async fn serve(
        self: &Rc<Self>,
        stream: client_stream::ClientStream,
        watch: &mut ClientWatch,
        client: &Rc<Client>,
    ) {
        let service = service_fn(|request| {
            let (server, client) = (Rc::clone(self), Rc::clone(client));
            async move {
                client.begin_request();
                let response = server.respond(request, &client).await;
                client.end_request();
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let close = self.close_due(client);
        tokio::pin!(close);
        let mut closing = false;
        loop {
            // The watch goes first, so that all that has come is with the server when it is told to close.
            tokio::select! {
                biased;
                () = left_mid_request(watch, client) => {
                    tracing::debug!("client connection: left over a request");
                    return;
                }
                ended = connection.as_mut() => {
                    if let Err(e) = ended {
                        tracing::debug!("client: {e}");
                    }
                    return;
                }
                () = &mut close, if !closing => {
                    closing = true;
                    tracing::debug!("client connection: told to close");
                    connection.as_mut().graceful_shutdown();
                    // Before anything more is read: what comes now would be read and never answered.
                    if poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await {
                        return;
                    }
                }
                () = client.is_stuck(), if closing => {
                    tracing::debug!("client connection: closed, part of a head at most was in hand");
                    return;
                }
            }
        }
    }

    /// Waits until a connection is to end with the answer in hand, or at once where there is none.
    async fn close_due(&self, client: &Client) {
        let mut phase = self.phase.clone();
        tokio::select! {
            () = client.close.notified() => (),
            _ = phase.wait_for(|p| *p == Phase::Closing) => (),
            () = client.is_silent() => return,
        }
        // The poller is asked, and the connection looked at, first: a close over a request that has come, or
        // comes just now, is an answer less.
        yield_now().await;
        let until = Instant::now() + HEAD_GRACE;
        while client.idle_since.get().is_some()
            && client.state.head_since().is_some()
            && Instant::now() < until
        {
            sleep(HEAD_GRACE / 10).await;
        }
    }

    async fn respond(&self, request: Request<Incoming>, client: &Client) -> Response<Full<Bytes>> {
        let draining = || *self.phase.borrow() != Phase::Serving;
        let mut response = match request.uri().path() {
            "/health/ready" if draining() => plain(StatusCode::SERVICE_UNAVAILABLE, "draining"),
            "/health/ready" | "/health/live" => plain(StatusCode::OK, "ok"),
            _ => match self.requests.read(request).await {
                Ok(_) if client.state.has_left() => {
                    plain(StatusCode::BAD_REQUEST, "the client has left")
                }
                Ok(asked) => {
                    client.state.set_answering(true);
                    response_of(self.event_loop.submit(asked).response().await)
                }
                Err(Rejected(status, reason)) => plain(status, reason),
            },
        };
        if draining() || client.state.is_flooded() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl Client {
    fn begin_request(&self) {
        self.idle_since.set(None);
        self.known.set(true);
    }

    fn end_request(&self) {
        self.idle_since.set(Some(Instant::now()));
        self.state.set_answering(false);
    }

    /// Whether an answer has left so lately that a reset of the connection could overtake it.
    fn has_just_been_answered(&self) -> bool {
        let since = self
            .idle_since
            .get()
            .filter(|_| self.known.get() || self.state.head_since().is_some());
        since.is_some_and(|since| since.elapsed() < LINGER_AFTER)
    }

    /// Until when a request has to begin on it.
    fn silent_until(&self) -> Instant {
        // With a request on it, it is looked at again later.
        let idle = self.idle_since.get().unwrap_or_else(Instant::now);
        // Whoever has sent a request before may take as long over the next one from its first byte on.
        let head = self.state.head_since().filter(|_| self.known.get());
        head.map_or(idle, |head| idle.max(head)) + READ_TIMEOUT
    }

    /// Waits until no request has begun for the time that a head may take, and no answer waits to be taken. Not by
    /// the server's own timer, which after a stop of the process fires before anybody has looked at what has come.
    async fn is_silent(&self) {
        loop {
            sleep_until(self.silent_until()).await;
            // What has come by now counts, however late this process looks.
            yield_now().await;
            if self.state.write_blocked_since().is_some() && !self.write_ends().await {
                return;
            }
            if self.idle_since.get().is_some() && Instant::now() >= self.silent_until() {
                return;
            }
        }
    }

    /// Waits until an answer that the client is slow to take has left; `false` if it takes nothing for too long.
    async fn write_ends(&self) -> bool {
        while let Some(since) = self.state.write_blocked_since() {
            if since.elapsed() >= WRITE_STALL_MOST {
                return false;
            }
            sleep(WRITE_CHECK_EVERY).await;
        }
        if self.idle_since.get().is_some() {
            self.idle_since.set(Some(Instant::now()));
        }
        true
    }

    /// Waits until a connection that is told to end holds nothing that is owed: part of a head at most.
    async fn is_stuck(&self) {
        loop {
            sleep(HEAD_GRACE).await;
            let taken = self.state.write_blocked_since().is_none() || self.write_ends().await;
            if !taken || self.idle_since.get().is_some() {
                return;
            }
        }
    }
}

/// Waits until the client leaves over a request that it still waits for.
async fn left_mid_request(watch: &mut ClientWatch, client: &Client) {
    watch.left().await;
    // Without a request in hand the server itself comes to the end of what was sent. It is polled behind this in
    // the same task, and a request that it takes up then is turned away.
    if client.idle_since.get().is_some() {
        std::future::pending::<()>().await;
    }
}

/// A connection that waits to be accepted, or why that failed; `None`: none waits.
async fn accept_waiting(listener: &TcpListener) -> Option<io::Result<TcpStream>> {
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted.map(|(stream, _)| stream)),
        () = yield_now() => None,
    }
}
