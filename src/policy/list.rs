//! The list of upstreams: asking for it, taking it in, and the subset that takes turns.

use super::endpoint_polling::PollFailure;
use super::upstreams::{Health, Upstream};
use super::{BUDGET, Balancer, EJECTED_MOST};
use crate::interface::{Action, Availability, Endpoint, EndpointWeights, UpdateScope};
use crate::random::Random;
use std::collections::VecDeque;

/// Subsets that each upstream is in at the least.
const SUBSETS_EACH: usize = 4;
impl Balancer {
    pub(super) fn fleet(&mut self, scope: UpdateScope, endpoints: &[Endpoint]) {
        self.polling.on_response_end();
        if scope == UpdateScope::Failed {
            let failure = PollFailure {
                was_partial: self.lease.has_partial_response(),
                was_rejected: self.lease.polls_are_rejected(),
            };
            self.polling.on_failure(&failure, self.at, &mut self.rng);
            return;
        }
        if scope != UpdateScope::Cached {
            self.polling.on_update();
        }
        self.renew_lease();
        let mut changed = scope != UpdateScope::Delta;
        if changed {
            // What a full list no longer names is gone.
            self.upstreams
                .iter_mut()
                .for_each(|u| (u.ready, u.draining) = (false, false));
        }
        let (first, mut grown) = (self.upstreams.is_empty(), false);
        for l in endpoints {
            let started = l.started.map(|s| s.as_secs_f64());
            let j = self.upstreams.slot(l.id).unwrap_or_else(|| {
                // A newcomer to a list already known has just started, whatever the list says.
                let started = started.or((!first).then_some(self.at));
                let credit = self.rng.f64();
                let health = vec![Health::default(); self.set.classes.len()];
                grown = true;
                self.upstreams.push(Upstream {
                    health,
                    id: l.id,
                    started,
                    credit,
                    capacity: 1.0,
                    budget: BUDGET,
                    heard: f64::NEG_INFINITY,
                    fresh: !first,
                    ..Upstream::default()
                })
            });
            let u = &mut self.upstreams[j];
            (u.zone, u.cell) = (l.zone, l.cell);
            changed |= u.ready != (l.availability == Availability::Ready);
            u.ready = l.availability == Availability::Ready;
            u.draining = l.availability == Availability::Draining;
            let weight = if l.weight > 0.0 && l.weight.is_finite() {
                l.weight
            } else {
                1.0
            };
            match self.set.endpoint_weights {
                EndpointWeights::Off => u.size = 1.0,
                EndpointWeights::Size => u.size = weight,
                EndpointWeights::Live => {
                    u.size = u.size.max(weight);
                    let others = 1.0 - 1.0 / f64::from(self.set.balancers.max(1));
                    (u.held, u.held_at) = ((u.size / weight - 1.0) * others, self.at);
                }
            }
            let fresh = |s: &f64| {
                self.at - s < self.set.slow_start_duration.as_secs_f64()
                    && u.started.is_none_or(|k| *s > k)
            };
            if let Some(s) = started.filter(fresh) {
                // It has restarted: what was held against it is void, and it is cold.
                u.started = Some(s);
                (u.doubt, u.ejections, u.ejected_until, u.credit) = (0.0, 0, 0.0, self.rng.f64());
                u.health.fill(Health::default());
                (u.fresh, changed) = (true, true);
            }
        }
        let gone = |u: &Upstream| !u.ready && !u.draining && u.in_flight == 0;
        if grown || self.upstreams.iter().filter(|u| gone(u)).count() > self.upstreams.len() / 4 {
            // The gone leave: else churn of the fleet would grow state as long as a balancer lives.
            self.upstreams.retain(|u| !gone(u));
            changed = true;
        }
        if changed {
            self.choose_subset();
        } else {
            self.weigh(0.0);
        }
    }

    /// Chooses who takes turns: all that are ready, or a subset where one balancer sees too little to keep a
    /// connection to each in use and to learn what it needs of each. Balancers that share a shuffled order
    /// of the ids get neighbouring parts of it, so that each upstream is in about as many subsets as any
    /// other. Guards against upstreams that run out of connections and against judging by stale news; who is
    /// ejected is replaced by the next in the order. Harm: fewer to choose from.
    pub(super) fn choose_subset(&mut self) {
        let mut order: Vec<usize> = (0..self.upstreams.len())
            .filter(|j| self.upstreams[*j].ready)
            .collect();
        // Few balancers take more each: every upstream is in several subsets, and one alone takes all.
        let n = order.len();
        let equal = self
            .subset_least
            .max(SUBSETS_EACH * n / (self.set.balancers as usize).max(1));
        let least = equal.max(self.subset);
        let all = least * 5 >= n * 4;
        let blocks = (n / equal.max(1)).max(1);
        let (round, place) = (
            self.set.index as usize / blocks,
            self.set.index as usize % blocks * equal,
        );
        let (mut members, mut ill) = (0, 0);
        // When more seem ill, the fault is not theirs.
        let out = order
            .iter()
            .filter(|j| self.upstreams[**j].ejected_until > self.at)
            .count() as f64;
        let now = if out <= EJECTED_MOST * n as f64 {
            self.at
        } else {
            f64::INFINITY
        };
        self.upstreams.iter_mut().for_each(|u| u.member &= u.ready);
        // Who comes back from ejection is looked at again then.
        let until = self
            .upstreams
            .iter()
            .map(|u| u.ejected_until)
            .filter(|t| *t > self.at);
        self.choose_at = until.fold(f64::INFINITY, f64::min);
        if !all {
            order.sort_by_cached_key(|j| {
                Random::with_seed(self.upstreams[*j].id.0 ^ (round as u64) << 48).u64(..)
            });
            order.rotate_left(place % n.max(1));
        }
        for (rank, j) in order.iter().enumerate() {
            let u = &mut self.upstreams[*j];
            let usable = u.ejected_until <= now;
            // Once in it stays in, so that connections stay warm; newcomers have their place by the order.
            u.member = all || u.member || (usable && u.fresh && rank < least);
            u.fresh &= !usable;
            members += usize::from(u.member);
            ill += usize::from(u.member && !usable);
        }
        // Who is ejected keeps its place, up to half of them: else all who share it move its load to others
        // at once, and these are the next to fall.
        let least = least.max(ill + least.div_ceil(2));
        for j in &order {
            let u = &mut self.upstreams[*j];
            if members < least && !u.member && u.ejected_until <= now {
                (u.member, members) = (true, members + 1);
            }
        }
        for j in order.iter().rev() {
            let u = &mut self.upstreams[*j];
            if members > least && u.member && !all {
                (u.member, members) = (false, members - 1);
                self.out
                    .push(Action::CloseIdleConnections { upstream: u.id });
            }
        }
        let before = self.turns.len();
        self.turns = order;
        self.turns.retain(|j| self.upstreams[*j].member);
        // More to choose from is no more for this balancer: others send there as well.
        let grown = self.turns.len() as f64 / before.max(1) as f64;
        if !all && before > 0 && grown > 1.0 {
            self.rate /= grown;
            self.weights *= grown;
        }
        let part = equal.min(n) as f64 / n.max(1) as f64;
        self.sharers = (f64::from(self.set.balancers) * part).max(1.0);
        // Each balancer has its own order, so that counters do not march in step.
        self.rng.shuffle(&mut self.turns);
        (self.sigma, self.ahead) = (0, VecDeque::new());
        self.weigh(0.0);
    }
}
