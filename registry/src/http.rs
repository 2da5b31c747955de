//! The two HTTP sides: reading, the published form to the letter; writing, JSON at an address of
//! its own.

use crate::command::{Command, CommandError};
use crate::config::Limits;
use crate::endpoint::{EndpointRecord, EndpointState};
use crate::metrics::Metrics;
use crate::published_view::PublishedView;
use crate::writer::{WriteError, WriteRequest};
use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, IF_MATCH, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use serde_json::json;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, TryAcquireError, mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;

/// How often a watch on which nothing changes says so.
const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);
/// Changes that come within this of each other go into one line.
const COALESCED: Duration = Duration::from_millis(5);
/// Lines that a watcher may be behind, and for how long.
const LINES_BEHIND: usize = 8;
const BEHIND_MOST: Duration = Duration::from_secs(5);
/// How long a caller may take to say what it wants, and to take the answer.
const SAYS_WITHIN: Duration = Duration::from_secs(5);
const TAKES_WITHIN: Duration = Duration::from_secs(30);
/// Connections that a side has at once, besides watches.
const CONNECTIONS: usize = 2048;
/// The most bytes of a body.
const BODY_MOST: usize = 16 * 1024;
/// When those who get 503 are to come back, in seconds.
const COME_BACK_S: &str = "1";

type Body = BoxBody<Bytes, Infallible>;

fn full(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed()
}

fn answer(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full(format!("{value}\n")));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error(status: StatusCode, reason: &str) -> Response<Body> {
    answer(status, &json!({"error": reason}))
}

fn busy(reason: &str) -> Response<Body> {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, reason);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static(COME_BACK_S));
    response
}

/// What a connection is allowed: it is cut when it takes too long, unless it is a watch, and when a
/// watch does not read.
#[derive(Default)]
struct SlowReaderLimit {
    watches: AtomicBool,
    cut: Notify,
}

async fn connection<F, R>(stream: TcpStream, limit: Arc<SlowReaderLimit>, respond: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<Body>>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response = respond(request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(SAYS_WITHIN);
    let too_long = async {
        sleep(TAKES_WITHIN).await;
        if limit.watches.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        // Who goes away, or says what is no HTTP, has told its reason itself.
        _ = builder.serve_connection(TokioIo::new(stream), service) => {}
        () = limit.cut.notified() => {}
        () = too_long => {}
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                tracing::warn!("no connection: {e}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// The reading side.
pub struct Reading {
    published: Arc<PublishedView>,
    metrics: Arc<Metrics>,
    calls: Arc<Semaphore>,
    watches: Arc<Semaphore>,
    connections: Arc<Semaphore>,
}

impl Reading {
    pub fn new(published: Arc<PublishedView>, metrics: Arc<Metrics>, limits: &Limits) -> Arc<Self> {
        Arc::new(Self {
            published,
            metrics,
            calls: Arc::new(Semaphore::new(limits.calls)),
            watches: Arc::new(Semaphore::new(limits.watches)),
            connections: Arc::new(Semaphore::new(limits.watches + CONNECTIONS)),
        })
    }

    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            // Beyond all that may be: closed at once.
            let Ok(slot) = Arc::clone(&self.connections).try_acquire_owned() else {
                continue;
            };
            let (reading, limit) = (Arc::clone(&self), Arc::new(SlowReaderLimit::default()));
            tokio::spawn(async move {
                let held = Arc::clone(&limit);
                connection(stream, limit, |request| {
                    let (reading, held) = (Arc::clone(&reading), Arc::clone(&held));
                    async move { reading.respond(&request, &held) }
                })
                .await;
                drop(slot);
            });
        }
    }

    fn respond(
        self: &Arc<Self>,
        request: &Request<Incoming>,
        limit: &Arc<SlowReaderLimit>,
    ) -> Response<Body> {
        if request.uri().path() != "/registry/instances" {
            return error(StatusCode::NOT_FOUND, "the list is at /registry/instances");
        }
        if request.method() != Method::GET {
            return error(StatusCode::METHOD_NOT_ALLOWED, "this side is for reading");
        }
        let query = request.uri().query().unwrap_or_default();
        let of = |key: &str| {
            query
                .split('&')
                .find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
        };
        if of("stream") == Some("1") {
            let since = of("index").and_then(|n| n.parse().ok()).filter(|n| *n > 0);
            return self.watch(since, limit);
        }
        let Ok(_call) = self.calls.try_acquire() else {
            self.metrics.overloads.inc();
            return busy("too many calls at once");
        };
        self.metrics.snapshots.inc();
        let mut response = Response::new(full(self.published.update_since(None).json));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    fn watch(self: &Arc<Self>, since: Option<u64>, limit: &Arc<SlowReaderLimit>) -> Response<Body> {
        let slot = match Arc::clone(&self.watches).try_acquire_owned() {
            Ok(slot) => slot,
            Err(TryAcquireError::NoPermits | TryAcquireError::Closed) => {
                self.metrics.overloads.inc();
                return busy("too many watches at once");
            }
        };
        limit.watches.store(true, Ordering::Relaxed);
        let (lines, body) = mpsc::channel(LINES_BEHIND);
        let (reading, limit) = (Arc::clone(self), Arc::clone(limit));
        tokio::spawn(async move {
            reading.metrics.watches.inc();
            if !reading.follow(since, lines).await {
                reading.metrics.slow_watches.inc();
                limit.cut.notify_one();
            }
            reading.metrics.watches.dec();
            drop(slot);
        });
        Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(body))))
    }

    /// Tells a watcher every change, in order; `false`: it did not read for too long.
    async fn follow(&self, mut since: Option<u64>, lines: mpsc::Sender<Line>) -> bool {
        let mut changes = self.published.subscribe();
        loop {
            let update = self.published.update_since(since);
            let (rev, text) = (update.revision, update.json);
            let mut line = BytesMut::with_capacity(text.len() + 1);
            if since != Some(rev) {
                line.extend_from_slice(&text);
                self.metrics.watch_updates.inc();
            }
            line.extend_from_slice(b"\n");
            if lines.is_closed() {
                return true;
            }
            match lines
                .send_timeout(Ok(Frame::data(line.freeze())), BEHIND_MOST)
                .await
            {
                Ok(()) => {}
                Err(mpsc::error::SendTimeoutError::Closed(_)) => return true,
                Err(mpsc::error::SendTimeoutError::Timeout(_)) => return false,
            }
            since = Some(rev);
            tokio::select! {
                changed = timeout(EMPTY_LINE_EVERY, changes.wait_for(|now| *now != rev)) => {
                    if let Ok(Err(_)) = changed {
                        return true;
                    }
                }
                () = lines.closed() => return true,
            }
            sleep(COALESCED).await;
        }
    }
}

