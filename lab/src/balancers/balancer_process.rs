//! The balancers of a play: the real program, started, watched and ended as children.

use crate::balancers::balancer_config::{Told, config};
use crate::error::LabError;
use crate::experiment::Experiment;
use crate::history::{History, Process, What};
use crate::links::peer_links::Peers;
use crate::measurements::figures;
use crate::processes::child::{self, field};
use crate::processes::guard::Guard;
use crate::standins::clients::Front;
use frostkeel_membership::{MemberState, Name};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// How long one may take until it serves.
const READY: Duration = Duration::from_secs(20);
/// After SIGTERM new connections keep arriving for so long.
const FRONT_AFTER_TERM: Duration = Duration::from_millis(300);
/// SIGKILL follows SIGTERM after this: the longest deadline, counted as 3 s, and 0.7 s, with some slack.
const KILL_AFTER_TERM: Duration = Duration::from_secs(5);
/// How long one may take to be gone after SIGKILL.
const GONE: Duration = Duration::from_secs(5);
/// How often memory and processor time are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How one stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    /// It does not run.
    Off,
    /// It runs.
    On(Pid),
}

struct Slot {
    life: watch::Sender<Life>,
    /// The lab has ended it, or asked it to end.
    ending: Mutex<bool>,
    starts: Mutex<u64>,
    held: AtomicBool,
    /// What it is called at its next start.
    name: Mutex<String>,
}

/// What all children are started with.
pub struct Balancers {
    experiment: Arc<Experiment>,
    seed: u64,
    history: Arc<History>,
    front: Arc<Front>,
    guard: Option<Arc<Guard>>,
    program: PathBuf,
    dir: PathBuf,
    discovery: Vec<SocketAddr>,
    /// The list as each knows it before its start.
    known: Box<dyn Fn(u32) -> String + Send + Sync>,
    slots: Vec<Slot>,
    most_memory_kb: Mutex<u64>,
    /// By number, the share of a core that one took while it ran last.
    cores: Mutex<BTreeMap<u32, f64>>,
    /// By number, where one shows its view of the others.
    pages: Mutex<BTreeMap<u32, String>>,
    peers: Option<Arc<Peers>>,
}

/// What a play is made of besides the balancers.
pub struct Round {
    /// What is played, and by which seed.
    pub experiment: Arc<Experiment>,
    /// See `experiment`.
    pub seed: u64,
    /// What happens is noted here.
    pub history: Arc<History>,
    /// Whom clients are dealt to.
    pub front: Arc<Front>,
    /// The balancers' links with each other, where they know of each other.
    pub peers: Option<Arc<Peers>>,
}

impl Balancers {
    /// None started yet; logs and configurations go to `dir`.
    pub fn new(
        round: Round,
        program: &Path,
        guard: Option<Arc<Guard>>,
        dir: &Path,
        discovery: Vec<SocketAddr>,
        known: impl Fn(u32) -> String + Send + Sync + 'static,
    ) -> Arc<Self> {
        let Round {
            experiment,
            seed,
            history,
            front,
            peers,
        } = round;
        let slot = |number| Slot {
            life: watch::Sender::new(Life::Off),
            ending: Mutex::default(),
            starts: Mutex::default(),
            held: AtomicBool::new(false),
            name: Mutex::new(format!("b{number}")),
        };
        Arc::new(Self {
            slots: (0..experiment.fleet.balancers).map(slot).collect(),
            experiment,
            seed,
            history,
            front,
            guard,
            program: program.to_owned(),
            dir: dir.to_owned(),
            discovery,
            known: Box::new(known),
            most_memory_kb: Mutex::new(0),
            cores: Mutex::default(),
            pages: Mutex::default(),
            peers,
        })
    }

