//! Client connections: how requests are served on them, and when they are closed.

use super::Phase;
use super::activity::Activity;
use super::close_reason::CloseReason;
use super::handler::RequestHandler;
use super::receiver::ClientReceiver;
use super::request::READ_TIMEOUT;
use super::response::NO_MEMORY_RESPONSE;
use super::stream::{ClientState, ClientStream};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

/// The longest time from the first byte of a request, or from the accept for the first one, until it must be complete. A
/// client that sends no valid request is owed an error response or a close within 3 s of connecting.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(2750);
/// The time for which a closing connection waits for the rest of a partial request head.
const HEAD_GRACE: Duration = Duration::from_millis(250);
/// The time after its last byte for which a connection that closes to admit another one waits for the rest of a partial
/// request head. It is shorter, because requests on the other connection wait meanwhile.
const HEAD_GRACE_AT_LIMIT: Duration = Duration::from_millis(100);
/// The interval at which a closing connection checks for the rest of a partial request head.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The time after a response during which closing the connection could cause a reset that discards the response.
const RESET_RISK_TIME: Duration = Duration::from_millis(500);
/// The longest time for which a client may read nothing of its response; the connection is closed after that.
const MAX_WRITE_STALL: Duration = Duration::from_secs(10);
/// The time for which a client that has sent too much must send nothing until all counts as read, and the longest wait
/// for that.
const FLOOD_QUIET_TIME: Duration = Duration::from_millis(20);
const MAX_FLOOD_TIME: Duration = Duration::from_millis(100);
/// The interval between two checks of a connection whose write is blocked.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The size of a connection's buffer, which is also the maximum length of a request head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The state of a client's connection.
pub(super) struct ClientConnection {
    state: ClientState,
    activity: Cell<Activity>,
    /// Until when the current request must have been received completely.
    request_due_at: Cell<Instant>,
    /// Whether the connection must close: after the current response, or immediately if none is pending.
    close: watch::Sender<bool>,
    /// Whether the connection must close immediately.
    abort: watch::Sender<bool>,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection.
    pub(super) fn new(state: ClientState) -> Rc<Self> {
        Rc::new(Self {
            state,
            activity: Cell::new(Activity::AwaitingFirst(Instant::now())),
            request_due_at: Cell::new(Instant::now() + MAX_REQUEST_TIME),
            close: watch::Sender::new(false),
            abort: watch::Sender::new(false),
        })
    }

