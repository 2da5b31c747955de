//! Membership in simulated time: the state machines alone, with the faults that an experiment has
//! for balancers.

use super::simulation_faults::FaultPeers;
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

/// The least delay of a datagram.
const MIN_DELAY: Duration = Duration::from_micros(300);
/// Processes start within so long of each other.
const START_WITHIN: Duration = Duration::from_secs(1);
/// Traffic is counted from here: before, the members discover each other.
const COUNT_TRAFFIC_FROM: Duration = Duration::from_secs(20);
/// Wall time of the start, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// The outcome of a simulated run.
#[derive(Clone, Debug, Serialize)]
pub struct SimulationOutcome {
    /// Members.
    pub members: u32,
    /// The seed.
    pub seed: u64,
    /// Simulated seconds.
    pub seconds: f64,
    /// Datagrams sent by each member in a second.
    #[serde(rename = "datagrams")]
    pub datagrams_per_s: f64,
    /// Bytes sent by each member in a second.
    #[serde(rename = "bytes")]
    pub bytes_per_s: f64,
    /// The figures.
    pub figures: MembershipFigures,
    /// Descriptions of the violations.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Something that is due. The order of two at the same time is that of their numbers.
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
    LinksOpen {
        fault: usize,
    },
    CorruptedDatagram {
        fault: usize,
    },
}

/// A datagram that was received while the process was paused.
pub(super) struct PendingDatagram {
    from: u32,
    datagram: Vec<u8>,
}

/// A simulated process.
pub(super) struct SimulatedMember {
    pub machine: Option<Membership>,
    pub start_count: u32,
    pub is_paused: bool,
    /// The datagrams that were received while it was paused.
    pub pending: Vec<PendingDatagram>,
    /// When its timer expires.
    pub timer: Duration,
    pub name: Name,
}

/// A simulated fleet, its links and its clock.
pub(super) struct Simulation<'a> {
    pub experiment: &'a Experiment,
    seed: u64,
    pub now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    event_count: u64,
    pub members: Vec<SimulatedMember>,
    pub links: LinkMatrix,
    pub rng: ChaCha8Rng,
    pub samples: DatagramSamples,
    keeps_samples: bool,
    checker: MembershipChecker,
    /// By fault, the balancers that it affected last.
    pub fault_peers: Vec<FaultPeers>,
    sent_datagrams: u64,
    sent_bytes: u64,
    count_traffic_from: Duration,
}

/// Runs the faults of an experiment that affect balancers, over its length. With `is_known` all
/// members know each other from their first start on; without, they have to discover each other.
pub fn simulate(
    experiment: &Experiment,
    seed: u64,
    is_known: bool,
) -> Result<SimulationOutcome, ConfigError> {
    let count = experiment.fleet.balancers;
    let mut simulation = Simulation::new(experiment, seed);
    if is_known {
        simulation.start_known()?;
    } else {
        simulation.schedule_starts();
    }
    for (fault, what) in experiment.faults.iter().enumerate() {
        simulation.schedule(what.start, SimulationEvent::FaultBegins { fault });
    }
    simulation.run()?;
    let counted_s = (experiment.length - simulation.count_traffic_from).as_secs_f64();
    let member_seconds = counted_s * f64::from(count);
    let report = simulation.checker.finish();
    Ok(SimulationOutcome {
        members: count,
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
            keeps_samples: experiment.resends_datagrams(),
            checker: MembershipChecker::default(),
            fault_peers: vec![FaultPeers::default(); experiment.faults.len()],
            sent_datagrams: 0,
            sent_bytes: 0,
            count_traffic_from: COUNT_TRAFFIC_FROM.min(experiment.length / 2),
        }
    }

    pub(super) fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.event_count += 1;
        self.queue.push(Reverse((at, self.event_count, event)));
    }

    fn schedule_starts(&mut self) {
        for member in 0..self.experiment.fleet.balancers {
            let at = START_WITHIN.mul_f64(self.rng.random::<f64>());
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
                SimulationEvent::LinksOpen { fault } => {
                    let FaultPeers { targets, peers } = &self.fault_peers[fault];
                    self.links
                        .set_conditions(targets, peers, LinkConditions::default());
                }
                SimulationEvent::CorruptedDatagram { fault } => self.inject_corrupted(fault),
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

    fn start_known(&mut self) -> Result<(), ConfigError> {
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
            incarnation: EPOCH_MS + self.now.as_millis() as u64,
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

    /// Executes the outputs of a state machine, and schedules its timer.
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
        if self.now >= self.count_traffic_from {
            self.sent_datagrams += 1;
            self.sent_bytes += datagram.len() as u64;
        }
        if self.keeps_samples {
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
            // The state machine counts the datagrams that it drops.
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
