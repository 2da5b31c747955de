//! The faults of a simulated run.

use super::simulation::{Simulation, SimulationEvent};
use crate::experiment::{Fault, FaultKind, Target};
use crate::faults::choose_balancers;
use crate::history::ProcessState;
use frostkeel_membership::Name;
use rand::Rng;
use std::time::Duration;

/// Time from the graceful shutdown of a balancer until it is restarted.
const RESTART_AFTER: Duration = Duration::from_secs(1);

/// The balancers that an occurrence of a fault affects.
#[derive(Clone, Default)]
pub(super) struct FaultPeers {
    pub targets: Vec<u32>,
    /// At the other ends of links.
    pub peers: Vec<u32>,
}

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, index: usize) {
        let experiment = self.experiment;
        let fault = &experiment.faults[index];
        let fault_peers = self.choose_peers(fault);
        let targets = fault_peers.targets.clone();
        self.fault_peers[index] = fault_peers;
        for member in &targets {
            self.apply_to_member(*member, &fault.kind);
        }
        match &fault.kind {
            FaultKind::ImpairLinks {
                conditions,
                duration,
            } => {
                let FaultPeers { targets, peers } = &self.fault_peers[index];
                self.links.set_conditions(targets, peers, *conditions);
                let end = self.now + *duration;
                self.schedule(end, SimulationEvent::LinksOpen { fault: index });
            }
            FaultKind::ReplayDatagrams => self.replay_datagrams(&targets),
            FaultKind::InjectDatagrams { .. } => self.inject_corrupted(index),
            _ => {}
        }
        self.schedule_repetition(index, fault);
    }

    fn choose_peers(&mut self, fault: &Fault) -> FaultPeers {
        let count = self.experiment.fleet.balancers;
        let targets = choose_balancers(&fault.target, count, &mut self.rng);
        let peers = match &fault.peer {
            Some(Target::OtherBalancers) => (0..count)
                .filter(|number| !targets.contains(number))
                .collect(),
            Some(peer) => choose_balancers(peer, count, &mut self.rng),
            None => Vec::new(),
        };
        FaultPeers { targets, peers }
    }

    /// What a fault does to one member's process.
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
        let at = self.now + RESTART_AFTER;
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

    /// Sends the first datagrams that passed once more, in the name of some to all.
    fn replay_datagrams(&mut self, senders: &[u32]) {
        for datagram in self.samples.all().to_vec() {
            for to in 0..self.experiment.fleet.balancers {
                for from in senders.iter().copied().filter(|from| *from != to) {
                    self.on_datagram(to, from, datagram.clone());
                }
            }
        }
    }

    /// Sends one corrupted datagram, and schedules the next.
    pub(super) fn inject_corrupted(&mut self, index: usize) {
        let fault = &self.experiment.faults[index];
        let FaultKind::InjectDatagrams {
            rate_per_s,
            duration,
        } = fault.kind
        else {
            return;
        };
        let senders = &self.fault_peers[index].targets;
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
        self.schedule(at, SimulationEvent::CorruptedDatagram { fault: index });
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
