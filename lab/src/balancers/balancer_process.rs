//! The balancers as children: started, signalled, and observed until they exit.

use super::balancer_config::{ConfigInputs, balancer_config};
use super::member_log::{MemberLogLine, parse_member_log};
use super::slot::Slot;
use crate::error::LabError;
use crate::experiment::Experiment;
use crate::history::{EventKind, History, ProcessState};
use crate::links::PeerLinks;
use crate::measurements::{processor_seconds, resident_memory_kb};
use crate::processes::guard::Guard;
use crate::processes::{log_field, process_id, spawn_logged, write_file};
use crate::standins::balancer_pool::BalancerPool;
use crate::sync::lock;
use rustix::process::{Pid, Signal};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

/// How long one may take until it serves.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// New connections may still arrive for this long after SIGTERM.
const CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
/// SIGKILL follows SIGTERM after this: the longest deadline, counted as 3 s, and 0.7 s, with some
/// slack.
const KILL_AFTER_TERM: Duration = Duration::from_secs(5);
/// How long one may take to exit after SIGKILL.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How often the use of memory and processor is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The share of a core that balancers used while they ran last.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct CoreUsage {
    /// The mean over the balancers.
    pub mean: f64,
    /// Of the one that used most.
    pub max: f64,
}

/// The form in `result.json`.
impl From<CoreUsage> for (f64, f64) {
    fn from(usage: CoreUsage) -> Self {
        (usage.mean, usage.max)
    }
}

/// What a run consists of besides the balancers.
pub struct RunContext {
    /// What is run.
    pub experiment: Arc<Experiment>,
    /// The seed.
    pub seed: u64,
    /// The record of the run.
    pub history: Arc<History>,
    /// Where clients find the balancers.
    pub pool: Arc<BalancerPool>,
    /// The balancers' links with each other, where they have membership.
    pub peer_links: Option<Arc<PeerLinks>>,
    /// The guard of the children.
    pub guard: Option<Arc<Guard>>,
    /// Where logs and configurations go.
    pub dir: PathBuf,
}

/// All balancers of a run.
pub struct BalancerProcesses {
    context: RunContext,
    program: PathBuf,
    /// By number, where each reaches the discovery service.
    discovery: Vec<SocketAddr>,
    /// The endpoint list as each knows it before its start.
    known_endpoints: Box<dyn Fn(u32) -> String + Send + Sync>,
    slots: Vec<Slot>,
    max_memory_kb: Mutex<u64>,
    /// By number, the share of a core that each used while it ran last.
    core_shares: Mutex<BTreeMap<u32, f64>>,
    /// By number, where each shows its view of the others.
    pages: Mutex<BTreeMap<u32, String>>,
}

impl BalancerProcesses {
    /// None is started yet.
    pub fn new(
        context: RunContext,
        program: &Path,
        discovery: Vec<SocketAddr>,
        known_endpoints: impl Fn(u32) -> String + Send + Sync + 'static,
    ) -> Arc<Self> {
        let balancers = 0..context.experiment.fleet.balancers;
        Arc::new(Self {
            slots: balancers
                .map(|number| Slot::new(format!("b{number}")))
                .collect(),
            context,
            program: program.to_owned(),
            discovery,
            known_endpoints: Box::new(known_endpoints),
            max_memory_kb: Mutex::new(0),
            core_shares: Mutex::default(),
            pages: Mutex::default(),
        })
    }

    fn slot(&self, number: u32) -> &Slot {
        &self.slots[number as usize]
    }

    fn record_state(&self, balancer: u32, state: ProcessState) {
        self.context
            .history
            .record(EventKind::BalancerState { balancer, state });
    }

    /// The most memory that any has used, in KB, as far as was sampled.
    pub fn max_memory_kb(&self) -> u64 {
        *lock(&self.max_memory_kb)
    }

    /// The share of a core that balancers used while they ran last.
    pub fn core_usage(&self) -> CoreUsage {
        let shares = lock(&self.core_shares);
        CoreUsage {
            mean: shares.values().sum::<f64>() / shares.len().max(1) as f64,
            max: shares.values().copied().fold(0.0, f64::max),
        }
    }

