//! Membership in simulated time: the state machines alone, with the faults that an experiment has for balancers.

use crate::checks::membership_checks::{Figures, Presence};
use crate::experiment::{Act, Experiment, Target, Way};
use crate::history::{Process, What};
use crate::links::datagrams::{Kept, Ways, copies};
use frostkeel_membership::{Config, ConfigError, Membership, Name, Output, PeerIndex};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// What a datagram takes at least.
const DELAY: Duration = Duration::from_micros(300);
/// Processes start within so long of each other.
const START_WITHIN: Duration = Duration::from_secs(1);
/// Traffic is counted from here: before, the fleet comes together.
const COUNT_FROM: Duration = Duration::from_secs(20);
/// Wall time of the start.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// What a simulated play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Simulated {
    /// Processes.
    pub members: u32,
    /// The seed.
    pub seed: u64,
    /// Simulated seconds.
    pub seconds: f64,
    /// Datagrams sent by each member in a second.
    pub datagrams: f64,
    /// Bytes sent by each member in a second.
    pub bytes: f64,
    /// The figures.
    pub figures: Figures,
    /// What was wrong.
    pub broken: Vec<String>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrives {
        to: u32,
        from: u32,
        datagram: Vec<u8>,
    },
    Wakes {
        member: u32,
        life: u32,
    },
    Begins {
        fault: usize,
    },
    Starts {
        member: u32,
    },
    GoesOn {
        member: u32,
    },
    Opens {
        fault: usize,
    },
    Bad {
        fault: usize,
    },
}

struct Node {
    machine: Option<Membership>,
    life: u32,
    held: bool,
    /// What came while it was held.
    waiting: Vec<(u32, Vec<u8>)>,
    wakes: Duration,
    name: Name,
}

struct Rig<'a> {
    experiment: &'a Experiment,
    seed: u64,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    number: u64,
    nodes: Vec<Node>,
    ways: Ways,
    chance: ChaCha8Rng,
    kept: Kept,
    keeps: bool,
    presence: Presence,
    /// Whom each fault met.
    met: Vec<(Vec<u32>, Vec<u32>)>,
    sent: (u64, u64),
    counted: Duration,
}

/// Plays the faults of an experiment that meet balancers, over its length. With `known` all know each other from their
/// first start on; without, they have to find each other.
pub fn simulate(experiment: &Experiment, seed: u64, known: bool) -> Result<Simulated, ConfigError> {
    let count = experiment.fleet.balancers;
    let name = |n: u32| Name::new(&format!("b{n}"));
    let node = |n: u32| Node {
        machine: None,
        life: 0,
        held: false,
        waiting: Vec::new(),
        wakes: Duration::MAX,
        name: name(n).unwrap_or_else(|e| unreachable!("{e}")),
    };
    let keeps = experiment
        .faults
        .iter()
        .any(|f| matches!(f.act, Act::Replay | Act::Storm { .. }));
    let mut rig = Rig {
        experiment,
        seed,
        now: Duration::ZERO,
        queue: BinaryHeap::new(),
        number: 0,
        nodes: (0..count).map(node).collect(),
        ways: Ways::new(count),
        chance: ChaCha8Rng::seed_from_u64(seed),
        kept: Kept::default(),
        keeps,
        presence: Presence::default(),
        met: vec![Default::default(); experiment.faults.len()],
        sent: (0, 0),
        counted: COUNT_FROM.min(experiment.length / 2),
    };
    if known {
        rig.start_known()?;
    }
    for member in 0..if known { 0 } else { count } {
        let at = START_WITHIN.mul_f64(rig.chance.random::<f64>());
        rig.push(at, Happening::Starts { member });
    }
    for (fault, what) in experiment.faults.iter().enumerate() {
        rig.push(what.at, Happening::Begins { fault });
    }
    rig.run()?;
    let seconds = (experiment.length - rig.counted).as_secs_f64() * f64::from(count);
    let (figures, broken) = rig.presence.end();
    Ok(Simulated {
        members: count,
        seed,
        seconds: experiment.length.as_secs_f64(),
        datagrams: rig.sent.0 as f64 / seconds,
        bytes: rig.sent.1 as f64 / seconds,
        figures,
        broken: broken.into_iter().map(|(_, text)| text).collect(),
    })
}

