//! Starts the balancers as child processes, sends them signals, and observes them until they exit.

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

/// The time within which a balancer must log its listen address after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The time after SIGTERM during which clients continue to open connections to a balancer. Its
/// address is then removed from the addresses that clients use.
const NEW_CONNECTION_PERIOD_AFTER_TERM: Duration = Duration::from_millis(300);
/// The time from SIGTERM to SIGKILL, for a balancer that has not exited. A balancer exits within
/// the longest deadline (3 s at most) plus 0.7 s; the remaining time is slack.
const KILL_AFTER_TERM: Duration = Duration::from_secs(5);
/// The time within which a balancer must exit after SIGKILL.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which memory and processor usage are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The usage of processor cores by the balancers. The share of a core that a balancer used is
/// measured since the last start of that balancer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct CoreUsage {
    /// The mean share over the balancers; 1 is one core in full use.
    pub mean: f64,
    /// The largest share among the balancers.
    pub max: f64,
}

/// Converts the usage to the pair that `result.json` contains.
impl From<CoreUsage> for (f64, f64) {
    fn from(usage: CoreUsage) -> Self {
        (usage.mean, usage.max)
    }
}

/// The parts of a run that the balancers depend on.
pub struct RunContext {
    /// The experiment that is run.
    pub experiment: Arc<Experiment>,
    /// The seed of the run, from which each start of a balancer gets its own seed.
    pub seed: u64,
    /// The history in which states and view changes of the balancers are recorded.
    pub history: Arc<History>,
    /// The addresses of the balancers, as known to the clients.
    pub pool: Arc<BalancerPool>,
    /// The links between balancers; `None` without membership.
    pub peer_links: Option<Arc<PeerLinks>>,
    /// The guard that kills the children if the lab dies; `None` if the run has no guard.
    pub guard: Option<Arc<Guard>>,
    /// The folder for logs and configuration files.
    pub dir: PathBuf,
}

/// All balancers of a run.
pub struct BalancerProcesses {
    context: RunContext,
    program: PathBuf,
    /// The address at which each balancer reaches the discovery service, by balancer number.
    discovery_addresses: Vec<SocketAddr>,
    /// A function that takes the number of a balancer and returns the endpoint list that the
    /// balancer knows at its start, as JSON.
    known_endpoints: Box<dyn Fn(u32) -> String + Send + Sync>,
    slots: Vec<Slot>,
    max_memory_kb: Mutex<u64>,
    /// The share of a core that each balancer used since its last start, by balancer number.
    core_shares: Mutex<BTreeMap<u32, f64>>,
    /// The address of each balancer's members page, by balancer number. The members page is the
    /// HTTP page on which a balancer shows its view of the members.
    page_addresses: Mutex<BTreeMap<u32, String>>,
}

