//! The sockets of a stand-in upstream: each balancer connects to a separate address, and each
//! request is passed to the model.

use super::upstream::{Phase, Upstream};
use super::upstream_model::Rejection;
use crate::experiment::{Class, Experiment};
use crate::history::{
    ClientAttemptId, EventKind, History, ProcessState, UpstreamReply, request_of,
};
use crate::links::{Connection, Link};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

/// Time before a failed bind or accept is repeated. A port may be in use when an upstream is
/// restarted.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of attempts to bind a port.
const MAX_BIND_ATTEMPTS: u32 = 40;
/// Factor that spreads the numbers of requests over the range of seeds.
const REQUEST_SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Serves the connections of one balancer to one upstream.
pub(super) struct UpstreamServer {
    pub experiment: Arc<Experiment>,
    pub seed: u64,
    pub history: Arc<History>,
    pub upstream: Arc<Upstream>,
}

impl UpstreamServer {
    /// Listens while the upstream is not down, and binds the same address again after each restart.
    pub async fn listen(self: Arc<Self>, link: Arc<Link>, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut phase = self.upstream.watch_phase();
        let mut listener = Some(listener);
        loop {
            let listening = match listener.take() {
                Some(listening) => listening,
                None => {
                    if phase.wait_for(|phase| *phase != Phase::Down).await.is_err() {
                        return;
                    }
                    let Some(listening) = bind_with_retries(address).await else {
                        let number = self.upstream.number();
                        tracing::warn!("u{number}: cannot bind {address}, listener stopped");
                        return;
                    };
                    listening
                }
            };
            tokio::select! {
                () = self.accept_connections(&link, &listening) => (),
                () = wait_until_down(&mut phase) => (),
            }
        }
    }

