//! Whose turn it is: what each upstream can do now, the clock that bounds its sends, the round robin.

use super::pacing::PacingRates;
use super::upstreams::Upstream;
use super::{Balancer, DOUBTED, EJECT, EJECTED_MOST};
use crate::interface::Effect;

/// Turns looked ahead by the skip rule; two is the design's.
const LOOK_AHEAD: usize = 3;
/// Holding this many times what another in sight holds, and half a request more, is clearly more.
const CLEARLY: f64 = 1.5;
/// Seconds over which suspicion fades.
const SUSPICION_KEPT: f64 = 10.0;
impl Balancer {
    /// What each upstream can do now, and the turns it gets for it.
    pub(super) fn weigh(&mut self, tau: f64) {
        let ready = self.in_turn().filter(|u| u.ready).count() as f64;
        let ejected = self
            .in_turn()
            .filter(|u| u.ready && u.ejected_until > self.now_s)
            .count() as f64;
        let ejections_hold = ejected <= EJECTED_MOST * ready;
        let fade = (-tau / SUSPICION_KEPT).exp();
        let laid = (-tau / self.classes.shortest_objective_s()).exp();
        for j in &self.turns {
            let u = &mut self.upstreams[*j];
            u.doubt *= fade;
            u.load.fade_abandoned(laid);
        }
        let (turns, at) = (&self.turns, self.now_s);
        self.weights
            .update(&mut self.upstreams, turns, ejections_hold, tau, at);
        self.load_reports.update_mean(&self.upstreams, turns, at);
        // A cold upstream earns turns by the clock: where others are skipped the ring turns faster.
        let slow_start =
            self.weights
                .slow_start_rate(&self.upstreams, turns, self.capacity.service_rate());
        let (each, cold) = (slow_start.warm_rate, slow_start.multiple);
        for j in &self.turns {
            let u = &mut self.upstreams[*j];
            if u.weight.is_warming_up() {
                u.credit = (u.credit + tau * each * cold * u.weight.weight()).min(1.5);
            }
        }
        let rates = PacingRates {
            service_rate: self.capacity.service_rate(),
            slow_start,
            utilization: self.capacity.utilization(),
            balancers_per_upstream: self.sharers,
            load_reports: &self.load_reports,
        };
        self.pacing
            .refill(&mut self.upstreams, &self.turns, &rates, tau, self.now_s);
    }

    /// What an upstream has in flight for its capacity.
    pub(super) fn in_flight_per_capacity(&self, upstream: &Upstream) -> f64 {
        let capacity = upstream.weight.capacity();
        self.load_reports
            .in_flight_per_capacity(&upstream.load, capacity, self.last_tick_s)
    }

    /// The upstreams of the rotation, from the one after the cursor on.
    pub(super) fn rotation_from_cursor(&self) -> impl Iterator<Item = usize> {
        let count = self.turns.len();
        (1..=count).map(move |step| self.turns[(self.sigma + step) % count])
    }

    /// Steps the counter to the next upstream that has earned a turn.
    pub(super) fn step(&mut self) -> Option<usize> {
        for _ in 0..self.turns.len() * 8 {
            self.sigma = (self.sigma + 1) % self.turns.len();
            let j = self.turns[self.sigma];
            let u = &mut self.upstreams[j];
            if u.weight.weight() <= 0.0 {
                continue;
            }
            if !u.weight.is_warming_up() {
                u.credit = (u.credit + u.weight.weight()).min(2.0);
            }
            if u.credit >= 1.0 {
                u.credit -= 1.0;
                return Some(j);
            }
        }
        None
    }

    /// The round robin with its skip rule: the first in turn that does not hold clearly more than the least
    /// of those in sight. Who is ejected for this class keeps its turn for the others.
    pub(super) fn next_turn(&mut self, class: usize) -> Option<usize> {
        let upstreams = &self.upstreams;
        self.ahead
            .retain(|j| upstreams[*j].weight.weight() > 0.0 && upstreams[*j].ready);
        let ill = |b: &Self, j: usize| {
            b.upstreams[j].health[class].ejected && b.upstreams[j].weight.weight() > 0.0
        };
        let out = self.turns.iter().filter(|j| ill(self, **j)).count();
        if out > 0 && self.now_s >= self.trials[class].next_at_s {
            // One trial at a time, ever more seldom: each may cost a request that nothing repeats.
            let tried = |j: &&usize| self.upstreams[**j].health[class].tried;
            let oldest = self
                .turns
                .iter()
                .filter(|j| ill(self, **j))
                .min_by(|a, b| tried(a).total_cmp(&tried(b)));
            let (l, oldest) = (&mut self.trials[class], oldest.copied());
            l.unsuccessful += 1;
            l.next_at_s = self.now_s
                + EJECT * f64::from(1 << l.unsuccessful.min(4)) * (0.75 + 0.5 * self.random.f64());
            oldest
                .into_iter()
                .for_each(|j| self.upstreams[j].health[class].tried = self.now_s);
            return oldest;
        }
        let once = self.settings.classes[class].effect == Effect::AtMostOnce;
        let once = once
            && self
                .settings
                .classes
                .iter()
                .any(|c| c.effect != Effect::AtMostOnce);
        let doubted = |u: &Upstream| {
            (u.doubt > DOUBTED || u.ejections > 0) && (once || u.load.in_flight() > 0)
        };
        let all = out >= self.turns.len()
            || self
                .turns
                .iter()
                .all(|j| ill(self, *j) || doubted(&self.upstreams[*j]));
        let ill =
            |b: &Self, j: usize| b.upstreams[j].health[class].ejected || doubted(&b.upstreams[j]);
        let fit =
            |b: &Self, j: usize| !b.pacing.is_exhausted(&b.upstreams[j]) && (all || !ill(b, j));
        let mut sight = self.ahead.iter().filter(|j| fit(self, **j)).count();
        while sight < LOOK_AHEAD && self.ahead.len() < LOOK_AHEAD + self.turns.len() {
            let Some(j) = self.step() else { break };
            self.ahead.push_back(j);
            sight += usize::from(fit(self, j));
        }
        if self.ahead.len() >= LOOK_AHEAD + self.turns.len() {
            self.ahead.pop_front();
        }
        let seen = self
            .ahead
            .iter()
            .filter(|j| fit(self, **j))
            .take(LOOK_AHEAD);
        let least = seen
            .map(|j| self.in_flight_per_capacity(&self.upstreams[*j]))
            .fold(f64::INFINITY, f64::min);
        let mut k = 0;
        while let Some(&j) = self.ahead.get(k) {
            if !fit(self, j) {
                k += 1;
                continue;
            }
            self.ahead.remove(k);
            if self.in_flight_per_capacity(&self.upstreams[j]) <= least * CLEARLY + 0.5 {
                return Some(j);
            }
        }
        None
    }
}
