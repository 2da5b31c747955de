//! The stand-ins of upstreams: sockets round a [`Machine`] each, at an address of its own for each balancer.

use crate::experiment::Experiment;
use crate::history::{History, Listed, Process, Reply, What};
use crate::links::connections::{Io, Links, Other};
use crate::standins::discovery::Discovery;
use crate::standins::upstream_model::{Machine, Report, Turned};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// How often the load of each is noted.
const LOAD_EVERY: Duration = Duration::from_millis(250);
/// How often, and how many times, a taken port is tried again by one that is back.
const BIND_AGAIN: (Duration, u32) = (Duration::from_millis(50), 40);

/// How one stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Up,
    /// It takes all and says nothing.
    Silent,
    /// Nobody listens.
    Down,
}

struct Unit {
    number: u32,
    endpoints: Arc<Vec<SocketAddr>>,
    phase: watch::Sender<Phase>,
    draining: watch::Sender<bool>,
    machine: Mutex<Machine>,
    connections: AtomicU32,
    starts: AtomicU64,
    boot_ms: Mutex<u64>,
}

/// How an upstream stands in a running play.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Its number.
    pub number: u32,
    /// In a word.
    pub state: &'static str,
    /// Requests that it holds.
    pub holds: usize,
    /// Share of its cores in use, of late.
    pub busy: f64,
}

/// All upstreams of a play, those that have gone included.
pub struct Upstreams {
    experiment: Arc<Experiment>,
    seed: u64,
    history: Arc<History>,
    discovery: Arc<Discovery>,
    links: Arc<Links>,
    units: Mutex<Vec<Arc<Unit>>>,
}

