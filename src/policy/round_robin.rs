//! Round robin over the upstreams of the subset, by weight, with the skip rule: an upstream that
//! has clearly more in flight than the next ones loses its turn.

use super::upstreams::{Upstream, Upstreams};
use super::weights::SlowStartRate;
use std::collections::VecDeque;

/// Turns that the skip rule compares; the design has two.
const LOOKAHEAD: usize = 3;
/// An upstream is skipped if it has more in flight than this multiple of the least looked at, and
/// half an attempt more.
const SKIP_MULTIPLE: f64 = 1.5;
const SKIP_MARGIN: f64 = 0.5;
/// Largest deficits, in turns.
const MAX_DEFICIT: f64 = 2.0;
const MAX_SLOW_START_DEFICIT: f64 = 1.5;
/// Rounds after which the search for an upstream with a turn ends.
const MAX_ROUNDS: usize = 8;

/// Turns that one upstream has earned and not taken.
pub(super) struct Deficit {
    amount: f64,
}

impl Deficit {
    pub(super) fn new(amount: f64) -> Self {
        Self { amount }
    }
}

/// The order in which the upstreams of the subset take turns.
#[derive(Default)]
pub(super) struct Rotation {
    /// In this balancer's own order: the cursors of balancers must not be synchronized.
    members: Vec<usize>,
    /// sigma: the position of the last member that was considered.
    cursor: usize,
    /// The next turns, already taken off the deficits.
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

    /// Restarts with other members.
    pub(super) fn replace(&mut self, members: Vec<usize>) {
        (self.members, self.cursor) = (members, 0);
        self.lookahead.clear();
    }

    /// Adds the turns of upstreams in slow start, by time: they must not get more where others are
    /// skipped.
    pub(super) fn earn_slow_start_deficit(
        &self,
        upstreams: &mut Upstreams,
        rate: SlowStartRate,
        elapsed_s: f64,
    ) {
        for slot in &self.members {
            let upstream = &mut upstreams[*slot];
            if upstream.weight.is_warming_up() {
                let earned =
                    elapsed_s * rate.steady_rate * rate.multiple * upstream.weight.weight();
                let amount = upstream.deficit.amount + earned;
                upstream.deficit.amount = amount.min(MAX_SLOW_START_DEFICIT);
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

    /// The next upstream in turn that `accepts` is true for and that has not clearly more in flight
    /// than the least of those compared. An upstream that `accepts` rejects retains its turn.
    pub(super) fn next(
        &mut self,
        upstreams: &mut Upstreams,
        accepts: impl Fn(&Upstream) -> bool,
        in_flight: impl Fn(&Upstream) -> f64,
    ) -> Option<usize> {
        self.fill_lookahead(upstreams, &accepts);
        let accepted = self
            .lookahead
            .iter()
            .filter(|slot| accepts(&upstreams[**slot]));
        let visible = accepted
            .take(LOOKAHEAD)
            .map(|slot| in_flight(&upstreams[*slot]));
        let min_in_flight = visible.fold(f64::INFINITY, f64::min);
        let mut position = 0;
        while let Some(&slot) = self.lookahead.get(position) {
            if !accepts(&upstreams[slot]) {
                position += 1;
                continue;
            }
            self.lookahead.remove(position);
            if in_flight(&upstreams[slot]) <= min_in_flight * SKIP_MULTIPLE + SKIP_MARGIN {
                return Some(slot);
            }
        }
        None
    }

    /// Looks ahead until enough upstreams are accepted.
    fn fill_lookahead(&mut self, upstreams: &mut Upstreams, accepts: impl Fn(&Upstream) -> bool) {
        let longest = LOOKAHEAD + self.members.len();
        let mut visible = self
            .lookahead
            .iter()
            .filter(|slot| accepts(&upstreams[**slot]))
            .count();
        while visible < LOOKAHEAD && self.lookahead.len() < longest {
            let Some(slot) = self.step(upstreams) else {
                break;
            };
            self.lookahead.push_back(slot);
            visible += usize::from(accepts(&upstreams[slot]));
        }
        if self.lookahead.len() >= longest {
            self.lookahead.pop_front();
        }
    }

    /// Moves the cursor to the next upstream with a turn, and takes the turn off its deficit.
    fn step(&mut self, upstreams: &mut Upstreams) -> Option<usize> {
        for _ in 0..self.members.len() * MAX_ROUNDS {
            self.cursor = (self.cursor + 1) % self.members.len();
            let slot = self.members[self.cursor];
            let upstream = &mut upstreams[slot];
            let weight = upstream.weight.weight();
            if weight <= 0.0 {
                continue;
            }
            let deficit = &mut upstream.deficit.amount;
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
