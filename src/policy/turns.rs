//! Whose turn it is: what each upstream can do now, the clock that bounds its sends, the round robin.

use super::upstreams::Upstream;
use super::{BUDGET, BUSY_KEPT, Balancer, DOUBTED, EJECT, EJECTED_MOST, OVERDUE_HELD};
use crate::interface::Effect;

/// Turns looked ahead by the skip rule; two is the design's.
const LOOK_AHEAD: usize = 3;
/// Holding this many times what another in sight holds, and half a request more, is clearly more.
const CLEARLY: f64 = 1.5;
/// Seconds over which what was learned of one upstream fades, and answers it takes to believe it.
const PACE_KEPT: f64 = 10.0;
const PACE_DOUBT: f64 = 4.0;
/// What a cold upstream gets for each unit of capacity: this share of what would push it over.
const COLD_SHARE: f64 = 0.4;
/// Points of cross-zone price at which other zones get no ordinary turns; less in proportion.
const FAR_PRICE: f64 = 0.05;
/// Seconds over which a report of what an upstream holds fades, and for which it tells of the others.
const REPORT_KEPT: f64 = 1.0;
const REPORT_MOST: f64 = 3.0;
/// Sends to all of them that can be saved up: so many, and so many seconds' worth.
const SAVED: f64 = 3.0;
const SAVED_OVER: f64 = 0.1;

impl Balancer {
    /// What each upstream can do now, and the turns it gets for it.
    pub(super) fn weigh(&mut self, tau: f64) {
        let largest = self.in_turn().map(|u| u.size).fold(1e-9, f64::max);
        let ready = self.in_turn().filter(|u| u.ready).count() as f64;
        let ejected = self
            .in_turn()
            .filter(|u| u.ready && u.ejected_until > self.at)
            .count() as f64;
        let spare_ejections = ejected <= EJECTED_MOST * ready;
        let far = (1.0 - self.set.prices.cross_zone / FAR_PRICE).max(0.0);
        let near = |u: &Upstream| u.ready && u.zone == self.set.zone && u.ejected_until <= self.at;
        let near_ready = self.in_turn().any(near);
        let (fade, slow_start_initial_share) = (
            (-tau / PACE_KEPT).exp(),
            self.set.slow_start_initial_share.min(1.0),
        );
        let latency_objective = self
            .set
            .classes
            .iter()
            .map(|c| c.latency_objective.as_secs_f64())
            .fold(f64::INFINITY, f64::min);
        let laid = (-tau / latency_objective).exp();
        let (mut warm_rate, mut warm) = (0.0, 0.0);
        for j in &self.turns {
            let u = &mut self.upstreams[*j];
            u.seen *= fade;
            u.doubt *= fade;
            u.ghosts *= laid;
            let pace = (u.pace * u.seen + PACE_DOUBT) / (u.seen + PACE_DOUBT);
            let climb = u.started.map_or(1.0, |s| {
                let share = ((self.at - s) / self.set.slow_start_duration.as_secs_f64().max(1e-6))
                    .clamp(0.0, 1.0);
                slow_start_initial_share + (1.0 - slow_start_initial_share) * share
            });
            if climb >= 1.0 {
                u.started = None;
            }
            u.capacity = (u.size / largest * climb / pace.clamp(0.25, 4.0)).max(1e-3);
            let usable = u.ready && (u.ejected_until <= self.at || !spare_ejections);
            let zone = if u.zone == self.set.zone || !near_ready {
                1.0
            } else {
                far
            };
            u.weight = u.capacity * zone * f64::from(u8::from(usable));
            if u.weight > 0.0 && u.started.is_none() {
                warm += 1.0;
                warm_rate += u.weight;
            }
        }
        let heard = |u: &&Upstream| u.held_at > 0.0 && self.at - u.held_at < REPORT_MOST;
        let crowds = self.in_turn().filter(heard).map(|u| u.held / u.capacity);
        let (crowd, n) = crowds.fold((0.0, 0.0), |(crowd, n), held| (crowd + held, n + 1.0));
        self.crowd = crowd / f64::max(n, 1.0);
        // A cold upstream earns turns by the clock: where others are skipped the ring turns faster.
        let each = if warm > 0.0 {
            self.rate * warm_rate / warm
        } else {
            self.rate
        };
        let cold = COLD_SHARE * self.set.overload_multiple;
        // What others send shows late: each sends what C says, whoever drops out. Where few share one,
        // what it holds is this balancer's own, and the skip rule sees it at once.
        let spare = (self.sharers / (self.sharers - 1.0).max(1e-3)).min(1e3);
        let mut flow = 0.0;
        for j in &self.turns {
            let u = &mut self.upstreams[*j];
            if u.started.is_some() {
                u.credit = (u.credit + tau * each * cold * u.weight).min(1.5);
                flow += each * cold * u.weight;
                continue;
            }
            let mut rate = (self.rate * u.weight).max(u.weight / self.sharers);
            if self.at - u.busy_at < BUSY_KEPT && self.full > 0.0 {
                // Less where it says that it is busier than the others, or that more waits.
                rate *= (self.busy / u.busy.max(0.1)).clamp(0.5, 1.5);
                rate /= (u.told / (self.full * u.size)).clamp(1.0, 4.0);
            }
            u.budget = (u.budget + tau * spare * rate).min(BUDGET * spare);
            flow += spare * rate * f64::from(u8::from(u.weight > 0.0));
        }
        self.saved_most = SAVED + SAVED_OVER * flow;
        self.saved = (self.saved + tau * flow).clamp(-self.saved_most, self.saved_most);
    }

