//! A run of a real registry under many watchers and writers, killed repeatedly: how soon changes
//! reach the watchers, and whether the complete history is consistent.

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

/// How long watchers have to catch up after the last change.
const CATCH_UP: Duration = Duration::from_secs(10);
/// Before a watcher or a writer that failed tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// A watch on which nothing is received for so long is considered dead.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3500);
/// How long the registry stays down when it is killed.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// The lease of the upstreams, longer than a kill lasts.
const LEASE: Duration = Duration::from_secs(60);
/// Violations that are described.
const MAX_DESCRIBED: usize = 20;
/// Events of the registry's process that are recorded.
const MAX_EVENTS: usize = 100_000;
/// Share of the watchers that have to know a change before it counts as delivered.
const DELIVERED_TO_SHARE: f64 = 0.99;
/// The first weight that is written; each upstream begins with 1.
const FIRST_WEIGHT: u64 = 2;
/// The port of the first upstream; no socket listens there.
const FIRST_PORT: u16 = 1024;

/// The load on a registry, and its faults.
#[derive(Clone, Debug)]
pub struct RegistryRunOptions {
    /// Watchers.
    pub watchers: u32,
    /// Upstreams on the list.
    pub upstreams: u32,
    /// Changes a second, by all writers together.
    pub changes_per_s: f64,
    /// Writers.
    pub writers: u32,
    /// How long they write.
    pub duration: Duration,
    /// How many times the registry is killed meanwhile.
    pub kills: u32,
    /// The seed of all draws.
    pub seed: u64,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Percentiles {
    /// Percentiles of times in microseconds; zero where there are none.
    fn of(mut times_us: Vec<u32>) -> Self {
        times_us.sort_unstable();
        let last = times_us.len().max(1) - 1;
        let at = |share: f64| {
            let index = (share * last as f64) as usize;
            f64::from(times_us.get(index).copied().unwrap_or(0)) / 1e3
        };
        Self {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

/// The outcome of the run.
#[derive(Clone, Debug)]
pub struct RegistryRunOutcome {
    /// Changes that were acknowledged.
    pub acknowledged_count: u64,
    /// Writes that failed or had no response.
    pub failed_count: u64,
    /// From the sending of a change until 99% of the watchers had it.
    pub delivery: Percentiles,
    /// From the sending of a change to its acknowledgement.
    pub acknowledgement: Percentiles,
    /// Lines that watchers got.
    pub line_count: u64,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
}

/// Changes that were acknowledged.
#[derive(Default)]
pub(super) struct Acknowledged {
    /// The last by upstream.
    pub weights: Weights,
    /// How long each took, in microseconds.
    pub times_us: Vec<u32>,
}

/// A change; its number is the weight that it sets.
#[derive(Default)]
pub(super) struct Change {
    /// When it was sent, in microseconds.
    pub sent_us: AtomicU64,
    /// After how many microseconds watchers had it.
    delivered_us: Mutex<Vec<u32>>,
}

/// What watchers and writers share.
pub(super) struct RegistryRun {
    pub registry: Arc<RegistryProcess>,
    pub start: Instant,
    pub changes: Vec<Change>,
    pub acknowledged: Mutex<Acknowledged>,
    pub failed_count: AtomicU64,
    line_count: AtomicU64,
    is_over: AtomicBool,
    violations: Mutex<Vec<String>>,
}

/// Runs a registry that is started from `program`; its files go to `dir`.
pub async fn run_registry(
    program: PathBuf,
    dir: &Path,
    options: RegistryRunOptions,
) -> Result<RegistryRunOutcome, LabError> {
    let registry = start_registry(program, dir, options.upstreams).await?;
    let run = Arc::new(RegistryRun::new(Arc::clone(&registry), &options));
    let mut watchers = JoinSet::new();
    for number in 0..options.watchers {
        watchers.spawn(Arc::clone(&run).watch(number));
    }
    let next_weight = Arc::new(AtomicU64::new(FIRST_WEIGHT));
    let mut writers = JoinSet::new();
    for number in 0..options.writers {
        let writer = Writer::new(Arc::clone(&run), &options, number, Arc::clone(&next_weight));
        writers.spawn(writer.run(options.duration));
    }
    let kill_interval = options.duration / (options.kills + 1);
    for kill in 1..=options.kills {
        sleep_until(run.start + kill_interval * kill).await;
        registry.kill(Some(DOWN_TIME)).await;
    }
    while writers.join_next().await.is_some() {}
    run.check_at_end(watchers).await;
    registry.kill(None).await;
    Ok(run.outcome(options.watchers))
}

/// Starts a registry, and registers upstreams with it.
async fn start_registry(
    program: PathBuf,
    dir: &Path,
    upstreams: u32,
) -> Result<Arc<RegistryProcess>, LabError> {
    let created = tokio::fs::create_dir_all(dir).await;
    created.map_err(|source| LabError::File {
        path: dir.to_owned(),
        source,
    })?;
    let guard = Guard::start(&program).map_err(|source| LabError::Start {
        program: program.clone(),
        source,
    })?;
    let history = Arc::new(History::new(MAX_EVENTS));
    let registry = RegistryProcess::new(&program, dir, Some(Arc::new(guard)), history);
    registry.start().await?;
    let registrations = Registrations::new(Arc::clone(&registry), LEASE);
    for upstream in 0..upstreams {
        let port = FIRST_PORT + upstream as u16;
        registrations.add(upstream, SocketAddr::from(([127, 0, 0, 1], port)));
        registrations.announce(upstream, EndpointState::Ready, 1);
    }
    registry.wait_until_ready(upstreams as usize).await?;
    Ok(registry)
}

impl RegistryRun {
    fn new(registry: Arc<RegistryProcess>, options: &RegistryRunOptions) -> Self {
        let changes = options.changes_per_s * options.duration.as_secs_f64() * 1.1;
        Self {
            registry,
            start: Instant::now(),
            changes: (0..changes as usize + 100)
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
        if violations.len() < MAX_DESCRIBED {
            violations.push(description);
        }
    }

    /// Watches the list, with a new watch after each that ends, until the run is complete; returns
    /// the list at that time.
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

    /// Applies the lines of one watch until it ends.
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
                lock(&change.delivered_us).push(now_us.saturating_sub(sent_us) as u32);
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

    /// Lets the watchers catch up, then compares the list with what each has, and with what was
    /// acknowledged.
    async fn check_at_end(&self, mut watchers: JoinSet<WatchedList>) {
        sleep(CATCH_UP).await;
        self.is_over.store(true, Ordering::Relaxed);
        let Some(list) = self.read_list().await else {
            return self.add_violation("the list cannot be read at the end".into());
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

    fn outcome(&self, watchers: u32) -> RegistryRunOutcome {
        let needed = (f64::from(watchers) * DELIVERED_TO_SHARE).ceil() as usize;
        // Changes that a later one superseded before enough watchers had them are excluded.
        let delivered = self.changes.iter().filter_map(|change| {
            let mut times_us = lock(&change.delivered_us).clone();
            times_us.sort_unstable();
            times_us.get(needed - 1).copied()
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
