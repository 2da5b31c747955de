//! The processes that a target means.

use crate::experiment::{Fleet, Target};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// The processes that a target means, by number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResolvedTargets {
    /// Balancers.
    pub balancers: Vec<u32>,
    /// Upstreams.
    pub upstreams: Vec<u32>,
    /// The discovery service.
    pub has_discovery: bool,
    /// The clients.
    pub has_clients: bool,
}

impl ResolvedTargets {
    /// Resolves a target of a fleet. `OtherBalancers` means none here: which ones it means depends
    /// on another target.
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

/// The balancers that a target means, where it names some.
pub fn choose_balancers(target: &Target, count: u32, rng: &mut ChaCha8Rng) -> Vec<u32> {
    match target {
        Target::Balancer(number) => vec![*number],
        Target::BalancerRange { first, last } => (*first..=*last).collect(),
        Target::BalancerShare(share) => choose_share(*share, count, rng),
        _ => Vec::new(),
    }
}

fn choose_share(share: f64, count: u32, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let mut numbers: Vec<u32> = (0..count).collect();
    numbers.shuffle(rng);
    numbers.truncate((share * f64::from(count)).round() as usize);
    numbers
}
