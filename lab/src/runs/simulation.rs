//! Simulates the membership of an experiment's balancers.
//!
//! The simulation executes only the membership's state machines, in simulated time and without
//! processes or sockets. It injects the faults of the experiment that affect balancers.

use super::simulation_faults::AffectedBalancers;
use crate::checks::membership_checks::MembershipChecker;
use crate::checks::membership_figures::MembershipFigures;
use crate::experiment::{Experiment, LinkConditions};
use crate::history::{EventKind, ProcessState};
use crate::links::{DatagramSamples, LinkMatrix, delivery_delays};
use frostkeel_membership::{Config, ConfigError, Membership, Name, Output, PeerIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Delay of a datagram on a link without impairments; the delay of a fault is added to it.
const MIN_DELAY: Duration = Duration::from_micros(300);
/// Period from the start of the run over which the starts of the members are distributed randomly.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Simulated time from which traffic is counted; runs shorter than twice this time count it from
/// half of their length. Before the count starts, the members discover each other.
const TRAFFIC_COUNT_START: Duration = Duration::from_secs(20);
/// Unix time of the start of a run, in milliseconds. The incarnation of a member is the Unix time
/// of its start: this value plus the simulated time in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The outcome of a simulated run.
#[derive(Clone, Debug, Serialize)]
pub struct SimulationOutcome {
    /// Number of members.
    #[serde(rename = "members")]
    pub member_count: u32,
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the run in simulated seconds.
    pub seconds: f64,
    /// Mean number of datagrams that each member sent per second while traffic was counted.
    #[serde(rename = "datagrams")]
    pub datagrams_per_s: f64,
    /// Mean number of bytes that each member sent per second while traffic was counted.
    #[serde(rename = "bytes")]
    pub bytes_per_s: f64,
    /// Detection times of departures, and counts of false detections.
    pub figures: MembershipFigures,
    /// Descriptions of the violations of the membership rules.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// An event that is scheduled for a simulated time. Events at the same time are handled in the
/// order in which they were scheduled. `member`, `from` and `to` are numbers of members; `fault` is
/// the index of a fault in the experiment; `start_count` is the member's number of starts when the
/// timer was scheduled.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimulationEvent {
    DatagramArrives {
        to: u32,
        from: u32,
        datagram: Vec<u8>,
    },
    TimerExpires {
        member: u32,
        start_count: u32,
    },
    FaultBegins {
        fault: usize,
    },
    MemberStarts {
        member: u32,
    },
    MemberResumes {
        member: u32,
    },
    LinkFaultEnds {
        fault: usize,
    },
    CorruptedDatagramDue {
        fault: usize,
    },
}

/// A datagram that arrived while its receiver was paused.
pub(super) struct PendingDatagram {
    from: u32,
    datagram: Vec<u8>,
}

/// A simulated balancer process, of which only the membership runs.
pub(super) struct SimulatedMember {
    /// State machine of the membership; `None` while the process is not running.
    pub machine: Option<Membership>,
    /// Number of starts of the process; timers from before the last start are ignored.
    pub start_count: u32,
    pub is_paused: bool,
    /// Datagrams that arrived while the process was paused; they are handled when it resumes.
    pub pending: Vec<PendingDatagram>,
    /// Simulated time at which the timer expires; `Duration::MAX` if none is scheduled.
    pub timer: Duration,
    pub name: Name,
}

/// The simulated members, their links and the simulated clock.
pub(super) struct Simulation<'a> {
    pub experiment: &'a Experiment,
    seed: u64,
    pub now: Duration,
    /// Scheduled events, each with its time and a sequence number, which orders events at the same
    /// time.
    queue: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    /// Number of events scheduled so far, which is the sequence number of the last one.
    event_count: u64,
    pub members: Vec<SimulatedMember>,
    pub links: LinkMatrix,
    pub rng: ChaCha8Rng,
    /// First datagrams that were sent, for faults that send them again unchanged or corrupted.
    pub samples: DatagramSamples,
    /// Whether sent datagrams are added to `samples`, which only some faults need.
    records_samples: bool,
    checker: MembershipChecker,
    /// Balancers that the last occurrence of each fault affected, by the fault's index.
    pub affected_by_fault: Vec<AffectedBalancers>,
    sent_datagrams: u64,
    sent_bytes: u64,
    /// Simulated time from which sent datagrams and bytes are counted.
    traffic_count_start: Duration,
}