impl Rig<'_> {
    fn push(&mut self, at: Duration, what: Happening) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, what)));
    }

    fn run(&mut self) -> Result<(), ConfigError> {
        while let Some(Reverse((at, _, what))) = self.queue.pop() {
            if at >= self.experiment.length {
                break;
            }
            self.now = at;
            match what {
                Happening::Arrives { to, from, datagram } => self.arrives(to, from, datagram),
                Happening::Wakes { member, life } => self.wakes(member, life),
                Happening::Starts { member } => self.start(member)?,
                Happening::GoesOn { member } => self.go_on(member),
                Happening::Begins { fault } => self.begin(fault),
                Happening::Opens { fault } => {
                    let (some, others) = &self.met[fault];
                    self.ways.set(some, others, [Way::default(); 2]);
                }
                Happening::Bad { fault } => self.bad(fault),
            }
        }
        Ok(())
    }

    fn note(&mut self, what: &What) {
        self.presence.feed(self.now.as_micros() as u64, what);
    }

    fn became(&mut self, balancer: u32, became: Process) {
        self.note(&What::Balancer { balancer, became });
    }

    fn start_known(&mut self) -> Result<(), ConfigError> {
        let all = 0..self.nodes.len() as u32;
        all.clone().try_for_each(|member| self.start(member))?;
        let lives: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|node| Some(node.machine.as_ref()?.identity()))
            .collect();
        for member in all {
            if let Some(machine) = &mut self.nodes[member as usize].machine {
                machine.restore(self.now, lives.iter().copied());
            }
            self.after(member);
        }
        Ok(())
    }

    fn start(&mut self, member: u32) -> Result<(), ConfigError> {
        let node = &mut self.nodes[member as usize];
        if node.machine.is_some() {
            return Ok(());
        }
        node.life += 1;
        let places = self.experiment.fleet.balancers as u16;
        let config = Config {
            fleet: "simulated".into(),
            name: node.name,
            peer: PeerIndex(member as u16),
            peer_count: places,
            incarnation: EPOCH_MS + self.now.as_millis() as u64,
            max_members: 2 * usize::from(places),
            forget_after: self
                .experiment
                .membership
                .unwrap_or_default()
                .forget_after(),
            seed: self.seed ^ (u64::from(member) << 20) ^ (u64::from(node.life) << 50),
        };
        node.machine = Some(Membership::new(config, self.now)?);
        node.held = false;
        node.waiting.clear();
        node.wakes = Duration::MAX;
        self.after(member);
        self.became(member, Process::Ready);
        Ok(())
    }

    /// Carries out what a machine wants, and sees to it that it wakes in time.
    fn after(&mut self, member: u32) {
        loop {
            let node = &mut self.nodes[member as usize];
            let Some(output) = node.machine.as_mut().and_then(Membership::poll_output) else {
                break;
            };
            match output {
                Output::Send { to, datagram } => self.send(member, u32::from(to.0), datagram),
                Output::ViewChanged(change) => self.note(&What::Saw {
                    by: member,
                    name: change.member.id.name,
                    incarnation: change.member.id.incarnation
                        + u64::from(change.member.id.rejoin_count),
                    standing: change.member.state,
                    version: change.version,
                }),
                Output::Superseded(_) => {}
                Output::Yielded(_) => self.note(&What::Yielded { by: member }),
            }
        }
        let node = &mut self.nodes[member as usize];
        let life = node.life;
        if let Some(due) = node.machine.as_ref().and_then(Membership::next_timeout)
            && !node.held
            && due < node.wakes
        {
            node.wakes = due.max(self.now);
            let at = node.wakes;
            self.push(at, Happening::Wakes { member, life });
        }
    }

    fn send(&mut self, from: u32, to: u32, datagram: Vec<u8>) {
        if self.now >= self.counted {
            self.sent.0 += 1;
            self.sent.1 += datagram.len() as u64;
        }
        if self.keeps {
            self.kept.keep(&datagram);
        }
        let way = self.ways.way(from, to);
        for after in copies(&way, &mut self.chance).collect::<Vec<_>>() {
            self.push(
                self.now + DELAY + after,
                Happening::Arrives {
                    to,
                    from,
                    datagram: datagram.clone(),
                },
            );
        }
    }

    fn arrives(&mut self, to: u32, from: u32, datagram: Vec<u8>) {
        let Some(node) = self.nodes.get_mut(to as usize) else {
            return;
        };
        if node.held {
            node.waiting.push((from, datagram));
            return;
        }
        if let Some(machine) = &mut node.machine {
            // What is dropped is counted there.
            let _ = machine.handle_datagram(self.now, PeerIndex(from as u16), &datagram);
            self.after(to);
        }
    }

    fn wakes(&mut self, member: u32, life: u32) {
        let node = &mut self.nodes[member as usize];
        if node.life != life || node.held || node.wakes != self.now {
            return;
        }
        node.wakes = Duration::MAX;
        if let Some(machine) = &mut node.machine {
            if machine.next_timeout().is_some_and(|due| due <= self.now) {
                machine.handle_timeout(self.now);
            }
            self.after(member);
        }
    }

    fn go_on(&mut self, member: u32) {
        let node = &mut self.nodes[member as usize];
        if !std::mem::replace(&mut node.held, false) {
            return;
        }
        self.became(member, Process::Released);
        for (from, datagram) in std::mem::take(&mut self.nodes[member as usize].waiting) {
            self.arrives(member, from, datagram);
        }
        let node = &mut self.nodes[member as usize];
        node.wakes = self.now;
        let life = node.life;
        self.wakes(member, life);
    }

    fn some(&mut self, target: &Target) -> Vec<u32> {
        let count = self.experiment.fleet.balancers;
        match target {
            Target::Balancer(n) => vec![*n],
            Target::Range(first, last) => (*first..=*last).collect(),
            Target::Balancers(share) => {
                let mut all: Vec<u32> = (0..count).collect();
                all.shuffle(&mut self.chance);
                all.truncate((share * f64::from(count)).round() as usize);
                all
            }
            _ => Vec::new(),
        }
    }

    fn begin(&mut self, fault: usize) {
        let experiment = self.experiment;
        let what = &experiment.faults[fault];
        let some = self.some(&what.target);
        let others = match &what.with {
            Some(Target::Others) => (0..experiment.fleet.balancers)
                .filter(|n| !some.contains(n))
                .collect(),
            Some(with) => self.some(with),
            None => Vec::new(),
        };
        self.met[fault] = (some.clone(), others);
        match &what.act {
            Act::Kill { back, name } => {
                for member in some {
                    self.became(member, Process::Killed);
                    let node = &mut self.nodes[member as usize];
                    node.machine = None;
                    if let Some(name) = name.as_deref().and_then(|name| Name::new(name).ok()) {
                        node.name = name;
                    }
                    if let Some(back) = back {
                        self.push(self.now + *back, Happening::Starts { member });
                    }
                }
            }
            Act::Term => {
                for member in some {
                    self.became(member, Process::Asked);
                    if let Some(machine) = &mut self.nodes[member as usize].machine {
                        machine.leave(self.now);
                        self.after(member);
                    }
                    self.nodes[member as usize].machine = None;
                    self.push(
                        self.now + Duration::from_secs(1),
                        Happening::Starts { member },
                    );
                }
            }
            Act::Stop(lasts) => {
                for member in some {
                    let node = &mut self.nodes[member as usize];
                    if node.machine.is_some() && !std::mem::replace(&mut node.held, true) {
                        self.became(member, Process::Held);
                        self.push(self.now + *lasts, Happening::GoesOn { member });
                    }
                }
            }
            Act::Links(ways, lasts) => {
                let (some, others) = &self.met[fault];
                self.ways.set(some, others, *ways);
                self.push(self.now + *lasts, Happening::Opens { fault });
            }
            Act::Replay => {
                for datagram in self.kept.all().to_vec() {
                    for to in 0..experiment.fleet.balancers {
                        for from in some.iter().copied().filter(|from| *from != to) {
                            self.arrives(to, from, datagram.clone());
                        }
                    }
                }
            }
            Act::Storm { .. } => self.bad(fault),
            _ => {}
        }
        if let Some(every) = what.every {
            let again = self.now + every;
            if what.until.is_none_or(|until| again < until) {
                self.push(again, Happening::Begins { fault });
            }
        }
    }

    /// One bad datagram of a storm, and the next.
    fn bad(&mut self, fault: usize) {
        let what = &self.experiment.faults[fault];
        let Act::Storm { rate, lasts } = what.act else {
            return;
        };
        let (some, count) = (&self.met[fault].0, self.experiment.fleet.balancers);
        if some.is_empty() || self.now >= what.at + lasts {
            return;
        }
        let from = some[self.chance.random_range(0..some.len())];
        let to = self.chance.random_range(0..count);
        let datagram = self.kept.bad(&mut self.chance);
        if from != to {
            self.arrives(to, from, datagram);
        }
        self.push(
            self.now + Duration::from_secs_f64(1.0 / rate),
            Happening::Bad { fault },
        );
    }
}
