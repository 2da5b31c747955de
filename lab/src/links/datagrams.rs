//! What becomes of datagrams between processes: the same for real sockets and in simulated time.

use crate::experiment::Way;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Datagrams of each ordered pair that are kept to be sent again, the first that came.
const KEPT: usize = 8;

/// The ways between all ordered pairs of a number of processes.
pub struct Ways {
    count: usize,
    ways: Vec<Way>,
}

impl Ways {
    /// All open.
    pub fn new(count: u32) -> Self {
        let count = count as usize;
        Self {
            count,
            ways: vec![Way::default(); count * count],
        }
    }

    /// The way from one to another.
    pub fn way(&self, from: u32, to: u32) -> Way {
        self.ways
            .get(from as usize * self.count + to as usize)
            .copied()
            .unwrap_or_default()
    }

    /// The ways between some and some others from now on: there, and back.
    pub fn set(&mut self, some: &[u32], others: &[u32], [there, back]: [Way; 2]) {
        for (a, b) in some
            .iter()
            .flat_map(|a| others.iter().map(move |b| (*a as usize, *b as usize)))
        {
            if a != b {
                self.ways[a * self.count + b] = there;
                self.ways[b * self.count + a] = back;
            }
        }
    }
}

/// When copies of a datagram come out of a way: none, one, or two.
pub fn copies(way: &Way, chance: &mut ChaCha8Rng) -> impl Iterator<Item = Duration> + use<> {
    let lost = way.cut || (way.loss > 0.0 && chance.random::<f64>() < way.loss);
    let twice = way.duplicate > 0.0 && chance.random::<f64>() < way.duplicate;
    let mut after = || match way.jitter {
        Duration::ZERO => way.delay,
        jitter => way.delay + jitter.mul_f64(chance.random::<f64>()),
    };
    let first = (!lost).then(&mut after);
    let second = (!lost && twice).then(after);
    first.into_iter().chain(second)
}

/// Datagrams that have passed, to be sent again as they were or damaged.
#[derive(Default)]
pub struct Kept {
    datagrams: Vec<Vec<u8>>,
}

impl Kept {
    /// Keeps one, if it is among the first.
    pub fn keep(&mut self, datagram: &[u8]) {
        if self.datagrams.len() < KEPT {
            self.datagrams.push(datagram.to_vec());
        }
    }

    /// All that are kept.
    pub fn all(&self) -> &[Vec<u8>] {
        &self.datagrams
    }

    /// Something bad: nonsense, or one of those kept with a few bits turned or its end cut off.
    pub fn bad(&self, chance: &mut ChaCha8Rng) -> Vec<u8> {
        if self.datagrams.is_empty() || chance.random::<f64>() < 0.3 {
            let length = chance.random_range(0..300);
            return (0..length).map(|_| chance.random()).collect();
        }
        let mut datagram = self.datagrams[chance.random_range(0..self.datagrams.len())].clone();
        for _ in 0..chance.random_range(1..4) {
            let at = chance.random_range(0..datagram.len().max(1));
            if let Some(byte) = datagram.get_mut(at) {
                *byte ^= 1 << chance.random_range(0..8);
            }
        }
        if chance.random::<f64>() < 0.2 {
            datagram.truncate(chance.random_range(0..=datagram.len()));
        }
        datagram
    }
}
