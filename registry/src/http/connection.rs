//! Accepts connections, limits their number, and closes those of slow clients.

use super::response::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::sleep;

/// The maximum number of connections to an interface, not counting watches.
pub(super) const MAX_CONNECTIONS: usize = 2048;
/// The timeout for a client to send the head of a request, and separately its body.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The size of a connection's buffer, which is also the maximum length of a request head. It limits
/// the memory that the clients on all connections can make the service hold.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The maximum duration of a connection that is not a watch.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay before the next attempt after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An HTTP interface of the service.
pub trait Api: Send + Sync + 'static {
    /// Returns the semaphore that limits the number of open connections.
    fn connection_slots(&self) -> Arc<Semaphore>;

    /// Responds to a request. `limit` is that of the request's connection.
    fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
        limit: Arc<SlowReaderLimit>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// The limit that closes the connection of a slow client: a watch when the client does not read it,
/// and any other connection when it has been open for [`CONNECTION_TIMEOUT`].
#[derive(Default)]
pub struct SlowReaderLimit {
    is_watch: AtomicBool,
    close_requested: Notify,
}

impl SlowReaderLimit {
    /// Marks the connection as a watch, which has no maximum duration.
    pub(super) fn set_watch(&self) {
        self.is_watch.store(true, Ordering::Relaxed);
    }

    /// Closes the connection, even in the middle of a response.
    pub(super) fn close(&self) {
        self.close_requested.notify_one();
    }

    async fn timed_out(&self) {
        sleep(CONNECTION_TIMEOUT).await;
        if self.is_watch.load(Ordering::Relaxed) {
            pending::<()>().await;
        }
    }
}

/// Accepts connections until the task is aborted, and serves each in a new task. Connections beyond
/// the limit are closed immediately.
pub async fn serve<A: Api>(listener: TcpListener, api: Arc<A>) {
    let slots = api.connection_slots();
    loop {
        let stream = accept(&listener).await;
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let api = Arc::clone(&api);
        tokio::spawn(async move {
            serve_connection(stream, api).await;
            drop(slot);
        });
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                tracing::warn!("cannot accept a connection: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<A: Api>(stream: TcpStream, api: Arc<A>) {
    // An error is ignored: without this option, responses are only delayed.
    let _ = stream.set_nodelay(true);
    let limit = Arc::<SlowReaderLimit>::default();
    let service = service_fn(|request| {
        let response = Arc::clone(&api).respond(request, Arc::clone(&limit));
        async { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(REQUEST_TIMEOUT);
    tokio::select! {
        // An error is ignored: a client that disconnects, or does not send HTTP, cannot receive a
        // response.
        _ = builder.serve_connection(TokioIo::new(stream), service) => {}
        () = limit.close_requested.notified() => {}
        () = limit.timed_out() => {}
    }
}
