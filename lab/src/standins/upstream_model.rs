//! An upstream as a pure state machine: requests and the time in, completion times and load reports
//! out.
//!
//! Requests are served first come, first served by its cores, and then wait on other systems
//! without a core. The completion of a request is decided when it arrives, so the model needs no
//! clock and no timer. Times are seconds.

use crate::experiment::UpstreamSettings;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// The least factor by which an upstream is slowed down.
const MIN_SLOWDOWN: f64 = 1e-3;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its queue is full.
    QueueFull,
    /// It has crashed under overload, and is not restarted.
    Crashed,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of its cores in use.
    pub utilization: f64,
    /// Requests in flight.
    pub in_flight: f64,
}

/// The state of congestion: an upstream with far too long a queue slows down until it has been
/// mostly idle for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Congestion {
    /// The queue is short.
    None,
    /// The queue has been too long since a time.
    Building { since: f64 },
    /// It is slow since a time, and mostly idle since another one.
    Congested { since: f64, idle_since: Option<f64> },
}

/// Work that was sent during slow start.
#[derive(Clone, Copy)]
struct SentWork {
    at: f64,
    work: f64,
}

/// The last two load reports, and what the newer one measured.
struct Reports {
    newest: LoadReport,
    previous: LoadReport,
    /// Core time done when the newest was made.
    measured_work: f64,
    measured_at: f64,
}

/// An upstream, from a start on.
pub struct UpstreamModel {
    settings: UpstreamSettings,
    rng: ChaCha8Rng,
    /// When it started; `None`: long ago, so that it is past its slow start.
    started_at: Option<f64>,
    slowdown: f64,
    /// When each core is free.
    core_free_at: Vec<f64>,
    /// Core time accepted in all, done or to come.
    accepted_work: f64,
    /// When each request in flight begins on a core, in order.
    begins: VecDeque<f64>,
    /// When each request in flight is finished, in microseconds.
    finishes: BinaryHeap<Reverse<u64>>,
    congestion: Congestion,
    /// Work sent during slow start within the overload window.
    sent: VecDeque<SentWork>,
    sent_work: f64,
    has_crashed: bool,
    reports: Reports,
}

impl UpstreamModel {
    /// An upstream that starts at `now`, or did so long before.
    pub fn new(settings: UpstreamSettings, rng: ChaCha8Rng, now: f64, is_cold: bool) -> Self {
        Self {
            core_free_at: vec![now; settings.cores as usize],
            settings,
            rng,
            started_at: is_cold.then_some(now),
            slowdown: 1.0,
            accepted_work: 0.0,
            begins: VecDeque::new(),
            finishes: BinaryHeap::new(),
            congestion: Congestion::None,
            sent: VecDeque::new(),
            sent_work: 0.0,
            has_crashed: false,
            reports: Reports {
                newest: LoadReport::default(),
                previous: LoadReport::default(),
                measured_work: 0.0,
                measured_at: now,
            },
        }
    }

