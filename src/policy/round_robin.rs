//! Round robin over the upstreams of the subset, by weight, with the skip rule: an upstream that
//! has clearly more in flight than the next ones loses its turn.

use super::upstreams::{Upstream, Upstreams};
use super::weights::SlowStartRate;
use std::collections::VecDeque;

/// Turns looked ahead by the skip rule; two is the design's.
const LOOKAHEAD: usize = 3;
/// This many times what another in sight has in flight, and half an attempt more, is clearly more.
const SKIP_MULTIPLE: f64 = 1.5;
const SKIP_MARGIN: f64 = 0.5;
/// Turns that an upstream can save up; one in slow start saves fewer.
const MAX_DEFICIT: f64 = 2.0;
const MAX_SLOW_START_DEFICIT: f64 = 1.5;
/// Rounds after which the search for an upstream with a turn is given up.
const MAX_ROUNDS: usize = 8;

/// Turns that one upstream has earned and not taken.
pub(super) struct Deficit {
    turns: f64,
}

impl Deficit {
    pub(super) fn new(turns: f64) -> Self {
        Self { turns }
    }
}

/// The order in which the upstreams of the subset take turns.
#[derive(Default)]
pub(super) struct Rotation {
    /// In this balancer's own order: balancers' cursors must not march in step.
    members: Vec<usize>,
    /// sigma: the member that was looked at last.
    cursor: usize,
    /// Turns that come next, already taken off the deficits.
    lookahead: VecDeque<usize>,
}

impl Rotation {
    /// The upstreams that take turns.
    pub(super) fn members(&self) -> &[usize] {
        &self.members
    }

    /// The members, from the one after the cursor on.
    pub(super) fn after_cursor(&self) -> impl Iterator<Item = usize> {
        let count = self.members.len();
        (1..=count).map(move |step| self.members[(self.cursor + step) % count])
    }

    /// Starts anew with other members.
    pub(super) fn replace(&mut self, members: Vec<usize>) {
        (self.members, self.cursor) = (members, 0);
        self.lookahead.clear();
    }

    /// Upstreams in slow start earn turns by time: where others are skipped the rotation is faster.
    pub(super) fn earn_slow_start_turns(
        &self,
        upstreams: &mut Upstreams,
        rate: SlowStartRate,
        elapsed_s: f64,
    ) {
        for slot in &self.members {
            let upstream = &mut upstreams[*slot];
            if upstream.weight.is_warming_up() {
                let earned = elapsed_s * rate.warm_rate * rate.multiple * upstream.weight.weight();
                let turns = upstream.deficit.turns + earned;
                upstream.deficit.turns = turns.min(MAX_SLOW_START_DEFICIT);
            }
        }
    }

    /// Drops the turns of upstreams that can't take them any more.
    pub(super) fn drop_unusable(&mut self, upstreams: &Upstreams) {
        self.lookahead.retain(|slot| {
            let upstream = &upstreams[*slot];
            upstream.weight.weight() > 0.0 && upstream.endpoint.is_ready()
        });
    }

    /// The next upstream in turn that `accepts` holds for and that has not clearly more in flight
    /// than the least of those in sight. Who is passed over by `accepts` keeps its turn.
    pub(super) fn next(
        &mut self,
        upstreams: &mut Upstreams,
        accepts: impl Fn(&Upstream) -> bool,
        in_flight: impl Fn(&Upstream) -> f64,
    ) -> Option<usize> {
        self.look_ahead(upstreams, &accepts);
        let accepted = self
            .lookahead
            .iter()
            .filter(|slot| accepts(&upstreams[**slot]));
        let in_sight = accepted
            .take(LOOKAHEAD)
            .map(|slot| in_flight(&upstreams[*slot]));
        let least = in_sight.fold(f64::INFINITY, f64::min);
        let mut position = 0;
        while let Some(&slot) = self.lookahead.get(position) {
            if !accepts(&upstreams[slot]) {
                position += 1;
                continue;
            }
            self.lookahead.remove(position);
            if in_flight(&upstreams[slot]) <= least * SKIP_MULTIPLE + SKIP_MARGIN {
                return Some(slot);
            }
        }
        None
    }

    /// Takes turns in until enough accepted ones are in sight.
    fn look_ahead(&mut self, upstreams: &mut Upstreams, accepts: impl Fn(&Upstream) -> bool) {
        let longest = LOOKAHEAD + self.members.len();
        let mut in_sight = self
            .lookahead
            .iter()
            .filter(|slot| accepts(&upstreams[**slot]))
            .count();
        while in_sight < LOOKAHEAD && self.lookahead.len() < longest {
            let Some(slot) = self.step(upstreams) else {
                break;
            };
            self.lookahead.push_back(slot);
            in_sight += usize::from(accepts(&upstreams[slot]));
        }
        if self.lookahead.len() >= longest {
            self.lookahead.pop_front();
        }
    }

    /// Moves the cursor to the next upstream that has earned a turn, and takes the turn.
    fn step(&mut self, upstreams: &mut Upstreams) -> Option<usize> {
        for _ in 0..self.members.len() * MAX_ROUNDS {
            self.cursor = (self.cursor + 1) % self.members.len();
            let slot = self.members[self.cursor];
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