    fn name(&self, number: u32) -> String {
        self.slots[number as usize]
            .name
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn became(&self, balancer: u32, became: Process) {
        self.history.note(What::Balancer { balancer, became });
    }

    /// The most memory that any has taken, in KB, as far as was seen.
    pub fn most_memory_kb(&self) -> u64 {
        *self
            .most_memory_kb
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The share of a core that balancers took while they ran last: mean and most.
    pub fn cores(&self) -> (f64, f64) {
        let cores = self.cores.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = cores.values().sum::<f64>() / cores.len().max(1) as f64;
        (mean, cores.values().copied().fold(0.0, f64::max))
    }

    /// Where the balancers show their views, one a line.
    pub fn pages(&self) -> String {
        let pages = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
        pages.values().map(|page| format!("{page}\n")).collect()
    }

    /// How each stands, in a word.
    pub fn standing(&self) -> Vec<&'static str> {
        let word = |slot: &Slot| match *slot.life.borrow() {
            Life::Off => "down",
            Life::On(_) if slot.held.load(Ordering::Relaxed) => "stopped",
            Life::On(_) if *slot.ending.lock().unwrap_or_else(PoisonError::into_inner) => "leaving",
            Life::On(_) => "up",
        };
        self.slots.iter().map(word).collect()
    }

    /// Starts one and waits until it serves.
    pub async fn start(self: &Arc<Self>, number: u32) -> Result<(), LabError> {
        let slot = &self.slots[number as usize];
        let starts = {
            let mut starts = slot.starts.lock().unwrap_or_else(PoisonError::into_inner);
            *starts += 1;
            *starts
        };
        let path = self.dir.join(format!("b{number}.json"));
        let told = Told {
            experiment: &self.experiment,
            seed: self.seed,
            number,
            name: self.name(number),
            starts,
            known: (self.known)(number),
            discovery: self.discovery[number as usize],
            peers: self.peers.as_ref().map(|peers| peers.addresses(number)),
        };
        let text = config(told).to_string();
        let write = |path: &Path, e: std::io::Error| LabError::File {
            path: path.to_owned(),
            source: e,
        };
        tokio::fs::write(&path, text)
            .await
            .map_err(|e| write(&path, e))?;
        let log = self.dir.join(format!("b{number}.log"));
        let (tell, told) = oneshot::channel();
        let (balancers, mut tell) = (Arc::clone(self), Some(tell));
        let mut command = Command::new(&self.program);
        command
            .env("NODE_CONFIG", &path)
            .env("NODE_NAME", self.name(number));
        let child = child::start(&mut command, &log, move |line| {
            balancers.heard(number, line);
            if let Some(address) = field(line, "listen").and_then(|a| a.parse::<SocketAddr>().ok())
                && let Some(tell) = tell.take()
            {
                let _ = tell.send(address);
            }
        })
        .await?;
        let Ok(Ok(address)) = timeout(READY, told).await else {
            return Err(LabError::NotReady { number, log });
        };
        let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
        let Some(pid) = pid else {
            return Err(LabError::NotReady { number, log });
        };
        if let Some(guard) = &self.guard {
            guard.started(pid.as_raw_nonzero().get() as u32);
        }
        *slot.ending.lock().unwrap_or_else(PoisonError::into_inner) = false;
        slot.life.send_replace(Life::On(pid));
        self.front.set(number, Some(address));
        self.became(number, Process::Ready);
        tokio::spawn(Arc::clone(self).watch(number, child, pid));
        Ok(())
    }

    /// What a line of a balancer's log tells of the others.
    fn heard(&self, number: u32, line: &str) {
        let Some((_, said)) = line.split_once("::members: ") else {
            return;
        };
        if said.starts_with("yielded") {
            self.history.note(What::Yielded { by: number });
        } else if let Some(saw) = saw(number, said) {
            self.history.note(saw);
        } else if let Some(address) = field(said, "peers").and_then(|a| a.parse().ok()) {
            if let Some(peers) = &self.peers {
                peers.at(number, address);
            }
            if let Some(page) = field(said, "page") {
                let mut pages = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
                pages.insert(number, page.to_owned());
            }
        }
    }

    /// Waits for its end and says what it was; looks at its memory meanwhile.
    async fn watch(self: Arc<Self>, number: u32, mut child: Child, pid: Pid) {
        let slot = &self.slots[number as usize];
        let most_kb = self.experiment.fleet.memory_mb * 1024;
        let (mut over, start) = (false, Instant::now());
        loop {
            tokio::select! {
                _ = child.wait() => break,
                () = sleep(LOOK_EVERY) => {
                    let took = memory_kb(pid).await.unwrap_or(0);
                    if let Some(seconds) = processor_seconds(pid).await {
                        let share = seconds / start.elapsed().as_secs_f64();
                        self.cores.lock().unwrap_or_else(PoisonError::into_inner).insert(number, share);
                    }
                    let mut most = self.most_memory_kb.lock().unwrap_or_else(PoisonError::into_inner);
                    *most = took.max(*most);
                    if took > most_kb && !std::mem::replace(&mut over, true) {
                        self.became(number, Process::OverMemory);
                    }
                }
            }
        }
        if let Some(guard) = &self.guard {
            guard.ended(pid.as_raw_nonzero().get() as u32);
        }
        let meant = *slot.ending.lock().unwrap_or_else(PoisonError::into_inner);
        self.became(
            number,
            if meant {
                Process::Ended
            } else {
                Process::Crashed
            },
        );
        slot.life.send_replace(Life::Off);
        if !meant {
            self.unlist_late(number);
        }
    }

    /// The front goes on sending to a dead one for a while.
    fn unlist_late(self: &Arc<Self>, number: u32) {
        let (balancers, dead) = (Arc::clone(self), self.front.address(number));
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(balancers.experiment.load.notice_s)).await;
            // Back meanwhile, it has another address.
            if balancers.front.address(number) == dead {
                balancers.front.set(number, None);
            }
        });
    }

    fn signal(&self, number: u32, signal: Signal) -> bool {
        let life = *self.slots[number as usize].life.borrow();
        matches!(life, Life::On(pid) if kill_process(pid, signal).is_ok())
    }

    fn ending(&self, number: u32) {
        *self.slots[number as usize]
            .ending
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = true;
    }

    async fn ended(&self, number: u32, within: Duration) -> bool {
        let mut life = self.slots[number as usize].life.subscribe();
        timeout(within, life.wait_for(|life| *life == Life::Off))
            .await
            .is_ok()
    }

    /// SIGKILL; started again after `back`, by another name where one is given.
    pub async fn kill(self: Arc<Self>, number: u32, back: Option<Duration>, name: Option<String>) {
        self.ending(number);
        if let Some(name) = name {
            *self.slots[number as usize]
                .name
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = name;
        }
        self.became(number, Process::Killed);
        if !self.signal(number, Signal::KILL) {
            return;
        }
        self.unlist_late(number);
        if let Some(back) = back {
            sleep(back).await;
            self.again(number).await;
        }
    }

    /// SIGTERM, and SIGKILL where it takes too long; started again once it has ended.
    pub async fn replace(self: Arc<Self>, number: u32) {
        if self.leave(number).await {
            self.again(number).await;
        }
    }

    /// SIGTERM, and SIGKILL where it takes too long; whether it has ended.
    pub async fn leave(self: &Arc<Self>, number: u32) -> bool {
        self.ending(number);
        self.became(number, Process::Asked);
        // A held process would only leave once it is let go on.
        if !self.signal(number, Signal::TERM) || !self.signal(number, Signal::CONT) {
            return true;
        }
        let (balancers, at) = (Arc::clone(self), self.front.address(number));
        tokio::spawn(async move {
            sleep(FRONT_AFTER_TERM).await;
            if balancers.front.address(number) == at {
                balancers.front.set(number, None);
            }
        });
        if self.ended(number, KILL_AFTER_TERM).await {
            return true;
        }
        self.became(number, Process::Killed);
        self.signal(number, Signal::KILL);
        let gone = self.ended(number, GONE).await;
        if !gone {
            self.became(number, Process::Outlived);
        }
        gone
    }

    /// SIGSTOP, and SIGCONT after so long.
    pub async fn hold(self: Arc<Self>, number: u32, lasts: Duration) {
        if self.signal(number, Signal::STOP) {
            let held = &self.slots[number as usize].held;
            held.store(true, Ordering::Relaxed);
            self.became(number, Process::Held);
            sleep(lasts).await;
            self.signal(number, Signal::CONT);
            held.store(false, Ordering::Relaxed);
            self.became(number, Process::Released);
        }
    }

    async fn again(self: &Arc<Self>, number: u32) {
        if self.ended(number, GONE).await
            && let Err(e) = self.start(number).await
        {
            tracing::warn!("b{number} is not back: {e}");
            self.became(number, Process::Crashed);
        }
    }
}

