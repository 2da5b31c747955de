//! A real registry that runs as a child process of the lab.

use crate::error::LabError;
use crate::history::{EventKind, History, ProcessState};
use crate::processes::guard::Guard;
use crate::processes::{log_field, process_id, spawn_logged, write_file};
use crate::sync::lock;
use frostkeel_registry::client::call;
use hyper::Method;
use rustix::process::{Pid, Signal, kill_process};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Timeout for the registry to start serving, and for it to list all upstreams as ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two reads of the registry's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Listen address for the first start; the operating system chooses a free port.
const ANY_PORT_ADDRESS: &str = "127.0.0.1:0";

/// The addresses on which a registry listens.
#[derive(Clone, Copy, Debug)]
pub struct RegistryAddresses {
    /// Address for reads and watches.
    pub read: SocketAddr,
    /// Address for writes and the status.
    pub write: SocketAddr,
}

struct Running {
    pid: Pid,
    child: Child,
}

/// A real registry, which can be killed, paused and restarted.
pub struct RegistryProcess {
    program: PathBuf,
    dir: PathBuf,
    /// Addresses since the first start; later starts use the same. `None` before the first start.
    addresses: Mutex<Option<RegistryAddresses>>,
    /// The current process; `None` while the registry is not running.
    running: tokio::sync::Mutex<Option<Running>>,
    /// Guard process that kills the registry if the lab dies; `None` if the run has no guard.
    guard_process: Option<Arc<Guard>>,
    history: Arc<History>,
}

impl RegistryProcess {
    /// Creates a registry that is not started yet. `program` runs as a registry when it is run with
    /// the command `registry`. The registry's configuration, log and data are written to `dir`.
    /// Without a `guard_process`, the registry survives if the lab is killed.
    pub fn new(
        program: &Path,
        dir: &Path,
        guard_process: Option<Arc<Guard>>,
        history: Arc<History>,
    ) -> Arc<Self> {
        Arc::new(Self {
            program: program.to_owned(),
            dir: dir.to_owned(),
            addresses: Mutex::default(),
            running: tokio::sync::Mutex::default(),
            guard_process,
            history,
        })
    }

    /// Returns the addresses on which the registry listens; `None` before the registry's first
    /// start.
    pub fn addresses(&self) -> Option<RegistryAddresses> {
        *lock(&self.addresses)
    }

    /// Returns the address for reads and watches; `None` before the registry's first start.
    pub fn read_address(&self) -> Option<SocketAddr> {
        self.addresses().map(|addresses| addresses.read)
    }

    /// Returns the address for writes and the status; `None` before the registry's first start.
    pub fn write_address(&self) -> Option<SocketAddr> {
        self.addresses().map(|addresses| addresses.write)
    }

    fn log(&self) -> PathBuf {
        self.dir.join("registry.log")
    }

    fn not_ready(&self) -> LabError {
        LabError::RegistryNotReady { log: self.log() }
    }

    fn record_state(&self, state: ProcessState) {
        self.history.record(EventKind::RegistryState { state });
    }

    fn config_text(&self) -> String {
        let (read, write) = self.addresses().map_or_else(
            || (ANY_PORT_ADDRESS.to_owned(), ANY_PORT_ADDRESS.to_owned()),
            |addresses| (addresses.read.to_string(), addresses.write.to_string()),
        );
        let folder = self.dir.join("registry");
        format!(
            "fleet = \"lab\"\nname = \"r0\"\nread = \"{read}\"\nwrite = \"{write}\"\nfolder = \
             {folder:?}\n"
        )
    }

    /// Starts the process, and waits until its log states the addresses on which it serves.
    pub async fn start(&self) -> Result<(), LabError> {
        let config = self.dir.join("registry.toml");
        write_file(&config, &self.config_text()).await?;
        let (sender, serving) = oneshot::channel();
        let mut sender = Some(sender);
        let mut command = Command::new(&self.program);
        command
            .args(["--log", "info", "registry", "--config"])
            .arg(&config);
        let child = spawn_logged(&mut command, &self.log(), move |line| {
            if let Some(addresses) = serving_addresses(line)
                && let Some(sender) = sender.take()
            {
                let _ = sender.send(addresses);
            }
        })
        .await?;
        let Ok(Ok(addresses)) = timeout(READY_TIMEOUT, serving).await else {
            return Err(self.not_ready());
        };
        *lock(&self.addresses) = Some(addresses);
        let pid = process_id(&child).ok_or_else(|| self.not_ready())?;
        if let Some(guard_process) = &self.guard_process {
            guard_process.register(pid);
        }
        *self.running.lock().await = Some(Running { pid, child });
        self.record_state(ProcessState::Ready);
        Ok(())
    }

    /// Kills the process with SIGKILL, and restarts it after `restart_after`; with `None`, the
    /// registry stays down.
    pub async fn kill(&self, restart_after: Option<Duration>) {
        if let Some(mut running) = self.running.lock().await.take() {
            self.record_state(ProcessState::Killed);
            let _ = kill_process(running.pid, Signal::KILL);
            let _ = running.child.wait().await;
            if let Some(guard_process) = &self.guard_process {
                guard_process.unregister(running.pid);
            }
            self.record_state(ProcessState::Exited);
        }
        let Some(restart_after) = restart_after else {
            return;
        };
        sleep(restart_after).await;
        if let Err(e) = self.start().await {
            tracing::warn!("registry not restarted after a kill: {e}");
            self.record_state(ProcessState::Crashed);
        }
    }

    /// Pauses the process with SIGSTOP, and resumes it with SIGCONT after `duration`.
    pub async fn pause(&self, duration: Duration) {
        let pid = self
            .running
            .lock()
            .await
            .as_ref()
            .map(|running| running.pid);
        if let Some(pid) = pid
            && kill_process(pid, Signal::STOP).is_ok()
        {
            self.record_state(ProcessState::Paused);
            sleep(duration).await;
            let _ = kill_process(pid, Signal::CONT);
            self.record_state(ProcessState::Resumed);
        }
    }

    /// Waits until the registry lists at least `upstream_count` upstreams as ready.
    pub async fn wait_until_ready(&self, upstream_count: usize) -> Result<(), LabError> {
        let all_ready = async {
            while let Some(address) = self.write_address() {
                if ready_count(address)
                    .await
                    .is_some_and(|ready| ready >= upstream_count as u64)
                {
                    return;
                }
                sleep(STATUS_INTERVAL).await;
            }
        };
        timeout(READY_TIMEOUT, all_ready)
            .await
            .map_err(|_| self.not_ready())
    }
}

/// Parses the addresses of a registry from the line of its log that states them; returns `None` for
/// other lines.
fn serving_addresses(line: &str) -> Option<RegistryAddresses> {
    let address = |name| log_field(line, name).and_then(|value| value.parse().ok());
    Some(RegistryAddresses {
        read: address("read")?,
        write: address("write")?,
    })
}

/// Returns the number of upstreams that a registry lists as ready; `None` if its status cannot be
/// read.
async fn ready_count(address: SocketAddr) -> Option<u64> {
    let response = call(address, Method::GET, "/status", String::new())
        .await
        .ok()?;
    let body: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
    body["ready"].as_u64().filter(|_| response.status == 200)
}
