//! Resolves the target of a fault to numbered processes.

use crate::experiment::{Fleet, Target};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// The processes that the target of a fault consists of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResolvedTargets {
    /// The numbers of the balancers in the target.
    pub balancers: Vec<u32>,
    /// The numbers of the upstreams in the target.
    pub upstreams: Vec<u32>,
    /// Whether the target is the discovery service.
    pub has_discovery: bool,
    /// Whether the target is the clients.
    pub has_clients: bool,
}

impl ResolvedTargets {
    /// Resolves a target in a fleet. `OtherBalancers` resolves to no processes: it stands for the
    /// balancers that are not targets of the fault, and the targets are not known here.
    pub(super) fn resolve(target: &Target, fleet: &Fleet, rng: &mut ChaCha8Rng) -> Self {
        let mut resolved = Self::default();
        match target {
            Target::Balancer(_)
            | Target::BalancerRange { .. }
            | Target::BalancerShare(_)
            | Target::OtherBalancers => {
                resolved.balancers = choose_balancers(target, fleet.balancers, rng);
            }
            Target::Upstream(number) => resolved.upstreams = vec![*number],
            Target::UpstreamShare(share) => {
                resolved.upstreams = choose_share(*share, fleet.upstreams, rng);
            }
            Target::Discovery => resolved.has_discovery = true,
            Target::Clients => resolved.has_clients = true,
        }
        resolved
    }
}

/// Returns the numbers of a target's balancers in a fleet of `count` balancers. The result is empty
/// for `OtherBalancers` and for targets that are not balancers.
pub fn choose_balancers(target: &Target, count: u32, rng: &mut ChaCha8Rng) -> Vec<u32> {
    match target {
        Target::Balancer(number) => vec![*number],
        Target::BalancerRange { first, last } => (*first..=*last).collect(),
        Target::BalancerShare(share) => choose_share(*share, count, rng),
        _ => Vec::new(),
    }
}

/// Draws a random selection of the numbers below `count`. The size of the selection is `share`
/// times `count`, rounded to the nearest whole number.
fn choose_share(share: f64, count: u32, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let mut numbers: Vec<u32> = (0..count).collect();
    numbers.shuffle(rng);
    numbers.truncate((share * f64::from(count)).round() as usize);
    numbers
}
