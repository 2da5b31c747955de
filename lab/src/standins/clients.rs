//! Stand-in clients: send each request when it is due, whether or not earlier ones have ended (an
//! open loop), and retry it.
//!
//! The lab may start a request late. The deadline still counts from when the request was due, so
//! that a late request has less time. The latency counts from the `RequestDue` event, which is
//! recorded when the request is started.

use super::balancer_pool::{BalancerPool, ClientConnection, Destination};
use super::load::Arrival;
use crate::experiment::{Class, Experiment, Idempotence};
use crate::history::{
    AttemptFailure, ClientAttemptId, EventKind, History, ResponseClass, client_attempt_id,
    request_of,
};
use crate::links::{Link, LinkPeer, Links};
use crate::measurements::{LatencyHistogram, latency_histogram};
use crate::sync::lock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::http::response::Parts;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Minimum time that must be left for the response of an attempt; if less is left, the client makes
/// no further attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);
/// Maximum number of requests that are due and not yet started. When it is reached, later requests
/// wait and are sent late.
const MAX_DUE_REQUESTS: usize = 1024;
/// Timeout for connecting to a balancer; also how long an attempt waits if no balancer has
/// an address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Value of the `host` header of the requests.
const SERVICE_HOST: &str = "app.svc";

/// A request that is due.
struct DueRequest {
    number: u32,
    arrival: Arrival,
    due: std::time::Instant,
}

/// One attempt of a request.
struct Attempt<'a> {
    id: ClientAttemptId,
    request: u32,
    /// Number of the retry; 0 for the first attempt.
    retry: u8,
    arrival: &'a Arrival,
    class: &'a Class,
    /// Time for which the client waits for the response; also sent to the balancer.
    time_left: Duration,
    deadline: Instant,
    /// Random number from which the balancer is chosen.
    random: u64,
}

/// What a response means for the client; determines whether the client retries the request.
enum ResponseOutcome {
    Served,
    Rejected { retry_after: Option<Duration> },
    Failed,
}

impl ResponseOutcome {
    fn of(response: &Parts) -> Self {
        match ResponseClass::of(response.status.as_u16()) {
            ResponseClass::Served => Self::Served,
            ResponseClass::Rejected => Self::Rejected {
                retry_after: retry_after(response),
            },
            ResponseClass::Failed => Self::Failed,
        }
    }
}

