//! Injects the faults of an experiment into a simulated run.

use super::simulation::{Simulation, SimulationEvent};
use crate::experiment::{Fault, FaultKind, Target};
use crate::faults::choose_balancers;
use crate::history::ProcessState;
use frostkeel_membership::Name;
use rand::Rng;
use std::time::Duration;

/// Time from the graceful shutdown of a balancer until it is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Numbers of the balancers that one occurrence of a fault affects.
#[derive(Clone, Default)]
pub(super) struct AffectedBalancers {
    /// Balancers that the fault is applied to.
    pub targets: Vec<u32>,
    /// Balancers at the other ends of the links that the fault impairs. Empty if the fault names no
    /// balancers as peers; the simulation then impairs no links.
    pub peers: Vec<u32>,
}

impl Simulation<'_> {
    /// Injects one occurrence of the fault at `index` in the experiment. Schedules the end of this
    /// occurrence and the start of the next.
    pub(super) fn begin_fault(&mut self, index: usize) {
        let experiment = self.experiment;
        let fault = &experiment.faults[index];
        let affected = self.choose_affected(fault);
        let targets = affected.targets.clone();
        self.affected_by_fault[index] = affected;
        for member in &targets {
            self.apply_to_member(*member, &fault.kind);
        }
        match &fault.kind {
            FaultKind::ImpairLinks {
                conditions,
                duration,
            } => {
                let AffectedBalancers { targets, peers } = &self.affected_by_fault[index];
                self.links.set_conditions(targets, peers, *conditions);
                let end = self.now + *duration;
                self.schedule(end, SimulationEvent::LinkFaultEnds { fault: index });
            }
            FaultKind::ReplayDatagrams => self.replay_datagrams(&targets),
            FaultKind::InjectDatagrams { .. } => self.inject_corrupted(index),
            _ => {}
        }
        self.schedule_repetition(index, fault);
    }

    fn choose_affected(&mut self, fault: &Fault) -> AffectedBalancers {
        let count = self.experiment.fleet.balancers;
        let targets = choose_balancers(&fault.target, count, &mut self.rng);
        let peers = match &fault.peer {
            Some(Target::OtherBalancers) => (0..count)
                .filter(|number| !targets.contains(number))
                .collect(),
            Some(peer) => choose_balancers(peer, count, &mut self.rng),
            None => Vec::new(),
        };
        AffectedBalancers { targets, peers }
    }

    /// Applies a fault to the process of one member; does nothing if the fault affects links or
    /// datagrams.
    fn apply_to_member(&mut self, number: u32, kind: &FaultKind) {
        match kind {
            FaultKind::Kill {
                restart_after,
                new_name,
            } => {
                self.kill(number, *restart_after, new_name.as_deref());
            }
            FaultKind::Terminate => self.terminate(number),
            FaultKind::Pause { duration } => self.pause(number, *duration),
            _ => {}
        }
    }

    fn kill(&mut self, number: u32, restart_after: Option<Duration>, new_name: Option<&str>) {
        self.record_state(number, ProcessState::Killed);
        let member = &mut self.members[number as usize];
        member.machine = None;
        if let Some(name) = new_name.and_then(|name| Name::new(name).ok()) {
            member.name = name;
        }
        if let Some(restart_after) = restart_after {
            let at = self.now + restart_after;
            self.schedule(at, SimulationEvent::MemberStarts { member: number });
        }
    }

    fn terminate(&mut self, number: u32) {
        self.record_state(number, ProcessState::ShutdownRequested);
        if let Some(machine) = &mut self.members[number as usize].machine {
            machine.leave(self.now);
            self.process_outputs(number);
        }
        self.members[number as usize].machine = None;
        let at = self.now + RESTART_DELAY;
        self.schedule(at, SimulationEvent::MemberStarts { member: number });
    }

    fn pause(&mut self, number: u32, duration: Duration) {
        let member = &mut self.members[number as usize];
        if member.machine.is_some() && !std::mem::replace(&mut member.is_paused, true) {
            self.record_state(number, ProcessState::Paused);
            let at = self.now + duration;
            self.schedule(at, SimulationEvent::MemberResumes { member: number });
        }
    }

    /// Delivers the recorded datagrams again, from each of `senders` to all other members.
    fn replay_datagrams(&mut self, senders: &[u32]) {
        for datagram in self.samples.all().to_vec() {
            for to in 0..self.experiment.fleet.balancers {
                for from in senders.iter().copied().filter(|from| *from != to) {
                    self.on_datagram(to, from, datagram.clone());
                }
            }
        }
    }

    /// Delivers one corrupted datagram from a random target of the fault to a random member;
    /// delivers none if both are the same member. Schedules the next datagram until the fault ends.
    pub(super) fn inject_corrupted(&mut self, index: usize) {
        let fault = &self.experiment.faults[index];
        let FaultKind::InjectDatagrams {
            rate_per_s,
            duration,
        } = fault.kind
        else {
            return;
        };
        let senders = &self.affected_by_fault[index].targets;
        if senders.is_empty() || self.now >= fault.start + duration {
            return;
        }
        let from = senders[self.rng.random_range(0..senders.len())];
        let to = self.rng.random_range(0..self.experiment.fleet.balancers);
        let datagram = self.samples.corrupted(&mut self.rng);
        if from != to {
            self.on_datagram(to, from, datagram);
        }
        let at = self.now + Duration::from_secs_f64(1.0 / rate_per_s);
        self.schedule(at, SimulationEvent::CorruptedDatagramDue { fault: index });
    }

    fn schedule_repetition(&mut self, index: usize, fault: &Fault) {
        let Some(interval) = fault.repeat_interval else {
            return;
        };
        let next = self.now + interval;
        if fault.repeat_until.is_none_or(|until| next < until) {
            self.schedule(next, SimulationEvent::FaultBegins { fault: index });
        }
    }
}
