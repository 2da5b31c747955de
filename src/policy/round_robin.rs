//! Weighted round robin over the upstreams of the subset, with the skip rule: an upstream that has
//! clearly more requests in flight per unit of capacity than the next ones loses its turn.

use super::upstreams::{Upstream, Upstreams};
use super::weights::SlowStartRate;
use std::collections::VecDeque;

/// Number of upcoming turns whose upstreams the skip rule compares. The published round-robin
/// design that this rule extends compares the next two turns.
const LOOKAHEAD_COUNT: usize = 3;
/// Factor of the skip rule: an upstream is skipped if its attempts in flight per unit of capacity
/// exceed the lowest value compared times this factor, plus [`SKIP_MARGIN_ATTEMPTS`].
const SKIP_MULTIPLE: f64 = 1.5;
/// Margin of the skip rule, in attempts in flight per unit of capacity.
const SKIP_MARGIN_ATTEMPTS: f64 = 0.5;
/// Largest deficit, in turns, of an upstream outside slow start.
const MAX_DEFICIT: f64 = 2.0;
/// Largest deficit, in turns, of an upstream in slow start.
const MAX_SLOW_START_DEFICIT: f64 = 1.5;
/// Number of rounds of the rotation after which the search for an upstream with a turn ends without
/// one.
const MAX_ROUNDS: usize = 8;

/// The deficit counter of one upstream, as in deficit round robin: the number of turns that the
/// upstream has gained and not taken.
pub(super) struct Deficit {
    turns: f64,
}

impl Deficit {
    pub(super) fn new(turns: f64) -> Self {
        Self { turns }
    }
}

/// The upstreams of the subset, in the order in which they take turns.
#[derive(Default)]
pub(super) struct Rotation {
    /// Slots of the upstreams, in an order that differs between balancers: balancers must not step
    /// through the upstreams in the same order.
    member_slots: Vec<usize>,
    /// Position in `member_slots` of the last member that was considered for a turn (sigma in the
    /// paper).
    cursor: usize,
    /// Slots of the upstreams that have the upcoming turns, in order. These turns are already
    /// subtracted from the deficits.
    lookahead: VecDeque<usize>,
}

impl Rotation {
    /// Returns the slots of the upstreams of the rotation, in the order in which they take turns.
    pub(super) fn member_slots(&self) -> &[usize] {
        &self.member_slots
    }

    /// Returns the slots of all members, starting with the one after the cursor.
    pub(super) fn after_cursor(&self) -> impl Iterator<Item = usize> {
        let member_count = self.member_slots.len();
        (1..=member_count)
            .map(move |offset| self.member_slots[(self.cursor + offset) % member_count])
    }

    /// Replaces the members and restarts the rotation.
    pub(super) fn replace(&mut self, member_slots: Vec<usize>) {
        (self.member_slots, self.cursor) = (member_slots, 0);
        self.lookahead.clear();
    }

    /// Adds turns to the deficits of the upstreams in slow start, in proportion to `elapsed_s`.
    /// Upstreams outside slow start gain turns in each round instead. Rounds follow each other
    /// faster while upstreams are skipped, and this must not give more turns to upstreams in slow
    /// start.
    pub(super) fn add_slow_start_deficit(
        &self,
        upstreams: &mut Upstreams,
        slow_start_rate: SlowStartRate,
        elapsed_s: f64,
    ) {
        for slot in &self.member_slots {
            let upstream = &mut upstreams[*slot];
            if upstream.weight.is_warming_up() {
                let added_deficit = elapsed_s
                    * slow_start_rate.steady_rate_per_s
                    * slow_start_rate.rate_multiple
                    * upstream.weight.weight();
                let turns = upstream.deficit.turns + added_deficit;
                upstream.deficit.turns = turns.min(MAX_SLOW_START_DEFICIT);
            }
        }
    }

    /// Removes the upcoming turns of upstreams that can no longer take them.
    pub(super) fn drop_unusable(&mut self, upstreams: &Upstreams) {
        self.lookahead.retain(|slot| {
            let upstream = &upstreams[*slot];
            upstream.weight.weight() > 0.0 && upstream.endpoint.is_ready()
        });
    }

    /// Returns the slot of the next upstream in turn for which `accepts` is true and that the skip
    /// rule does not skip; `None` if there is none. The skip rule skips an upstream whose
    /// `in_flight_per_capacity` is clearly above the lowest value of the upstreams compared. A
    /// skipped upstream loses its turn; an upstream for which `accepts` is false retains its turn.
    pub(super) fn next(
        &mut self,
        upstreams: &mut Upstreams,
        accepts: impl Fn(&Upstream) -> bool,
        in_flight_per_capacity: impl Fn(&Upstream) -> f64,
    ) -> Option<usize> {
        self.fill_lookahead(upstreams, &accepts);
        let accepted = self
            .lookahead
            .iter()
            .filter(|slot| accepts(&upstreams[**slot]));
        let compared = accepted
            .take(LOOKAHEAD_COUNT)
            .map(|slot| in_flight_per_capacity(&upstreams[*slot]));
        let min_in_flight_per_capacity = compared.fold(f64::INFINITY, f64::min);
        let mut lookahead_position = 0;
        while let Some(&slot) = self.lookahead.get(lookahead_position) {
            if !accepts(&upstreams[slot]) {
                lookahead_position += 1;
                continue;
            }
            self.lookahead.remove(lookahead_position);
            if in_flight_per_capacity(&upstreams[slot])
                <= min_in_flight_per_capacity * SKIP_MULTIPLE + SKIP_MARGIN_ATTEMPTS
            {
                return Some(slot);
            }
        }
        None
    }

    /// Adds upcoming turns to the lookahead until `accepts` is true for the upstreams of
    /// [`LOOKAHEAD_COUNT`] turns. If the lookahead reaches its maximum length, its first turn is
    /// discarded.
    fn fill_lookahead(&mut self, upstreams: &mut Upstreams, accepts: impl Fn(&Upstream) -> bool) {
        let max_lookahead_len = LOOKAHEAD_COUNT + self.member_slots.len();
        let mut accepted_count = self
            .lookahead
            .iter()
            .filter(|slot| accepts(&upstreams[**slot]))
            .count();
        while accepted_count < LOOKAHEAD_COUNT && self.lookahead.len() < max_lookahead_len {
            let Some(slot) = self.step(upstreams) else {
                break;
            };
            self.lookahead.push_back(slot);
            accepted_count += usize::from(accepts(&upstreams[slot]));
        }
        if self.lookahead.len() >= max_lookahead_len {
            self.lookahead.pop_front();
        }
    }

    /// Moves the cursor to the next upstream with a turn, and subtracts the turn from its deficit.
    /// Returns its slot; `None` if no upstream gains a turn within [`MAX_ROUNDS`].
    fn step(&mut self, upstreams: &mut Upstreams) -> Option<usize> {
        for _ in 0..self.member_slots.len() * MAX_ROUNDS {
            self.cursor = (self.cursor + 1) % self.member_slots.len();
            let slot = self.member_slots[self.cursor];
            let upstream = &mut upstreams[slot];
            let weight = upstream.weight.weight();
            if weight <= 0.0 {
                continue;
            }
            let deficit = &mut upstream.deficit.turns;
            if !upstream.weight.is_warming_up() {
                *deficit = (*deficit + weight).min(MAX_DEFICIT);
            }
            if *deficit >= 1.0 {
                *deficit -= 1.0;
                return Some(slot);
            }
        }
        None
    }
}
