//! A fleet of membership state machines in simulated time, with a log of everything that they put
//! out.
//!
//! All of it is deterministic: equal seeds give equal runs. Chance and time are integers here. The
//! one floating-point function of the crate that may differ between processors (`log10`) is only
//! reached with more than 128 members, so that digests of smaller fleets are the same everywhere.

use foca::{Codec, Header, Message, PostcardCodec};
use frostkeel_membership::{
    Config, DropReason, Identity, MemberState, Membership, Name, Output, PeerIndex, Phase,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use siphasher::sip::SipHasher13;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::hash::Hasher;
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
    /// A process starts at a place, with what the one before it there knew, if it is to remember
    /// it.
    Start {
        place: u16,
        name: u16,
        boot_ms: u64,
        remembers: bool,
    },
    /// The process at a place ends without a word.
    Kill(u16),
    /// The process at a place leaves.
    Leave(u16),
    /// The process at a place is stopped; what arrives waits.
    Hold(u16),
    /// A stopped process goes on.
    Release(u16),
    /// Nothing passes from one place to another any more.
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
        place: u16,
        generation: u32,
    },
    Fault(usize),
}

/// A process and what waits for it.
#[derive(Default)]
struct Process {
    machine: Option<Membership>,
    generation: u32,
    held: bool,
    waiting: Vec<Event>,
    persisted: Vec<Identity>,
}

/// A datagram that was delivered, and what its receiver did about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Captured {
    /// The kind of message, by its position in the wire form.
    pub kind: String,
    /// Its position among all datagrams sent.
    pub send_number: u64,
    /// Sender and receiver.
    pub from: u16,
    pub to: u16,
    /// The bytes.
    pub datagram: Vec<u8>,
    /// What its receiver did.
    pub effect: String,
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
    log: SipHasher13,
    /// Outputs so far.
    pub output_count: u64,
    /// Delivered datagrams, the first of each kind.
    pub captured: Vec<Captured>,
    captured_per_kind: BTreeMap<String, usize>,
    /// Delivered in place of the datagram with the same number.
    pub replacements: BTreeMap<u64, Vec<u8>>,
    /// Datagrams dropped, by the position of the reason.
    pub drops: BTreeMap<u8, u64>,
    /// Counts of the outputs that say that a name was taken over, and that a process yielded.
    pub superseded_count: u64,
    pub yielded_count: u64,
}

