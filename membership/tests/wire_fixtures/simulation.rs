//! A fleet of membership state machines in simulated time.
//!
//! All of it is deterministic: equal seeds give equal runs. Chance and time are integers here. The
//! one floating-point function of the crate whose result may differ between processors (`log10`)
//! only has an effect with more than 128 members, so that digests of smaller fleets are the same
//! on all of them.

use crate::captured::{Captured, kind_of};
use crate::output_log::{OutputLog, SectionDigest, drop_position};
use frostkeel_membership::{Config, Identity, Membership, Name, Output, PeerIndex};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::Duration;

/// The fleet's name in each datagram.
pub const FLEET: &str = "fixture";
/// Unix time of the start of the simulation, in milliseconds.
pub const EPOCH_MS: u64 = 1_700_000_000_000;
/// What a datagram takes: at least, and more by chance.
const MIN_DELAY_US: u64 = 300;
const MAX_EXTRA_DELAY_US: u64 = 2_000;
/// How many delivered datagrams of each kind are captured.
const CAPTURED_PER_KIND: usize = 2;

/// What happens to the fleet from outside.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A process starts at a peer, with or without the members that the one before it knew.
    Start {
        peer: u16,
        name: u16,
        incarnation_ms: u64,
        is_restored: bool,
    },
    /// The process at a peer ends without an announcement.
    Kill(u16),
    /// The process at a peer leaves.
    Leave(u16),
    /// The process at a peer is paused; what arrives waits.
    Pause(u16),
    /// A paused process resumes.
    Resume(u16),
    /// Nothing passes from one peer to another any more.
    Cut { from: u16, to: u16 },
    /// Datagrams pass again.
    Heal { from: u16, to: u16 },
    /// So many percent of all datagrams are lost.
    Loss(u32),
    /// A datagram arrives that nobody sent.
    Inject {
        to: u16,
        from: u16,
        datagram: Vec<u8>,
    },
    /// A datagram arrives from an unknown address.
    UnknownSender(u16),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        to: u16,
        from: u16,
        send_number: u64,
        datagram: Vec<u8>,
    },
    Timeout {
        peer: u16,
        generation: u32,
    },
    Fault(usize),
}

/// A process and what waits for it.
#[derive(Default)]
struct Process {
    machine: Option<Membership>,
    generation: u32,
    is_paused: bool,
    waiting: Vec<Event>,
    persisted: Vec<Identity>,
}

/// The simulated fleet.
pub struct Simulation {
    now: Duration,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event_number: u64,
    next_send_number: u64,
    faults: Vec<Fault>,
    cut: HashSet<(u16, u16)>,
    loss_percent: u32,
    rng: StdRng,
    seed: u64,
    log: OutputLog,
    /// Delivered datagrams, the first of each kind.
    pub captured: Vec<Captured>,
    captured_per_kind: BTreeMap<String, usize>,
    /// Delivered in place of the datagram with the same number.
    pub replacements: BTreeMap<u64, Vec<u8>>,
    /// Datagrams dropped, by the position of the reason.
    pub drops: BTreeMap<u8, u64>,
}

