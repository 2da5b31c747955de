//! An upstream as a pure state machine: requests and the time in, finishing times and load reports out.
//!
//! Requests are served first come, first served by its cores, and then wait on others without one. All that is to
//! come of a request is settled when it arrives, so the machine needs no clock and no timer. Times are seconds.

use crate::experiment::Model;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// Its waiting room is full.
    Full,
    /// It has fallen over, and does not come back.
    Fallen,
}

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share of its cores in use.
    pub util: f64,
    /// Requests it holds.
    pub inflight: f64,
}

/// One upstream, from a start on.
pub struct Machine {
    model: Model,
    rng: ChaCha8Rng,
    /// When it started; `None`: long ago, so that it is warm.
    started: Option<f64>,
    slower: f64,
    /// When each core is free.
    free: Vec<f64>,
    /// Core time taken on in all, done or to come.
    taken_on: f64,
    /// When each request in hand begins on a core, in order, and when each is finished.
    begins: VecDeque<f64>,
    finishes: BinaryHeap<Reverse<u64>>,
    /// Of the choke: since when too many wait, since when it chokes, since when it has been mostly idle.
    crowded: Option<f64>,
    choked: Option<f64>,
    idle: Option<f64>,
    /// Work sent while cold within the time that counts, and its sum.
    sent: VecDeque<(f64, f64)>,
    sent_sum: f64,
    fallen: bool,
    /// Core time done when the last report was made, when that was, the report, and the one before.
    measured: (f64, f64),
    reports: [Report; 2],
}

impl Machine {
    /// One that starts at `now`, or was warm long before.
    pub fn new(model: Model, rng: ChaCha8Rng, now: f64, cold: bool) -> Self {
        Self {
            free: vec![now; model.cores as usize],
            model,
            rng,
            started: cold.then_some(now),
            slower: 1.0,
            taken_on: 0.0,
            begins: VecDeque::new(),
            finishes: BinaryHeap::new(),
            crowded: None,
            choked: None,
            idle: None,
            sent: VecDeque::new(),
            sent_sum: 0.0,
            fallen: false,
            measured: (0.0, now),
            reports: [Report {
                util: 0.0,
                inflight: 0.0,
            }; 2],
        }
    }

    /// Takes `factor` times as long from now on; 1 is its usual self.
    pub fn slow(&mut self, factor: f64) {
        self.slower = factor.max(1e-3);
    }