    /// Makes requests take `factor` times as long from now on; 1 is normal.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// Share of its full capacity that slow start allows at `now`.
    pub fn slow_start_share(&self, now: f64) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let initial = self.settings.slow_start_initial_share;
        let progress = ((now - started_at) / self.settings.slow_start_s.max(1e-9)).clamp(0.0, 1.0);
        initial + (1.0 - initial) * progress
    }

    /// A request arrives with its work and its wait on other systems; returns when its response
    /// leaves.
    pub fn accept(&mut self, now: f64, work: f64, wait: f64) -> Result<f64, Rejection> {
        self.advance(now);
        if self.has_crashed {
            return Err(Rejection::Crashed);
        }
        let cores = f64::from(self.settings.cores);
        if self.begins.len() as f64 >= f64::from(self.settings.queue_per_core) * cores {
            return Err(Rejection::QueueFull);
        }
        self.update_overload(now, work);
        let congestion = match self.is_congested() {
            true => self.settings.congestion_slowdown,
            false => 1.0,
        };
        let speed = self.settings.speed * self.slow_start_share(now);
        let service_time = work / speed * self.slowdown * congestion;
        let first_free = self.core_free_at.iter_mut().min_by(|a, b| a.total_cmp(b));
        let Some(core) = first_free else {
            return Err(Rejection::QueueFull);
        };
        let begin = core.max(now);
        *core = begin + service_time;
        let finish = begin + service_time + wait;
        self.accepted_work += service_time;
        // First come, first served: cores become free in the order in which they are taken.
        self.begins.push_back(begin);
        self.finishes.push(Reverse(microseconds(finish)));
        self.update_congestion(now);
        Ok(finish)
    }

    /// The load report that responses carry at `now`.
    pub fn report(&mut self, now: f64) -> LoadReport {
        self.advance(now);
        let age = now - self.reports.measured_at;
        if age >= self.settings.report_interval_ms / 1e3 {
            let work = self.work_done(now);
            let cores = f64::from(self.settings.cores);
            let noise = 1.0 + self.settings.report_noise * self.rng.random_range(-1.0..1.0);
            let utilization = ((work - self.reports.measured_work) / (age * cores)).clamp(0.0, 1.0);
            self.reports = Reports {
                newest: LoadReport {
                    utilization: utilization * noise,
                    in_flight: self.in_flight() as f64 * noise,
                },
                previous: self.reports.newest,
                measured_work: work,
                measured_at: now,
            };
        }
        let is_sent = now - self.reports.measured_at >= self.settings.report_delay_ms / 1e3;
        if is_sent {
            self.reports.newest
        } else {
            self.reports.previous
        }
    }

    /// Requests in flight, as of the last event.
    pub fn in_flight(&self) -> usize {
        self.finishes.len()
    }

    /// Whether it has crashed under overload during slow start.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Whether it is slow because its queue was too long.
    pub fn is_congested(&self) -> bool {
        matches!(self.congestion, Congestion::Congested { .. })
    }

    /// When its last core becomes free.
    pub fn idle_at(&self) -> f64 {
        self.core_free_at.iter().copied().fold(0.0, f64::max)
    }

    /// Removes what is finished by `now`.
    pub fn advance(&mut self, now: f64) {
        while self.begins.front().is_some_and(|begin| *begin <= now) {
            self.begins.pop_front();
        }
        while self
            .finishes
            .peek()
            .is_some_and(|finish| finish.0 <= microseconds(now))
        {
            self.finishes.pop();
        }
        self.update_congestion(now);
    }

    /// Core time done by `now`.
    fn work_done(&self, now: f64) -> f64 {
        let outstanding: f64 = self
            .core_free_at
            .iter()
            .map(|free| (free - now).max(0.0))
            .sum();
        self.accepted_work - outstanding
    }

    fn update_congestion(&mut self, now: f64) {
        let settings = &self.settings;
        let cores = f64::from(settings.cores);
        if settings.congestion_queue_per_core <= 0.0 {
            return;
        }
        let is_queue_long = self.begins.len() as f64 >= settings.congestion_queue_per_core * cores;
        self.congestion = match self.congestion {
            Congestion::Congested { since, idle_since } => self.recover(now, since, idle_since),
            _ if !is_queue_long => Congestion::None,
            building => {
                let since = match building {
                    Congestion::Building { since } => since,
                    _ => now,
                };
                match now - since >= settings.congestion_onset_s {
                    true => Congestion::Congested {
                        since: now,
                        idle_since: None,
                    },
                    false => Congestion::Building { since },
                }
            }
        };
    }

    /// Updates the state of congestion at `now`.
    fn recover(&self, now: f64, since: f64, idle_since: Option<f64>) -> Congestion {
        let cores_in_use = self.core_free_at.iter().filter(|free| **free > now).count();
        let utilization = cores_in_use as f64 / f64::from(self.settings.cores);
        if utilization > self.settings.recovery_utilization {
            return Congestion::Congested {
                since,
                idle_since: None,
            };
        }
        let idle_since = idle_since.unwrap_or(now.max(since));
        match now - idle_since >= self.settings.recovery_s {
            true => Congestion::None,
            false => Congestion::Congested {
                since,
                idle_since: Some(idle_since),
            },
        }
    }

    /// More work than a multiple of the present capacity, sent for a while during slow start,
    /// crashes it. Counted as a budget over the overload window.
    fn update_overload(&mut self, now: f64, work: f64) {
        let share = self.slow_start_share(now);
        if share >= 1.0 {
            self.sent.clear();
            return;
        }
        self.sent.push_back(SentWork { at: now, work });
        self.sent_work += work;
        let window_start = now - self.settings.overload_window_s;
        while let Some(oldest) = self
            .sent
            .front()
            .copied()
            .filter(|sent| sent.at < window_start)
        {
            self.sent_work -= oldest.work;
            self.sent.pop_front();
        }
        let capacity = share
            * self.settings.speed
            * f64::from(self.settings.cores)
            * self.settings.overload_window_s;
        self.has_crashed |= self.sent_work > self.settings.overload_multiple * capacity;
    }
}

fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}
