//! What outcomes and load reports tell of an upstream: its health, doubt of it, ejection.

use super::class_statistics::LatencySample;
use super::{
    Balancer, DOUBT, DOUBT_BREAK, DOUBT_LEFT, DOUBT_MOST, DOUBTED, EJECT, EJECT_MOST, EJECTED_MOST,
    OVERDUE_HELD,
};
use crate::interface::{LoadField, Outcome, UpstreamId};

/// Shares of the cores in use between which a report tells what is held with all in use, and its weight.
const FULL_FROM: (f64, f64) = (0.2, 0.8);
const FULL_NEWEST: f64 = 0.02;
/// Faults in a row after which an upstream is ejected for the class that met them.
const FAULTS: u32 = 2;
/// Seconds for which an error tells of the others': where all have some, the fault is on the way. Then one
/// counts for this part of itself at the least, and so many times as many in a row make a fault.
const COMMON_OVER: f64 = 5.0;
const COMMON_LEAST: f64 = 0.3;
const COMMON_FAULTS: u32 = 4;
impl Balancer {
    /// What one outcome tells of its upstream, its class and the fleet.
    pub(super) fn learn(
        &mut self,
        id: UpstreamId,
        class: usize,
        outcome: Outcome,
        latency: f64,
        way: (bool, f64),
    ) {
        let (overdue, idle) = way;
        let slow = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && overdue;
        let ok = outcome == Outcome::Ok;
        if ok {
            self.done += 1.0;
        }
        let sample = if ok {
            Some(LatencySample::Answered)
        } else {
            slow.then_some(LatencySample::GivenUp)
        };
        let ratio =
            sample.map(|sample| self.classes.record_latency(class, sample, latency, self.at));
        if ok || slow {
            self.idle_connections.record(idle, slow, self.at);
        }
        let common = self.common_errors(id);
        let out = self
            .turns
            .iter()
            .filter(|j| self.upstreams[**j].health[class].ejected)
            .count()
            + 1;
        let out = out as f64 <= EJECTED_MOST * self.turns.len() as f64;
        let Some(j) = self.upstreams.slot(id) else {
            return;
        };
        let u = &mut self.upstreams[j];
        u.connections.record(self.at);
        u.in_flight = u.in_flight.saturating_sub(1);
        u.overdue = u.overdue.saturating_sub(u32::from(overdue));
        if let Some(ratio) = ratio {
            let ratio = ratio.min(5.0);
            u.seen += 1.0;
            u.pace += (ratio - u.pace) / u.seen.max(1.0);
        }
        let (h, l) = (&mut u.health[class], &mut self.trials[class]);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            u.heard = self.at;
        }
        match outcome {
            Outcome::Ok => {
                h.faults = 0;
                u.doubt *= DOUBT_LEFT;
                u.ejections *= u32::from(u.doubt > DOUBTED);
                if !overdue && std::mem::take(&mut h.ejected) {
                    // What ailed it may have been the others' trouble too: they are tried at once.
                    (l.unsuccessful, l.next_at_s) = (0, self.at);
                }
            }
            // It looks the emptiest to the skip rule, whatever makes it turn requests of a class away.
            Outcome::Rejected => {
                (u.held, u.held_at) = (u.held.max(2.0 * OVERDUE_HELD), self.at);
                h.faults += 1;
            }
            Outcome::Error => (h.faults, u.erred_at) = (h.faults + 1, self.at),
            _ if slow && u.ejected_until <= self.at => h.faults += 1,
            _ => {}
        }
        let faults = if common > 0.5 {
            FAULTS * COMMON_FAULTS
        } else {
            FAULTS
        };
        if !h.ejected && out && h.faults >= faults {
            (h.faults, h.ejected, h.tried) = (0, true, self.at);
            if l.next_at_s <= self.at {
                (l.unsuccessful, l.next_at_s) =
                    (0, self.at + EJECT * (0.75 + 0.5 * self.rng.f64()));
            }
        }
        // Where the fault is the upstream's own, it says nothing of the room elsewhere.
        u.ghosts += f64::from(u8::from(slow && !h.ejected));
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
            self.upstreams[j].started = Some(self.upstreams[j].ejected_until);
        }
    }

    /// Share of the other upstreams in turn that have answered with an error of late.
    pub(super) fn common_errors(&self, but: UpstreamId) -> f64 {
        let others = || self.in_turn().filter(|u| u.id != but);
        let erred = others()
            .filter(|u| u.erred_at > 0.0 && self.at - u.erred_at < COMMON_OVER)
            .count();
        erred as f64 / others().count().max(1) as f64
    }

    /// A fault of an upstream, perhaps for all classes: too much in doubt, it is ejected for all of them.
    pub(super) fn suspect(&mut self, j: usize, fault: f64) -> bool {
        let usual = self.classes.mean_latency_s();
        let u = &mut self.upstreams[j];
        u.doubt += fault * (1.0 - u.doubt);
        // A process that has died breaks every connection, a poor way there a few.
        let heard = fault == DOUBT_BREAK && u.heard + usual >= self.at;
        // Back from ejection it is on trial: as long as nothing clears it the next fault ejects it again.
        if (u.doubt < DOUBT_MOST && u.ejections == 0) || heard || u.ejected_until > self.at {
            return false;
        }
        let length =
            (EJECT * self.sharers.sqrt() * f64::from(1 << u.ejections.min(3))).min(EJECT_MOST);
        u.ejections += 1;
        u.ejected_until = self.at + length * (0.75 + 0.5 * self.rng.f64());
        u.health
            .iter_mut()
            .for_each(|h| (h.faults, h.ejected) = (0, false));
        u.credit = self.rng.f64();
        u.fresh = true;
        self.choose_at = self.at;
        true
    }

    pub(super) fn report(&mut self, id: UpstreamId, report: &[f32]) {
        let Some(u) = self.upstreams.slot(id).map(|j| &mut self.upstreams[j]) else {
            return;
        };
        // Reports are old: less own requests of now they say nothing of the others, who hold their part.
        let others = 1.0 - 1.0 / f64::from(self.set.balancers.max(1));
        let mut most = None;
        for (field, value) in self
            .set
            .report_fields
            .iter()
            .zip(report)
            .filter(|(_, v)| v.is_finite())
        {
            let value = f64::from(*value).clamp(0.0, 1e4);
            match field {
                LoadField::InFlight | LoadField::Queue => {
                    most = Some(value.max(most.unwrap_or(0.0)))
                }
                LoadField::Utilization => (u.busy, u.busy_at) = (value.min(1.0), self.at),
                _ => {}
            }
        }
        if let Some(most) = most {
            u.told = most;
            let full = most / (u.busy * u.size).max(1e-9);
            if (FULL_FROM.0..FULL_FROM.1).contains(&u.busy) && u.busy_at >= self.at && full > 0.0 {
                self.full += if self.full > 0.0 { FULL_NEWEST } else { 1.0 } * (full - self.full);
            }
            (u.held, u.held_at) = (most * others, self.at);
        }
    }
}