impl BalancerProcesses {
    /// Prepares the balancers of a run without starting them.
    pub fn new(
        context: RunContext,
        program: &Path,
        discovery_addresses: Vec<SocketAddr>,
        known_endpoints: impl Fn(u32) -> String + Send + Sync + 'static,
    ) -> Arc<Self> {
        let balancers = 0..context.experiment.fleet.balancers;
        Arc::new(Self {
            slots: balancers
                .map(|number| Slot::new(format!("b{number}")))
                .collect(),
            context,
            program: program.to_owned(),
            discovery_addresses,
            known_endpoints: Box::new(known_endpoints),
            max_memory_kb: Mutex::new(0),
            core_shares: Mutex::default(),
            page_addresses: Mutex::default(),
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

    /// Returns the largest memory usage sampled of any balancer, in KB.
    pub fn max_memory_kb(&self) -> u64 {
        *lock(&self.max_memory_kb)
    }

    /// Returns the usage of processor cores by the balancers.
    pub fn core_usage(&self) -> CoreUsage {
        let shares = lock(&self.core_shares);
        CoreUsage {
            mean: shares.values().sum::<f64>() / shares.len().max(1) as f64,
            max: shares.values().copied().fold(0.0, f64::max),
        }
    }

    /// Returns a text that lists the addresses of the balancers' members pages, one address per
    /// line. A balancer that has not logged the address of its page is left out.
    pub fn pages(&self) -> String {
        lock(&self.page_addresses)
            .values()
            .map(|page| format!("{page}\n"))
            .collect()
    }

    /// Returns the status of each balancer, by number: `up`, `down`, `stopped` or `leaving`.
    pub fn statuses(&self) -> Vec<&'static str> {
        self.slots.iter().map(Slot::status).collect()
    }

    /// Starts a balancer and waits until it logs its listen address.
    pub async fn start(self: &Arc<Self>, number: u32) -> Result<(), LabError> {
        let slot = self.slot(number);
        let start_count = slot.count_start();
        let config_path = self.context.dir.join(format!("b{number}.json"));
        write_file(&config_path, &self.config_text(number, start_count)).await?;
        let log_path = self.context.dir.join(format!("b{number}.log"));
        let not_ready = || LabError::NotReady {
            number,
            log: log_path.clone(),
        };
        let (address_sender, address_receiver) = oneshot::channel();
        let (balancers, mut address_sender) = (Arc::clone(self), Some(address_sender));
        let mut command = Command::new(&self.program);
        command
            .env("NODE_CONFIG", &config_path)
            .env("NODE_NAME", slot.name());
        let child = spawn_logged(&mut command, &log_path, move |line| {
            balancers.on_log_line(number, line);
            if let Some(address) = listen_address(line)
                && let Some(sender) = address_sender.take()
            {
                let _ = sender.send(address);
            }
        })
        .await?;
        let Ok(Ok(address)) = timeout(READY_TIMEOUT, address_receiver).await else {
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
            discovery: self.discovery_addresses[number as usize],
            peers: peer_links.map(|links| links.addresses_for(number)),
        };
        balancer_config(inputs).to_string()
    }

    fn on_log_line(&self, number: u32, line: &str) {
        match parse_member_log(number, line) {
            None => {}
            Some(MemberLogLine::Event(kind)) => self.context.history.record(kind),
            Some(MemberLogLine::Serving { peer_address, page }) => {
                if let Some(peer_links) = &self.context.peer_links {
                    peer_links.set_address(number, peer_address);
                }
                if let Some(page) = page {
                    lock(&self.page_addresses).insert(number, page);
                }
            }
        }
    }

    /// Samples memory and processor usage until the process exits, and records the exit.
    async fn observe(self: Arc<Self>, number: u32, mut child: Child, pid: Pid) {
        let started_at = Instant::now();
        let mut is_over_memory_limit = false;
        loop {
            tokio::select! {
                _ = child.wait() => break,
                () = sleep(SAMPLE_INTERVAL) => {
                    self.sample_usage(number, pid, started_at, &mut is_over_memory_limit).await;
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
            self.remove_from_pool_after_delay(number);
        }
    }

    async fn sample_usage(
        &self,
        number: u32,
        pid: Pid,
        started_at: Instant,
        is_over_memory_limit: &mut bool,
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
        if memory_kb > limit_kb && !std::mem::replace(is_over_memory_limit, true) {
            self.record_state(number, ProcessState::MemoryLimitExceeded);
        }
    }

    /// Removes the address of a dead balancer from the pool after the failover delay. During the
    /// delay, clients continue to send to the dead balancer.
    fn remove_from_pool_after_delay(&self, number: u32) {
        let pool = Arc::clone(&self.context.pool);
        let address = pool.address(number);
        let delay = Duration::from_secs_f64(self.context.experiment.load.failover_delay_s);
        tokio::spawn(async move {
            sleep(delay).await;
            // If the balancer has been restarted by now, the pool has its new address, which is not
            // removed.
            pool.remove_address(number, address);
        });
    }

    /// Sends SIGKILL to a balancer, and restarts it after `restart_after`, under `new_name` if one
    /// is given. With `None` as `restart_after`, the balancer is not restarted.
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
        self.remove_from_pool_after_delay(number);
        if let Some(restart_after) = restart_after {
            sleep(restart_after).await;
            self.start_when_stopped(number).await;
        }
    }

    /// Shuts a balancer down as [`shut_down`](Self::shut_down) does, and restarts it once it has
    /// exited.
    pub async fn restart(self: Arc<Self>, number: u32) {
        if self.shut_down(number).await {
            self.start_when_stopped(number).await;
        }
    }

    /// Sends SIGTERM to a balancer, and SIGKILL if the balancer does not exit in time. Returns
    /// whether the balancer has exited.
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
            sleep(NEW_CONNECTION_PERIOD_AFTER_TERM).await;
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

    /// Sends SIGSTOP to a balancer, and SIGCONT after `duration`.
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
            tracing::warn!("balancer b{number} cannot be restarted: {e}");
            self.record_state(number, ProcessState::Crashed);
        }
    }
}

/// Parses the address in the line that a balancer logs when it listens for clients.
fn listen_address(line: &str) -> Option<SocketAddr> {
    log_field(line, "listen")?.parse().ok()
}

/// Reads a file of a process under `/proc`; returns `None` if the process has exited.
async fn read_proc(pid: Pid, file: &str) -> Option<String> {
    tokio::fs::read_to_string(format!("/proc/{}/{file}", pid.as_raw_nonzero()))
        .await
        .ok()
}
