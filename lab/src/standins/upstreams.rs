//! The stand-in upstreams of a run: adds them, puts them on the endpoint list, and applies faults.

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

/// Interval at which the load of each upstream is recorded.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a replaced upstream still listens after its removal from the endpoint list.
const LISTEN_AFTER_REMOVAL: Duration = Duration::from_secs(1);

/// All upstreams of a run, including those that have been replaced.
pub struct Upstreams {
    experiment: Arc<Experiment>,
    seed: u64,
    history: Arc<History>,
    discovery: Arc<DiscoveryService>,
    links: Arc<Links>,
    /// Upstreams by number.
    upstreams: Mutex<Vec<Arc<Upstream>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl Upstreams {
    /// Creates the collection without upstreams.
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

    /// Returns the number of upstreams that have been added, including those that were replaced.
    pub fn count(&self) -> u32 {
        self.all().len() as u32
    }

    /// Adds an upstream, puts it on the endpoint list as ready, and returns its number. The
    /// upstream begins a slow start if `in_slow_start` is true.
    pub async fn add(self: &Arc<Self>, in_slow_start: bool) -> io::Result<u32> {
        let number = self.count();
        let mut listeners = Vec::new();
        for balancer in 0..self.experiment.fleet.balancers {
            listeners.push(TcpListener::bind((pair_address(balancer, number), 0)).await?);
        }
        let endpoints = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<Vec<_>, _>>()?;
        let boot_ms = if in_slow_start { unix_ms() } else { 0 };
        let model = self.new_model(number, 0, in_slow_start);
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

    fn new_model(&self, number: u32, restarts: u64, in_slow_start: bool) -> UpstreamModel {
        let seed = self.seed ^ (u64::from(number) << 32) ^ (restarts << 56);
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let now = self.history.now().as_secs_f64();
        UpstreamModel::new(self.experiment.upstream.clone(), rng, now, in_slow_start)
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

    /// Crashes an upstream, and restarts it after `restart_after` in slow start and under the same
    /// name; with `None`, the upstream stays down. The stand-in discovery service removes the
    /// upstream from the endpoint list after the crash detection time, unless the restart comes
    /// earlier. A real registry removes the upstream when its lease expires. The endpoint list
    /// shows the restart after the update delay.
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

    /// Makes requests take `factor` times their normal time on a core of an upstream during
    /// `duration`.
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

    /// Makes an upstream unresponsive during `duration`. Connections that are opened or carry
    /// requests during that time are closed when it ends.
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

    /// Replaces an upstream: adds a new upstream in slow start, and lists the old one as
    /// terminating after the update delay. After a further `drain_period`, removes the old upstream
    /// from the endpoint list and then shuts it down.
    pub async fn replace(self: Arc<Self>, number: u32, drain_period: Duration) {
        let Some(upstream) = self.get(number) else {
            return;
        };
        self.record_state(number, ProcessState::ShutdownRequested);
        if let Err(e) = self.add(true).await {
            tracing::warn!("u{number}: cannot add an upstream to replace it: {e}");
        }
        sleep(Duration::from_secs_f64(
            self.experiment.discovery.update_delay_s,
        ))
        .await;
        self.update_list(&upstream, EndpointState::Terminating);
        sleep(drain_period).await;
        upstream.set_drained();
        self.update_list(&upstream, EndpointState::Removed);
        sleep(LISTEN_AFTER_REMOVAL).await;
        upstream.set_phase(Phase::Down);
        self.record_state(number, ProcessState::Exited);
    }

    /// Records the load of each upstream that is not down at regular intervals, until the task is
    /// aborted.
    pub async fn sample_load(self: Arc<Self>) {
        loop {
            sleep(LOAD_SAMPLE_INTERVAL).await;
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

    /// Returns the status of each upstream in the order of their numbers, except replaced ones that
    /// no longer listen.
    pub fn statuses(&self) -> Vec<UpstreamStatus> {
        let now = self.history.now().as_secs_f64();
        self.all()
            .iter()
            .filter_map(|upstream| upstream.status(now))
            .collect()
    }
}