fn retry_after(response: &Parts) -> Option<Duration> {
    let seconds: f64 = response
        .headers
        .get("retry-after")?
        .to_str()
        .ok()?
        .parse()
        .ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The outcome of an exchange on one connection.
enum Exchange {
    Completed(Parts),
    /// The balancer closed a reused connection before it responded.
    StaleConnection,
    Failed(AttemptFailure),
}

/// All clients of a run.
pub struct Clients {
    experiment: Arc<Experiment>,
    history: Arc<History>,
    pool: Arc<BalancerPool>,
    links: Arc<Links>,
    /// Delays between when requests were due and when they were started, in microseconds.
    lateness: Mutex<LatencyHistogram>,
}

impl Clients {
    /// Creates the clients, which send to the balancers of `pool`.
    pub fn new(
        experiment: Arc<Experiment>,
        history: Arc<History>,
        pool: Arc<BalancerPool>,
        links: Arc<Links>,
    ) -> Arc<Self> {
        Arc::new(Self {
            experiment,
            history,
            pool,
            links,
            lateness: Mutex::new(latency_histogram()),
        })
    }

    /// Returns the delays between when requests were due and when they were started, in
    /// microseconds.
    pub fn lateness(&self) -> LatencyHistogram {
        lock(&self.lateness).clone()
    }

    /// Sends each request when it is due, and returns when all requests have ended. Dropping the
    /// future aborts all requests.
    pub async fn run(self: Arc<Self>, arrivals: Vec<Arrival>) {
        let (sender, mut due_requests) = mpsc::channel(MAX_DUE_REQUESTS);
        let start = self.history.instant_at(0.0).into_std();
        // A separate thread, because the runtime's timers are accurate to only 1 or 2 ms.
        tokio::task::spawn_blocking(move || dispatch_when_due(arrivals, start, &sender));
        let mut in_flight = JoinSet::new();
        while let Some(due_request) = due_requests.recv().await {
            in_flight.spawn(Arc::clone(&self).run_request(due_request));
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    /// Sends one request, and retries it until it is served or no further attempt is allowed.
    async fn run_request(self: Arc<Self>, request: DueRequest) {
        let DueRequest {
            number,
            arrival,
            due,
        } = request;
        let due = Instant::from_std(due);
        let load = &self.experiment.load;
        let Some(class) = self.experiment.classes.get(usize::from(arrival.class)) else {
            return;
        };
        self.record_lateness(due);
        self.history.record(EventKind::RequestDue {
            request: number,
            class: arrival.class,
        });
        let deadline_s = class.deadline_ms / 1e3;
        let deadline = due + Duration::from_secs_f64(deadline_s);
        let attempt_timeout = Duration::from_secs_f64(deadline_s * load.attempt_timeout_share);
        let mut rng = ChaCha8Rng::seed_from_u64(arrival.seed);
        for retry in 0..=load.retries {
            let now = Instant::now();
            let time_left = deadline.saturating_duration_since(now).min(attempt_timeout);
            if time_left < MIN_ATTEMPT_TIME {
                return;
            }
            let attempt = Attempt {
                id: client_attempt_id(number, retry),
                request: number,
                retry,
                arrival: &arrival,
                class,
                time_left,
                deadline: now + time_left,
                random: rng.random(),
            };
            let outcome = self.run_attempt(&attempt).await;
            let retry_after = match outcome {
                Some(ResponseOutcome::Served) => return,
                Some(ResponseOutcome::Rejected { retry_after }) => {
                    retry_after.filter(|_| arrival.honors_retry_after)
                }
                // Without a rejection the request may have been processed, so an at-most-once
                // request is not retried.
                _ if class.idempotence == Idempotence::AtMostOnce => return,
                Some(ResponseOutcome::Failed) | None => None,
            };
            let backoff_s =
                load.backoff_ms / 1e3 * f64::from(1 << retry) * rng.random_range(0.5..1.5);
            sleep(retry_after.unwrap_or(Duration::from_secs_f64(backoff_s))).await;
        }
    }

    fn record_lateness(&self, due: Instant) {
        let late_us = Instant::now().saturating_duration_since(due).as_micros() as u64;
        let mut lateness = lock(&self.lateness);
        lateness.saturating_record(late_us.max(1));
    }

    /// Makes one attempt; returns `None` if it gets no response.
    async fn run_attempt(&self, attempt: &Attempt<'_>) -> Option<ResponseOutcome> {
        let Some(to) = self.pool.choose(attempt.random) else {
            sleep_until(attempt.deadline.min(Instant::now() + CONNECT_TIMEOUT)).await;
            return None;
        };
        let link = self.links.between(to.balancer, LinkPeer::Clients);
        let mut idle = self.pool.take_idle(to);
        let mut is_recorded = false;
        loop {
            let is_reused = idle.is_some();
            let mut connection = match idle.take() {
                Some(connection) => connection,
                None => self.connect(attempt, to, &link).await?,
            };
            let message = self.message(attempt)?;
            if !std::mem::replace(&mut is_recorded, true) {
                self.record_sent(attempt, to);
            }
            match exchange(&mut connection, message, attempt.deadline, is_reused).await {
                Exchange::StaleConnection => {}
                Exchange::Failed(failure) => {
                    self.history.record(EventKind::AttemptFailed {
                        id: attempt.id,
                        failure,
                    });
                    return None;
                }
                Exchange::Completed(response) => {
                    let status = response.status.as_u16();
                    self.history.record(EventKind::ResponseReceived {
                        id: attempt.id,
                        status,
                    });
                    self.pool.return_idle(to, connection);
                    return Some(ResponseOutcome::of(&response));
                }
            }
        }
    }

    /// Opens a connection to a balancer for an attempt. Records the attempt as failed and returns
    /// `None` if connecting fails or is not complete by the attempt's deadline.
    async fn connect(
        &self,
        attempt: &Attempt<'_>,
        to: Destination,
        link: &Link,
    ) -> Option<ClientConnection> {
        let connection = timeout_at(attempt.deadline, connect(to, link))
            .await
            .ok()
            .flatten();
        if connection.is_none() {
            let failure = AttemptFailure::NoConnection;
            self.history.record(EventKind::AttemptFailed {
                id: attempt.id,
                failure,
            });
        }
        connection
    }

    fn record_sent(&self, attempt: &Attempt<'_>, to: Destination) {
        self.history.record(EventKind::AttemptSent {
            id: attempt.id,
            request: attempt.request,
            retry: attempt.retry,
            class: attempt.arrival.class,
            tenant: attempt.arrival.tenant,
            balancer: to.balancer,
        });
    }

    fn message(&self, attempt: &Attempt<'_>) -> Option<Request<Full<Bytes>>> {
        let class = attempt.class;
        let tenant = self
            .experiment
            .tenants
            .get(usize::from(attempt.arrival.tenant))?;
        let is_idempotent = class.idempotence == Idempotence::Idempotent;
        let method = if is_idempotent {
            Method::GET
        } else {
            Method::POST
        };
        let mut message = Request::builder()
            .method(method)
            .uri(format!("/{}", class.name))
            .header("host", SERVICE_HOST)
            .header("x-correlation-id", format!("{:016x}", attempt.id))
            .header("x-account", &tenant.name)
            .header("cookie", format!("user={:08x}", attempt.arrival.key))
            .header("x-time-left-ms", attempt.time_left.as_millis().to_string());
        if attempt.retry > 0 && self.experiment.load.marks_retries {
            message = message.header("x-repeat", "1");
        }
        if class.idempotence == Idempotence::WithIdempotencyKey {
            let key = format!("{:032x}", request_of(attempt.id));
            message = message.header("idempotency-key", key);
        }
        message.body(Full::default()).ok()
    }
}

/// Sends each arrival over the channel when it is due, until all are sent or the receiver is
/// dropped.
fn dispatch_when_due(
    arrivals: Vec<Arrival>,
    start: std::time::Instant,
    sender: &mpsc::Sender<DueRequest>,
) {
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let due = start + Duration::from_secs_f64(arrival.at_s);
        std::thread::sleep(due.saturating_duration_since(std::time::Instant::now()));
        let request = DueRequest {
            number: number as u32,
            arrival,
            due,
        };
        if sender.blocking_send(request).is_err() {
            return;
        }
    }
}

async fn connect(to: Destination, link: &Link) -> Option<ClientConnection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to.address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let stream = TokioIo::new(link.attach(stream));
    let (sender, connection) = hyper::client::conn::http1::handshake(stream).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a request and reads the complete response.
async fn exchange(
    connection: &mut ClientConnection,
    message: Request<Full<Bytes>>,
    deadline: Instant,
    is_reused: bool,
) -> Exchange {
    let response = async {
        let (parts, body) = connection.send_request(message).await?.into_parts();
        body.collect().await.map(|_| parts)
    };
    match timeout_at(deadline, response).await {
        Err(_) => Exchange::Failed(AttemptFailure::TimedOut),
        // The balancer may have closed the idle connection: the request is sent again on a new one.
        Ok(Err(e)) if is_reused && is_closed_before_response(&e) => Exchange::StaleConnection,
        Ok(Err(_)) => Exchange::Failed(AttemptFailure::ConnectionClosed),
        Ok(Ok(response)) => Exchange::Completed(response),
    }
}

fn is_closed_before_response(error: &hyper::Error) -> bool {
    error.is_canceled() || error.is_incomplete_message() || error.is_closed()
}