/// The address kept for what one balancer reaches: 16 nets of 250 balancers by 250 numbers.
pub fn pair_address(balancer: u32, number: u32) -> IpAddr {
    let octet = |n: u32| n as u8;
    let address = [
        127,
        octet(16 + balancer / 250),
        octet(1 + balancer % 250),
        octet(2 + number % 250),
    ];
    IpAddr::V4(Ipv4Addr::from(address))
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

impl Upstreams {
    /// None yet.
    pub fn new(
        experiment: Arc<Experiment>,
        seed: u64,
        history: Arc<History>,
        discovery: Arc<Discovery>,
        links: Arc<Links>,
    ) -> Arc<Self> {
        Arc::new(Self {
            experiment,
            seed,
            history,
            discovery,
            links,
            units: Mutex::default(),
        })
    }

    /// How many there have been.
    pub fn count(&self) -> u32 {
        self.all().len() as u32
    }

    /// Adds one, cold or long warm, and lists it.
    pub async fn add(self: &Arc<Self>, cold: bool) -> std::io::Result<u32> {
        let number = self.all().len() as u32;
        let mut listeners = Vec::new();
        for balancer in 0..self.experiment.fleet.balancers {
            listeners.push(TcpListener::bind((pair_address(balancer, number), 0)).await?);
        }
        let endpoints = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<Vec<_>, _>>()?;
        let unit = Arc::new(Unit {
            number,
            endpoints: Arc::new(endpoints),
            phase: watch::Sender::new(Phase::Up),
            draining: watch::Sender::new(false),
            machine: Mutex::new(self.machine(number, 0, cold)),
            connections: AtomicU32::new(0),
            starts: AtomicU64::new(0),
            boot_ms: Mutex::new(if cold { unix_ms() } else { 0 }),
        });
        self.units
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Arc::clone(&unit));
        for (balancer, listener) in (0u32..).zip(listeners) {
            tokio::spawn(Arc::clone(self).accept(Arc::clone(&unit), balancer, listener));
        }
        self.listed(&unit, Listed::Ready);
        Ok(number)
    }

    fn machine(&self, number: u32, starts: u64, cold: bool) -> Machine {
        let seed = self.seed ^ (u64::from(number) << 32) ^ (starts << 56);
        let now = self.history.now().as_secs_f64();
        Machine::new(
            self.experiment.upstream.clone(),
            ChaCha8Rng::seed_from_u64(seed),
            now,
            cold,
        )
    }

    fn all(&self) -> Vec<Arc<Unit>> {
        self.units
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn unit(&self, number: u32) -> Option<Arc<Unit>> {
        self.units
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(number as usize)
            .cloned()
    }

    fn listed(&self, unit: &Unit, listed: Listed) {
        let boot_ms = *unit.boot_ms.lock().unwrap_or_else(PoisonError::into_inner);
        self.discovery
            .list(unit.number, listed, boot_ms, &unit.endpoints);
    }

    fn became(&self, upstream: u32, became: Process) {
        self.history.note(What::Upstream { upstream, became });
    }

    /// It dies; the list hears of it late. With `back` it starts again, cold, under the same name.
    pub async fn crash(self: Arc<Self>, number: u32, back: Option<Duration>) {
        let Some(unit) = self.unit(number) else {
            return;
        };
        self.became(number, Process::Killed);
        unit.phase.send_replace(Phase::Down);
        let list = &self.experiment.discovery;
        let (noticed, died) = (Duration::from_secs_f64(list.crash_notice_s), Instant::now());
        let back = back.map(|after| died + after);
        if !self.discovery.falls_silent(number) && back.is_none_or(|back| back > died + noticed) {
            sleep_until(died + noticed).await;
            self.listed(&unit, Listed::Gone);
        }
        let Some(back) = back else { return };
        sleep_until(back).await;
        let starts = 1 + unit.starts.fetch_add(1, Ordering::Relaxed);
        *unit.machine.lock().unwrap_or_else(PoisonError::into_inner) =
            self.machine(number, starts, true);
        *unit.boot_ms.lock().unwrap_or_else(PoisonError::into_inner) = unix_ms();
        unit.phase.send_replace(Phase::Up);
        self.became(number, Process::Ready);
        sleep(Duration::from_secs_f64(list.notice_s)).await;
        self.listed(&unit, Listed::Ready);
    }

    /// It takes `factor` times as long, for a while.
    pub async fn slow(self: Arc<Self>, number: u32, factor: f64, lasts: Duration) {
        let Some(unit) = self.unit(number) else {
            return;
        };
        self.became(number, Process::Ill);
        unit.machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .slow(factor);
        sleep(lasts).await;
        unit.machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .slow(1.0);
        self.became(number, Process::Well);
    }

    /// It takes requests and connections and says nothing, for a while; then its connections are reset.
    pub async fn silence(self: Arc<Self>, number: u32, lasts: Duration) {
        let Some(unit) = self.unit(number) else {
            return;
        };
        self.became(number, Process::Ill);
        unit.phase.send_replace(Phase::Silent);
        sleep(lasts).await;
        unit.phase.send_if_modified(|phase| {
            let silent = *phase == Phase::Silent;
            *phase = if silent { Phase::Up } else { *phase };
            silent
        });
        self.became(number, Process::Well);
    }

    /// It drains and leaves, and a cold one under another name comes in its place at once.
    pub async fn replace(self: Arc<Self>, number: u32, drain: Duration) {
        let Some(unit) = self.unit(number) else {
            return;
        };
        self.became(number, Process::Asked);
        if let Err(e) = self.add(true).await {
            tracing::warn!("no successor for u{number}: {e}");
        }
        sleep(Duration::from_secs_f64(self.experiment.discovery.notice_s)).await;
        self.listed(&unit, Listed::Terminating);
        sleep(drain).await;
        unit.draining.send_replace(true);
        self.listed(&unit, Listed::Gone);
        sleep(Duration::from_secs(1)).await;
        unit.phase.send_replace(Phase::Down);
        self.became(number, Process::Ended);
    }

    /// Notes the load of all again and again.
    pub async fn watch_load(self: Arc<Self>) {
        loop {
            sleep(LOAD_EVERY).await;
            let now = self.history.now().as_secs_f64();
            for unit in self
                .all()
                .iter()
                .filter(|unit| *unit.phase.borrow() != Phase::Down)
            {
                let mut machine = unit.machine.lock().unwrap_or_else(PoisonError::into_inner);
                let Report { util, .. } = machine.report(now);
                let holds = machine.holds() as u32;
                self.history.note(What::Load {
                    upstream: unit.number,
                    holds,
                    util: util as f32,
                });
            }
        }
    }

    /// How each stands that is not gone for good: for the table of a running play.
    pub fn standing(&self) -> Vec<Row> {
        let now = self.history.now().as_secs_f64();
        let row = |unit: &Arc<Unit>| {
            let state = match *unit.phase.borrow() {
                Phase::Down if *unit.draining.borrow() => return None,
                Phase::Down => "down",
                Phase::Silent => "silent",
                Phase::Up if *unit.draining.borrow() => "drained",
                Phase::Up => "up",
            };
            let mut machine = unit.machine.lock().unwrap_or_else(PoisonError::into_inner);
            let (holds, busy) = match state {
                "up" => (machine.holds(), machine.report(now).util),
                _ => (0, 0.0),
            };
            Some(Row {
                number: unit.number,
                state,
                holds,
                busy,
            })
        };
        self.all().iter().filter_map(row).collect()
    }

    async fn accept(self: Arc<Self>, unit: Arc<Unit>, balancer: u32, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let link = self.links.between(balancer, Other::Upstream(unit.number));
        let (mut phase, mut listener) = (unit.phase.subscribe(), Some(listener));
        loop {
            let listening = match listener.take() {
                Some(listening) => listening,
                None => {
                    if phase.wait_for(|p| *p != Phase::Down).await.is_err() {
                        return;
                    }
                    let Some(again) = bind_again(address).await else {
                        tracing::warn!("u{}: {address} is taken, it stays away there", unit.number);
                        return;
                    };
                    again
                }
            };
            loop {
                tokio::select! {
                    accepted = listening.accept() => match accepted {
                        Ok((stream, _)) => {
                            let _ = stream.set_nodelay(true);
                            let stream = link.through(stream);
                            tokio::spawn(Arc::clone(&self).connection(Arc::clone(&unit), stream));
                        }
                        Err(e) => {
                            tracing::warn!("u{}: accept: {e}", unit.number);
                            sleep(BIND_AGAIN.0).await;
                        }
                    },
                    () = left(&mut phase) => break,
                }
            }
        }
    }

    async fn connection(self: Arc<Self>, unit: Arc<Unit>, stream: Box<dyn Io>) {
        let model = &self.experiment.upstream;
        let most = model.connections_per_core * model.cores;
        if unit.connections.fetch_add(1, Ordering::Relaxed) < most {
            let mut phase = unit.phase.subscribe();
            let was_silent = *phase.borrow_and_update() == Phase::Silent;
            let (upstreams, of) = (Arc::clone(&self), Arc::clone(&unit));
            let service =
                service_fn(move |request| Arc::clone(&upstreams).respond(Arc::clone(&of), request));
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs_f64(model.idle_s));
            tokio::select! {
                _ = builder.serve_connection(TokioIo::new(stream), service) => (),
                _ = phase.wait_for(|p| *p == Phase::Down || (was_silent && *p == Phase::Up)) => (),
            }
        }
        unit.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Answers one request; an error ends its connection.
    async fn respond(
        self: Arc<Self>,
        unit: Arc<Unit>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let (parts, body) = request.into_parts();
        let id = parts
            .headers
            .get("x-correlation-id")
            .and_then(|v| v.to_str().ok());
        let Some(id) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
            return Ok(plain(StatusCode::NOT_FOUND));
        };
        let name = parts
            .uri
            .path()
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let Some(class) = self
            .experiment
            .classes
            .iter()
            .find(|class| class.name == name)
        else {
            return Ok(plain(StatusCode::NOT_FOUND));
        };
        body.collect().await.map_err(std::io::Error::other)?;
        let upstream = unit.number;
        self.history.note(What::Arrived { id, upstream });
        let broken = || std::io::Error::other("it has died");
        if *unit.phase.borrow() == Phase::Silent {
            let _ = unit
                .phase
                .subscribe()
                .wait_for(|p| *p != Phase::Silent)
                .await;
            return Err(broken());
        }
        if *unit.draining.borrow() {
            return Ok(self.turn_away(id, upstream));
        }
        // The same work wherever it runs: drawn from the try's own number.
        let mut draw =
            ChaCha8Rng::seed_from_u64(self.seed ^ (id >> 3).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let work = -class.work_ms / 1e3 * (1.0 - draw.random::<f64>()).ln();
        let waits = class.io_ms / 1e3 * draw.random_range(0.5..1.5);
        let arrived = {
            let mut machine = unit.machine.lock().unwrap_or_else(PoisonError::into_inner);
            let stood = !machine.has_fallen();
            let arrived = machine.arrive(self.history.now().as_secs_f64(), work, waits);
            (arrived, stood && machine.has_fallen())
        };
        if arrived.1 {
            self.became(upstream, Process::Fell);
            unit.phase.send_replace(Phase::Down);
        }
        let finish = match arrived.0 {
            Ok(finish) => finish,
            Err(Turned::Full) => return Ok(self.turn_away(id, upstream)),
            Err(Turned::Fallen) => return Err(broken()),
        };
        sleep_until(self.history.at(finish)).await;
        if *unit.phase.borrow() == Phase::Silent {
            let _ = unit
                .phase
                .subscribe()
                .wait_for(|p| *p != Phase::Silent)
                .await;
            return Err(broken());
        }
        let now = self.history.now().as_secs_f64();
        let report = unit
            .machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .report(now);
        self.history.note(What::Replied {
            id,
            upstream,
            reply: Reply::Served,
        });
        let mut response = plain(StatusCode::OK);
        let load = format!("util={:.3},inflight={:.1}", report.util, report.inflight);
        if let Ok(load) = load.parse() {
            response.headers_mut().insert("x-backend-load", load);
        }
        Ok(response)
    }

    fn turn_away(&self, id: u64, upstream: u32) -> Response<Full<Bytes>> {
        self.history.note(What::Replied {
            id,
            upstream,
            reply: Reply::TurnedAway,
        });
        let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert(
            "x-unprocessed",
            hyper::header::HeaderValue::from_static("1"),
        );
        response
    }
}

/// Waits until nobody is to listen there any more.
async fn left(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|p| *p == Phase::Down).await;
}

async fn bind_again(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..BIND_AGAIN.1 {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(_) => sleep(BIND_AGAIN.0).await,
        }
    }
    None
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(b"done")));
    *response.status_mut() = status;
    response
}