    async fn accept_connections(self: &Arc<Self>, link: &Link, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(Arc::clone(self).serve(link.attach(stream)));
                }
                Err(e) => {
                    tracing::warn!("u{}: accept failed: {e}", self.upstream.number());
                    sleep(BIND_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Serves a connection until it closes or the upstream goes down. A connection that was opened
    /// during an unresponsive phase is closed when the phase ends. A new connection is closed
    /// immediately if the upstream already has its maximum number of open connections.
    async fn serve(self: Arc<Self>, stream: Box<dyn Connection>) {
        let settings = &self.experiment.upstream;
        let max_connections = settings.connections_per_core * settings.cores;
        if self.upstream.open_connection() < max_connections {
            let mut phase = self.upstream.watch_phase();
            let was_unresponsive = *phase.borrow_and_update() == Phase::Unresponsive;
            let server = Arc::clone(&self);
            let service = service_fn(move |request| Arc::clone(&server).respond(request));
            let idle_timeout = Duration::from_secs_f64(settings.idle_timeout_s);
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(idle_timeout);
            let is_reset =
                |phase: &Phase| *phase == Phase::Down || (was_unresponsive && *phase == Phase::Up);
            tokio::select! {
                _ = builder.serve_connection(TokioIo::new(stream), service) => (),
                _ = phase.wait_for(is_reset) => (),
            }
        }
        self.upstream.close_connection();
    }

    /// Responds to one request; an error closes its connection without a response.
    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> io::Result<Response<Full<Bytes>>> {
        let (parts, body) = request.into_parts();
        let (Some(id), Some(class)) = (attempt_id(&parts), self.class(&parts)) else {
            return Ok(response_with_status(StatusCode::NOT_FOUND));
        };
        body.collect().await.map_err(io::Error::other)?;
        let upstream = self.upstream.number();
        self.history
            .record(EventKind::UpstreamReceived { id, upstream });
        fail_if_unresponsive(&self.upstream).await?;
        if self.upstream.is_drained() {
            return Ok(self.reject(id));
        }
        let finish = match self.process(class, id) {
            Ok(finish) => finish,
            Err(Rejection::QueueFull) => return Ok(self.reject(id)),
            Err(Rejection::Crashed) => return Err(closed_without_response()),
        };
        sleep_until(self.history.instant_at(finish)).await;
        fail_if_unresponsive(&self.upstream).await?;
        Ok(self.complete(id))
    }

    /// Returns the class whose name is the first segment of the request's path; `None` if there is
    /// no such class.
    fn class(&self, request: &Parts) -> Option<&Class> {
        let path = request.uri.path().trim_start_matches('/');
        let name = path.split('/').next().unwrap_or_default();
        self.experiment
            .classes
            .iter()
            .find(|class| class.name == name)
    }

    /// Passes a request to the model; returns the time at which its response is sent, in seconds
    /// from the start of the load.
    fn process(&self, class: &Class, id: ClientAttemptId) -> Result<f64, Rejection> {
        // Seeded by the request's number, so that all attempts of a request have the same work
        // and wait.
        let seed = self.seed ^ request_of(id).wrapping_mul(REQUEST_SEED_FACTOR);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let work = -class.work_ms / 1e3 * (1.0 - rng.random::<f64>()).ln();
        let wait = class.io_ms / 1e3 * rng.random_range(0.5..1.5);
        let mut model = self.upstream.model();
        let had_crashed = model.has_crashed();
        let finish = model.accept(self.history.now().as_secs_f64(), work, wait);
        let has_just_crashed = !had_crashed && model.has_crashed();
        drop(model);
        if has_just_crashed {
            let (upstream, state) = (self.upstream.number(), ProcessState::Overloaded);
            self.history
                .record(EventKind::UpstreamState { upstream, state });
            self.upstream.set_phase(Phase::Down);
        }
        finish
    }

    fn complete(&self, id: ClientAttemptId) -> Response<Full<Bytes>> {
        let report = self
            .upstream
            .model()
            .report(self.history.now().as_secs_f64());
        let reply = UpstreamReply::Served;
        self.history.record(EventKind::UpstreamReplied {
            id,
            upstream: self.upstream.number(),
            reply,
        });
        let mut response = response_with_status(StatusCode::OK);
        let load = format!(
            "util={:.3},inflight={:.1}",
            report.utilization, report.in_flight
        );
        if let Ok(load) = load.parse() {
            response.headers_mut().insert("x-backend-load", load);
        }
        response
    }

    fn reject(&self, id: ClientAttemptId) -> Response<Full<Bytes>> {
        let reply = UpstreamReply::Rejected;
        self.history.record(EventKind::UpstreamReplied {
            id,
            upstream: self.upstream.number(),
            reply,
        });
        let mut response = response_with_status(StatusCode::SERVICE_UNAVAILABLE);
        response
            .headers_mut()
            .insert("x-unprocessed", HeaderValue::from_static("1"));
        response
    }
}

/// Returns the id of the attempt, which the request carries as its correlation id.
fn attempt_id(request: &Parts) -> Option<ClientAttemptId> {
    let id = request.headers.get("x-correlation-id")?.to_str().ok()?;
    ClientAttemptId::from_str_radix(id, 16).ok()
}

/// Returns immediately if the upstream responds to requests. While it is unresponsive, waits until
/// that phase ends and then fails, which closes the connection.
async fn fail_if_unresponsive(upstream: &Upstream) -> io::Result<()> {
    if upstream.phase() != Phase::Unresponsive {
        return Ok(());
    }
    let _ = upstream
        .watch_phase()
        .wait_for(|phase| *phase != Phase::Unresponsive)
        .await;
    Err(closed_without_response())
}

fn closed_without_response() -> io::Error {
    io::Error::other("the stand-in upstream closes the connection without a response")
}

async fn wait_until_down(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Down).await;
}

async fn bind_with_retries(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..MAX_BIND_ATTEMPTS {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
    None
}

fn response_with_status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(b"done")));
    *response.status_mut() = status;
    response
}
