//! A seeded random number generator.

use std::ops::{Deref, DerefMut};

/// A random number generator: equal seeds give equal sequences of numbers.
pub(crate) struct Random(fastrand::Rng);

impl Random {
    pub(crate) fn with_seed(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed))
    }
}

impl Deref for Random {
    type Target = fastrand::Rng;

    fn deref(&self) -> &fastrand::Rng {
        &self.0
    }
}

impl DerefMut for Random {
    fn deref_mut(&mut self) -> &mut fastrand::Rng {
        &mut self.0
    }
}