impl Simulation {
    /// A fleet of so many peers, at which no process runs yet.
    pub fn new(peer_count: u16, seed: u64, faults: Vec<(Duration, Fault)>) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            processes: (0..peer_count).map(|_| Process::default()).collect(),
            queue: BinaryHeap::new(),
            next_event_number: 0,
            next_send_number: 0,
            faults: Vec::new(),
            cut: HashSet::new(),
            loss_percent: 0,
            rng: StdRng::seed_from_u64(seed),
            seed,
            log: OutputLog::default(),
            captured: Vec::new(),
            captured_per_kind: BTreeMap::new(),
            replacements: BTreeMap::new(),
            drops: BTreeMap::new(),
        };
        for (index, (at, fault)) in faults.into_iter().enumerate() {
            simulation.faults.push(fault);
            simulation.push(at, Event::Fault(index));
        }
        simulation
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Duration) {
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= end)
        {
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                return;
            };
            self.now = at;
            match event {
                Event::Arrival { .. } => self.deliver(event),
                Event::Timeout { peer, generation } => self.time_out(peer, generation),
                Event::Fault(index) => self.apply(self.faults[index].clone()),
            }
        }
        self.now = end;
    }

    /// Everything put out so far.
    pub fn log(&self) -> &OutputLog {
        &self.log
    }

    /// The machine at a peer.
    pub fn machine(&self, peer: u16) -> Option<&Membership> {
        self.processes[usize::from(peer)].machine.as_ref()
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_event_number += 1;
        self.queue
            .push(Reverse((at, self.next_event_number, event)));
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Start {
                peer,
                name,
                incarnation_ms,
                is_restored,
            } => self.start(peer, name, incarnation_ms, is_restored),
            Fault::Kill(peer) => self.end(peer),
            Fault::Leave(peer) => {
                let now = self.now;
                if let Some(machine) = &mut self.processes[usize::from(peer)].machine {
                    machine.leave(now);
                    self.carry_out(peer);
                }
                self.end(peer);
            }
            Fault::Pause(peer) => self.processes[usize::from(peer)].is_paused = true,
            Fault::Resume(peer) => {
                let process = &mut self.processes[usize::from(peer)];
                process.is_paused = false;
                let generation = process.generation;
                for event in std::mem::take(&mut process.waiting) {
                    self.deliver(event);
                }
                self.time_out(peer, generation);
            }
            Fault::Cut { from, to } => drop(self.cut.insert((from, to))),
            Fault::Heal { from, to } => drop(self.cut.remove(&(from, to))),
            Fault::Loss(percent) => self.loss_percent = percent,
            Fault::Inject { to, from, datagram } => {
                self.deliver(Event::Arrival {
                    to,
                    from,
                    send_number: u64::MAX,
                    datagram,
                });
            }
            Fault::UnknownSender(peer) => {
                if let Some(machine) = &mut self.processes[usize::from(peer)].machine {
                    machine.record_unknown_sender();
                }
            }
        }
    }

    fn start(&mut self, peer: u16, name: u16, incarnation_ms: u64, is_restored: bool) {
        let peer_count = self.processes.len() as u16;
        let process = &mut self.processes[usize::from(peer)];
        process.generation += 1;
        let config = Config {
            fleet: FLEET.into(),
            name: member_name(name),
            peer: PeerIndex(peer),
            peer_count,
            incarnation: EPOCH_MS + incarnation_ms,
            max_members: usize::from(peer_count) + 4,
            forget_after: Duration::from_secs(60),
            seed: self.seed.wrapping_mul(1_000_003)
                + u64::from(peer) * 1_009
                + u64::from(process.generation),
        };
        let mut machine = Membership::new(config, self.now).expect("a valid configuration");
        if is_restored {
            machine.restore(self.now, std::mem::take(&mut process.persisted).into_iter());
        }
        process.machine = Some(machine);
        self.carry_out(peer);
    }

    fn end(&mut self, peer: u16) {
        let process = &mut self.processes[usize::from(peer)];
        if let Some(machine) = process.machine.take() {
            let present = machine
                .view()
                .members()
                .filter(|member| member.state.is_live());
            process.persisted = present.map(|member| member.id).collect();
        }
        process.generation += 1;
        process.is_paused = false;
        process.waiting.clear();
    }

    fn deliver(&mut self, event: Event) {
        let Event::Arrival {
            to,
            from,
            send_number,
            ref datagram,
        } = event
        else {
            return;
        };
        let (now, process) = (self.now, &mut self.processes[usize::from(to)]);
        if process.is_paused {
            process.waiting.push(event);
            return;
        }
        let Some(machine) = &mut process.machine else {
            return;
        };
        let result = machine.handle_datagram(now, PeerIndex(from), datagram);
        let result = result.err().map_or(0, drop_position);
        if result != 0 {
            *self.drops.entry(result).or_default() += 1;
        }
        let section = self.log.begin_section();
        self.carry_out(to);
        let outputs = self.log.end_section(section);
        self.log.record(&[result]);
        if send_number < u64::MAX && result == 0 {
            self.capture(event, &outputs);
        }
    }

    fn capture(&mut self, event: Event, outputs: &SectionDigest) {
        let Event::Arrival {
            to,
            from,
            send_number,
            datagram,
        } = event
        else {
            return;
        };
        let kind = kind_of(&datagram);
        let count = self.captured_per_kind.entry(kind.clone()).or_default();
        if *count >= CAPTURED_PER_KIND {
            return;
        }
        *count += 1;
        let Some(machine) = &self.processes[usize::from(to)].machine else {
            return;
        };
        let view = machine.view();
        let effect = format!(
            "{} outputs {:016x}, view {} {:016x}",
            outputs.output_count,
            outputs.digest,
            view.version(),
            view.digest()
        );
        self.captured.push(Captured {
            kind,
            send_number,
            from,
            to,
            datagram,
            effect,
        });
    }

    fn time_out(&mut self, peer: u16, generation: u32) {
        let (now, process) = (self.now, &mut self.processes[usize::from(peer)]);
        if process.is_paused || process.generation != generation {
            return;
        }
        let Some(machine) = &mut process.machine else {
            return;
        };
        if machine.next_timeout().is_some_and(|due| due <= now) {
            machine.handle_timeout(now);
            self.carry_out(peer);
        }
    }

    /// Records and carries out what a machine has put out, and sets its next timeout.
    fn carry_out(&mut self, peer: u16) {
        let index = usize::from(peer);
        while let Some(output) = self.processes[index]
            .machine
            .as_mut()
            .and_then(Membership::poll_output)
        {
            self.log.record_output(self.now, peer, &output);
            if let Output::Send { to, datagram } = output {
                self.send(peer, to.0, datagram);
            }
        }
        let process = &self.processes[index];
        let Some(machine) = &process.machine else {
            return;
        };
        self.log.record_status(machine);
        let generation = process.generation;
        if let Some(due_at) = machine.next_timeout() {
            let at = due_at.max(self.now);
            self.push(at, Event::Timeout { peer, generation });
        }
    }

    fn send(&mut self, from: u16, to: u16, datagram: Vec<u8>) {
        let send_number = self.next_send_number;
        self.next_send_number += 1;
        let is_lost = self.rng.random_range(0..100) < self.loss_percent;
        let delay_us = MIN_DELAY_US + self.rng.random_range(0..MAX_EXTRA_DELAY_US);
        if is_lost || self.cut.contains(&(from, to)) {
            return;
        }
        let datagram = self.replacements.remove(&send_number).unwrap_or(datagram);
        let at = self.now + Duration::from_micros(delay_us);
        self.push(
            at,
            Event::Arrival {
                to,
                from,
                send_number,
                datagram,
            },
        );
    }
}

/// The name of a member: as long as names can be, so that not all members of a comparison fit into
/// a datagram.
pub fn member_name(number: u16) -> Name {
    Name::new(&format!("member-{number:09}")).expect("a name")
}
