//! The attempts of a request: sends, further ones, second copies, and the final answer.

use super::upstreams::Upstream;
use super::{Balancer, DOUBT};
use crate::interface::{Action, AttemptNo, DedupGroup, Effect, FailureReason, Outcome, RequestId};
use crate::state::{Attempt, Request};
use std::time::Duration;

/// Upstreams a further attempt looks at for the least loaded.
const FURTHER_LOOK: usize = 6;

impl Balancer {
    pub(super) fn send(&mut self, id: RequestId, turn: usize) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let u = &mut self.upstreams[turn];
        let mut idle = u.connections.idle_s(self.at, u.in_flight);
        if self.idle_connections.is_suspect(idle, self.at) {
            self.out
                .push(Action::CloseIdleConnections { upstream: u.id });
            idle = 0.0;
        }
        u.connections.record(self.at);
        u.in_flight += 1;
        u.budget = (u.budget - 1.0).max(0.0);
        self.saved -= 1.0;
        let class = &self.set.classes[r.class];
        let overdue = self.classes.overdue_after_s(r.class);
        // Where no second copy may run beside the first, what may be repeated is given up when overdue.
        let last = r.attempts.len() + 1 >= usize::from(self.set.max_attempts);
        let repeatable = class.effect != Effect::AtMostOnce && !class.streamed;
        let again = (!self.set.hedging && repeatable && !last && self.retries >= 1.0)
            .then(|| Duration::from_secs_f64(overdue));
        // What is worth nothing after its aim is not waited for any longer: upstreams that drop what is
        // called back have room for others, and silence is known sooner. It ends just before, not as late.
        let spent = Duration::from_secs_f64((r.worth_until - self.at).clamp(1e-3, 1e6));
        let timeout = again.or((r.worth_until < r.deadline).then_some(spent));
        self.out.push(Action::Attempt {
            id,
            upstream: u.id,
            timeout,
        });
        self.due.insert((
            self.now + Duration::from_secs_f64(overdue),
            id,
            r.attempts.len() as u8,
        ));
        let (upstream, zone, cell, sent) = (u.id, u.zone, u.cell, self.at);
        r.attempts.push(Attempt {
            upstream,
            zone,
            cell,
            sent,
            out: true,
            idle,
            ..Attempt::default()
        });
    }

    /// Whether an attempt of a request may go to an upstream without an effect happening twice.
    pub(super) fn safe(&self, r: &Request, u: &Upstream) -> bool {
        let Some(first) = r.attempts.iter().find(|a| a.out || a.may_have_run) else {
            return true;
        };
        let Effect::Deduplicated { group, ttl } = self.set.classes[r.class].effect else {
            return self.set.classes[r.class].effect == Effect::Idempotent;
        };
        // For the way there: a connection may have to be made first.
        let margin = self.set.connect_timeout.as_secs_f64() + 0.05;
        let same = match group {
            DedupGroup::All => true,
            DedupGroup::Zone => u.zone == first.zone,
            DedupGroup::Cell => u.cell == first.cell,
        };
        same && self.at + margin < first.sent + ttl.as_secs_f64()
    }

    /// Sends a further attempt where the class and the retry budget allow one.
    pub(super) fn further(&mut self, id: RequestId, cost: f64) -> bool {
        let Some(r) = self.requests.get(&id) else {
            return false;
        };
        let at = self.at;
        if r.ended
            || r.streaming
            || r.attempts.len() >= usize::from(self.set.max_attempts)
            || at + 1e-3 >= r.deadline
            || at + 0.5 * self.classes.latency_s(r.class) >= r.worth_until
            || self.retries < cost
            || self.upstreams.is_empty()
            || self.lease.is_expired(self.at)
        {
            return false;
        }
        // Outside the subset only where nobody in it will do, as for a key known to one cell.
        let (n, m, from) = (self.turns.len(), self.upstreams.len(), self.rng.usize(..));
        let all = (1..=n)
            .map(|k| self.turns[(self.sigma + k) % n])
            .chain((0..m).map(|k| (k + from % m) % m));
        let fit = all
            .filter(|j| self.fits(r, &self.upstreams[*j]))
            .take(FURTHER_LOOK);
        let far =
            |u: &Upstream| f64::from(u8::from(u.zone != self.set.zone) + 2 * u8::from(!u.member));
        let held = |j: usize| 1e6 * far(&self.upstreams[j]) + self.holds(j);
        let Some(j) = fit.min_by(|a, b| held(*a).total_cmp(&held(*b))) else {
            return false;
        };
        self.retries -= cost;
        self.send(id, j);
        true
    }

    /// Whether an upstream may take a further attempt of a request.
    pub(super) fn fits(&self, r: &Request, u: &Upstream) -> bool {
        // Not onto a cold upstream: a failure's retries together are the burst that pushes it over.
        u.ready
            && u.started.is_none()
            && u.ejected_until <= self.at
            && !u.health[r.class].ejected
            && !self.spent(u)
            && r.attempts.iter().all(|a| a.upstream != u.id)
            && self.safe(r, u)
    }

    pub(super) fn look_for_overdue(&mut self) {
        while let Some((_, id, attempt)) = self.due.first().copied().filter(|d| d.0 <= self.now) {
            self.due.pop_first();
            self.overdue(id, attempt);
        }
    }

    /// An attempt is out for longer than is usual: its upstream is passed over. If nothing has come back from
    /// there since, a second copy may go out; else the request is a long one, and as long elsewhere.
    pub(super) fn overdue(&mut self, id: RequestId, attempt: u8) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else {
            return;
        };
        a.overdue = true;
        let Some(j) = self.upstreams.slot(a.upstream) else {
            return;
        };
        let silent = self.upstreams[j].heard < a.sent;
        self.upstreams[j].overdue += 1;
        if silent {
            self.suspect(j, DOUBT);
        }
        // Room for one: the overdue attempt itself is counted in what is held.
        if silent && self.set.hedging && self.room > -1.0 {
            self.further(id, 1.0);
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
        latency: f64,
        finished: bool,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else {
            return;
        };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        let (upstream, was_overdue, class, ended) =
            (a.upstream, (a.overdue, a.idle), r.class, r.ended);
        let owed = !finished && !ended;
        let (others, deadline) = (r.attempts.iter().any(|a| a.out), r.deadline);
        let sent = r.attempts[usize::from(attempt)].sent;
        self.learn(upstream, class, outcome, latency, was_overdue);
        if finished {
            self.end(id);
        } else if owed && !others {
            // A try that never ran adds no work to the fleet: it costs a tenth.
            let cost = if outcome.never_ran() { 0.1 } else { 1.0 };
            if !self.further(id, cost) {
                let heard = self
                    .upstreams
                    .slot(upstream)
                    .is_some_and(|j| self.upstreams[j].heard >= sent);
                let reason = match outcome {
                    Outcome::Error => FailureReason::UpstreamError,
                    Outcome::Rejected => FailureReason::UpstreamRejected,
                    Outcome::ConnectFailed | Outcome::Reset => FailureReason::ConnectionError,
                    Outcome::NotSent => FailureReason::NotSent,
                    _ if heard => FailureReason::Timeout,
                    _ => FailureReason::UpstreamUnresponsive,
                };
                self.give_up(id, deadline, reason);
            }
        }
        if ended && !others {
            self.requests.remove(&id);
        }
    }

    /// The final answer when no attempt is out and none may follow: a refusal only if nothing can have run.
    pub(super) fn give_up(&mut self, id: RequestId, deadline: f64, reason: FailureReason) {
        let Some(r) = self.requests.remove(&id) else {
            return;
        };
        let safe = self.set.classes[r.class].effect == Effect::Idempotent;
        if safe || r.attempts.iter().all(|a| !a.may_have_run) {
            let left = (deadline - self.at).max(0.0);
            self.refuse(id, Duration::from_secs_f64(left.min(1e6)), reason);
        } else {
            self.out.push(Action::Fail { id, reason });
        }
    }

    /// The request is over: nothing more is sent for it; what is still out is called back.
    pub(super) fn end(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let was_ended = std::mem::replace(&mut r.ended, true);
        if !was_ended && self.set.cancellation {
            for (k, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                self.out.push(Action::Cancel {
                    id,
                    attempt: AttemptNo(k as u8),
                });
            }
        }
        if r.attempts.iter().all(|a| !a.out) {
            self.requests.remove(&id);
        }
    }
}
