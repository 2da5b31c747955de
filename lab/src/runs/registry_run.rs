//! A real list service under many watchers and writers, killed now and then: how soon changes reach the watchers, and
//! whether the whole history holds together.
//!
//! Checked are: the version never goes back for any watcher, over kills and new watches; each watcher that follows changes
//! ends with the list; what was acknowledged is there at the end; a read after an acknowledgement is at least as new.

use crate::error::LabError;
use crate::history::{History, Listed};
use crate::processes::guard::Guard;
use crate::standins::registration::Registrar;
use bytes::BytesMut;
use frostkeel_registry::client::{call, send_request};
use frostkeel_registry::endpoint::{EndpointState, EndpointUpdate};
use http_body_util::BodyExt;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long watchers have to catch up after the last change.
const CATCH_UP: Duration = Duration::from_secs(10);
/// Before a watcher or a writer that failed tries again.
const AGAIN: Duration = Duration::from_millis(100);
/// A watch that says nothing for so long is dead.
const SILENT: Duration = Duration::from_millis(3500);
/// How long the service stays down when it is killed.
const DOWN: Duration = Duration::from_millis(200);

/// What is done to a list service.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Watchers.
    pub watchers: u32,
    /// Upstreams on the list.
    pub upstreams: u32,
    /// Changes a second, from as many writers.
    pub changes: f64,
    /// See `changes`.
    pub writers: u32,
    /// For so long.
    pub lasts: Duration,
    /// Times that the service is killed meanwhile.
    pub kills: u32,
    /// The seed of all chance.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Watched {
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Writes that failed or had no answer.
    pub unanswered: u64,
    /// Milliseconds from the sending of a change until 99% of the watchers had it: median, 99th percentile, worst.
    pub reached_ms: (f64, f64, f64),
    /// Milliseconds from the sending of a change to its acknowledgement: median, 99th percentile.
    pub acknowledged_ms: (f64, f64),
    /// Lines that watchers got.
    pub lines: u64,
    /// What was wrong.
    pub broken: Vec<String>,
}

/// Weights by uid.
type Weights = BTreeMap<String, u64>;

struct Stage {
    registrar: Arc<Registrar>,
    start: Instant,
    /// By change, when it was sent in microseconds; its number is the weight that it sets.
    sent: Vec<AtomicU64>,
    /// By change, after how many microseconds watchers had it.
    reached: Vec<Mutex<Vec<u32>>>,
    acked: Mutex<(Weights, Vec<u32>)>,
    unanswered: AtomicU64,
    lines: AtomicU64,
    over: AtomicBool,
    broken: Mutex<Vec<String>>,
}

impl Stage {
    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn broke(&self, text: String) {
        let mut broken = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        if broken.len() < 20 {
            broken.push(text);
        }
    }

    fn read(&self) -> Option<SocketAddr> {
        self.registrar.read()
    }

    /// Follows the list over broken watches until all is over; its weights then.
    async fn watch(self: Arc<Self>, number: u32) -> (u64, Weights) {
        let (mut rev, mut weights) = (0, Weights::new());
        while !self.over.load(Ordering::Relaxed) {
            let target = format!("/registry/instances?stream=1&index={rev}");
            let Some(address) = self.read() else { continue };
            if let Ok(answer) = send_request(address, Method::GET, &target, String::new()).await
                && answer.status() == 200
            {
                let (mut body, mut pending) = (answer.into_body(), BytesMut::new());
                while !self.over.load(Ordering::Relaxed)
                    && let Ok(Some(Ok(frame))) = timeout(SILENT, body.frame()).await
                {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    pending.extend_from_slice(&data);
                    while let Some(n) = pending.iter().position(|byte| *byte == b'\n') {
                        let line = pending.split_to(n + 1);
                        if !line.trim_ascii().is_empty() {
                            self.take(number, &line, &mut rev, &mut weights);
                        }
                    }
                }
            }
            sleep(AGAIN).await;
        }
        (rev, weights)
    }

    fn take(&self, number: u32, line: &[u8], rev: &mut u64, weights: &mut Weights) {
        let Ok(text) = serde_json::from_slice::<EndpointUpdate>(line) else {
            return self.broke(format!("watcher {number}: a line that cannot be read"));
        };
        self.lines.fetch_add(1, Ordering::Relaxed);
        if text.revision < *rev || (text.revision == *rev && !text.is_snapshot) {
            self.broke(format!(
                "watcher {number}: version {} after {rev}",
                text.revision
            ));
        }
        *rev = text.revision;
        if text.is_snapshot {
            weights.clear();
        }
        let now = self.now();
        for target in text.records {
            if target.state == EndpointState::Removed {
                weights.remove(&target.uid);
                continue;
            }
            let change = target.weight as u64;
            weights.insert(target.uid, change);
            if !text.is_snapshot
                && let (Some(sent), Some(reached)) = (
                    self.sent.get(change as usize),
                    self.reached.get(change as usize),
                )
            {
                let took = now.saturating_sub(sent.load(Ordering::Relaxed)) as u32;
                reached
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(took);
            }
        }
    }

