//! The load of a run: all requests with their times, classes and tenants, drawn before the run.

use crate::experiment::Experiment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::f64::consts::TAU;

/// A client's request, as drawn before the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time when it is due, in seconds from the start of the load.
    pub at_s: f64,
    /// Index of its class in the experiment.
    pub class: u16,
    /// Index of its tenant in the experiment.
    pub tenant: u16,
    /// Number of the key that the request concerns, from 0; sent as `user` in the `cookie` header.
    pub key: u32,
    /// Whether the client waits for the time in `Retry-After` before it retries.
    pub honors_retry_after: bool,
    /// Seed of the draws during the run: the balancer of each attempt, and the backoff before each
    /// retry.
    pub seed: u64,
}

/// Draws the load of an experiment: a Poisson process whose rate varies as a sine, by the thinning
/// method of Lewis and Shedler.
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
        let class_draw = rng.random::<f64>();
        let tenant_draw = rng.random::<f64>();
        // The exponential of a uniform draw makes a few low keys far more frequent than the rest.
        let key = (f64::from(load.key_count).powf(rng.random::<f64>()) - 1.0) as u32;
        let honors_retry_after = rng.random::<f64>() < load.retry_after_compliance;
        let seed = rng.random();
        if thinning * max_rate <= rate {
            let class = pick(
                class_draw,
                experiment.classes.iter().map(|class| class.share),
            );
            let tenant = pick(
                tenant_draw,
                experiment.tenants.iter().map(|tenant| tenant.share),
            );
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

/// Returns the index of the share that contains `position` (from 0 to 1) when the shares are laid
/// end to end from 0.
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