    /// Where the balancers show their views, one a line.
    pub fn pages(&self) -> String {
        lock(&self.pages)
            .values()
            .map(|page| format!("{page}\n"))
            .collect()
    }

    /// The status of each, as a label.
    pub fn statuses(&self) -> Vec<&'static str> {
        self.slots.iter().map(Slot::status).collect()
    }

    /// Starts one and waits until it serves.
    pub async fn start(self: &Arc<Self>, number: u32) -> Result<(), LabError> {
        let slot = self.slot(number);
        let start_count = slot.count_start();
        let config = self.context.dir.join(format!("b{number}.json"));
        write_file(&config, &self.config_text(number, start_count)).await?;
        let log = self.context.dir.join(format!("b{number}.log"));
        let not_ready = || LabError::NotReady {
            number,
            log: log.clone(),
        };
        let (sender, serving) = oneshot::channel();
        let (balancers, mut sender) = (Arc::clone(self), Some(sender));
        let mut command = Command::new(&self.program);
        command
            .env("NODE_CONFIG", &config)
            .env("NODE_NAME", slot.name());
        let child = spawn_logged(&mut command, &log, move |line| {
            balancers.on_log_line(number, line);
            if let Some(address) = listen_address(line)
                && let Some(sender) = sender.take()
            {
                let _ = sender.send(address);
            }
        })
        .await?;
        let Ok(Ok(address)) = timeout(READY_TIMEOUT, serving).await else {
            return Err(not_ready());
        };
        let pid = process_id(&child).ok_or_else(not_ready)?;
        if let Some(guard) = &self.context.guard {
            guard.register(pid);
        }
        slot.set_running(pid);
        self.context.pool.set_address(number, Some(address));
        self.record_state(number, ProcessState::Ready);
        tokio::spawn(Arc::clone(self).observe(number, child, pid));
        Ok(())
    }

    fn config_text(&self, number: u32, start_count: u64) -> String {
        let peer_links = self.context.peer_links.as_ref();
        let inputs = ConfigInputs {
            experiment: &self.context.experiment,
            seed: self.context.seed,
            number,
            name: self.slot(number).name(),
            start_count,
            known_endpoints: (self.known_endpoints)(number),
            discovery: self.discovery[number as usize],
            peers: peer_links.map(|links| links.addresses_for(number)),
        };
        balancer_config(inputs).to_string()
    }

    fn on_log_line(&self, number: u32, line: &str) {
        match parse_member_log(number, line) {
            None => {}
            Some(MemberLogLine::Event(kind)) => self.context.history.record(kind),
            Some(MemberLogLine::Serving { peers, page }) => {
                if let Some(peer_links) = &self.context.peer_links {
                    peer_links.set_address(number, peers);
                }
                if let Some(page) = page {
                    lock(&self.pages).insert(number, page);
                }
            }
        }
    }

    /// Samples the use of memory and processor until the process exits, and records its exit.
    async fn observe(self: Arc<Self>, number: u32, mut child: Child, pid: Pid) {
        let started_at = Instant::now();
        let mut is_over_memory = false;
        loop {
            tokio::select! {
                _ = child.wait() => break,
                () = sleep(SAMPLE_INTERVAL) => {
                    self.sample_usage(number, pid, started_at, &mut is_over_memory).await;
                }
            }
        }
        if let Some(guard) = &self.context.guard {
            guard.unregister(pid);
        }
        let slot = self.slot(number);
        let is_expected = slot.is_ending();
        let state = if is_expected {
            ProcessState::Exited
        } else {
            ProcessState::Crashed
        };
        self.record_state(number, state);
        slot.set_stopped();
        if !is_expected {
            self.remove_from_pool_late(number);
        }
    }

    async fn sample_usage(
        &self,
        number: u32,
        pid: Pid,
        started_at: Instant,
        is_over_memory: &mut bool,
    ) {
        let status = read_proc(pid, "status").await;
        let memory_kb = status
            .and_then(|text| resident_memory_kb(&text))
            .unwrap_or(0);
        if let Some(stat) = read_proc(pid, "stat").await {
            let share = processor_seconds(&stat) / started_at.elapsed().as_secs_f64();
            lock(&self.core_shares).insert(number, share);
        }
        {
            let mut max_memory_kb = lock(&self.max_memory_kb);
            *max_memory_kb = memory_kb.max(*max_memory_kb);
        }
        let limit_kb = self.context.experiment.fleet.memory_mb * 1024;
        if memory_kb > limit_kb && !std::mem::replace(is_over_memory, true) {
            self.record_state(number, ProcessState::MemoryLimitExceeded);
        }
    }

    /// Clients continue to send to a dead balancer for a while.
    fn remove_from_pool_late(&self, number: u32) {
        let pool = Arc::clone(&self.context.pool);
        let address = pool.address(number);
        let delay = Duration::from_secs_f64(self.context.experiment.load.failover_delay_s);
        tokio::spawn(async move {
            sleep(delay).await;
            // If it has been restarted meanwhile, it has another address.
            pool.remove_address(number, address);
        });
    }

    /// SIGKILL; started again after `restart_after`, under another name where one is given.
    pub async fn kill(
        self: Arc<Self>,
        number: u32,
        restart_after: Option<Duration>,
        new_name: Option<String>,
    ) {
        let slot = self.slot(number);
        slot.set_ending();
        if let Some(name) = new_name {
            slot.set_name(name);
        }
        self.record_state(number, ProcessState::Killed);
        if !slot.signal(Signal::KILL) {
            return;
        }
        self.remove_from_pool_late(number);
        if let Some(restart_after) = restart_after {
            sleep(restart_after).await;
            self.start_when_stopped(number).await;
        }
    }

    /// Sends SIGTERM, and SIGKILL after a time-out; restarts it once it has exited.
    pub async fn restart(self: Arc<Self>, number: u32) {
        if self.shut_down(number).await {
            self.start_when_stopped(number).await;
        }
    }

    /// Sends SIGTERM, and SIGKILL after a time-out; returns whether it has exited.
    pub async fn shut_down(&self, number: u32) -> bool {
        let slot = self.slot(number);
        slot.set_ending();
        self.record_state(number, ProcessState::ShutdownRequested);
        // A paused process handles SIGTERM only once it is resumed.
        if !slot.signal(Signal::TERM) || !slot.signal(Signal::CONT) {
            return true;
        }
        let (pool, address) = (
            Arc::clone(&self.context.pool),
            self.context.pool.address(number),
        );
        tokio::spawn(async move {
            sleep(CONNECTIONS_AFTER_TERM).await;
            pool.remove_address(number, address);
        });
        if slot.wait_until_stopped(KILL_AFTER_TERM).await {
            return true;
        }
        self.record_state(number, ProcessState::Killed);
        slot.signal(Signal::KILL);
        let has_exited = slot.wait_until_stopped(EXIT_TIMEOUT).await;
        if !has_exited {
            self.record_state(number, ProcessState::SurvivedKill);
        }
        has_exited
    }

    /// SIGSTOP, and SIGCONT after so long.
    pub async fn pause(self: Arc<Self>, number: u32, duration: Duration) {
        let slot = self.slot(number);
        if slot.signal(Signal::STOP) {
            slot.set_paused(true);
            self.record_state(number, ProcessState::Paused);
            sleep(duration).await;
            slot.signal(Signal::CONT);
            slot.set_paused(false);
            self.record_state(number, ProcessState::Resumed);
        }
    }

    async fn start_when_stopped(self: &Arc<Self>, number: u32) {
        if self.slot(number).wait_until_stopped(EXIT_TIMEOUT).await
            && let Err(e) = self.start(number).await
        {
            tracing::warn!("b{number} is not back: {e}");
            self.record_state(number, ProcessState::Crashed);
        }
    }
}

/// Where a balancer listens, by the line of its log that says so.
fn listen_address(line: &str) -> Option<SocketAddr> {
    log_field(line, "listen")?.parse().ok()
}

/// A file about a process under `/proc`; `None` once it has exited.
async fn read_proc(pid: Pid, file: &str) -> Option<String> {
    tokio::fs::read_to_string(format!("/proc/{}/{file}", pid.as_raw_nonzero()))
        .await
        .ok()
}