    /// Sends changes when they are due; each waits for the one before of the same writer.
    async fn write(self: Arc<Self>, plan: Plan, writer: u32, next: Arc<AtomicU64>) {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ (u64::from(writer) << 32));
        let every = Duration::from_secs_f64(f64::from(plan.writers) / plan.changes);
        let mut due = Instant::now() + every.mul_f64(rng.random::<f64>());
        // Each upstream has one writer, so that its weights go up in the order of its acknowledgements.
        let own: Vec<u32> = (0..plan.upstreams)
            .filter(|u| u % plan.writers == writer)
            .collect();
        while self.start.elapsed() < plan.lasts && !own.is_empty() {
            sleep_until(due).await;
            due += every;
            let uid = format!("u{}", own[rng.random_range(0..own.len())]);
            let change = next.fetch_add(1, Ordering::Relaxed);
            let (Some(sent), Some((_, write))) =
                (self.sent.get(change as usize), self.registrar.addresses())
            else {
                return;
            };
            sent.store(self.now(), Ordering::Relaxed);
            let body = format!("{{\"capacity_hint\":{change}}}");
            let answer = call(
                write,
                Method::PUT,
                &format!("/upstreams/{uid}/weight"),
                body,
            )
            .await;
            let rev = match answer {
                Ok((200, body)) => serde_json::from_slice::<serde_json::Value>(&body)
                    .ok()
                    .and_then(|said| said["rev"].as_u64()),
                _ => None,
            };
            let Some(rev) = rev else {
                self.unanswered.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let took = (self.now() - sent.load(Ordering::Relaxed)) as u32;
            {
                let mut acked = self.acked.lock().unwrap_or_else(PoisonError::into_inner);
                acked.0.insert(uid, change);
                acked.1.push(took);
            }
            // Now and then it looks whether others would see it.
            if rng.random::<f64>() < 0.05
                && let Some((seen, _)) = self.whole().await
                && seen < rev
            {
                self.broke(format!(
                    "a read after version {rev} was acknowledged has version {seen}"
                ));
            }
        }
    }

    async fn whole(&self) -> Option<(u64, Weights)> {
        let (_, body) = call(
            self.read()?,
            Method::GET,
            "/registry/instances",
            String::new(),
        )
        .await
        .ok()?;
        let text: EndpointUpdate = serde_json::from_slice(&body).ok()?;
        Some((
            text.revision,
            text.records
                .into_iter()
                .map(|t| (t.uid, t.weight as u64))
                .collect(),
        ))
    }
}

fn percentiles(mut of: Vec<u32>) -> (f64, f64, f64) {
    of.sort_unstable();
    let at = |share: f64| {
        of.get((share * (of.len().max(1) - 1) as f64) as usize)
            .copied()
            .unwrap_or(0)
    };
    (
        f64::from(at(0.5)) / 1e3,
        f64::from(at(0.99)) / 1e3,
        f64::from(at(1.0)) / 1e3,
    )
}

/// Plays a plan with a list service started from `program`; its files go to `dir`.
pub async fn watch_registry(program: PathBuf, dir: &Path, plan: Plan) -> Result<Watched, LabError> {
    tokio::fs::create_dir_all(dir)
        .await
        .map_err(|source| LabError::File {
            path: dir.to_owned(),
            source,
        })?;
    let guard = Guard::start(&program).map_err(|source| LabError::Start {
        program: program.clone(),
        source,
    })?;
    let history = Arc::new(History::new(100_000));
    let lease = Duration::from_secs(60);
    let registrar = Registrar::new(&program, dir, Some(Arc::new(guard)), history, lease);
    registrar.start().await?;
    for upstream in 0..plan.upstreams {
        let port = 1024 + upstream as u16;
        registrar.add(upstream, SocketAddr::from(([127, 0, 0, 1], port)));
        registrar.says(upstream, Listed::Ready, 1);
    }
    registrar.lists(plan.upstreams as usize).await?;
    let changes = (plan.changes * plan.lasts.as_secs_f64() * 1.1) as usize + 100;
    let stage = Arc::new(Stage {
        registrar: Arc::clone(&registrar),
        start: Instant::now(),
        sent: (0..changes).map(|_| AtomicU64::new(0)).collect(),
        reached: (0..changes).map(|_| Mutex::default()).collect(),
        acked: Mutex::default(),
        unanswered: AtomicU64::new(0),
        lines: AtomicU64::new(0),
        over: AtomicBool::new(false),
        broken: Mutex::default(),
    });
    let mut watchers = JoinSet::new();
    for number in 0..plan.watchers {
        watchers.spawn(Arc::clone(&stage).watch(number));
    }
    // Weights count from 2, as 1 is what each begins with.
    let next = Arc::new(AtomicU64::new(2));
    let mut writers = JoinSet::new();
    for writer in 0..plan.writers {
        writers.spawn(Arc::clone(&stage).write(plan.clone(), writer, Arc::clone(&next)));
    }
    let every = plan.lasts / (plan.kills + 1);
    for kill in 1..=plan.kills {
        sleep_until(stage.start + every * kill).await;
        registrar.kill(Some(DOWN)).await;
    }
    while writers.join_next().await.is_some() {}
    judge(&stage, watchers).await;
    registrar.kill(None).await;
    let reached = stage.reached.iter().filter_map(|reached| {
        let mut reached = reached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        reached.sort_unstable();
        // Only those that were not overtaken on their way to so many.
        reached
            .get((f64::from(plan.watchers) * 0.99).ceil() as usize - 1)
            .copied()
    });
    let (acked, took) = stage
        .acked
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let acknowledged_ms = percentiles(took.clone());
    let broken = stage
        .broken
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    drop(acked);
    Ok(Watched {
        acknowledged: took.len() as u64,
        unanswered: stage.unanswered.load(Ordering::Relaxed),
        reached_ms: percentiles(reached.collect()),
        acknowledged_ms: (acknowledged_ms.0, acknowledged_ms.1),
        lines: stage.lines.load(Ordering::Relaxed),
        broken,
    })
}