type Line = Result<Frame<Bytes>, Infallible>;

/// The writing side, with status and metrics.
pub struct Writing {
    published: Arc<PublishedView>,
    metrics: Arc<Metrics>,
    jobs: mpsc::Sender<WriteRequest>,
    connections: Arc<Semaphore>,
    name: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Registered {
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    #[serde(default = "one")]
    capacity_hint: f64,
    boot_ms: u64,
    ttl_s: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Life {
    boot_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Weight {
    capacity_hint: f64,
}

impl Writing {
    pub fn new(
        published: Arc<PublishedView>,
        metrics: Arc<Metrics>,
        jobs: mpsc::Sender<WriteRequest>,
        name: String,
    ) -> Arc<Self> {
        let connections = Arc::new(Semaphore::new(CONNECTIONS));
        Arc::new(Self {
            published,
            metrics,
            jobs,
            connections,
            name,
        })
    }

    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            let Ok(slot) = Arc::clone(&self.connections).try_acquire_owned() else {
                continue;
            };
            let writing = Arc::clone(&self);
            tokio::spawn(async move {
                connection(stream, Arc::default(), |request| {
                    Arc::clone(&writing).respond(request)
                })
                .await;
                drop(slot);
            });
        }
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/status") => return answer(StatusCode::OK, &self.status()),
            (&Method::GET, "/metrics") => return Response::new(full(self.metrics.page())),
            _ => {}
        }
        let if_rev = match parts.headers.get(IF_MATCH).map(|v| {
            v.to_str()
                .ok()
                .and_then(|v| v.trim_matches('"').parse().ok())
        }) {
            None => None,
            Some(Some(rev)) => Some(rev),
            Some(None) => {
                return error(
                    StatusCode::BAD_REQUEST,
                    "If-Match: a version of the list is needed",
                );
            }
        };
        let body = match timeout(SAYS_WITHIN, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            }
            Ok(Err(_)) => return error(StatusCode::BAD_REQUEST, "the body broke off"),
            Err(_) => return error(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        let command = match command(&parts.method, parts.uri.path(), &body) {
            Ok(command) => command,
            Err((status, reason)) => return error(status, &reason),
        };
        let (reply, told) = oneshot::channel();
        if self
            .jobs
            .try_send(WriteRequest {
                command,
                expected_revision: if_rev,
                reply,
            })
            .is_err()
        {
            self.metrics.overloads.inc();
            return busy("too many writes at once");
        }
        match told.await {
            Ok(Ok(rev)) => answer(StatusCode::OK, &json!({"rev": rev})),
            Ok(Err(e)) => error(status_of(&e), &e.to_string()),
            Err(_) => error(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the service ends: nothing is known of this write",
            ),
        }
    }

    fn status(&self) -> serde_json::Value {
        let m = &self.metrics;
        json!({"name": self.name, "rev": self.published.revision(), "ready": m.ready.get(),
            "terminating": m.terminating.get(), "holds": m.self_preserving.get() == 1, "watches": m.watches.get()})
    }
}

fn status_of(error: &WriteError) -> StatusCode {
    match error {
        WriteError::Rejected(CommandError::RevisionMismatch { .. }) => {
            StatusCode::PRECONDITION_FAILED
        }
        WriteError::Rejected(CommandError::UnknownEndpoint { .. }) => StatusCode::NOT_FOUND,
        WriteError::Rejected(
            CommandError::Superseded { .. } | CommandError::AddressInUse { .. },
        ) => StatusCode::CONFLICT,
        WriteError::Rejected(CommandError::RegistryFull { .. }) | WriteError::DiskFull => {
            StatusCode::INSUFFICIENT_STORAGE
        }
        WriteError::Rejected(CommandError::Invalid(_)) => StatusCode::BAD_REQUEST,
        WriteError::DiskFailed => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

/// The command that a call means.
fn command(method: &Method, path: &str, body: &[u8]) -> Result<Command, (StatusCode, String)> {
    fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, (StatusCode, String)> {
        serde_json::from_slice(body)
            .map_err(|e| (StatusCode::BAD_REQUEST, format!("the body: {e}")))
    }
    let none = || {
        (StatusCode::NOT_FOUND, "PUT or DELETE /upstreams/UID, POST /upstreams/UID/renew or drain, PUT /upstreams/UID/weight, GET /status, GET /metrics".to_owned())
    };
    let rest = path.strip_prefix("/upstreams/").ok_or_else(none)?;
    let (uid, what) = rest.split_once('/').unwrap_or((rest, ""));
    let uid = uid.to_owned();
    match (method, what) {
        (&Method::PUT, "") => {
            let said: Registered = read(body)?;
            let Registered {
                endpoint,
                az,
                model,
                pod_group,
                capacity_hint,
                boot_ms,
                ttl_s,
            } = said;
            let lease = Duration::try_from_secs_f64(ttl_s).map_err(|_| {
                (
                    StatusCode::BAD_REQUEST,
                    format!("ttl_s of {ttl_s}: 1 to 3600 are possible"),
                )
            })?;
            let state = EndpointState::Ready;
            let record = EndpointRecord {
                uid,
                address: endpoint,
                zone: az,
                model,
                pod_group,
                state,
                weight: capacity_hint,
                boot_ms,
            };
            Ok(Command::Register {
                record,
                lease_duration: lease,
            })
        }
        (&Method::DELETE, "") => {
            let boot_ms = if body.is_empty() {
                None
            } else {
                Some(read::<Life>(body)?.boot_ms)
            };
            Ok(Command::Deregister { uid, boot_ms })
        }
        (&Method::POST, "renew") => Ok(Command::Renew {
            uid,
            boot_ms: read::<Life>(body)?.boot_ms,
        }),
        (&Method::POST, "drain") => Ok(Command::Drain { uid }),
        (&Method::PUT, "weight") => Ok(Command::SetWeight {
            uid,
            weight: read::<Weight>(body)?.capacity_hint,
        }),
        _ => Err(none()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What a fuzzer would make up: any path and body is a command or a reason, and never a panic.
    #[test]
    fn calls_that_cannot_be_meant_have_a_reason() {
        for (method, path, body, status) in [
            (Method::PUT, "/upstreams/u1", "{}", 400),
            (Method::PUT, "/upstreams/u1", "not json", 400),
            (
                Method::PUT,
                "/upstreams/u1",
                r#"{"endpoint":"1.2.3.4:5","boot_ms":1,"ttl_s":-1}"#,
                400,
            ),
            (
                Method::PUT,
                "/upstreams/u1",
                r#"{"endpoint":"1.2.3.4:5","boot_ms":1,"ttl_s":1e300}"#,
                400,
            ),
            (
                Method::POST,
                "/upstreams/u1/renew",
                r#"{"boot_ms":-1}"#,
                400,
            ),
            (Method::POST, "/upstreams/u1/what", "", 404),
            (Method::GET, "/", "", 404),
        ] {
            let refused = command(&method, path, body.as_bytes()).expect_err(body);
            assert_eq!(refused.0.as_u16(), status, "{method} {path} {body}");
        }
        let good = r#"{"endpoint":"1.2.3.4:5","boot_ms":1,"ttl_s":10}"#;
        assert!(command(&Method::PUT, "/upstreams/u1", good.as_bytes()).is_ok());
        assert!(command(&Method::DELETE, "/upstreams/u1", b"").is_ok());
    }
}