    /// Share of its full capacity that it has at `now`, but for what slows it.
    pub fn climb(&self, now: f64) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let share = ((now - started) / self.model.cold_s.max(1e-9)).clamp(0.0, 1.0);
        self.model.cold_from + (1.0 - self.model.cold_from) * share
    }

    /// A request arrives; returns when its answer leaves.
    pub fn arrive(&mut self, now: f64, work: f64, waits: f64) -> Result<f64, Turned> {
        self.settle(now);
        if self.fallen {
            return Err(Turned::Fallen);
        }
        let cores = f64::from(self.model.cores);
        if self.begins.len() as f64 >= f64::from(self.model.queue_per_core) * cores {
            return Err(Turned::Full);
        }
        self.fall(now, work);
        let choke = if self.choked.is_some() {
            self.model.choke_slower
        } else {
            1.0
        };
        let takes = work / (self.model.speed * self.climb(now)) * self.slower * choke;
        let first = self.free.iter_mut().min_by(|a, b| a.total_cmp(b));
        let Some(core) = first else {
            return Err(Turned::Full);
        };
        let begins = core.max(now);
        *core = begins + takes;
        let finish = begins + takes + waits;
        self.taken_on += takes;
        // First come, first served: cores become free in the order in which they are taken.
        self.begins.push_back(begins);
        self.finishes.push(Reverse(micros(finish)));
        self.choke(now);
        Ok(finish)
    }

    /// The load report that answers carry at `now`.
    pub fn report(&mut self, now: f64) -> Report {
        self.settle(now);
        let (done, at) = self.measured;
        if now - at >= self.model.report_ms / 1e3 {
            let (done_now, cores) = (self.done(now), f64::from(self.model.cores));
            let noise = 1.0 + self.model.report_noise * self.rng.random_range(-1.0..1.0);
            let util = ((done_now - done) / ((now - at) * cores)).clamp(0.0, 1.0);
            let newest = Report {
                util: util * noise,
                inflight: self.holds() as f64 * noise,
            };
            self.reports = [newest, self.reports[0]];
            self.measured = (done_now, now);
        }
        let fresh = now - self.measured.1 >= self.model.report_delay_ms / 1e3;
        if fresh {
            self.reports[0]
        } else {
            self.reports[1]
        }
    }

    /// Requests in hand, as of the last event.
    pub fn holds(&self) -> usize {
        self.finishes.len()
    }

    /// Whether it has been pushed over while cold.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Whether it is choked.
    pub fn is_choked(&self) -> bool {
        self.choked.is_some()
    }

    /// Core time done by `now`.
    fn done(&self, now: f64) -> f64 {
        self.taken_on - self.free.iter().map(|t| (t - now).max(0.0)).sum::<f64>()
    }

    /// Lets go of what is over by `now`.
    fn settle(&mut self, now: f64) {
        while self.begins.front().is_some_and(|t| *t <= now) {
            self.begins.pop_front();
        }
        while self.finishes.peek().is_some_and(|t| t.0 <= micros(now)) {
            self.finishes.pop();
        }
        self.choke(now);
    }

    /// One that has far more waiting than cores for a while turns slow, until it has been mostly idle.
    fn choke(&mut self, now: f64) {
        let (m, cores) = (&self.model, f64::from(self.model.cores));
        if m.choke_at <= 0.0 {
            return;
        }
        if let Some(since) = self.choked {
            let used = self.free.iter().filter(|t| **t > now).count() as f64 / cores;
            if used > m.choke_below {
                self.idle = None;
            } else if now - *self.idle.get_or_insert(now.max(since)) >= m.choke_rest_s {
                (self.choked, self.crowded, self.idle) = (None, None, None);
            }
        } else if (self.begins.len() as f64) < m.choke_at * cores {
            self.crowded = None;
        } else if now - *self.crowded.get_or_insert(now) >= m.choke_over_s {
            (self.choked, self.idle) = (Some(now), None);
        }
    }

    /// A cold one that is sent more than a multiple of what it can do just then, for a while, falls over. Counted
    /// as a budget over that time.
    fn fall(&mut self, now: f64, work: f64) {
        let climb = self.climb(now);
        if climb >= 1.0 {
            self.sent.clear();
            return;
        }
        self.sent.push_back((now, work));
        self.sent_sum += work;
        while let Some((_, old)) = self
            .sent
            .front()
            .copied()
            .filter(|s| s.0 < now - self.model.fall_s)
        {
            self.sent_sum -= old;
            self.sent.pop_front();
        }
        let able = climb * self.model.speed * f64::from(self.model.cores) * self.model.fall_s;
        self.fallen |= self.sent_sum > self.model.fall_multiple * able;
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn machine(cold: bool) -> Machine {
        let model = Model {
            speed: 1.0,
            choke_at: 2.0,
            ..Model::default()
        };
        Machine::new(model, ChaCha8Rng::seed_from_u64(1), 0.0, cold)
    }

    #[test]
    fn cores_serve_in_the_order_of_arrival() {
        let mut m = machine(false);
        let finish: Vec<f64> = (0..4)
            .map(|_| m.arrive(0.0, 0.1, 0.3).expect("taken"))
            .collect();
        for (got, want) in finish.iter().zip([0.4, 0.4, 0.5, 0.5]) {
            assert!((got - want).abs() < 1e-9, "{finish:?}");
        }
        assert_eq!(m.holds(), 4);
        m.settle(0.45);
        assert_eq!(m.holds(), 2);
    }

    #[test]
    fn reports_tell_the_share_of_the_cores_in_use_late() {
        let mut m = machine(false);
        for k in 0..20 {
            m.arrive(f64::from(k) * 0.1, 0.1, 0.0).expect("taken");
        }
        assert_eq!(m.report(0.5).util, 0.0, "nothing measured yet");
        m.report(2.0);
        let told = m.report(2.3).util;
        assert!(
            (0.45..0.55).contains(&told),
            "{told}: one of two cores was in use"
        );
    }

    #[test]
    fn a_crowded_one_chokes_and_recovers_only_once_idle() {
        let mut m = machine(false);
        let mut now = 0.0;
        while now < 3.0 {
            m.arrive(now, 0.1, 0.0).expect("taken");
            now += 0.04;
        }
        assert!(m.is_choked());
        let drained = m.free.iter().copied().fold(0.0, f64::max);
        m.settle(drained + 0.1);
        m.settle(drained + 2.9);
        assert!(m.is_choked(), "not rested for long enough");
        m.settle(drained + 3.2);
        assert!(!m.is_choked());
    }

    #[test]
    fn a_cold_one_falls_over_and_a_warm_one_does_not() {
        for cold in [true, false] {
            let mut m = machine(cold);
            for k in 0..60 {
                let _ = m.arrive(f64::from(k) * 0.02, 0.1, 0.0);
            }
            assert_eq!(m.has_fallen(), cold);
            assert_eq!(m.arrive(1.3, 0.1, 0.0).is_err(), cold);
        }
    }
}
