//! A hash that does not depend on the version of the compiler or the standard library.

use std::time::Duration;

/// The 64-bit FNV-1a hash of a sequence of little-endian words.
pub struct Digest(pub u64);

impl Digest {
    pub fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    pub fn word(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    pub fn duration(&mut self, duration: Option<Duration>) {
        self.word(duration.map_or(u64::MAX, |d| d.as_nanos() as u64));
    }
}
