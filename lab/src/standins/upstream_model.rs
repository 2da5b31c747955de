//! The model of an upstream: a state machine without I/O that computes completion times and load
//! reports.
//!
//! Cores process requests in the order of arrival; then each waits on other systems without a core.
//! The completion time is computed on arrival, so no clock or timer is needed. Times are seconds
//! from the start of the load unless stated otherwise.

use crate::experiment::UpstreamSettings;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Minimum factor of a slowdown; smaller factors are raised to it.
const MIN_SLOWDOWN: f64 = 1e-3;

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue of the upstream has reached its limit.
    QueueFull,
    /// The upstream has crashed under overload and has not been restarted.
    Crashed,
}

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Mean share of its cores in use since the report before, with the report's random error.
    pub utilization: f64,
    /// Number of requests in flight, with the same random error.
    pub in_flight: f64,
}

/// The state of congestion. An upstream whose queue has been too long for some time slows down,
/// until its utilization has been low for some time. The settings set the limits.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Congestion {
    /// The queue is shorter than the limit, or the settings rule out congestion.
    None,
    /// The queue has been too long since this time.
    Building { since: f64 },
    /// Processing has been slow since `since`. Utilization has been low since `idle_since`; `None`
    /// if it is not low.
    Congested { since: f64, idle_since: Option<f64> },
}

/// The work of a request that arrived during slow start, in seconds on a core of speed 1.
#[derive(Clone, Copy)]
struct SentWork {
    at: f64,
    work: f64,
}

/// The last two load reports, and the measurement behind the newer one.
struct Reports {
    newest: LoadReport,
    previous: LoadReport,
    /// Core time that had been spent when the newest report was made.
    measured_work: f64,
    /// Time when the newest report was made.
    measured_at: f64,
}

/// The model of an upstream from one start to the next.
pub struct UpstreamModel {
    settings: UpstreamSettings,
    rng: ChaCha8Rng,
    /// Time when its slow start began; `None` if it started without one.
    started_at: Option<f64>,
    /// Factor by which a fault slows it down; 1 is normal.
    slowdown: f64,
    /// Time at which each core becomes free.
    core_free_at: Vec<f64>,
    /// Core time of all accepted requests, whether spent or still to be spent.
    accepted_work: f64,
    /// Times at which the queued requests begin on a core, in ascending order.
    begins: VecDeque<f64>,
    /// Times at which the responses of the requests in flight are sent, in microseconds.
    finishes: BinaryHeap<Reverse<u64>>,
    congestion: Congestion,
    /// Requests that arrived during slow start within the overload window.
    sent: VecDeque<SentWork>,
    /// Total work of the requests in `sent`.
    sent_work: f64,
    has_crashed: bool,
    reports: Reports,
}

impl UpstreamModel {
    /// Creates an upstream that begins its slow start at `now`, or one at full capacity.
    pub fn new(settings: UpstreamSettings, rng: ChaCha8Rng, now: f64, in_slow_start: bool) -> Self {
        Self {
            core_free_at: vec![now; settings.cores as usize],
            settings,
            rng,
            started_at: in_slow_start.then_some(now),
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

    /// Makes requests take `factor` times their normal time on a core from now on; 1 is normal.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// Returns the share of its full capacity that it has at `now`; 1 after slow start.
    pub fn slow_start_share(&self, now: f64) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let initial = self.settings.slow_start_initial_share;
        let progress = ((now - started_at) / self.settings.slow_start_s.max(1e-9)).clamp(0.0, 1.0);
        initial + (1.0 - initial) * progress
    }

    /// Accepts a request at `now` and returns when its response is sent. `work` is its time on a
    /// core of speed 1, and `wait` its time on other systems.
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
        // Requests begin in the order of arrival, so `begins` stays sorted.
        self.begins.push_back(begin);
        self.finishes.push(Reverse(microseconds(finish)));
        self.update_congestion(now);
        Ok(finish)
    }

    /// Returns the load report that responses carry at `now`. A new report is first sent after the
    /// report delay; until then, responses carry the previous one.
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

    /// Returns the number of requests in flight at the time passed to the last call.
    pub fn in_flight(&self) -> usize {
        self.finishes.len()
    }

    /// Returns whether it has crashed under overload during slow start.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Returns whether it is congested, so that requests take longer.
    pub fn is_congested(&self) -> bool {
        matches!(self.congestion, Congestion::Congested { .. })
    }

    /// Returns the time at which all its cores are free.
    pub fn idle_at(&self) -> f64 {
        self.core_free_at.iter().copied().fold(0.0, f64::max)
    }

    /// Advances the model to `now`: removes the requests that have begun from the queue and those
    /// that have ended from the ones in flight, and updates the congestion.
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

    /// Returns the core time that has been spent by `now`.
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

    /// Returns the next state of a congested upstream at `now`.
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

    /// Crashes an upstream in slow start if the work that arrived within the overload window
    /// exceeds the overload multiple of the work that its present capacity allows in that window.
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
