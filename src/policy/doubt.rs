//! What outcomes and load reports tell of an upstream: its health, doubt of it, ejection.

use super::requests::EndedAttempt;
use super::{
    Balancer, DOUBT, DOUBT_BREAK, DOUBT_LEFT, DOUBT_MOST, DOUBTED, EJECT, EJECT_MOST, EJECTED_MOST,
};
use crate::interface::{Outcome, UpstreamId};

/// Faults in a row after which an upstream is ejected for the class that met them.
const FAULTS: u32 = 2;
/// Seconds for which an error tells of the others': where all have some, the fault is on the way. Then one
/// counts for this part of itself at the least, and so many times as many in a row make a fault.
const COMMON_OVER: f64 = 5.0;
const COMMON_LEAST: f64 = 0.3;
const COMMON_FAULTS: u32 = 4;
impl Balancer {
    /// What the end of an attempt says of its upstream's health.
    pub(super) fn judge(&mut self, j: usize, attempt: &EndedAttempt) {
        let (class, outcome) = (attempt.class, attempt.outcome);
        let (overdue, slow) = (attempt.was_overdue, attempt.is_given_up());
        let common = self.common_errors(attempt.upstream);
        let out = self
            .turns
            .iter()
            .filter(|j| self.upstreams[**j].health[class].ejected)
            .count()
            + 1;
        let out = out as f64 <= EJECTED_MOST * self.turns.len() as f64;
        let u = &mut self.upstreams[j];
        let (h, l) = (&mut u.health[class], &mut self.trials[class]);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            u.heard = self.now_s;
        }
        match outcome {
            Outcome::Ok => {
                h.faults = 0;
                u.doubt *= DOUBT_LEFT;
                u.ejections *= u32::from(u.doubt > DOUBTED);
                if !overdue && std::mem::take(&mut h.ejected) {
                    // What ailed it may have been the others' trouble too: they are tried at once.
                    (l.unsuccessful, l.next_at_s) = (0, self.now_s);
                }
            }
            // It looks the emptiest to the skip rule, whatever makes it turn requests of a class away.
            Outcome::Rejected => {
                u.load.record_rejected(self.now_s);
                h.faults += 1;
            }
            Outcome::Error => (h.faults, u.erred_at) = (h.faults + 1, self.now_s),
            _ if slow && u.ejected_until <= self.now_s => h.faults += 1,
            _ => {}
        }
        let faults = if common > 0.5 {
            FAULTS * COMMON_FAULTS
        } else {
            FAULTS
        };
        if !h.ejected && out && h.faults >= faults {
            (h.faults, h.ejected, h.tried) = (0, true, self.now_s);
            if l.next_at_s <= self.now_s {
                (l.unsuccessful, l.next_at_s) =
                    (0, self.now_s + EJECT * (0.75 + 0.5 * self.random.f64()));
            }
        }
        // Where the fault is the upstream's own, it says nothing of the room elsewhere.
        if slow && !h.ejected {
            u.load.record_abandoned();
        }
        let fault = match outcome {
            Outcome::Error => DOUBT * (1.0 - common).max(COMMON_LEAST),
            Outcome::Rejected => DOUBT,
            Outcome::ConnectFailed | Outcome::Reset => DOUBT_BREAK,
            _ => return,
        };
        if self.suspect(j, fault) && outcome == Outcome::ConnectFailed {
            // Nobody listens there: its process has died, and the next one is cold. It comes back from a
            // first turn at a random time: a slow trial by all balancers. One that takes connections, if
            // only to break them, has not restarted and has no less to give.
            let u = &mut self.upstreams[j];
            u.weight.begin_slow_start(u.ejected_until);
        }
    }

    /// Share of the other upstreams in turn that have answered with an error of late.
    pub(super) fn common_errors(&self, but: UpstreamId) -> f64 {
        let others = || self.in_turn().filter(|u| u.id != but);
        let erred = others()
            .filter(|u| u.erred_at > 0.0 && self.now_s - u.erred_at < COMMON_OVER)
            .count();
        erred as f64 / others().count().max(1) as f64
    }

    /// A fault of an upstream, perhaps for all classes: too much in doubt, it is ejected for all of them.
    pub(super) fn suspect(&mut self, j: usize, fault: f64) -> bool {
        let usual = self.classes.mean_latency_s();
        let u = &mut self.upstreams[j];
        u.doubt += fault * (1.0 - u.doubt);
        // A process that has died breaks every connection, a poor way there a few.
        let heard = fault == DOUBT_BREAK && u.heard + usual >= self.now_s;
        // Back from ejection it is on trial: as long as nothing clears it the next fault ejects it again.
        if (u.doubt < DOUBT_MOST && u.ejections == 0) || heard || u.ejected_until > self.now_s {
            return false;
        }
        let length =
            (EJECT * self.sharers.sqrt() * f64::from(1 << u.ejections.min(3))).min(EJECT_MOST);
        u.ejections += 1;
        u.ejected_until = self.now_s + length * (0.75 + 0.5 * self.random.f64());
        u.health
            .iter_mut()
            .for_each(|h| (h.faults, h.ejected) = (0, false));
        u.credit = self.random.f64();
        u.fresh = true;
        self.choose_at = self.now_s;
        true
    }
}