    /// Serves requests until the connection is closed and no further response can be sent.
    pub(super) async fn serve(
        self: &Rc<Self>,
        stream: ClientStream,
        receiver: &mut ClientReceiver,
        handler: &Rc<impl RequestHandler>,
        phase: watch::Receiver<Phase>,
    ) {
        let service = service_fn(|request| {
            let (handler, client) = (Rc::clone(handler), Rc::clone(self));
            async move {
                let is_pipelined = client.is_next_request_pipelined();
                let received_at = client.begin_request();
                if is_pipelined {
                    handler.next_turn().await;
                }
                let response = handler.respond(request, received_at, &client).await;
                client.end_request();
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let close = self.close_due(phase);
        tokio::pin!(close);
        let mut is_closing = false;
        let reason = loop {
            // The receiver is polled first, so that the HTTP server has all received bytes before its graceful
            // shutdown starts.
            tokio::select! {
                biased;
                () = self.disconnected_in_request(receiver) => break CloseReason::ClientDisconnected,
                ended = connection.as_mut() => {
                    break ended.map_or_else(CloseReason::ProtocolError, |()| CloseReason::Completed);
                }
                () = &mut close, if !is_closing => {
                    is_closing = true;
                    tracing::debug!("client connection closing");
                    connection.as_mut().graceful_shutdown();
                    // The HTTP server is polled once before the receiver reads more. A request that is received after
                    // that would get no response.
                    if poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await {
                        break CloseReason::Completed;
                    }
                }
                () = self.idle_after_grace(), if is_closing => break CloseReason::ClosedWhileIdle,
                () = self.aborted() => break CloseReason::ResponseUnread,
            }
        };
        if self.is_head_refused() {
            receiver.respond(NO_MEMORY_RESPONSE);
        }
        reason.log();
    }

    /// Returns whether the connection may be closed to admit another one: its close has not been requested yet, and no
    /// write is blocked.
    pub(super) fn may_be_closed(&self) -> bool {
        !self.is_close_requested() && self.state.write_blocked_since().is_none()
    }

    /// Returns whether the connection closes soon because its close has been requested: no response is pending, and no
    /// write is blocked.
    pub(super) fn is_about_to_close(&self) -> bool {
        self.is_close_requested()
            && self.inactive_since().is_some()
            && self.state.write_blocked_since().is_none()
    }

    /// Requests that the connection be closed: after its response if that is pending, otherwise immediately. A request
    /// that has not been received completely is rejected.
    pub(super) fn request_close(&self) {
        self.close.send_replace(true);
    }

    /// Returns whether the close of the connection has been requested.
    pub(super) fn is_close_requested(&self) -> bool {
        *self.close.borrow()
    }

    /// Waits until the close of the connection is requested.
    pub(super) async fn close_requested(&self) {
        // The sender is a field of `self`, so the channel cannot be closed.
        let _ = self.close.subscribe().wait_for(|close| *close).await;
    }

    /// Requests that the connection be closed at once, even if a response has not been written completely.
    pub(super) fn abort(&self) {
        self.abort.send_replace(true);
    }

    /// Returns whether the connection is closed at once.
    pub(super) fn is_aborted(&self) -> bool {
        *self.abort.borrow()
    }

    async fn aborted(&self) {
        // The sender is a field of `self`, so the channel cannot be closed.
        let _ = self.abort.subscribe().wait_for(|abort| *abort).await;
    }

    /// Returns until when the current request must have been received completely.
    pub(super) fn request_due_at(&self) -> Instant {
        self.request_due_at.get()
    }

    /// Returns since when a request, or the rest of one, has been awaited; `None` if nothing of a request has been
    /// received, or a response is pending.
    pub(super) fn incomplete_since(&self) -> Option<Instant> {
        match self.activity.get() {
            Activity::AwaitingBody(since) => Some(since),
            Activity::AwaitingFirst(_) | Activity::Idle(_) => self.state.head_since(),
            Activity::ResponsePending => None,
        }
    }

    /// Returns for how long a write has been blocked because the client does not read; zero if none is.
    pub(super) fn write_blocked_for(&self) -> Duration {
        let since = self.state.write_blocked_since();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns whether there was no memory for the head of a request.
    pub(super) fn is_head_refused(&self) -> bool {
        self.state.is_head_refused()
    }

    /// Records that a long response head of this length is sent.
    pub(super) fn send_long_head(&self, length: usize) {
        self.state.send_long_head(length);
    }

    /// Returns whether the buffers of the connection have grown, so that it should not be kept.
    pub(super) fn has_grown(&self) -> bool {
        self.state.has_long_head()
    }

    /// Returns when the connection became idle; `None` while a request is in progress.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.activity.get() {
            Activity::AwaitingFirst(since) | Activity::Idle(since) => Some(since),
            Activity::AwaitingBody(_) | Activity::ResponsePending => None,
        }
    }

    /// Returns since when the client has been due to send a request, or more of one, and has sent nothing; `None` while
    /// a response is pending.
    pub(super) fn inactive_since(&self) -> Option<Instant> {
        let since = match self.activity.get() {
            Activity::AwaitingFirst(since)
            | Activity::Idle(since)
            | Activity::AwaitingBody(since) => since,
            Activity::ResponsePending => return None,
        };
        let last_byte_at = self.state.last_byte_at();
        Some(last_byte_at.map_or(since, |at| at.max(since)))
    }

    /// Returns whether the client has closed the connection or shut down its sending side.
    pub(super) fn has_disconnected(&self) -> bool {
        self.state.has_disconnected()
    }

    /// Waits, while a response is pending, until all that the client has sent has been read, so that its disconnect is
    /// not hidden behind unread bytes. Returns `false` if the client goes on sending.
    pub(super) async fn has_caught_up(&self) -> bool {
        self.state.caught_up().await;
        // More may still be in the send buffer of a client that has filled the receive buffer.
        let until = Instant::now() + MAX_FLOOD_TIME;
        while self.is_flooded() && !self.has_disconnected() {
            let last_byte_at = self.state.last_byte_at();
            sleep(FLOOD_QUIET_TIME).await;
            if self.state.last_byte_at() == last_byte_at {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
        }
        true
    }

    /// Returns whether received bytes have been discarded, so that no further request can be read.
    pub(super) fn is_flooded(&self) -> bool {
        self.state.is_flooded()
    }

    /// Records that the current request has been read completely, and that its response is now pending.
    pub(super) fn mark_response_pending(&self) {
        self.activity.set(Activity::ResponsePending);
        self.state.set_responding(true);
    }

    /// Returns whether a response may have been sent so recently that closing the connection could discard it.
    pub(super) fn could_lose_response(&self) -> bool {
        let idle_since = self.idle_since().filter(|_| self.state.has_written());
        idle_since.is_some_and(|since| since.elapsed() < RESET_RISK_TIME)
    }

    /// Returns whether all of the head of the next request was received before the last response was complete.
    fn is_next_request_pipelined(&self) -> bool {
        let last_byte_at = self.state.last_byte_at();
        matches!(self.activity.get(), Activity::Idle(since) if last_byte_at.is_none_or(|at| at <= since))
    }

    /// Records that the head of a request has been received. Returns the earliest time at which the client can have sent
    /// the request.
    fn begin_request(&self) -> Instant {
        let now = Instant::now();
        let began_at = match self.activity.get() {
            Activity::AwaitingFirst(accepted_at) => accepted_at,
            _ => self.state.head_since().unwrap_or(now),
        };
        self.request_due_at.set(began_at + MAX_REQUEST_TIME);
        self.activity.set(Activity::AwaitingBody(now));
        self.state.set_awaiting_head(false);
        self.state.take_unread_since().unwrap_or(now)
    }

    fn end_request(&self) {
        self.activity.set(Activity::Idle(Instant::now()));
        self.state.set_awaiting_head(true);
        self.state.set_responding(false);
    }

    /// Returns whether a request has been received on this connection.
    fn has_received_request(&self) -> bool {
        !matches!(self.activity.get(), Activity::AwaitingFirst(_))
    }

    /// Waits until the client disconnects while a response is pending.
    async fn disconnected_in_request(&self, receiver: &mut ClientReceiver) {
        receiver.disconnected().await;
        // If no request is in progress, the HTTP server itself detects the end of the stream. It is polled after this
        // future in the same task; a request that it reads then is rejected, because the client has disconnected.
        if self.idle_since().is_some() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the connection must close: because it was requested, in [`Phase::Closing`], or after the idle
    /// timeout.
    async fn close_due(&self, mut phase: watch::Receiver<Phase>) {
        tokio::select! {
            () = self.close_requested() => (),
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => (),
            () = self.idle_timeout() => return,
        }
        // Yielding lets the I/O driver process pending events before the connection is checked. If the connection were
        // closed although a request has just been received, that request would get no response.
        yield_now().await;
        let deadline = self.head_grace_end();
        while self.idle_since().is_some()
            && self.state.head_since().is_some()
            && Instant::now() < deadline
        {
            sleep(HEAD_CHECK_INTERVAL).await;
        }
    }

    /// Returns until when a connection that closes now waits for the rest of a partial request head. If it closes to admit
    /// another connection, the time since the last byte counts.
    fn head_grace_end(&self) -> Instant {
        match self.inactive_since() {
            Some(since) if self.is_close_requested() => since + HEAD_GRACE_AT_LIMIT,
            _ => Instant::now() + HEAD_GRACE,
        }
    }

    /// Returns the deadline for receiving the next request head.
    fn head_due_at(&self) -> Instant {
        // While a request is in progress, this value only sets when the caller computes the deadline again.
        let idle_since = self.idle_since().unwrap_or_else(Instant::now);
        // After the first request, the timeout of a request head starts again at its first byte.
        let head_since = self
            .state
            .head_since()
            .filter(|_| self.has_received_request());
        head_since.map_or(idle_since, |since| idle_since.max(since)) + READ_TIMEOUT
    }

    /// Waits until no request head has been received within the read timeout, or a write has been blocked for
    /// [`MAX_WRITE_STALL`]. The HTTP server's own timer is not used, because after a suspension of the process it fires
    /// before the received bytes are read.
    async fn idle_timeout(&self) {
        loop {
            sleep_until(self.head_due_at()).await;
            // Yielding lets the I/O driver report bytes that have already arrived. They count even if this process runs
            // late.
            yield_now().await;
            if self.state.write_blocked_since().is_some() && !self.write_completes().await {
                return;
            }
            if self.idle_since().is_some() && Instant::now() >= self.head_due_at() {
                return;
            }
        }
    }

    /// Waits until a blocked write has been completed, and then restarts the idle time. Returns `false` if the client
    /// reads nothing for [`MAX_WRITE_STALL`].
    async fn write_completes(&self) -> bool {
        while let Some(since) = self.state.write_blocked_since() {
            if since.elapsed() >= MAX_WRITE_STALL {
                return false;
            }
            sleep(WRITE_CHECK_INTERVAL).await;
        }
        let now = Instant::now();
        self.activity.set(self.activity.get().restarted_at(now));
        true
    }

    /// Waits until a closing connection has no request in progress and no blocked write, or until a write has been
    /// blocked for [`MAX_WRITE_STALL`]. At most a partial request head has been received then.
    async fn idle_after_grace(&self) {
        let mut check_at = self.head_grace_end();
        loop {
            sleep_until(check_at).await;
            check_at = Instant::now() + HEAD_GRACE;
            let is_written =
                self.state.write_blocked_since().is_none() || self.write_completes().await;
            if !is_written || self.idle_since().is_some() {
                return;
            }
        }
    }
}