impl Simulation {
    /// A fleet of so many places, at which nobody is yet.
    pub fn new(places: u16, seed: u64, faults: Vec<(Duration, Fault)>) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            processes: (0..places).map(|_| Process::default()).collect(),
            queue: BinaryHeap::new(),
            next_event_number: 0,
            next_send_number: 0,
            faults: Vec::new(),
            cut: HashSet::new(),
            loss_percent: 0,
            rng: StdRng::seed_from_u64(seed),
            seed,
            log: SipHasher13::new(),
            output_count: 0,
            captured: Vec::new(),
            captured_per_kind: BTreeMap::new(),
            replacements: BTreeMap::new(),
            drops: BTreeMap::new(),
            superseded_count: 0,
            yielded_count: 0,
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
                Event::Timeout { place, generation } => self.time_out(place, generation),
                Event::Fault(index) => self.apply(self.faults[index].clone()),
            }
        }
        self.now = end;
    }

    /// The digest of everything put out so far.
    pub fn digest(&self) -> u64 {
        self.log.finish()
    }

    /// The machine at a place.
    pub fn machine(&self, place: u16) -> Option<&Membership> {
        self.processes[usize::from(place)].machine.as_ref()
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_event_number += 1;
        self.queue
            .push(Reverse((at, self.next_event_number, event)));
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Start {
                place,
                name,
                boot_ms,
                remembers,
            } => self.start(place, name, boot_ms, remembers),
            Fault::Kill(place) => self.end(place),
            Fault::Leave(place) => {
                let now = self.now;
                if let Some(machine) = &mut self.processes[usize::from(place)].machine {
                    machine.leave(now);
                    self.carry_out(place);
                }
                self.end(place);
            }
            Fault::Hold(place) => self.processes[usize::from(place)].held = true,
            Fault::Release(place) => {
                let process = &mut self.processes[usize::from(place)];
                process.held = false;
                let generation = process.generation;
                for event in std::mem::take(&mut process.waiting) {
                    self.deliver(event);
                }
                self.time_out(place, generation);
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
            Fault::UnknownSender(place) => {
                if let Some(machine) = &mut self.processes[usize::from(place)].machine {
                    machine.record_unknown_sender();
                }
            }
        }
    }

    fn start(&mut self, place: u16, name: u16, boot_ms: u64, remembers: bool) {
        let places = self.processes.len() as u16;
        let process = &mut self.processes[usize::from(place)];
        process.generation += 1;
        let config = Config {
            fleet: FLEET.into(),
            name: member_name(name),
            peer: PeerIndex(place),
            peer_count: places,
            incarnation: EPOCH_MS + boot_ms,
            max_members: usize::from(places) + 4,
            forget_after: Duration::from_secs(60),
            seed: self.seed.wrapping_mul(1_000_003)
                + u64::from(place) * 1_009
                + u64::from(process.generation),
        };
        let mut machine = Membership::new(config, self.now).expect("a valid configuration");
        if remembers {
            machine.restore(self.now, std::mem::take(&mut process.persisted).into_iter());
        }
        process.machine = Some(machine);
        self.carry_out(place);
    }

    fn end(&mut self, place: u16) {
        let process = &mut self.processes[usize::from(place)];
        if let Some(machine) = process.machine.take() {
            let present = machine
                .view()
                .members()
                .filter(|member| member.state.is_live());
            process.persisted = present.map(|member| member.id).collect();
        }
        process.generation += 1;
        process.held = false;
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
        if process.held {
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
        let (log, output_count) = (self.log, self.output_count);
        self.log = SipHasher13::new();
        self.carry_out(to);
        let outputs = std::mem::replace(&mut self.log, log);
        self.record(&outputs.finish().to_le_bytes());
        self.record(&[result]);
        let (outputs, output_count) = (outputs.finish(), self.output_count - output_count);
        if send_number < u64::MAX && result == 0 {
            self.capture(event, &format!("{output_count} outputs {outputs:016x}"));
        }
    }

    fn capture(&mut self, event: Event, outputs: &str) {
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
        let effect = format!("{outputs}, view {} {:016x}", view.version(), view.digest());
        self.captured.push(Captured {
            kind,
            send_number,
            from,
            to,
            datagram,
            effect,
        });
    }

    fn time_out(&mut self, place: u16, generation: u32) {
        let (now, process) = (self.now, &mut self.processes[usize::from(place)]);
        if process.held || process.generation != generation {
            return;
        }
        let Some(machine) = &mut process.machine else {
            return;
        };
        if machine.next_timeout().is_some_and(|due| due <= now) {
            machine.handle_timeout(now);
            self.carry_out(place);
        }
    }

    /// Records and carries out what a machine has put out, and sets its next timeout.
    fn carry_out(&mut self, place: u16) {
        let index = usize::from(place);
        while let Some(output) = self.processes[index]
            .machine
            .as_mut()
            .and_then(Membership::poll_output)
        {
            self.output_count += 1;
            self.record_output(place, &output);
            if let Output::Send { to, datagram } = output {
                self.send(place, to.0, datagram);
            }
        }
        let process = &self.processes[index];
        let (generation, Some(machine)) = (process.generation, &process.machine) else {
            return;
        };
        let (due, health, phase) = (
            machine.next_timeout(),
            machine.health_score(),
            phase_position(machine.phase()),
        );
        let counters = machine.counters();
        self.record(
            &due.map_or(u64::MAX, |due| due.as_nanos() as u64)
                .to_le_bytes(),
        );
        self.record(&[phase, health as u8]);
        for count in [
            counters.sent,
            counters.sent_bytes,
            counters.received,
            counters.received_bytes,
        ] {
            self.record(&count.to_le_bytes());
        }
        for count in [
            counters.protocol_errors,
            counters.refutations,
            counters.pauses,
        ] {
            self.record(&count.to_le_bytes());
        }
        if let Some(due) = due {
            let at = due.max(self.now);
            self.push(at, Event::Timeout { place, generation });
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

    fn record(&mut self, bytes: &[u8]) {
        self.log.write(bytes);
    }

    fn record_identity(&mut self, id: &Identity) {
        self.record(&postcard::to_allocvec(id).expect("an identity fits"));
    }

    fn record_output(&mut self, place: u16, output: &Output) {
        self.record(&(self.now.as_nanos() as u64).to_le_bytes());
        self.record(&place.to_le_bytes());
        match output {
            Output::Send { to, datagram } => {
                self.record(&[0]);
                self.record(&to.0.to_le_bytes());
                self.record(&[datagram.len() as u8]);
                self.record(datagram);
            }
            Output::ViewChanged(change) => {
                self.record(&[1, state_position(change.member.state)]);
                self.record(&change.version.to_le_bytes());
                self.record_identity(&change.member.id);
                self.record(&(change.member.since.as_nanos() as u64).to_le_bytes());
                self.record(
                    change
                        .member
                        .reported_by
                        .map_or_else(String::new, |name| name.to_string())
                        .as_bytes(),
                );
            }
            Output::Superseded(id) => {
                self.superseded_count += 1;
                self.record(&[2]);
                self.record_identity(id);
            }
            Output::Yielded(id) => {
                self.yielded_count += 1;
                self.record(&[3]);
                self.record_identity(id);
            }
        }
    }
}

/// The name of a member: as long as names can be, so that not all members of a comparison fit into
/// a datagram.
pub fn member_name(number: u16) -> Name {
    Name::new(&format!("member-{number:09}")).expect("a name")
}

fn state_position(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Left => 2,
        MemberState::Dead => 3,
    }
}

fn phase_position(phase: Phase) -> u8 {
    match phase {
        Phase::Member => 0,
        Phase::Yielded => 1,
        Phase::Left => 2,
    }
}

/// The position of a reason among all, from 1.
pub fn drop_position(reason: DropReason) -> u8 {
    match reason {
        DropReason::Malformed => 1,
        DropReason::UnsupportedVersion => 2,
        DropReason::ForeignFleet => 3,
        DropReason::UnknownSender => 4,
        DropReason::SenderMismatch => 5,
        DropReason::Implausible => 6,
    }
}

/// The kind of a datagram of [`FLEET`], from its bytes: version, length of the fleet's name, the
/// name, a checksum of four bytes, 0 for the SWIM protocol or 1 for the crate's own messages, and
/// the message.
pub fn kind_of(datagram: &[u8]) -> String {
    let protocol = 2 + FLEET.len() + 4;
    let mut payload = &datagram[protocol + 1..];
    if datagram[protocol] != 0 {
        return format!("own-{}", payload[0]);
    }
    let header: Header<Identity> = PostcardCodec.decode_header(&mut payload).expect("a header");
    let kind = match header.message {
        Message::Ping(_) => "ping",
        Message::Ack(_) => "ack",
        Message::PingReq { .. } => "ping-req",
        Message::IndirectPing { .. } => "indirect-ping",
        Message::IndirectAck { .. } => "indirect-ack",
        Message::ForwardedAck { .. } => "forwarded-ack",
        Message::Announce => "announce",
        Message::Feed => "feed",
        Message::Gossip => "gossip",
        Message::Broadcast => "broadcast",
        Message::TurnUndead => "turn-undead",
    };
    format!("swim-{kind}")
}