/// A line that tells of a change of a balancer's view.
fn saw(by: u32, said: &str) -> Option<What> {
    let number = |name| field(said, name).and_then(|n| n.parse::<u64>().ok());
    let standing = match field(said, "standing")? {
        "present" => MemberState::Alive,
        "suspect" => MemberState::Suspect,
        "left" => MemberState::Left,
        "gone" => MemberState::Dead,
        _ => return None,
    };
    let name = Name::new(field(said, "name")?).ok()?;
    let incarnation = number("incarnation")? + number("turn")?;
    Some(What::Saw {
        by,
        name,
        incarnation,
        standing,
        version: number("version")?,
    })
}

/// Processor time that a process has taken, in seconds; `None` once it is gone.
async fn processor_seconds(pid: Pid) -> Option<f64> {
    let text = tokio::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero()))
        .await
        .ok()?;
    Some(figures::processor_seconds(&text))
}

/// What a process takes of memory now, in KB; `None` once it is gone.
async fn memory_kb(pid: Pid) -> Option<u64> {
    let path = format!("/proc/{}/status", pid.as_raw_nonzero());
    let text = tokio::fs::read_to_string(path).await.ok()?;
    text.lines().find_map(|line| {
        line.strip_prefix("VmRSS:")?
            .trim()
            .strip_suffix("kB")?
            .trim()
            .parse()
            .ok()
    })
}
