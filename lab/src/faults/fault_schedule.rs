//! The schedule of an experiment's faults: all occurrences, with targets drawn from the seed.

use super::ResolvedTargets;
use super::description::describe;
use crate::experiment::{Experiment, Fault, Target};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// One occurrence of a fault.
#[derive(Clone, Debug)]
pub struct FaultOccurrence {
    /// The position of the occurrence in the schedule, from 0.
    pub number: u64,
    /// The fault; its `start` is the start of this occurrence.
    pub fault: Fault,
    /// The processes that the occurrence affects.
    pub targets: ResolvedTargets,
    /// The processes at the other ends of the affected links; `None` if the fault names no peer,
    /// and empty if the peer is `OtherBalancers`.
    pub peers: Option<ResolvedTargets>,
}

impl FaultOccurrence {
    /// Creates an occurrence. Random targets and peers are drawn from `seed` and `number`.
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

    /// Returns a text with the target and the effect of the fault.
    pub fn description(&self) -> String {
        describe(&self.fault)
    }

    /// Returns the duration of the occurrence in seconds; `None` if its end is not known in
    /// advance.
    pub fn duration_s(&self) -> Option<f64> {
        self.fault
            .kind
            .duration()
            .as_ref()
            .map(Duration::as_secs_f64)
    }

    /// Returns the numbers of the balancers at the other ends of the affected links. The result is
    /// empty if the fault names no balancers as peers. If the peer is `OtherBalancers`, the result
    /// is all of the run's balancers that are not targets. `balancer_count` is the number of
    /// balancers in the run.
    pub(super) fn peer_balancers(&self, balancer_count: u32) -> Vec<u32> {
        match self.fault.peer {
            Some(Target::OtherBalancers) => (0..balancer_count)
                .filter(|number| !self.targets.balancers.contains(number))
                .collect(),
            _ => self
                .peers
                .as_ref()
                .map_or_else(Vec::new, |peers| peers.balancers.clone()),
        }
    }
}

/// Returns all occurrences of an experiment's faults, ordered by start.
pub fn fault_schedule(experiment: &Experiment, seed: u64) -> Vec<FaultOccurrence> {
    let mut faults = Vec::new();
    for fault in &experiment.faults {
        faults.extend(occurrences(fault, experiment.length));
    }
    faults.sort_by_key(|fault| fault.start);
    (0u64..)
        .zip(faults)
        .map(|(number, fault)| FaultOccurrence::draw(number, fault, experiment, seed))
        .collect()
}

/// Returns one copy of a fault for each of its occurrences, with the start of that occurrence.
/// `length` is the length of the run.
fn occurrences(fault: &Fault, length: Duration) -> Vec<Fault> {
    let until = fault.repeat_until.unwrap_or(length);
    let mut occurrences = vec![fault.clone()];
    let mut start = fault.start;
    while let Some(interval) = fault
        .repeat_interval
        .filter(|interval| start + *interval < until)
    {
        start += interval;
        occurrences.push(Fault {
            start,
            ..fault.clone()
        });
    }
    occurrences
}
