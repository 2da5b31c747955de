//! Comparing two views that should be alike, in datagrams: by hashes of parts of them, and of parts of the parts that
//! differ, until what is in a part can be told.
//!
//! News that travel by gossip miss one or another now and then, and who has just started has missed all of them.

use crate::identity::{Identity, Name};
use rand::RngExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Parts of a part.
pub const WAYS: usize = 16;
/// Bits that tell them apart.
const BITS: u32 = 4;
/// Parts are not taken apart further than this.
const DEEPEST: u8 = 7;
/// A part of up to so many members is told as it is.
const TOLD_WHOLE: usize = 8;
/// Parts that differ that are followed up at a time; chance finds the others.
const FOLLOWED: usize = 4;

/// A part of all names: those whose hash begins with so many times four bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    depth: u8,
    prefix: u32,
}

/// Where a name is among all parts: the same in each process.
pub fn position(name: &Name) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_str().as_bytes());
    hasher.finish() as u32
}

/// The same for a life in each process; a digest of many is the exclusive or of theirs.
pub fn hash(id: &Identity) -> u64 {
    let mut hasher = SipHasher13::new();
    (id.name.as_str(), id.boot, id.turn).hash(&mut hasher);
    hasher.finish()
}

impl Part {
    /// Whether a part that came in a datagram can be meant.
    pub fn is_sound(self) -> bool {
        self.depth <= DEEPEST && (self.depth > 0 || self.prefix == 0)
    }

    /// Whether a name at a position is in it.
    pub fn holds(self, position: u32) -> bool {
        self.depth == 0 || position >> (u32::BITS - BITS * u32::from(self.depth)) == self.prefix
    }

    /// In which part of it a name at a position is.
    fn way(self, position: u32) -> usize {
        (position >> (u32::BITS - BITS * (u32::from(self.depth) + 1))) as usize % WAYS
    }

    fn inner(self, way: usize) -> Self {
        Self {
            depth: self.depth + 1,
            prefix: (self.prefix << BITS) | way as u32,
        }
    }

    /// The hashes of its parts, over the positions and hashes of who is there.
    pub fn hashes(self, there: impl Iterator<Item = (u32, u64)>) -> [u32; WAYS] {
        let mut hashes = [0; WAYS];
        for (position, hash) in there.filter(|(position, _)| self.holds(*position)) {
            hashes[self.way(position)] ^= hash as u32;
        }
        hashes
    }

    /// What to do about parts that differ from another view's: compare further, or tell.
    pub fn follow(
        self,
        own: &[u32; WAYS],
        theirs: &[u32; WAYS],
        known: impl Iterator<Item = u32>,
        rng: &mut impl RngExt,
    ) -> Vec<Follow> {
        let mut counts = [0; WAYS];
        known
            .filter(|at| self.holds(*at))
            .for_each(|at| counts[self.way(at)] += 1);
        let mut differ: Vec<usize> = (0..WAYS).filter(|way| own[*way] != theirs[*way]).collect();
        differ.shuffle(rng);
        differ.truncate(FOLLOWED);
        let follow = |way| match self.inner(way) {
            part if counts[way] <= TOLD_WHOLE || part.depth >= DEEPEST => Follow::Tell(part),
            part => Follow::Compare(part),
        };
        differ.into_iter().map(follow).collect()
    }
}

/// What to do about a part that differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follow {
    /// Tell the other what is known of it, and ask for the same.
    Tell(Part),
    /// Send the hashes of its parts.
    Compare(Part),
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::identity::Place;
    use rand::SeedableRng;
    use rand::rngs::StdRng;

    fn life(n: u64, boot: u64) -> Identity {
        let name = Name::new(&format!("m{n}")).expect("a name");
        Identity {
            name,
            place: Place(0),
            boot,
            turn: 0,
            leaving: false,
        }
    }

    #[test]
    fn each_name_is_in_one_part_of_each_depth_and_following_finds_what_differs() {
        let all: Vec<Identity> = (0..2000).map(|n| life(n, 1)).collect();
        let mut other = all.clone();
        other[700] = life(700, 2);
        let (mut part, mut rng) = (Part::default(), StdRng::seed_from_u64(1));
        for _ in 0..DEEPEST {
            let at = |id: &Identity| position(&id.name);
            assert!(part.is_sound() && part.holds(at(&all[700])));
            let hashes = |of: &[Identity]| part.hashes(of.iter().map(|id| (at(id), hash(id))));
            let positions = all.iter().map(at);
            match part.follow(&hashes(&all), &hashes(&other), positions, &mut rng)[..] {
                [Follow::Compare(inner)] => part = inner,
                [Follow::Tell(inner)] => {
                    assert!(inner.holds(at(&all[700])));
                    let told = all.iter().filter(|id| inner.holds(at(id))).count();
                    assert!((1..=TOLD_WHOLE).contains(&told));
                    return;
                }
                ref other => panic!("one part differs, not {other:?}"),
            }
        }
        panic!("never told");
    }
}