    /// What an upstream holds for its capacity: own requests, and reported ones. With its age a report fades
    /// to what the others hold: taken for empty, who is not heard of draws the turns of all balancers.
    pub(super) fn holds(&self, j: usize) -> f64 {
        let u = &self.upstreams[j];
        let age = (self.last_tick - u.held_at).max(0.0);
        let reported = self.crowd + (u.held / u.capacity - self.crowd) * (-age / REPORT_KEPT).exp();
        let own = f64::from(u.in_flight) + OVERDUE_HELD * f64::from(u.overdue) + u.ghosts;
        own / u.capacity + reported
    }

    /// Whether it has had its sends for now. A cold one earns turns by the clock anyway.
    pub(super) fn spent(&self, u: &Upstream) -> bool {
        self.busy > 0.0 && u.started.is_none() && u.budget < 1.0
    }

    /// Steps the counter to the next upstream that has earned a turn.
    pub(super) fn step(&mut self) -> Option<usize> {
        for _ in 0..self.turns.len() * 8 {
            self.sigma = (self.sigma + 1) % self.turns.len();
            let j = self.turns[self.sigma];
            let u = &mut self.upstreams[j];
            if u.weight <= 0.0 {
                continue;
            }
            if u.started.is_none() {
                u.credit = (u.credit + u.weight).min(2.0);
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
            .retain(|j| upstreams[*j].weight > 0.0 && upstreams[*j].ready);
        let ill = |b: &Self, j: usize| {
            b.upstreams[j].health[class].ejected && b.upstreams[j].weight > 0.0
        };
        let out = self.turns.iter().filter(|j| ill(self, **j)).count();
        if out > 0 && self.at >= self.trials[class].next_at_s {
            // One trial at a time, ever more seldom: each may cost a request that nothing repeats.
            let tried = |j: &&usize| self.upstreams[**j].health[class].tried;
            let oldest = self
                .turns
                .iter()
                .filter(|j| ill(self, **j))
                .min_by(|a, b| tried(a).total_cmp(&tried(b)));
            let (l, oldest) = (&mut self.trials[class], oldest.copied());
            l.unsuccessful += 1;
            l.next_at_s = self.at
                + EJECT * f64::from(1 << l.unsuccessful.min(4)) * (0.75 + 0.5 * self.rng.f64());
            oldest
                .into_iter()
                .for_each(|j| self.upstreams[j].health[class].tried = self.at);
            return oldest;
        }
        let once = self.set.classes[class].effect == Effect::AtMostOnce;
        let once = once
            && self
                .set
                .classes
                .iter()
                .any(|c| c.effect != Effect::AtMostOnce);
        let doubted =
            |u: &Upstream| (u.doubt > DOUBTED || u.ejections > 0) && (once || u.in_flight > 0);
        let all = out >= self.turns.len()
            || self
                .turns
                .iter()
                .all(|j| ill(self, *j) || doubted(&self.upstreams[*j]));
        let ill =
            |b: &Self, j: usize| b.upstreams[j].health[class].ejected || doubted(&b.upstreams[j]);
        let fit = |b: &Self, j: usize| !b.spent(&b.upstreams[j]) && (all || !ill(b, j));
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
        let least = seen.map(|j| self.holds(*j)).fold(f64::INFINITY, f64::min);
        let mut k = 0;
        while let Some(&j) = self.ahead.get(k) {
            if !fit(self, j) {
                k += 1;
                continue;
            }
            self.ahead.remove(k);
            if self.holds(j) <= least * CLEARLY + 0.5 {
                return Some(j);
            }
        }
        None
    }
}
