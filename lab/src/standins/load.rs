//! The load: arrivals with their classes and tenants, drawn before the run.

use crate::experiment::Experiment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::f64::consts::TAU;

/// A client's request, as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u16,
    /// The key that it concerns.
    pub key: u32,
    /// Whether the client complies with `Retry-After`.
    pub honors_retry_after: bool,
    /// Seed of its own draws: which balancers it is sent to, and how long it waits before a retry.
    pub seed: u64,
}

/// The load of an experiment: a Poisson process whose rate varies, by thinning (Lewis and Shedler).
pub fn draw_load(experiment: &Experiment, seed: u64) -> Vec<Arrival> {
    let load = &experiment.load;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let max_rate = load.rate_per_s * (1.0 + load.rate_amplitude);
    let mut at_s = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at_s += -(1.0 - rng.random::<f64>()).ln() / max_rate;
        if at_s >= experiment.length.as_secs_f64() {
            return arrivals;
        }
        let wave = (TAU * at_s / load.period_s).sin();
        let rate = load.rate_per_s * (1.0 + load.rate_amplitude * wave);
        let thinning = rng.random::<f64>();
        let class = rng.random::<f64>();
        let tenant = rng.random::<f64>();
        // A few keys are far more popular than the rest.
        let key = (f64::from(load.key_count).powf(rng.random::<f64>()) - 1.0) as u32;
        let honors_retry_after = rng.random::<f64>() < load.retry_after_compliance;
        let seed = rng.random();
        if thinning * max_rate <= rate {
            let class = pick(class, experiment.classes.iter().map(|class| class.share));
            let tenant = pick(tenant, experiment.tenants.iter().map(|tenant| tenant.share));
            arrivals.push(Arrival {
                at_s,
                class,
                tenant,
                key,
                honors_retry_after,
                seed,
            });
        }
    }
}

/// The index that a number between 0 and 1 falls on.
fn pick(mut position: f64, shares: impl Iterator<Item = f64>) -> u16 {
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index as u16;
        position -= share;
        if position < 0.0 {
            break;
        }
    }
    last
}
