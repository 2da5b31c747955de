//! A real list service in a play: the process, and the stand-in upstreams that register with it and renew.

use crate::error::LabError;
use crate::history::{History, Listed, Process, What};
use crate::processes::child::{self, field};
use crate::processes::guard::Guard;
use frostkeel_registry::client::call;
use hyper::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

/// How long it may take until it serves.
const READY: Duration = Duration::from_secs(20);
/// Before a call that failed is made again.
const AGAIN: Duration = Duration::from_millis(200);

/// How an upstream stands by its own word.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Word {
    /// It has not said anything, or cannot any more.
    None,
    Ready {
        boot_ms: u64,
    },
    Draining,
    Leaving,
}

struct Running {
    pid: Pid,
    child: Child,
}

/// A real list service, and who registers with it.
pub struct Registrar {
    program: PathBuf,
    dir: PathBuf,
    /// Where it reads and writes: chosen by its first start, kept by all later ones.
    at: Mutex<Option<(SocketAddr, SocketAddr)>>,
    running: tokio::sync::Mutex<Option<Running>>,
    guard: Option<Arc<Guard>>,
    history: Arc<History>,
    lease: Duration,
    words: Mutex<Vec<watch::Sender<Word>>>,
}

impl Registrar {
    /// None started yet.
    pub fn new(
        program: &Path,
        dir: &Path,
        guard: Option<Arc<Guard>>,
        history: Arc<History>,
        lease: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            program: program.to_owned(),
            dir: dir.to_owned(),
            at: Mutex::default(),
            running: tokio::sync::Mutex::default(),
            guard,
            history,
            lease,
            words: Mutex::default(),
        })
    }

    /// Where it is read, and written to.
    pub fn addresses(&self) -> Option<(SocketAddr, SocketAddr)> {
        *self.at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where it is read.
    pub fn read(&self) -> Option<SocketAddr> {
        self.addresses().map(|(read, _)| read)
    }

    fn became(&self, became: Process) {
        self.history.note(What::Registry { became });
    }

    /// Starts it, and waits until it serves.
    pub async fn start(&self) -> Result<(), LabError> {
        let at = self.addresses().map_or_else(
            || ["127.0.0.1:0".to_owned(), "127.0.0.1:0".to_owned()],
            |(read, write)| [read.to_string(), write.to_string()],
        );
        let folder = self.dir.join("registry");
        let text = format!(
            "fleet = \"lab\"\nname = \"r0\"\nread = \"{}\"\nwrite = \"{}\"\nfolder = {:?}\n",
            at[0], at[1], folder
        );
        let (config, log) = (
            self.dir.join("registry.toml"),
            self.dir.join("registry.log"),
        );
        let file = |path: &Path, source| LabError::File {
            path: path.to_owned(),
            source,
        };
        tokio::fs::write(&config, text)
            .await
            .map_err(|e| file(&config, e))?;
        let (tell, told) = oneshot::channel();
        let mut tell = Some(tell);
        let mut command = Command::new(&self.program);
        command
            .args(["--log", "info", "registry", "--config"])
            .arg(&config);
        let child = child::start(&mut command, &log, move |line| {
            let address =
                |name| field(line, name).and_then(|value| value.parse::<SocketAddr>().ok());
            if let (Some(read), Some(write)) = (address("read"), address("write"))
                && let Some(tell) = tell.take()
            {
                let _ = tell.send((read, write));
            }
        })
        .await?;
        let not_ready = || LabError::RegistryNotReady { log: log.clone() };
        let Ok(Ok(at)) = timeout(READY, told).await else {
            return Err(not_ready());
        };
        *self.at.lock().unwrap_or_else(PoisonError::into_inner) = Some(at);
        let pid = child
            .id()
            .and_then(|pid| Pid::from_raw(pid as i32))
            .ok_or_else(not_ready)?;
        if let Some(guard) = &self.guard {
            guard.started(pid.as_raw_nonzero().get() as u32);
        }
        *self.running.lock().await = Some(Running { pid, child });
        self.became(Process::Ready);
        Ok(())
    }

    /// SIGKILL; started again after `back`.
    pub async fn kill(&self, back: Option<Duration>) {
        if let Some(mut running) = self.running.lock().await.take() {
            self.became(Process::Killed);
            let _ = kill_process(running.pid, Signal::KILL);
            let _ = running.child.wait().await;
            if let Some(guard) = &self.guard {
                guard.ended(running.pid.as_raw_nonzero().get() as u32);
            }
            self.became(Process::Ended);
        }
        if let Some(back) = back {
            sleep(back).await;
            if let Err(e) = self.start().await {
                tracing::warn!("the list service is not back: {e}");
                self.became(Process::Crashed);
            }
        }
    }

    /// SIGSTOP, and SIGCONT after so long.
    pub async fn hold(&self, lasts: Duration) {
        let pid = self
            .running
            .lock()
            .await
            .as_ref()
            .map(|running| running.pid);
        if let Some(pid) = pid
            && kill_process(pid, Signal::STOP).is_ok()
        {
            self.became(Process::Held);
            sleep(lasts).await;
            let _ = kill_process(pid, Signal::CONT);
            self.became(Process::Released);
        }
    }

    /// An upstream that says nothing yet.
    pub fn add(self: &Arc<Self>, upstream: u32, endpoint: SocketAddr) {
        let (word, heard) = watch::channel(Word::None);
        self.words
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(word);
        tokio::spawn(Arc::clone(self).speak(upstream, endpoint, heard));
    }

    /// How an upstream wants to be listed from now on.
    pub fn says(&self, upstream: u32, listed: Listed, boot_ms: u64) {
        self.word(
            upstream,
            match listed {
                Listed::Ready => Word::Ready { boot_ms },
                Listed::Terminating => Word::Draining,
                Listed::Gone => Word::Leaving,
            },
        );
    }

    /// An upstream can say nothing any more.
    pub fn dies(&self, upstream: u32) {
        self.word(upstream, Word::None);
    }

    fn word(&self, upstream: u32, word: Word) {
        let words = self.words.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = words.get(upstream as usize) {
            sender.send_replace(word);
        }
    }

    /// Says what an upstream has to say, again and again until it is heard, and renews its lease.
    async fn speak(
        self: Arc<Self>,
        upstream: u32,
        endpoint: SocketAddr,
        mut heard: watch::Receiver<Word>,
    ) {
        let (path, mut registered) = (format!("/upstreams/u{upstream}"), 0);
        loop {
            let word = *heard.borrow_and_update();
            let (method, target, body) = match word {
                Word::None => {
                    if heard.changed().await.is_err() {
                        return;
                    }
                    continue;
                }
                Word::Ready { boot_ms } if registered == boot_ms + 1 => (
                    Method::POST,
                    format!("{path}/renew"),
                    json!({"boot_ms": boot_ms}).to_string(),
                ),
                Word::Ready { boot_ms } => {
                    let body = json!({"endpoint": endpoint.to_string(), "az": "a", "model": "m",
                        "boot_ms": boot_ms, "ttl_s": self.lease.as_secs_f64()});
                    (Method::PUT, path.clone(), body.to_string())
                }
                Word::Draining => (Method::POST, format!("{path}/drain"), String::new()),
                Word::Leaving => (Method::DELETE, path.clone(), String::new()),
            };
            let Some((_, write)) = self.addresses() else {
                return;
            };
            let status = call(write, method, &target, body)
                .await
                .ok()
                .map(|(status, _)| status);
            let next = match (status, word) {
                (Some(200), Word::Ready { boot_ms }) => {
                    registered = boot_ms + 1;
                    self.lease / 3
                }
                // Not known there any more: it registers anew.
                (Some(404), Word::Ready { .. }) => {
                    registered = 0;
                    AGAIN
                }
                (Some(200 | 404), Word::Leaving) => {
                    self.word(upstream, Word::None);
                    continue;
                }
                (Some(200 | 404), Word::Draining) => self.lease * 100,
                _ => AGAIN,
            };
            let _ = timeout(next, heard.changed()).await;
        }
    }

    /// Waits until it lists so many.
    pub async fn lists(&self, count: usize) -> Result<(), LabError> {
        let listed = async {
            loop {
                let Some((_, write)) = self.addresses() else {
                    return;
                };
                if let Ok((200, body)) = call(write, Method::GET, "/status", String::new()).await
                    && let Ok(status) = serde_json::from_slice::<serde_json::Value>(&body)
                    && status["ready"]
                        .as_u64()
                        .is_some_and(|ready| ready >= count as u64)
                {
                    return;
                }
                sleep(AGAIN).await;
            }
        };
        let log = self.dir.join("registry.log");
        timeout(READY, listed)
            .await
            .map_err(|_| LabError::RegistryNotReady { log })
    }
}
