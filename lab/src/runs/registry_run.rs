//! Runs a real registry under the load of many watchers and writers, and kills it repeatedly.
//!
//! The run measures how soon changes reach the watchers, and checks that no acknowledged change is
//! lost and that all watchers end with the same list.

use super::registry_writer::Writer;
use crate::checks::watch_checks::{
    AppliedLine, WatchedList, Watcher, Weights, acknowledged_changes_are_listed,
    watchers_have_the_list,
};
use crate::error::LabError;
use crate::history::{EndpointState, History};
use crate::processes::guard::Guard;
use crate::standins::registration::Registrations;
use crate::standins::registry_process::RegistryProcess;
use crate::sync::lock;
use bytes::BytesMut;
use frostkeel_registry::client::{call, send_request};
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time that watchers have to catch up after the last change.
const CATCH_UP_TIME: Duration = Duration::from_secs(10);
/// Pause between the end of a watch and the watcher's next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time without data on a watch after which the watcher replaces it by a new one.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time between a kill of the registry and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Lease of the upstreams. It is longer than the downtime of the registry after a kill, so that no
/// lease expires during a restart.
const LEASE: Duration = Duration::from_secs(60);
/// Maximum number of violations that are described; further ones are not reported.
const MAX_DESCRIBED_VIOLATIONS: usize = 20;
/// Maximum number of events of the registry's process that are recorded.
const MAX_EVENTS: usize = 100_000;
/// Fraction of the watchers that must have received a change before it counts as delivered.
const DELIVERED_FRACTION: f64 = 0.99;
/// Weight that the first change sets. All changes set weights that differ from 1, the weight of an
/// upstream after its registration.
const FIRST_WEIGHT: u64 = 2;
/// Port of the first upstream's endpoint; the others follow. No socket listens on these ports.
const FIRST_PORT: u16 = 1024;

