//! A fleet of membership state machines in simulated time.
//!
//! Equal seeds give equal runs; random values and times are integers. The crate's only
//! floating-point function whose result may differ between processors, `log10`, has an effect only
//! with more than 128 members, so the digests of smaller fleets are the same on all processors.

use crate::captured::{CapturedDatagram, kind_of};
use crate::output_log::{OutputLog, SectionDigest, drop_position};
use frostkeel_membership::{Config, Identity, Membership, Name, Output, PeerIndex};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::Duration;

/// The fleet's name in each datagram.
pub const FLEET: &str = "fixture";
/// The Unix time of the start of the simulation, in milliseconds.
pub const EPOCH_MS: u64 = 1_700_000_000_000;
/// The minimum delay of a datagram; a random value below `MAX_EXTRA_DELAY_US` is added.
const MIN_DELAY_US: u64 = 300;
const MAX_EXTRA_DELAY_US: u64 = 2_000;
/// The number of delivered datagrams of each kind that are captured.
const CAPTURED_PER_KIND: usize = 2;

/// A step of a scenario, which changes the processes or the network or injects a datagram.
#[derive(Clone, Debug)]
pub enum Step {
    /// A process starts at a peer. If `is_restored`, it restores the live members that the previous
    /// process at this peer knew. `name` is the number for [`member_name`], and the incarnation is
    /// `incarnation_offset_ms` after [`EPOCH_MS`].
    Start {
        peer: u16,
        name: u16,
        incarnation_offset_ms: u64,
        is_restored: bool,
    },
    /// The process at a peer ends without an announcement.
    Kill(u16),
    /// The process at a peer announces that it leaves, and ends.
    Leave(u16),
    /// The process at a peer is paused. Arriving datagrams are delivered when it resumes.
    Pause(u16),
    /// A paused process resumes.
    Resume(u16),
    /// All datagrams that one peer sends to another from now on are lost.
    BlockLink { from: u16, to: u16 },
    /// The link from one peer to another is unblocked: datagrams sent from now on are delivered.
    UnblockLink { from: u16, to: u16 },
    /// From now on, the given percentage of all datagrams is lost.
    Loss(u32),
    /// A datagram that no process sent arrives at the peer `to`, with peer `from` as its source.
    Inject {
        to: u16,
        from: u16,
        datagram: Vec<u8>,
    },
    /// A datagram from an unknown address arrives at a peer.
    UnknownSender(u16),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A datagram arrives. `send_number` is its position among all datagrams sent, or `u64::MAX` if
    /// a step injected the datagram.
    Arrival {
        to: u16,
        from: u16,
        send_number: u64,
        datagram: Vec<u8>,
    },
    /// A timeout of the process that runs at a peer in the given generation is due.
    Timeout { peer: u16, generation: u32 },
    /// The step at this index of [`Simulation::steps`] occurs.
    Step(usize),
}

/// The state of one peer: its process, if one runs, and the events that are deferred while the
/// process is paused.
#[derive(Default)]
struct PeerState {
    membership: Option<Membership>,
    /// A number that changes whenever a process starts or ends at this peer, so that timeouts of an
    /// earlier process have no effect.
    generation: u32,
    is_paused: bool,
    deferred_events: Vec<Event>,
    /// The live members that the last process at this peer knew when it ended.
    persisted_members: Vec<Identity>,
}

/// The simulated fleet: its peers, its links and the pending events.
pub struct Simulation {
    now: Duration,
    peers: Vec<PeerState>,
    /// The pending events, each with its time and its number.
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event_number: u64,
    next_send_number: u64,
    steps: Vec<Step>,
    blocked_links: HashSet<(u16, u16)>,
    loss_percent: u32,
    rng: StdRng,
    seed: u64,
    log: OutputLog,
    /// The first delivered datagrams of each kind.
    pub captured: Vec<CapturedDatagram>,
    captured_per_kind: BTreeMap<String, usize>,
    /// The datagrams to deliver instead of sent ones, by the send number of the replaced datagram.
    pub replacements: BTreeMap<u64, Vec<u8>>,
    /// The number of dropped datagrams for each drop reason, by the reason's [`drop_position`].
    pub drops: BTreeMap<u8, u64>,
}

