//! The upstreams' side: their addresses, connections, attempts and probes, and what the outcomes are.
//!
//! That an attempt never ran is said only of what can be proved: no connection was made, the kernel did not
//! take the request's last byte before the connection ended, or the upstream says so itself.

use crate::connection::{Connection, wire_length};
use crate::error_origin::ErrorOrigin;
use crate::exchange::{ExchangeError, ForwardedRequest, exchange};
use crate::headers::{self, CORRELATION_ID, LOAD_REPORT, UNPROCESSED};
use crate::idle_pool::{ConnectionLimit, IdlePool};
use crate::rate_limited_log::RateLimitedLog;
use bytes::Bytes;
use frostkeel_policy::{Availability, LoadField, LoadReports, Outcome, Settings, UpstreamId};
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Share of the upstreams' idle time after which a connection is closed or not used any more: a request that
/// crosses the upstream's own close ends as a reset, and an unsafe one is lost to its client then.
const IDLE_SHARE: f64 = 0.8;
/// How often idle connections are looked over.
const SWEEP_EVERY: Duration = Duration::from_millis(100);
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// An upstream's 200 answer.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, with [`Outcome::Ok`].
    pub served: Option<UpstreamResponse>,
    /// A load report, in the order of the settings; empty if none came.
    pub report: Vec<f32>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            served: None,
            report: Vec::new(),
        }
    }
}

/// An entry of the list, as far as connections go.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// Where it listens; `None` if the list did not say so in a readable way.
    pub endpoint: Option<SocketAddr>,
    /// Whether it takes requests.
    pub availability: Availability,
    /// When it last started, by the list.
    pub boot_ms: u64,
}

struct Upstream {
    endpoint: Cell<Option<SocketAddr>>,
    boot_ms: Cell<u64>,
    /// Cleared once it drains or is gone: attempts that still wait for a connection look here.
    ready: Cell<bool>,
    idle: IdlePool,
}

impl Upstream {
    fn new(boot_ms: u64) -> Self {
        Self {
            endpoint: Cell::new(None),
            boot_ms: Cell::new(boot_ms),
            ready: Cell::new(false),
            idle: IdlePool::default(),
        }
    }

    /// Nothing new goes there any more.
    fn retire(&self) {
        self.ready.set(false);
        self.idle.clear();
    }

    /// Keeps a connection for reuse where it still leads to the process that is listed, which wants requests.
    fn put_back(&self, used: CheckedOutConnection) {
        let CheckedOutConnection {
            connection,
            boot_ms,
            ..
        } = used;
        let same = self.boot_ms.get() == boot_ms && self.endpoint.get() == Some(connection.peer());
        if self.ready.get() && same && !connection.is_closed() {
            self.idle.put(connection);
        }
    }
}

/// A connection in use.
struct CheckedOutConnection {
    connection: Connection,
    /// It has carried a request before.
    reused: bool,
    /// The start of the process that it leads to, as listed.
    boot_ms: u64,
}

/// All upstreams upstreams.
pub struct Upstreams {
    upstreams: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    open: Rc<ConnectionLimit>,
    connect_timeout: Duration,
    idle_most: Duration,
    reports: LoadReports,
    report_fields: Vec<LoadField>,
    /// When nothing new may be sent, as the list may be out of date.
    send_pause: RefCell<Option<Range<Instant>>>,
    report_warnings: RateLimitedLog,
    answer_warnings: RateLimitedLog,
}

impl Upstreams {
    /// None yet; at most `most_open` connections will be open to them together.
    pub fn new(settings: &Settings, most_open: usize) -> Self {
        Self {
            upstreams: RefCell::default(),
            open: ConnectionLimit::new(most_open),
            connect_timeout: settings.connect_timeout,
            idle_most: settings.connection_idle_timeout.mul_f64(IDLE_SHARE),
            reports: settings.load_reports,
            report_fields: settings.report_fields.clone(),
            send_pause: RefCell::default(),
            report_warnings: RateLimitedLog::default(),
            answer_warnings: RateLimitedLog::default(),
        }
    }

    /// Takes in what the list says of one.
    pub fn apply_endpoint(&self, id: UpstreamId, place: &EndpointState) {
        let mut upstreams = self.upstreams.borrow_mut();
        if place.availability == Availability::Removed {
            if let Some(upstream) = upstreams.remove(&id) {
                tracing::debug!(upstream = id.0, "upstream is gone");
                upstream.retire();
            }
            return;
        }
        let upstream = upstreams
            .entry(id)
            .or_insert_with(|| Rc::new(Upstream::new(place.boot_ms)));
        let moved = place.endpoint.is_some() && upstream.endpoint.get() != place.endpoint;
        if moved {
            upstream.endpoint.set(place.endpoint);
        }
        let ready = place.availability == Availability::Ready;
        if upstream.ready.replace(ready) != ready {
            tracing::debug!(upstream = id.0, ready, endpoint = ?place.endpoint, "upstream changed");
        }
        // Connections to a process that is no more, or wants nothing new, serve nobody.
        if upstream.boot_ms.replace(place.boot_ms) != place.boot_ms
            || moved
            || !upstream.ready.get()
        {
            upstream.idle.clear();
        }
    }

