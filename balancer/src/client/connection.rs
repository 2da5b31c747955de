//! One client's connection: its requests, its idle time and its close.

use super::Phase;
use super::request::READ_TIMEOUT;
use super::server::Server;
use super::stream::{ClientState, ClientStream, ClientWatch};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// How long a closing connection waits for the rest of a partial request head.
const HEAD_GRACE: Duration = Duration::from_millis(250);
/// How often a closing connection checks for the rest of a partial head.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// A close within this time after a response could cause a reset that discards the response.
const RESET_RISK_TIME: Duration = Duration::from_millis(500);
/// A connection is closed if its client reads no byte of its response for this long.
const MAX_WRITE_STALL: Duration = Duration::from_secs(10);
/// How often a connection with a blocked write is checked.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Size of a connection's buffer, and so the longest accepted head.
const MAX_HEAD: usize = 32 * 1024;

/// The current activity of a connection.
#[derive(Clone, Copy)]
enum Activity {
    /// No request has been received since this moment, when the connection was accepted.
    AwaitingFirst(Instant),
    /// A request is in progress.
    Busy,
    /// Idle between requests since this moment.
    Idle(Instant),
}

/// Why a connection is closed.
enum CloseReason {
    ClientDisconnected,
    Completed,
    ProtocolError(hyper::Error),
    /// It was due to close, and at most a partial head had been received.
    ClosedWhileIdle,
}

/// A client's connection.
pub(super) struct ClientConnection {
    state: ClientState,
    activity: Cell<Activity>,
    /// Notified when the connection must close: after the current response, or immediately if it is idle.
    close: Notify,
    is_close_requested: Cell<bool>,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection.
    pub(super) fn new(state: ClientState) -> Rc<Self> {
        Rc::new(Self {
            state,
            activity: Cell::new(Activity::AwaitingFirst(Instant::now())),
            close: Notify::new(),
            is_close_requested: Cell::new(false),
        })
    }