impl Simulation {
    /// Creates a fleet of `peer_count` peers at which no process runs yet.
    pub fn new(peer_count: u16, seed: u64, steps: Vec<(Duration, Step)>) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            peers: (0..peer_count).map(|_| PeerState::default()).collect(),
            queue: BinaryHeap::new(),
            next_event_number: 0,
            next_send_number: 0,
            steps: Vec::new(),
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
        for (index, (at, step)) in steps.into_iter().enumerate() {
            simulation.steps.push(step);
            simulation.push(at, Event::Step(index));
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
                Event::Step(index) => self.apply(self.steps[index].clone()),
            }
        }
        self.now = end;
    }

    /// Returns the log of all outputs since the start of the simulation.
    pub fn log(&self) -> &OutputLog {
        &self.log
    }

    /// Returns the state machine at a peer; `None` if no process runs there.
    pub fn membership(&self, peer: u16) -> Option<&Membership> {
        self.peers[usize::from(peer)].membership.as_ref()
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_event_number += 1;
        self.queue
            .push(Reverse((at, self.next_event_number, event)));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Start {
                peer,
                name,
                incarnation_offset_ms,
                is_restored,
            } => self.start(peer, name, incarnation_offset_ms, is_restored),
            Step::Kill(peer) => self.end_process(peer),
            Step::Leave(peer) => {
                let now = self.now;
                if let Some(membership) = &mut self.peers[usize::from(peer)].membership {
                    membership.leave(now);
                    self.process_outputs(peer);
                }
                self.end_process(peer);
            }
            Step::Pause(peer) => self.peers[usize::from(peer)].is_paused = true,
            Step::Resume(peer) => {
                let peer_state = &mut self.peers[usize::from(peer)];
                peer_state.is_paused = false;
                let generation = peer_state.generation;
                for event in std::mem::take(&mut peer_state.deferred_events) {
                    self.deliver(event);
                }
                self.handle_timeout_event(peer, generation);
            }
            Step::BlockLink { from, to } => drop(self.blocked_links.insert((from, to))),
            Step::UnblockLink { from, to } => drop(self.blocked_links.remove(&(from, to))),
            Step::Loss(percent) => self.loss_percent = percent,
            Step::Inject { to, from, datagram } => {
                self.deliver(Event::Arrival {
                    to,
                    from,
                    send_number: u64::MAX,
                    datagram,
                });
            }
            Step::UnknownSender(peer) => {
                if let Some(membership) = &mut self.peers[usize::from(peer)].membership {
                    membership.record_unknown_sender();
                }
            }
        }
    }

    fn start(&mut self, peer: u16, name: u16, incarnation_offset_ms: u64, is_restored: bool) {
        let peer_count = self.peers.len() as u16;
        let peer_state = &mut self.peers[usize::from(peer)];
        peer_state.generation += 1;
        let config = Config {
            fleet: FLEET.into(),
            name: member_name(name),
            peer: PeerIndex(peer),
            peer_count,
            incarnation: EPOCH_MS + incarnation_offset_ms,
            max_members: usize::from(peer_count) + 4,
            down_member_retention: Duration::from_secs(60),
            seed: self.seed.wrapping_mul(1_000_003)
                + u64::from(peer) * 1_009
                + u64::from(peer_state.generation),
        };
        let mut membership = Membership::new(config, self.now).expect("a valid configuration");
        if is_restored {
            membership.restore(
                self.now,
                std::mem::take(&mut peer_state.persisted_members).into_iter(),
            );
        }
        peer_state.membership = Some(membership);
        self.process_outputs(peer);
    }

    fn end_process(&mut self, peer: u16) {
        let peer_state = &mut self.peers[usize::from(peer)];
        if let Some(membership) = peer_state.membership.take() {
            let live = membership
                .view()
                .members()
                .filter(|member| member.state.is_live());
            peer_state.persisted_members = live.map(|member| member.id).collect();
        }
        peer_state.generation += 1;
        peer_state.is_paused = false;
        peer_state.deferred_events.clear();
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
        let (now, peer_state) = (self.now, &mut self.peers[usize::from(to)]);
        if peer_state.is_paused {
            peer_state.deferred_events.push(event);
            return;
        }
        let Some(membership) = &mut peer_state.membership else {
            return;
        };
        let result = membership.handle_datagram(now, PeerIndex(from), datagram);
        let result = result.err().map_or(0, drop_position);
        if result != 0 {
            *self.drops.entry(result).or_default() += 1;
        }
        let before = self.log.begin_section();
        self.process_outputs(to);
        let outputs = self.log.end_section(before);
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
        let Some(membership) = &self.peers[usize::from(to)].membership else {
            return;
        };
        let view = membership.view();
        let effect = format!(
            "{} outputs {:016x}, view {} {:016x}",
            outputs.output_count,
            outputs.digest,
            view.version(),
            view.digest()
        );
        self.captured.push(CapturedDatagram {
            kind,
            send_number,
            from,
            to,
            datagram,
            effect,
        });
    }

    fn handle_timeout_event(&mut self, peer: u16, generation: u32) {
        let (now, peer_state) = (self.now, &mut self.peers[usize::from(peer)]);
        if peer_state.is_paused || peer_state.generation != generation {
            return;
        }
        let Some(membership) = &mut peer_state.membership else {
            return;
        };
        if membership.next_timeout().is_some_and(|due| due <= now) {
            membership.handle_timeout(now);
            self.process_outputs(peer);
        }
    }

    /// Records the outputs of the process at a peer, sends its datagrams, and schedules its next
    /// timeout.
    fn process_outputs(&mut self, peer: u16) {
        let index = usize::from(peer);
        while let Some(output) = self.peers[index]
            .membership
            .as_mut()
            .and_then(Membership::poll_output)
        {
            self.log.record_output(self.now, peer, &output);
            if let Output::Send { to, datagram } = output {
                self.send(peer, to.0, datagram);
            }
        }
        let peer_state = &self.peers[index];
        let Some(membership) = &peer_state.membership else {
            return;
        };
        self.log.record_status(membership);
        let generation = peer_state.generation;
        if let Some(due_at) = membership.next_timeout() {
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

/// Returns the name of the member with a number. It has the maximum length, so that the members
/// that are exchanged in a comparison of two views do not always fit into one datagram.
pub fn member_name(number: u16) -> Name {
    Name::new(&format!("member-{number:09}")).expect("a valid name")
}