/// Lets the watchers catch up, then holds what each has, and what was acknowledged, against the list.
async fn judge(stage: &Arc<Stage>, mut watchers: JoinSet<(u64, Weights)>) {
    sleep(CATCH_UP).await;
    stage.over.store(true, Ordering::Relaxed);
    let Some((rev, list)) = stage.whole().await else {
        return stage.broke("the list cannot be read at the end".into());
    };
    let mut differ = 0;
    while let Some(watcher) = watchers.join_next().await {
        differ += usize::from(watcher.is_ok_and(|watcher| watcher != (rev, list.clone())));
    }
    if differ > 0 {
        stage.broke(format!(
            "{differ} watchers have another list than version {rev}"
        ));
    }
    let acked = stage
        .acked
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .0
        .clone();
    for (uid, change) in acked {
        let has = list.get(&uid).copied();
        // A later one that had no answer may have been taken.
        if has.is_none_or(|has| has < change) {
            stage.broke(format!("{uid} has {has:?}, {change} was acknowledged"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stage() -> Stage {
        let history = Arc::new(History::new(10));
        Stage {
            registrar: Registrar::new(Path::new("none"), Path::new("none"), None, history, AGAIN),
            start: Instant::now(),
            sent: vec![AtomicU64::new(0)],
            reached: vec![Mutex::default()],
            acked: Mutex::default(),
            unanswered: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            over: AtomicBool::new(false),
            broken: Mutex::default(),
        }
    }

    fn line(rev: u64, all: bool, state: &str) -> String {
        let record = "\"uid\":\"u1\",\"endpoint\":\"\",\"az\":\"\",\"model\":\"\",\"pod_group\":0,\"boot_ms\":1";
        format!(
            "{{\"rev\":{rev},\"all\":{all},\"targets\":[{{{record},\"state\":{state:?},\"capacity_hint\":7}}]}}"
        )
    }

    /// The checks themselves must see what is wrong.
    #[test]
    fn a_version_that_goes_back_or_stands_still_is_seen() {
        for (lines, wrong) in [
            (
                vec![
                    line(4, true, "Ready"),
                    line(5, false, "Ready"),
                    line(5, true, "Ready"),
                ],
                0,
            ),
            (vec![line(4, true, "Ready"), line(3, false, "Ready")], 1),
            (vec![line(4, true, "Ready"), line(4, false, "Ready")], 1),
            (vec![line(4, true, "Ready"), line(3, true, "Ready")], 1),
            (vec!["nonsense".into()], 1),
        ] {
            let (stage, mut rev, mut weights) = (stage(), 0, Weights::new());
            lines
                .iter()
                .for_each(|line| stage.take(1, line.as_bytes(), &mut rev, &mut weights));
            assert_eq!(
                stage.broken.lock().expect("whole").len(),
                wrong,
                "{lines:?}"
            );
        }
    }

    #[test]
    fn a_watcher_has_what_it_was_told() {
        let (stage, mut rev, mut weights) = (stage(), 0, Weights::new());
        stage.take(1, line(4, true, "Ready").as_bytes(), &mut rev, &mut weights);
        assert_eq!((rev, weights.get("u1")), (4, Some(&7)));
        stage.take(1, line(5, false, "Gone").as_bytes(), &mut rev, &mut weights);
        assert_eq!((rev, weights.len()), (5, 0));
    }
}