/// The load on the registry, and the number of its restarts.
#[derive(Clone, Debug)]
pub struct RegistryRunOptions {
    /// Number of clients that watch the endpoint list.
    pub watcher_count: u32,
    /// Number of upstreams on the endpoint list.
    pub upstream_count: u32,
    /// Rate of changes, in changes per second over all writers.
    pub changes_per_s: f64,
    /// Number of clients that change weights of upstreams.
    pub writer_count: u32,
    /// Time for which the writers send changes.
    pub duration: Duration,
    /// Number of times that the registry is killed and restarted, at equal intervals.
    pub kill_count: u32,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Percentiles of a set of times, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Percentiles {
    /// Returns the percentiles of times given in microseconds; all are 0 if `times_us` is empty.
    fn of(mut times_us: Vec<u32>) -> Self {
        times_us.sort_unstable();
        let last = times_us.len().max(1) - 1;
        let at = |fraction: f64| {
            let index = (fraction * last as f64) as usize;
            f64::from(times_us.get(index).copied().unwrap_or(0)) / 1e3
        };
        Self {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

/// The outcome of a registry run.
#[derive(Clone, Debug)]
pub struct RegistryRunOutcome {
    /// Number of changes that the registry acknowledged.
    pub acknowledged_count: u64,
    /// Number of writes that failed or got no valid response.
    pub failed_count: u64,
    /// Time from the sending of a change until 99% of the watchers had received it. Changes that
    /// fewer watchers received are excluded.
    pub delivery: Percentiles,
    /// Time from the sending of a change to its acknowledgement.
    pub acknowledgement: Percentiles,
    /// Number of lines that all watchers together received and could parse.
    pub line_count: u64,
    /// Descriptions of the violations of the registry's guarantees, at most 20.
    pub violations: Vec<String>,
}

/// The changes that the registry has acknowledged.
#[derive(Default)]
pub(super) struct Acknowledged {
    /// Last acknowledged weight of each upstream, by its uid.
    pub weights: Weights,
    /// Time from sending to acknowledgement of each change, in microseconds.
    pub times_us: Vec<u32>,
}

/// A change of one upstream's weight. Each change of the run sets a different weight, which is its
/// index in [`RegistryRun::changes`].
#[derive(Default)]
pub(super) struct Change {
    /// Time at which the change was sent, in microseconds from the start of the run.
    pub sent_us: AtomicU64,
    /// Times from the sending of the change until a watcher received it, in microseconds; one
    /// element for each watcher that has received the change.
    delivery_times_us: Mutex<Vec<u32>>,
}

/// The state of a run that watchers and writers share.
pub(super) struct RegistryRun {
    pub registry: Arc<RegistryProcess>,
    pub start: Instant,
    /// Changes, indexed by the weight that they set. The writers stop when no element is left.
    pub changes: Vec<Change>,
    pub acknowledged: Mutex<Acknowledged>,
    /// Number of writes that failed or got no valid response.
    pub failed_count: AtomicU64,
    line_count: AtomicU64,
    is_over: AtomicBool,
    violations: Mutex<Vec<String>>,
}

/// Runs the load on a registry that is started from `program` and stores its files in `dir`.
pub async fn run_registry(
    program: PathBuf,
    dir: &Path,
    options: RegistryRunOptions,
) -> Result<RegistryRunOutcome, LabError> {
    let registry = start_registry(program, dir, options.upstream_count).await?;
    let run = Arc::new(RegistryRun::new(Arc::clone(&registry), &options));
    let mut watchers = JoinSet::new();
    for number in 0..options.watcher_count {
        watchers.spawn(Arc::clone(&run).watch(number));
    }
    let next_weight = Arc::new(AtomicU64::new(FIRST_WEIGHT));
    let mut writers = JoinSet::new();
    for number in 0..options.writer_count {
        let writer = Writer::new(Arc::clone(&run), &options, number, Arc::clone(&next_weight));
        writers.spawn(writer.run(options.duration));
    }
    let kill_interval = options.duration / (options.kill_count + 1);
    for kill in 1..=options.kill_count {
        sleep_until(run.start + kill_interval * kill).await;
        registry.kill(Some(RESTART_DELAY)).await;
    }
    while writers.join_next().await.is_some() {}
    run.check_at_end(watchers).await;
    registry.kill(None).await;
    Ok(run.outcome(options.watcher_count))
}

/// Starts a registry, and registers `upstream_count` upstreams with it. On return, the registry
/// lists all of them as ready.
async fn start_registry(
    program: PathBuf,
    dir: &Path,
    upstream_count: u32,
) -> Result<Arc<RegistryProcess>, LabError> {
    let created = tokio::fs::create_dir_all(dir).await;
    created.map_err(|source| LabError::File {
        path: dir.to_owned(),
        source,
    })?;
    let guard_process = Guard::start(&program).map_err(|source| LabError::Start {
        program: program.clone(),
        source,
    })?;
    let history = Arc::new(History::new(MAX_EVENTS));
    let registry = RegistryProcess::new(&program, dir, Some(Arc::new(guard_process)), history);
    registry.start().await?;
    let registrations = Registrations::new(Arc::clone(&registry), LEASE);
    for upstream in 0..upstream_count {
        let port = FIRST_PORT + upstream as u16;
        registrations.add(upstream, SocketAddr::from(([127, 0, 0, 1], port)));
        registrations.announce(upstream, EndpointState::Ready, 1);
    }
    registry.wait_until_ready(upstream_count as usize).await?;
    Ok(registry)
}

impl RegistryRun {
    fn new(registry: Arc<RegistryProcess>, options: &RegistryRunOptions) -> Self {
        let estimated_changes = options.changes_per_s * options.duration.as_secs_f64() * 1.1;
        Self {
            registry,
            start: Instant::now(),
            changes: (0..estimated_changes as usize + 100)
                .map(|_| Change::default())
                .collect(),
            acknowledged: Mutex::default(),
            failed_count: AtomicU64::new(0),
            line_count: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            violations: Mutex::default(),
        }
    }

    pub(super) fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    pub(super) fn add_violation(&self, description: String) {
        let mut violations = lock(&self.violations);
        if violations.len() < MAX_DESCRIBED_VIOLATIONS {
            violations.push(description);
        }
    }

    /// Watches the endpoint list until the run is over, and starts a new watch whenever one ends.
    /// Returns the endpoint list as this watcher has received it.
    async fn watch(self: Arc<Self>, number: u32) -> WatchedList {
        let mut watcher = Watcher::new(number);
        while !self.is_over() {
            let target = format!(
                "/registry/instances?stream=1&index={}",
                watcher.list().revision
            );
            let Some(address) = self.registry.read_address() else {
                continue;
            };
            if let Ok(response) = send_request(address, Method::GET, &target, String::new()).await
                && response.status() == 200
            {
                self.follow(response.into_body(), &mut watcher).await;
            }
            sleep(RETRY_INTERVAL).await;
        }
        watcher.list().clone()
    }

    /// Applies the lines of one watch until the watch ends or times out, or the run is over.
    async fn follow(&self, mut body: Incoming, watcher: &mut Watcher) {
        let mut pending = BytesMut::new();
        while !self.is_over()
            && let Ok(Some(Ok(frame))) = timeout(WATCH_TIMEOUT, body.frame()).await
        {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            pending.extend_from_slice(&data);
            while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
                let line = pending.split_to(end + 1);
                if !line.trim_ascii().is_empty() {
                    self.apply_line(&line, watcher);
                }
            }
        }
    }

    fn apply_line(&self, line: &[u8], watcher: &mut Watcher) {
        let AppliedLine { changed, violation } = match watcher.apply_line(line) {
            Ok(applied) => applied,
            Err(unreadable) => return self.add_violation(unreadable.to_string()),
        };
        self.line_count.fetch_add(1, Ordering::Relaxed);
        violation
            .into_iter()
            .for_each(|violation| self.add_violation(violation));
        let now_us = self.now_us();
        for weight in changed {
            if let Some(change) = self.changes.get(weight as usize) {
                let sent_us = change.sent_us.load(Ordering::Relaxed);
                lock(&change.delivery_times_us).push(now_us.saturating_sub(sent_us) as u32);
            }
        }
    }

    pub(super) async fn read_list(&self) -> Option<WatchedList> {
        let address = self.registry.read_address()?;
        let target = "/registry/instances";
        let response = call(address, Method::GET, target, String::new())
            .await
            .ok()?;
        Some(WatchedList::from_snapshot(
            serde_json::from_slice(&response.body).ok()?,
        ))
    }

    /// Waits until the watchers have had time to catch up, then compares the registry's list with
    /// the list of each watcher and with the acknowledged changes.
    async fn check_at_end(&self, mut watchers: JoinSet<WatchedList>) {
        sleep(CATCH_UP_TIME).await;
        self.is_over.store(true, Ordering::Relaxed);
        let Some(list) = self.read_list().await else {
            return self.add_violation("the endpoint list could not be read at the end".into());
        };
        let mut watched = Vec::new();
        while let Some(watcher) = watchers.join_next().await {
            watched.extend(watcher.ok());
        }
        let differing = watchers_have_the_list(&watched, &list);
        let lost = acknowledged_changes_are_listed(&lock(&self.acknowledged).weights, &list);
        differing
            .into_iter()
            .chain(lost)
            .for_each(|violation| self.add_violation(violation));
    }

    fn outcome(&self, watcher_count: u32) -> RegistryRunOutcome {
        let needed = (f64::from(watcher_count) * DELIVERED_FRACTION).ceil() as usize;
        // Excludes changes that a later change replaced before enough watchers had received them.
        let delivered = self.changes.iter().filter_map(|change| {
            let mut delivery_times_us = lock(&change.delivery_times_us).clone();
            delivery_times_us.sort_unstable();
            delivery_times_us.get(needed - 1).copied()
        });
        let times_us = lock(&self.acknowledged).times_us.clone();
        RegistryRunOutcome {
            acknowledged_count: times_us.len() as u64,
            failed_count: self.failed_count.load(Ordering::Relaxed),
            delivery: Percentiles::of(delivered.collect()),
            acknowledgement: Percentiles::of(times_us),
            line_count: self.line_count.load(Ordering::Relaxed),
            violations: lock(&self.violations).clone(),
        }
    }
}
