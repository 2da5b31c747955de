//! Whose turn it is: what each upstream can do now, the clock that bounds its sends, the round robin.

use super::Balancer;
use super::clock::JitteredClock;
use super::outlier_detection::may_be_ejected;
use super::pacing::PacingRates;
use super::upstream_health::suspicion_left;
use super::upstreams::Upstream;
use crate::interface::Effect;

/// Turns looked ahead by the skip rule; two is the design's.
const LOOK_AHEAD: usize = 3;
/// Holding this many times what another in sight holds, and half a request more, is clearly more.
const CLEARLY: f64 = 1.5;

impl Balancer {
    /// What each upstream can do now, and the turns it gets for it.
    pub(super) fn weigh(&mut self, tau: f64) {
        let ready = self.in_turn().filter(|u| u.ready);
        let ejected = ready.filter(|u| u.health.is_ejected(self.now_s)).count();
        let ejections_hold = may_be_ejected(ejected, self.in_turn().filter(|u| u.ready).count());
        let kept = suspicion_left(tau);
        let laid = (-tau / self.classes.shortest_objective_s()).exp();
        for j in &self.turns {
            let u = &mut self.upstreams[*j];
            u.health.fade(kept);
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
        let mut clock = JitteredClock {
            now_s: self.now_s,
            random: &mut self.random,
        };
        let trial = self
            .outliers
            .due_trial(&mut self.upstreams, &self.turns, class, &mut clock);
        if trial.is_some() {
            return trial;
        }
        let needs_proven = self.settings.classes[class].effect == Effect::AtMostOnce
            && self
                .settings
                .classes
                .iter()
                .any(|c| c.effect != Effect::AtMostOnce);
        let eligibility =
            self.outliers
                .eligibility(&self.upstreams, &self.turns, class, needs_proven);
        let fit = |b: &Self, j: usize| {
            !b.pacing.is_exhausted(&b.upstreams[j]) && eligibility.accepts(&b.upstreams[j])
        };
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
