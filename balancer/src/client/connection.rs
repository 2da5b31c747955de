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

/// How long a connection that is to be closed may take over the rest of a head it has begun.
const HEAD_GRACE: Duration = Duration::from_millis(250);
/// How often a connection that is to be closed is checked for the rest of such a head.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// A close within this time after a response could reset the connection and take the response with it.
const RESET_RISK_TIME: Duration = Duration::from_millis(500);
/// A connection whose client takes no byte of its response for so long is closed.
const MAX_WRITE_STALL: Duration = Duration::from_secs(10);
/// How often a connection is checked whose response is not taken.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Size of a connection's buffer, the longest head.
const MAX_HEAD: usize = 32 * 1024;

/// What a connection is doing.
#[derive(Clone, Copy)]
enum Activity {
    /// No request has come on it yet, since then.
    AwaitingFirst(Instant),
    /// A request is on it.
    Busy,
    /// It is between requests, since then.
    Idle(Instant),
}

/// Why a connection is closed.
enum CloseReason {
    ClientDisconnected,
    Completed,
    ProtocolError(hyper::Error),
    /// It was to be closed, and part of a head at most was in hand.
    ClosedWhileIdle,
}

/// A client's connection.
pub(super) struct ClientConnection {
    state: ClientState,
    activity: Cell<Activity>,
    /// Notified when the connection is to be closed after the response in hand, or at once.
    close: Notify,
    is_close_requested: Cell<bool>,
}

impl ClientConnection {
    /// A client whose connection has just been accepted.
    pub(super) fn new(state: ClientState) -> Rc<Self> {
        Rc::new(Self {
            state,
            activity: Cell::new(Activity::AwaitingFirst(Instant::now())),
            close: Notify::new(),
            is_close_requested: Cell::new(false),
        })
    }

    /// Serves requests until the connection is closed; nothing more is sent then.
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
            // The watch goes first, so that all that has come is with the server when it is told to close.
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
                    // Before anything more is read: what comes now would be read and never answered.
                    if poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await {
                        break CloseReason::Completed;
                    }
                }
                () = self.idle_after_grace(), if is_closing => break CloseReason::ClosedWhileIdle,
            }
        };
        reason.log();
    }

    /// Whether the connection may be closed in favour of another: no response on it waits to be taken.
    pub(super) fn may_be_closed(&self) -> bool {
        !self.is_close_requested.get() && self.state.write_blocked_since().is_none()
    }

    /// Asks for the connection to be closed.
    pub(super) fn request_close(&self) {
        self.is_close_requested.set(true);
        self.close.notify_one();
    }

    /// Since when no request has been on the connection.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.activity.get() {
            Activity::AwaitingFirst(since) | Activity::Idle(since) => Some(since),
            Activity::Busy => None,
        }
    }

    /// Whether the client has closed the connection or ended its sending.
    pub(super) fn has_disconnected(&self) -> bool {
        self.state.has_disconnected()
    }

    /// Whether no further request can be read.
    pub(super) fn is_flooded(&self) -> bool {
        self.state.is_flooded()
    }

    /// The request in hand is read completely.
    pub(super) fn begin_response(&self) {
        self.state.set_responding(true);
    }

    /// Whether a response was sent so lately that a reset of the connection could overtake it.
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

    /// Waits until the client disconnects while it is owed a response.
    async fn disconnected_in_request(&self, watch: &mut ClientWatch) {
        watch.disconnected().await;
        // Without a request in hand the HTTP server itself reaches the end of what was sent. It is polled behind this in
        // the same task, and a request that it reads then is rejected.
        if self.idle_since().is_some() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the connection is to be closed with the response in hand, or at once where there is none.
    async fn close_due(&self, mut phase: watch::Receiver<Phase>) {
        tokio::select! {
            () = self.close.notified() => (),
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => (),
            () = self.idle_timeout() => return,
        }
        // The poller goes first, and the connection is looked at: a close over a request that has come, or comes just
        // now, costs a response.
        yield_now().await;
        let until = Instant::now() + HEAD_GRACE;
        while self.idle_since().is_some()
            && self.state.head_since().is_some()
            && Instant::now() < until
        {
            sleep(HEAD_CHECK_INTERVAL).await;
        }
    }

    /// By when a request has to begin.
    fn request_due_at(&self) -> Instant {
        // With a request on the connection, it is checked again later.
        let idle_since = self.idle_since().unwrap_or_else(Instant::now);
        // A client that has sent a request before may take as long over the next one from its first byte on.
        let head_since = self.state.head_since().filter(|_| self.has_had_request());
        head_since.map_or(idle_since, |since| idle_since.max(since)) + READ_TIMEOUT
    }

    /// Waits until no request has begun for the time that a head may take, and no response waits to be taken. The HTTP
    /// server's own timer would not do: after a stop of the process it fires before anybody has read what has come.
    async fn idle_timeout(&self) {
        loop {
            sleep_until(self.request_due_at()).await;
            // What has come by now counts, however late this process runs.
            yield_now().await;
            if self.state.write_blocked_since().is_some() && !self.write_completes().await {
                return;
            }
            if self.idle_since().is_some() && Instant::now() >= self.request_due_at() {
                return;
            }
        }
    }

    /// Waits until a response that the client is slow to take has left; `false` if the client takes nothing for too
    /// long.
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

    /// Waits until a connection that is to be closed holds nothing that is owed: part of a head at most.
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
