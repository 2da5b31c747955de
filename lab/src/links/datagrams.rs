//! The delivery of datagrams under link conditions, for real sockets and for simulated time.

use crate::experiment::{LinkCondition, LinkConditions};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The number of datagrams at the start of the run that are recorded as samples.
const MAX_SAMPLES: usize = 8;
/// The share of the corrupted datagrams that consist of random bytes.
const RANDOM_SHARE: f64 = 0.3;
/// The share of the corrupted datagrams with flipped bits that are also truncated.
const TRUNCATED_SHARE: f64 = 0.2;
/// The exclusive upper limit of the length of random datagrams, in bytes.
const RANDOM_LENGTH_LIMIT_BYTES: usize = 300;

/// The link conditions between all ordered pairs of processes.
pub struct LinkMatrix {
    /// The number of processes.
    count: usize,
    /// The condition of each ordered pair, at the index `sender * count + receiver`.
    conditions: Vec<LinkCondition>,
}

impl LinkMatrix {
    /// Creates the conditions between `count` processes. Until they are set, no datagram is
    /// delayed, lost or duplicated.
    pub fn new(count: u32) -> Self {
        let count = count as usize;
        Self {
            count,
            conditions: vec![LinkCondition::default(); count * count],
        }
    }

    /// Returns the condition of the direction from one process to another.
    pub fn condition(&self, from: u32, to: u32) -> LinkCondition {
        let index = from as usize * self.count + to as usize;
        self.conditions.get(index).copied().unwrap_or_default()
    }

    /// Sets the conditions between each target and each peer: `outbound` from the target to the
    /// peer, `inbound` from the peer to the target. A pair of a process with itself is skipped.
    pub fn set_conditions(&mut self, targets: &[u32], peers: &[u32], conditions: LinkConditions) {
        for target in targets.iter().map(|target| *target as usize) {
            for peer in peers.iter().map(|peer| *peer as usize) {
                if target != peer {
                    self.conditions[target * self.count + peer] = conditions.outbound;
                    self.conditions[peer * self.count + target] = conditions.inbound;
                }
            }
        }
    }
}

/// Draws one delay for each copy of a datagram that is delivered. The result is empty if the
/// datagram is lost, and has two delays if the datagram is duplicated.
pub fn delivery_delays(
    condition: &LinkCondition,
    rng: &mut ChaCha8Rng,
) -> impl Iterator<Item = Duration> + use<> {
    let is_lost = condition.is_cut
        || (condition.loss_share > 0.0 && rng.random::<f64>() < condition.loss_share);
    let is_duplicated =
        condition.duplicate_share > 0.0 && rng.random::<f64>() < condition.duplicate_share;
    let mut delay = || match condition.jitter {
        Duration::ZERO => condition.delay,
        jitter => condition.delay + jitter.mul_f64(rng.random::<f64>()),
    };
    let first = (!is_lost).then(&mut delay);
    let second = (!is_lost && is_duplicated).then(delay);
    first.into_iter().chain(second)
}

/// Recorded datagrams, which faults send again unchanged or corrupted.
#[derive(Default)]
pub struct DatagramSamples {
    samples: Vec<Vec<u8>>,
}

impl DatagramSamples {
    /// Records a datagram if it is among the first 8 of the run.
    pub fn add(&mut self, datagram: &[u8]) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(datagram.to_vec());
        }
    }

    /// Returns all recorded datagrams.
    pub fn all(&self) -> &[Vec<u8>] {
        &self.samples
    }

    /// Returns a corrupted datagram: random bytes, or a sample with up to three flipped bits, which
    /// may also be truncated.
    pub fn corrupted(&self, rng: &mut ChaCha8Rng) -> Vec<u8> {
        if self.samples.is_empty() || rng.random::<f64>() < RANDOM_SHARE {
            let length = rng.random_range(0..RANDOM_LENGTH_LIMIT_BYTES);
            return (0..length).map(|_| rng.random()).collect();
        }
        let mut datagram = self.samples[rng.random_range(0..self.samples.len())].clone();
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..datagram.len().max(1));
            if let Some(byte) = datagram.get_mut(index) {
                *byte ^= 1 << rng.random_range(0..8);
            }
        }
        if rng.random::<f64>() < TRUNCATED_SHARE {
            datagram.truncate(rng.random_range(0..=datagram.len()));
        }
        datagram
    }
}
