//! The upstreams of a run: added, listed, and subjected to faults.

use super::discovery::DiscoveryService;
use super::upstream::{Phase, Upstream, UpstreamStatus};
use super::upstream_model::{LoadReport, UpstreamModel};
use super::upstream_server::UpstreamServer;
use crate::experiment::Experiment;
use crate::history::{EndpointState, EventKind, History, ProcessState};
use crate::links::{LinkPeer, Links, pair_address};
use crate::sync::lock;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until};

/// How often the load of each is recorded.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// How long a replaced upstream still listens after it was removed from the list.
const LISTEN_AFTER_REMOVAL: Duration = Duration::from_secs(1);

/// All upstreams of a run, the removed ones included.
pub struct Upstreams {
    experiment: Arc<Experiment>,
    seed: u64,
    history: Arc<History>,
    discovery: Arc<DiscoveryService>,
    links: Arc<Links>,
    upstreams: Mutex<Vec<Arc<Upstream>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl Upstreams {
    /// None yet.
    pub fn new(
        experiment: Arc<Experiment>,
        seed: u64,
        history: Arc<History>,
        discovery: Arc<DiscoveryService>,
        links: Arc<Links>,
    ) -> Arc<Self> {
        Arc::new(Self {
            experiment,
            seed,
            history,
            discovery,
            links,
            upstreams: Mutex::default(),
        })
    }

    /// How many there have been.
    pub fn count(&self) -> u32 {
        self.all().len() as u32
    }

    /// Adds one, in slow start or past it, and lists it.
    pub async fn add(self: &Arc<Self>, is_cold: bool) -> io::Result<u32> {
        let number = self.count();
        let mut listeners = Vec::new();
        for balancer in 0..self.experiment.fleet.balancers {
            listeners.push(TcpListener::bind((pair_address(balancer, number), 0)).await?);
        }
        let endpoints = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<Vec<_>, _>>()?;
        let boot_ms = if is_cold { unix_ms() } else { 0 };
        let model = self.new_model(number, 0, is_cold);
        let upstream = Arc::new(Upstream::new(number, endpoints, model, boot_ms));
        lock(&self.upstreams).push(Arc::clone(&upstream));
        for (balancer, listener) in (0u32..).zip(listeners) {
            let server = UpstreamServer {
                experiment: Arc::clone(&self.experiment),
                seed: self.seed,
                history: Arc::clone(&self.history),
                upstream: Arc::clone(&upstream),
            };
            let link = self.links.between(balancer, LinkPeer::Upstream(number));
            tokio::spawn(Arc::new(server).listen(link, listener));
        }
        self.update_list(&upstream, EndpointState::Ready);
        Ok(number)
    }

    fn new_model(&self, number: u32, restarts: u64, is_cold: bool) -> UpstreamModel {
        let seed = self.seed ^ (u64::from(number) << 32) ^ (restarts << 56);
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let now = self.history.now().as_secs_f64();
        UpstreamModel::new(self.experiment.upstream.clone(), rng, now, is_cold)
    }

    fn all(&self) -> Vec<Arc<Upstream>> {
        lock(&self.upstreams).clone()
    }

    fn get(&self, number: u32) -> Option<Arc<Upstream>> {
        let upstreams = lock(&self.upstreams);
        upstreams.get(number as usize).cloned()
    }

    fn update_list(&self, upstream: &Upstream, state: EndpointState) {
        let boot_ms = upstream.boot_ms();
        self.discovery
            .update_endpoint(upstream.number(), state, boot_ms, upstream.endpoints());
    }

    fn record_state(&self, upstream: u32, state: ProcessState) {
        self.history
            .record(EventKind::UpstreamState { upstream, state });
    }

    /// Crashes one; the list is updated late. It is restarted in slow start, under the same name.
    pub async fn crash(self: Arc<Self>, number: u32, restart_after: Option<Duration>) {
        let Some(upstream) = self.get(number) else {
            return;
        };
        self.record_state(number, ProcessState::Killed);
        upstream.set_phase(Phase::Down);
        let settings = &self.experiment.discovery;
        let crashed_at = Instant::now();
        let detected_at = crashed_at + Duration::from_secs_f64(settings.crash_detection_s);
        let restart_at = restart_after.map(|after| crashed_at + after);
        let is_detected = restart_at.is_none_or(|restart_at| restart_at > detected_at);
        if !self.discovery.stop_announcing(number) && is_detected {
            sleep_until(detected_at).await;
            self.update_list(&upstream, EndpointState::Removed);
        }
        let Some(restart_at) = restart_at else { return };
        sleep_until(restart_at).await;
        let restarts = upstream.count_restart();
        upstream.restart(self.new_model(number, restarts, true), unix_ms());
        self.record_state(number, ProcessState::Ready);
        sleep(Duration::from_secs_f64(settings.update_delay_s)).await;
        self.update_list(&upstream, EndpointState::Ready);
    }

    /// Slows one down for a while.
    pub async fn slow_down(self: Arc<Self>, number: u32, factor: f64, duration: Duration) {
        let Some(upstream) = self.get(number) else {
            return;
        };
        self.record_state(number, ProcessState::Degraded);
        upstream.model().set_slowdown(factor);
        sleep(duration).await;
        upstream.model().set_slowdown(1.0);
        self.record_state(number, ProcessState::Recovered);
    }

    /// Makes one unresponsive for a while; then its connections are reset.
    pub async fn make_unresponsive(self: Arc<Self>, number: u32, duration: Duration) {
        let Some(upstream) = self.get(number) else {
            return;
        };
        self.record_state(number, ProcessState::Degraded);
        upstream.set_phase(Phase::Unresponsive);
        sleep(duration).await;
        upstream.end_unresponsiveness();
        self.record_state(number, ProcessState::Recovered);
    }

    /// Drains and removes one; another one in slow start, under another name, replaces it at once.
    pub async fn replace(self: Arc<Self>, number: u32, drain: Duration) {
        let Some(upstream) = self.get(number) else {
            return;
        };
        self.record_state(number, ProcessState::ShutdownRequested);
        if let Err(e) = self.add(true).await {
            tracing::warn!("no successor for u{number}: {e}");
        }
        sleep(Duration::from_secs_f64(
            self.experiment.discovery.update_delay_s,
        ))
        .await;
        self.update_list(&upstream, EndpointState::Terminating);
        sleep(drain).await;
        upstream.set_drained();
        self.update_list(&upstream, EndpointState::Removed);
        sleep(LISTEN_AFTER_REMOVAL).await;
        upstream.set_phase(Phase::Down);
        self.record_state(number, ProcessState::Exited);
    }

    /// Records the load of all at regular intervals.
    pub async fn sample_load(self: Arc<Self>) {
        loop {
            sleep(LOAD_INTERVAL).await;
            let now = self.history.now().as_secs_f64();
            for upstream in self.all().iter().filter(|one| one.phase() != Phase::Down) {
                let mut model = upstream.model();
                let LoadReport { utilization, .. } = model.report(now);
                self.history.record(EventKind::UpstreamLoad {
                    upstream: upstream.number(),
                    in_flight: model.in_flight() as u32,
                    utilization: utilization as f32,
                });
            }
        }
    }

    /// The status of all that are not removed.
    pub fn statuses(&self) -> Vec<UpstreamStatus> {
        let now = self.history.now().as_secs_f64();
        self.all()
            .iter()
            .filter_map(|upstream| upstream.status(now))
            .collect()
    }
}