    /// Serves requests until the connection is closed; nothing is sent after that.
    pub(super) async fn serve(
        self: &Rc<Self>,
        stream: ClientStream,
        watch: &mut ClientWatch,
        server: &Rc<Server>,
    ) {
        let service = service_fn(|request| {
            let (server, client) = (Rc::clone(server), Rc::clone(self));
            async move {
                client.begin_request();
                let response = server.respond(request, &client).await;
                client.end_request();
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let close = self.close_due(server.phase());
        tokio::pin!(close);
        let mut is_closing = false;
        let reason = loop {
            // The watch is polled first, so that the server has all received bytes before its graceful shutdown starts.
            tokio::select! {
                biased;
                () = self.disconnected_in_request(watch) => break CloseReason::ClientDisconnected,
                ended = connection.as_mut() => {
                    break ended.map_or_else(CloseReason::ProtocolError, |()| CloseReason::Completed);
                }
                () = &mut close, if !is_closing => {
                    is_closing = true;
                    tracing::debug!("client connection closing");
                    connection.as_mut().graceful_shutdown();
                    // Poll once before the watch reads more: later bytes would be read but never answered.
                    if poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await {
                        break CloseReason::Completed;
                    }
                }
                () = self.idle_after_grace(), if is_closing => break CloseReason::ClosedWhileIdle,
            }
        };
        reason.log();
    }

    /// Whether the connection may be closed in favour of another: it is not closing, and no write is blocked.
    pub(super) fn may_be_closed(&self) -> bool {
        !self.is_close_requested.get() && self.state.write_blocked_since().is_none()
    }

    /// Requests that the connection be closed.
    pub(super) fn request_close(&self) {
        self.is_close_requested.set(true);
        self.close.notify_one();
    }

    /// When the connection became idle; `None` while a request is in progress.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.activity.get() {
            Activity::AwaitingFirst(since) | Activity::Idle(since) => Some(since),
            Activity::Busy => None,
        }
    }

    /// Whether the client has closed the connection or shut down its sending side.
    pub(super) fn has_disconnected(&self) -> bool {
        self.state.has_disconnected()
    }

    /// Whether no further request can be read.
    pub(super) fn is_flooded(&self) -> bool {
        self.state.is_flooded()
    }

    /// Records that the current request has been read completely.
    pub(super) fn begin_response(&self) {
        self.state.set_responding(true);
    }

    /// Whether a response was sent so recently that closing the connection could discard it.
    pub(super) fn is_reset_risky(&self) -> bool {
        let may_have_response = self.has_had_request() || self.state.head_since().is_some();
        let idle_since = self.idle_since().filter(|_| may_have_response);
        idle_since.is_some_and(|since| since.elapsed() < RESET_RISK_TIME)
    }

    fn begin_request(&self) {
        self.activity.set(Activity::Busy);
    }

    fn end_request(&self) {
        self.activity.set(Activity::Idle(Instant::now()));
        self.state.set_responding(false);
    }

    fn has_had_request(&self) -> bool {
        !matches!(self.activity.get(), Activity::AwaitingFirst(_))
    }

    /// Waits until the client disconnects while a response is pending.
    async fn disconnected_in_request(&self, watch: &mut ClientWatch) {
        watch.disconnected().await;
        // Without a request in progress, the HTTP server itself detects the end of the stream. It is polled after this
        // future in the same task, and a request that it reads then is rejected.
        if self.idle_since().is_some() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the connection must close: after the current response, or immediately if there is none.
    async fn close_due(&self, mut phase: watch::Receiver<Phase>) {
        tokio::select! {
            () = self.close.notified() => (),
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => (),
            () = self.idle_timeout() => return,
        }
        // Let the poller run, then check the connection: closing it over a request that has just arrived would lose a
        // response.
        yield_now().await;
        let deadline = Instant::now() + HEAD_GRACE;
        while self.idle_since().is_some()
            && self.state.head_since().is_some()
            && Instant::now() < deadline
        {
            sleep(HEAD_CHECK_INTERVAL).await;
        }
    }

    /// The deadline for the start of the next request.
    fn request_due_at(&self) -> Instant {
        // While a request is in progress, the deadline is computed again later.
        let idle_since = self.idle_since().unwrap_or_else(Instant::now);
        // After the first request, the timeout of a head starts at its first byte.
        let head_since = self.state.head_since().filter(|_| self.has_had_request());
        head_since.map_or(idle_since, |since| idle_since.max(since)) + READ_TIMEOUT
    }

    /// Waits until no request has started within the read timeout, and no write is blocked. The HTTP server's own timer
    /// is unsuitable: after the process was suspended, it fires before the received bytes are read.
    async fn idle_timeout(&self) {
        loop {
            sleep_until(self.request_due_at()).await;
            // Bytes received by now count, even if this process runs late.
            yield_now().await;
            if self.state.write_blocked_since().is_some() && !self.write_completes().await {
                return;
            }
            if self.idle_since().is_some() && Instant::now() >= self.request_due_at() {
                return;
            }
        }
    }

    /// Waits until a blocked response has been written; `false` if the client reads nothing for [`MAX_WRITE_STALL`].
    async fn write_completes(&self) -> bool {
        while let Some(since) = self.state.write_blocked_since() {
            if since.elapsed() >= MAX_WRITE_STALL {
                return false;
            }
            sleep(WRITE_CHECK_INTERVAL).await;
        }
        let now = Instant::now();
        self.activity.set(match self.activity.get() {
            Activity::AwaitingFirst(_) => Activity::AwaitingFirst(now),
            Activity::Idle(_) => Activity::Idle(now),
            Activity::Busy => Activity::Busy,
        });
        true
    }

    /// Waits until a closing connection has no pending response; at most a partial head has been received.
    async fn idle_after_grace(&self) {
        loop {
            sleep(HEAD_GRACE).await;
            let is_taken =
                self.state.write_blocked_since().is_none() || self.write_completes().await;
            if !is_taken || self.idle_since().is_some() {
                return;
            }
        }
    }
}

impl CloseReason {
    fn log(&self) {
        let reason = match self {
            Self::ClientDisconnected => "client-disconnected",
            Self::Completed => "completed",
            Self::ProtocolError(error) => {
                return tracing::debug!(reason = "protocol-error", %error, "client connection closed");
            }
            Self::ClosedWhileIdle => "closed-while-idle",
        };
        tracing::debug!(reason, "client connection closed");
    }
}
