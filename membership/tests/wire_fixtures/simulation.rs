//! A fleet of membership state machines in simulated time.
//!
//! Equal seeds give equal runs; random values and times are integers. The crate's only
//! floating-point function whose result may differ between processors, `log10`, has an effect only
//! with more than 128 members, so the digests of smaller fleets are the same on all processors.

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
/// The minimum delay of a datagram; a random value below `MAX_EXTRA_DELAY_US` is added.
const MIN_DELAY_US: u64 = 300;
const MAX_EXTRA_DELAY_US: u64 = 2_000;
/// The number of delivered datagrams of each kind that are captured.
const CAPTURED_PER_KIND: usize = 2;

/// A change that the scenario makes to the processes or the network.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A process starts at a peer. If `is_restored`, it restores the live members that the previous
    /// process at this peer knew.
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
    /// The process at a peer is paused. Arriving datagrams are delivered when it resumes.
    Pause(u16),
    /// A paused process resumes.
    Resume(u16),
    /// All datagrams that one peer sends to another from now on are lost.
    BlockLink { from: u16, to: u16 },
    /// Datagrams that one peer sends to another are delivered again.
    UnblockLink { from: u16, to: u16 },
    /// The given percentage of all datagrams is lost.
    Loss(u32),
    /// A datagram arrives that no process sent.
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

/// The state of one peer: its process, if one runs, and the events that are deferred while the
/// process is paused.
#[derive(Default)]
struct Process {
    machine: Option<Membership>,
    /// A number that changes whenever a process starts or ends at this peer, so that timeouts of an
    /// earlier process have no effect.
    generation: u32,
    is_paused: bool,
    deferred_events: Vec<Event>,
    /// The live members that the last process at this peer knew when it ended.
    persisted: Vec<Identity>,
}

/// The simulated fleet: its processes, its links and the pending events.
pub struct Simulation {
    now: Duration,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event_number: u64,
    next_send_number: u64,
    faults: Vec<Fault>,
    blocked_links: HashSet<(u16, u16)>,
    loss_percent: u32,
    rng: StdRng,
    seed: u64,
    log: OutputLog,
    /// The first delivered datagrams of each kind.
    pub captured: Vec<Captured>,
    captured_per_kind: BTreeMap<String, usize>,
    /// The datagrams to deliver instead of those sent, by the number of the sent datagram.
    pub replacements: BTreeMap<u64, Vec<u8>>,
    /// The number of dropped datagrams, by the position of the reason (see [`drop_position`]).
    pub drops: BTreeMap<u8, u64>,
}

impl Simulation {
    /// Creates a fleet of `peer_count` peers at which no process runs yet.
    pub fn new(peer_count: u16, seed: u64, faults: Vec<(Duration, Fault)>) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            processes: (0..peer_count).map(|_| Process::default()).collect(),
            queue: BinaryHeap::new(),
            next_event_number: 0,
            next_send_number: 0,
            faults: Vec::new(),
            blocked_links: HashSet::new(),
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

    /// Processes all events until a time, inclusive.
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
                Event::Timeout { peer, generation } => self.handle_timeout_event(peer, generation),
                Event::Fault(index) => self.apply(self.faults[index].clone()),
            }
        }
        self.now = end;
    }

    /// Returns the log of all outputs since the start.
    pub fn log(&self) -> &OutputLog {
        &self.log
    }

    /// Returns the state machine at a peer; `None` if no process runs there.
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
            Fault::Kill(peer) => self.end_process(peer),
            Fault::Leave(peer) => {
                let now = self.now;
                if let Some(machine) = &mut self.processes[usize::from(peer)].machine {
                    machine.leave(now);
                    self.process_outputs(peer);
                }
                self.end_process(peer);
            }
            Fault::Pause(peer) => self.processes[usize::from(peer)].is_paused = true,
            Fault::Resume(peer) => {
                let process = &mut self.processes[usize::from(peer)];
                process.is_paused = false;
                let generation = process.generation;
                for event in std::mem::take(&mut process.deferred_events) {
                    self.deliver(event);
                }
                self.handle_timeout_event(peer, generation);
            }
            Fault::BlockLink { from, to } => drop(self.blocked_links.insert((from, to))),
            Fault::UnblockLink { from, to } => drop(self.blocked_links.remove(&(from, to))),
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
            down_member_retention: Duration::from_secs(60),
            seed: self.seed.wrapping_mul(1_000_003)
                + u64::from(peer) * 1_009
                + u64::from(process.generation),
        };
        let mut machine = Membership::new(config, self.now).expect("a valid configuration");
        if is_restored {
            machine.restore(self.now, std::mem::take(&mut process.persisted).into_iter());
        }
        process.machine = Some(machine);
        self.process_outputs(peer);
    }

    fn end_process(&mut self, peer: u16) {
        let process = &mut self.processes[usize::from(peer)];
        if let Some(machine) = process.machine.take() {
            let live = machine
                .view()
                .members()
                .filter(|member| member.state.is_live());
            process.persisted = live.map(|member| member.id).collect();
        }
        process.generation += 1;
        process.is_paused = false;
        process.deferred_events.clear();
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
            process.deferred_events.push(event);
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
        self.process_outputs(to);
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

    fn handle_timeout_event(&mut self, peer: u16, generation: u32) {
        let (now, process) = (self.now, &mut self.processes[usize::from(peer)]);
        if process.is_paused || process.generation != generation {
            return;
        }
        let Some(machine) = &mut process.machine else {
            return;
        };
        if machine.next_timeout().is_some_and(|due| due <= now) {
            machine.handle_timeout(now);
            self.process_outputs(peer);
        }
    }

    /// Records the outputs of a state machine, sends its datagrams, and schedules its next timeout.
    fn process_outputs(&mut self, peer: u16) {
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
        if is_lost || self.blocked_links.contains(&(from, to)) {
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

/// Returns the name of a member. It has the maximum length, so that not all members that are
/// exchanged in a comparison of two views fit into one datagram.
pub fn member_name(number: u16) -> Name {
    Name::new(&format!("member-{number:09}")).expect("a name")
}
