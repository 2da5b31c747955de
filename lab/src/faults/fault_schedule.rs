//! The occurrences of an experiment's faults, each with its targets, as drawn from the seed.

use super::ResolvedTargets;
use super::description::describe;
use crate::experiment::{Experiment, Fault, Target};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// One occurrence of a fault.
#[derive(Clone, Debug)]
pub struct FaultOccurrence {
    /// Its number in the order of time.
    pub number: u64,
    /// The fault, with the start of this occurrence.
    pub fault: Fault,
    /// The processes that it affects.
    pub targets: ResolvedTargets,
    /// The processes at the other ends of links, where the fault names them.
    pub peers: Option<ResolvedTargets>,
}

impl FaultOccurrence {
    /// Draws the targets of one occurrence.
    fn draw(number: u64, fault: Fault, experiment: &Experiment, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((number + 1) << 40));
        let fleet = &experiment.fleet;
        let targets = ResolvedTargets::resolve(&fault.target, fleet, &mut rng);
        let peers = fault
            .peer
            .as_ref()
            .map(|peer| ResolvedTargets::resolve(peer, fleet, &mut rng));
        Self {
            number,
            fault,
            targets,
            peers,
        }
    }

    /// A description of the fault.
    pub fn description(&self) -> String {
        describe(&self.fault)
    }

    /// Seconds until it ends, as far as that is known before.
    pub fn duration_s(&self) -> Option<f64> {
        self.fault
            .kind
            .duration()
            .as_ref()
            .map(Duration::as_secs_f64)
    }

    /// The balancers at the other ends of links between balancers.
    pub(super) fn peer_balancers(&self, count: u32) -> Vec<u32> {
        match self.fault.peer {
            Some(Target::OtherBalancers) => (0..count)
                .filter(|number| !self.targets.balancers.contains(number))
                .collect(),
            _ => self
                .peers
                .as_ref()
                .map_or_else(Vec::new, |peers| peers.balancers.clone()),
        }
    }
}

/// All occurrences of an experiment's faults, in the order of time.
pub fn fault_schedule(experiment: &Experiment, seed: u64) -> Vec<FaultOccurrence> {
    let mut faults = Vec::new();
    for fault in &experiment.faults {
        faults.extend(repetitions(fault, experiment.length));
    }
    faults.sort_by_key(|fault| fault.start);
    (0u64..)
        .zip(faults)
        .map(|(number, fault)| FaultOccurrence::draw(number, fault, experiment, seed))
        .collect()
}

/// A fault as often as it occurs.
fn repetitions(fault: &Fault, length: Duration) -> Vec<Fault> {
    let until = fault.repeat_until.unwrap_or(length);
    let mut repetitions = vec![fault.clone()];
    let mut start = fault.start;
    while let Some(interval) = fault
        .repeat_interval
        .filter(|interval| start + *interval < until)
    {
        start += interval;
        repetitions.push(Fault {
            start,
            ..fault.clone()
        });
    }
    repetitions
}