/// Simulates the membership of an experiment's balancers over the length of the experiment, with
/// the faults that affect balancers. If `with_known_members` is true, all members start at time
/// zero and know each other; otherwise they start at random times within the first second and
/// discover each other.
pub fn simulate(
    experiment: &Experiment,
    seed: u64,
    with_known_members: bool,
) -> Result<SimulationOutcome, ConfigError> {
    let count = experiment.fleet.balancers;
    let mut simulation = Simulation::new(experiment, seed);
    if with_known_members {
        simulation.start_with_known_members()?;
    } else {
        simulation.schedule_starts();
    }
    for (fault, definition) in experiment.faults.iter().enumerate() {
        simulation.schedule(definition.start, SimulationEvent::FaultBegins { fault });
    }
    simulation.run()?;
    let counted_s = (experiment.length - simulation.traffic_count_start).as_secs_f64();
    let member_seconds = counted_s * f64::from(count);
    let report = simulation.checker.finish();
    Ok(SimulationOutcome {
        member_count: count,
        seed,
        seconds: experiment.length.as_secs_f64(),
        datagrams_per_s: simulation.sent_datagrams as f64 / member_seconds,
        bytes_per_s: simulation.sent_bytes as f64 / member_seconds,
        figures: report.figures,
        violations: report
            .violations
            .into_iter()
            .map(|found| found.description)
            .collect(),
    })
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> Self {
        let count = experiment.fleet.balancers;
        let member = |number: u32| SimulatedMember {
            machine: None,
            start_count: 0,
            is_paused: false,
            pending: Vec::new(),
            timer: Duration::MAX,
            name: Name::new(&format!("b{number}")).unwrap_or_else(|e| unreachable!("{e}")),
        };
        Self {
            experiment,
            seed,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            event_count: 0,
            members: (0..count).map(member).collect(),
            links: LinkMatrix::new(count),
            rng: ChaCha8Rng::seed_from_u64(seed),
            samples: DatagramSamples::default(),
            records_samples: experiment.resends_datagrams(),
            checker: MembershipChecker::default(),
            affected_by_fault: vec![AffectedBalancers::default(); experiment.faults.len()],
            sent_datagrams: 0,
            sent_bytes: 0,
            traffic_count_start: TRAFFIC_COUNT_START.min(experiment.length / 2),
        }
    }

    pub(super) fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.event_count += 1;
        self.queue.push(Reverse((at, self.event_count, event)));
    }

    fn schedule_starts(&mut self) {
        for member in 0..self.experiment.fleet.balancers {
            let at = START_SPREAD.mul_f64(self.rng.random::<f64>());
            self.schedule(at, SimulationEvent::MemberStarts { member });
        }
    }

    fn run(&mut self) -> Result<(), ConfigError> {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at >= self.experiment.length {
                break;
            }
            self.now = at;
            match event {
                SimulationEvent::DatagramArrives { to, from, datagram } => {
                    self.on_datagram(to, from, datagram);
                }
                SimulationEvent::TimerExpires {
                    member,
                    start_count,
                } => {
                    self.on_timer(member, start_count);
                }
                SimulationEvent::MemberStarts { member } => self.start(member)?,
                SimulationEvent::MemberResumes { member } => self.resume(member),
                SimulationEvent::FaultBegins { fault } => self.begin_fault(fault),
                SimulationEvent::LinkFaultEnds { fault } => {
                    let AffectedBalancers { targets, peers } = &self.affected_by_fault[fault];
                    self.links
                        .set_conditions(targets, peers, LinkConditions::default());
                }
                SimulationEvent::CorruptedDatagramDue { fault } => self.inject_corrupted(fault),
            }
        }
        Ok(())
    }

    fn record(&mut self, kind: &EventKind) {
        self.checker.observe(self.now.as_micros() as u64, kind);
    }

    pub(super) fn record_state(&mut self, balancer: u32, state: ProcessState) {
        self.record(&EventKind::BalancerState { balancer, state });
    }

    /// Starts all members, and gives each the identities of all members.
    fn start_with_known_members(&mut self) -> Result<(), ConfigError> {
        let numbers = 0..self.members.len() as u32;
        numbers.clone().try_for_each(|member| self.start(member))?;
        let identities: Vec<_> = self
            .members
            .iter()
            .filter_map(|member| Some(member.machine.as_ref()?.identity()))
            .collect();
        for member in numbers {
            if let Some(machine) = &mut self.members[member as usize].machine {
                machine.restore(self.now, identities.iter().copied());
            }
            self.process_outputs(member);
        }
        Ok(())
    }

    fn start(&mut self, number: u32) -> Result<(), ConfigError> {
        let member = &mut self.members[number as usize];
        if member.machine.is_some() {
            return Ok(());
        }
        member.start_count += 1;
        let peer_count = self.experiment.fleet.balancers as u16;
        let seed = self.seed ^ (u64::from(number) << 20) ^ (u64::from(member.start_count) << 50);
        let config = Config {
            fleet: "simulated".into(),
            name: member.name,
            peer: PeerIndex(number as u16),
            peer_count,
            incarnation: START_UNIX_MS + self.now.as_millis() as u64,
            max_members: 2 * usize::from(peer_count),
            down_member_retention: self.experiment.membership.unwrap_or_default().retention(),
            seed,
        };
        member.machine = Some(Membership::new(config, self.now)?);
        member.is_paused = false;
        member.pending.clear();
        member.timer = Duration::MAX;
        self.process_outputs(number);
        self.record_state(number, ProcessState::Ready);
        Ok(())
    }

    /// Executes the outputs of a member's state machine, and schedules its timer.
    pub(super) fn process_outputs(&mut self, number: u32) {
        loop {
            let member = &mut self.members[number as usize];
            let Some(output) = member.machine.as_mut().and_then(Membership::poll_output) else {
                break;
            };
            match output {
                Output::Send { to, datagram } => self.send(number, u32::from(to.0), &datagram),
                Output::ViewChanged(change) => self.record(&EventKind::ViewChanged {
                    observer: number,
                    name: change.member.id.name,
                    incarnation: change.member.id.incarnation
                        + u64::from(change.member.id.rejoin_count),
                    state: change.member.state,
                    version: change.version,
                }),
                Output::SupersededClaimant(_) => {}
                Output::YieldedTo(_) => self.record(&EventKind::NameYielded { balancer: number }),
            }
        }
        self.schedule_timer(number);
    }

    fn schedule_timer(&mut self, number: u32) {
        let member = &mut self.members[number as usize];
        let start_count = member.start_count;
        if let Some(due) = member.machine.as_ref().and_then(Membership::next_timeout)
            && !member.is_paused
            && due < member.timer
        {
            member.timer = due.max(self.now);
            let at = member.timer;
            self.schedule(
                at,
                SimulationEvent::TimerExpires {
                    member: number,
                    start_count,
                },
            );
        }
    }

    fn send(&mut self, from: u32, to: u32, datagram: &[u8]) {
        if self.now >= self.traffic_count_start {
            self.sent_datagrams += 1;
            self.sent_bytes += datagram.len() as u64;
        }
        if self.records_samples {
            self.samples.add(datagram);
        }
        let condition = self.links.condition(from, to);
        for delay in delivery_delays(&condition, &mut self.rng).collect::<Vec<_>>() {
            let datagram = datagram.to_vec();
            let at = self.now + MIN_DELAY + delay;
            self.schedule(at, SimulationEvent::DatagramArrives { to, from, datagram });
        }
    }

    pub(super) fn on_datagram(&mut self, to: u32, from: u32, datagram: Vec<u8>) {
        let Some(member) = self.members.get_mut(to as usize) else {
            return;
        };
        if member.is_paused {
            member.pending.push(PendingDatagram { from, datagram });
            return;
        }
        if let Some(machine) = &mut member.machine {
            // The error is ignored: the state machine itself counts the datagrams that it drops.
            let _ = machine.handle_datagram(self.now, PeerIndex(from as u16), &datagram);
            self.process_outputs(to);
        }
    }

    fn on_timer(&mut self, number: u32, start_count: u32) {
        let member = &mut self.members[number as usize];
        if member.start_count != start_count || member.is_paused || member.timer != self.now {
            return;
        }
        member.timer = Duration::MAX;
        if let Some(machine) = &mut member.machine {
            if machine.next_timeout().is_some_and(|due| due <= self.now) {
                machine.handle_timeout(self.now);
            }
            self.process_outputs(number);
        }
    }

    fn resume(&mut self, number: u32) {
        let member = &mut self.members[number as usize];
        if !std::mem::replace(&mut member.is_paused, false) {
            return;
        }
        self.record_state(number, ProcessState::Resumed);
        let pending = std::mem::take(&mut self.members[number as usize].pending);
        for PendingDatagram { from, datagram } in pending {
            self.on_datagram(number, from, datagram);
        }
        let member = &mut self.members[number as usize];
        member.timer = self.now;
        let start_count = member.start_count;
        self.on_timer(number, start_count);
    }
}