    /// Forgets all upstreams that `is_listed` denies: they are removed.
    pub fn retain_listed(&self, is_listed: impl Fn(UpstreamId) -> bool) {
        self.upstreams.borrow_mut().retain(|id, upstream| {
            let stays = is_listed(*id);
            if !stays {
                tracing::debug!(upstream = id.0, "upstream is no longer listed");
                upstream.retire();
            }
            stays
        });
    }

    /// Closes the idle connections to one.
    pub fn close_idle(&self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.borrow().get(&id) {
            upstream.idle.clear();
        }
    }

    /// Closes what has been idle for long, again and again.
    pub async fn close_expired_periodically(&self) {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            for upstream in self.upstreams.borrow().values() {
                upstream.idle.sweep(self.idle_most);
            }
        }
    }

    /// Begins no attempt in this span.
    pub fn pause_sends(&self, span: Option<Range<Instant>>) {
        self.send_pause.replace(span);
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.send_pause
            .borrow()
            .as_ref()
            .is_some_and(|span| span.contains(&now))
    }

    /// Connections open now, to all of them together.
    pub fn open_connections(&self) -> usize {
        self.open.open()
    }

    fn close_an_idle_one(&self) {
        let upstreams = self.upstreams.borrow();
        upstreams
            .values()
            .find_map(|upstream| upstream.idle.take_oldest());
    }

    /// A connection in use before, or else a new one.
    async fn connection(
        &self,
        upstream: &Upstream,
        give_up: Instant,
    ) -> Result<CheckedOutConnection, Outcome> {
        let boot_ms = upstream.boot_ms.get();
        while let Some(mut connection) = upstream.idle.take_rested(self.idle_most) {
            if timeout_at(give_up, connection.is_usable()).await == Ok(true) {
                return Ok(CheckedOutConnection {
                    connection,
                    reused: true,
                    boot_ms,
                });
            }
        }
        if self.open.is_full()
            && let Some((mut connection, rested)) = upstream.idle.take_oldest()
        {
            sleep_until(rested.min(give_up)).await;
            if timeout_at(give_up, connection.is_usable()).await == Ok(true) {
                return Ok(CheckedOutConnection {
                    connection,
                    reused: true,
                    boot_ms,
                });
            }
        }
        let connection = self.connect(upstream, give_up).await?;
        Ok(CheckedOutConnection {
            connection,
            reused: false,
            boot_ms,
        })
    }

    async fn connect(&self, upstream: &Upstream, give_up: Instant) -> Result<Connection, Outcome> {
        let Some(endpoint) = upstream.endpoint.get() else {
            return Err(Outcome::NotSent);
        };
        let until = give_up.min(Instant::now() + self.connect_timeout);
        // What this machine is out of, descriptors or time, says nothing of the upstream.
        let permit = timeout_at(until, self.open.permit(|| self.close_an_idle_one())).await;
        let Ok(permit) = permit else {
            return Err(Outcome::NotSent);
        };
        match timeout_at(until, Connection::open(endpoint, permit)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(e)) if ErrorOrigin::of(&e) != ErrorOrigin::Peer => {
                tracing::debug!(%endpoint, "no connection, by this machine's fault: {e}");
                Err(Outcome::NotSent)
            }
            Ok(Err(e)) => {
                tracing::debug!(%endpoint, "no connection: {e}");
                Err(Outcome::ConnectFailed)
            }
            Err(_) if until == give_up => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Sends a request to an upstream and waits for the answer until `give_up`. `begun` is set before the first byte
    /// is written; until then the attempt can be dropped as though it had never been decided on.
    pub async fn attempt(
        &self,
        id: UpstreamId,
        outgoing: &ForwardedRequest,
        give_up: Instant,
        begun: &Cell<bool>,
    ) -> AttemptResult {
        let upstream = self.upstreams.borrow().get(&id).map(Rc::clone);
        let Some(upstream) = upstream else {
            return Outcome::NotSent.into();
        };
        loop {
            begun.set(false);
            // What the kernel knows and nobody has looked at yet comes first: an idle connection that has ended,
            // on which a request would end as a reset, or a client that has left.
            yield_now().await;
            let used = match self.connection(&upstream, give_up).await {
                Ok(used) => used,
                Err(outcome) => return outcome.into(),
            };
            let now = Instant::now();
            let left = give_up.saturating_duration_since(now);
            // The moment of writing: it may have begun to drain while the connection was made.
            if !upstream.ready.get() || left.is_zero() || self.is_paused(now) {
                upstream.put_back(used);
                return Outcome::NotSent.into();
            }
            begun.set(true);
            let correlation = outgoing.headers.get(CORRELATION_ID);
            tracing::debug!(
                ?correlation,
                upstream = id.0,
                reused = used.reused,
                ?left,
                "attempt is written"
            );
            if let Some(ended) = self
                .exchange(id, &upstream, used, outgoing.request(left), give_up)
                .await
            {
                return ended;
            }
        }
    }

    /// Sends a request on a connection and says how that ended; `None`: nothing of it has left, so that it goes on
    /// another one.
    async fn exchange(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        mut used: CheckedOutConnection,
        request: Request<Full<Bytes>>,
        give_up: Instant,
    ) -> Option<AttemptResult> {
        let connection = &mut used.connection;
        let (before, length) = (connection.written(), wire_length(&request));
        let exchanged = timeout_at(give_up, exchange(connection, request)).await;
        let written = connection.written() - before;
        let whole = written >= length;
        Some(match exchanged {
            // An upstream starts with the last byte: this is an answer to something else, perhaps an earlier request.
            Ok(Ok(response)) if !whole && response.status() == StatusCode::OK => {
                self.answer_warnings.warn(|suppressed| {
                    tracing::warn!(suppressed, upstream = id.0, "response before request")
                });
                Outcome::ConnectFailed.into()
            }
            Ok(Ok(response)) => {
                // An answer that came before the request had left whole leaves the rest in the way.
                if whole {
                    upstream.put_back(used);
                }
                self.answered(response)
            }
            // Its process lives and has answered, so that this is no broken connection.
            Ok(Err(ExchangeError::Unreadable(e))) => {
                self.answer_warnings
                    .warn(|suppressed| tracing::warn!(suppressed, upstream = id.0, error = %e, "response unreadable"));
                Outcome::Error.into()
            }
            // It had ended unseen while idle.
            Ok(Err(ExchangeError::ConnectionEnded(_))) if used.reused && written == 0 => {
                return None;
            }
            Ok(Err(ExchangeError::ConnectionEnded(e))) => {
                tracing::debug!(upstream = id.0, written, length, "broken: {e}");
                if whole {
                    Outcome::Reset
                } else {
                    Outcome::ConnectFailed
                }
                .into()
            }
            Err(_) => if whole {
                Outcome::TimedOut
            } else {
                Outcome::NotSent
            }
            .into(),
        })
    }

    /// Asks an upstream how it is.
    pub async fn health_check(&self, id: UpstreamId) -> AttemptResult {
        let target = Uri::from_static(if self.reports == LoadReports::Off {
            "/health/live"
        } else {
            "/stats"
        });
        let mut headers = HeaderMap::with_capacity(3);
        headers.insert(HOST, HeaderValue::from_static("upstream"));
        let outgoing = ForwardedRequest {
            method: Method::GET,
            target,
            headers,
            body: Bytes::new(),
        };
        let mut ended = self
            .attempt(
                id,
                &outgoing,
                Instant::now() + PROBE_TIMEOUT,
                &Cell::new(false),
            )
            .await;
        if let Some(served) = &ended.served
            && self.reports != LoadReports::Off
            && ended.report.is_empty()
        {
            ended.report = self.read_report(&served.body);
        }
        ended
    }

    fn answered(&self, response: Response<Bytes>) -> AttemptResult {
        let (parts, body) = response.into_parts();
        let mut headers = parts.headers;
        let load = headers
            .remove(LOAD_REPORT)
            .filter(|_| self.reports == LoadReports::Inline);
        let report = load.map_or_else(Vec::new, |load| self.read_report(load.as_bytes()));
        let unprocessed = headers
            .get(UNPROCESSED)
            .is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match parts.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        };
        headers::strip_hop_by_hop(&mut headers);
        let served = (outcome == Outcome::Ok).then_some(UpstreamResponse { headers, body });
        AttemptResult {
            outcome,
            served,
            report,
        }
    }

    fn read_report(&self, text: &[u8]) -> Vec<f32> {
        let read = std::str::from_utf8(text)
            .ok()
            .and_then(|t| headers::load_report(t, &self.report_fields));
        read.unwrap_or_else(|| {
            let shown = || String::from_utf8_lossy(&text[..text.len().min(80)]).into_owned();
            self.report_warnings
                .warn(|suppressed| tracing::warn!(suppressed, report = ?shown(), "load report unreadable"));
            Vec::new()
        })
    }
}
