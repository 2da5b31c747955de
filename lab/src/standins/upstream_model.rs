//! The model of an upstream: a state machine without I/O that computes completion times and load
//! reports.
//!
//! Cores process requests in the order of arrival; a request then waits for other systems without
//! occupying a core. The completion time is computed on arrival, so no clock or timer is needed.
//! Times are seconds from the start of the load unless stated otherwise.

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
    /// Mean share of the upstream's cores in use since the previous report, with a random relative
    /// error.
    pub utilization: f64,
    /// Number of requests in flight, with the same relative error.
    pub in_flight: f64,
}

/// The state of congestion. An upstream becomes congested, and slows down, once its queue has been
/// long for `congestion_onset_s` seconds. It recovers once its utilization has been low for
/// `recovery_s` seconds. A long queue has at least `congestion_queue_per_core` requests per core; a
/// low utilization is at most `recovery_utilization`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Congestion {
    /// The upstream is not congested and its queue is not long, or congestion is switched off.
    None,
    /// The queue has been long since `since`; the upstream is not congested yet.
    Building { since: f64 },
    /// The upstream has been congested since `since`. Its utilization has been low since
    /// `low_since`; `None` if the utilization is not low.
    Congested { since: f64, low_since: Option<f64> },
}

/// A request that was accepted during slow start.
#[derive(Clone, Copy)]
struct AcceptedRequest {
    accepted_at: f64,
    /// Time that the request takes on a core of speed 1, in seconds.
    work: f64,
}

/// The last two load reports, and the measurement behind the newer one.
struct Reports {
    newest: LoadReport,
    previous: LoadReport,
    /// Core time in seconds that had been spent when the newest report was made.
    measured_work: f64,
    /// Time when the newest report was made.
    measured_at: f64,
}

/// The model of an upstream from one start to the next.
pub struct UpstreamModel {
    settings: UpstreamSettings,
    rng: ChaCha8Rng,
    /// Time at which the upstream's slow start began; `None` if it started at full capacity.
    started_at: Option<f64>,
    /// Factor by which a fault multiplies the time of each request on a core; 1 without a fault.
    slowdown: f64,
    /// Time at which each core becomes free.
    core_free_at: Vec<f64>,
    /// Core time of all accepted requests in seconds, whether spent or still to be spent.
    accepted_work: f64,
    /// Times at which cores begin to process the queued requests, in ascending order.
    begin_times: VecDeque<f64>,
    /// Times at which the responses of the requests in flight are sent, in microseconds from the
    /// start of the load.
    finish_times_us: BinaryHeap<Reverse<u64>>,
    congestion: Congestion,
    /// Requests that were accepted during slow start: the newest one, and those that were accepted
    /// at most `overload_window_s` seconds before it.
    overload_window: VecDeque<AcceptedRequest>,
    /// Total work of the requests in `overload_window`; no longer updated after slow start.
    overload_window_work: f64,
    has_crashed: bool,
    reports: Reports,
}

impl UpstreamModel {
    /// Creates the model of an upstream that starts at `now`: in slow start if `in_slow_start` is
    /// true, otherwise at full capacity.
    pub fn new(settings: UpstreamSettings, rng: ChaCha8Rng, now: f64, in_slow_start: bool) -> Self {
        Self {
            core_free_at: vec![now; settings.cores as usize],
            settings,
            rng,
            started_at: in_slow_start.then_some(now),
            slowdown: 1.0,
            accepted_work: 0.0,
            begin_times: VecDeque::new(),
            finish_times_us: BinaryHeap::new(),
            congestion: Congestion::None,
            overload_window: VecDeque::new(),
            overload_window_work: 0.0,
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

    /// Returns the fraction of the upstream's full capacity that is available at `now`; 1 after
    /// slow start.
    pub fn slow_start_share(&self, now: f64) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let initial = self.settings.slow_start_initial_fraction;
        let progress = ((now - started_at) / self.settings.slow_start_s.max(1e-9)).clamp(0.0, 1.0);
        initial + (1.0 - initial) * progress
    }

    /// Accepts a request that arrives at `now`, and returns the time at which its response is sent;
    /// both are in seconds from the start of the load. `work` is the time that the request takes on
    /// a core of speed 1, in seconds. `wait` is the time for which the request then waits for other
    /// systems, in seconds.
    pub fn accept(&mut self, now: f64, work: f64, wait: f64) -> Result<f64, Rejection> {
        self.advance(now);
        if self.has_crashed {
            return Err(Rejection::Crashed);
        }
        let cores = f64::from(self.settings.cores);
        if self.begin_times.len() as f64 >= f64::from(self.settings.queue_per_core) * cores {
            return Err(Rejection::QueueFull);
        }
        self.check_slow_start_overload(now, work);
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
        // Requests begin in the order of arrival, so `begin_times` stays sorted.
        self.begin_times.push_back(begin);
        self.finish_times_us.push(Reverse(microseconds(finish)));
        self.update_congestion(now);
        Ok(finish)
    }

    /// Returns the load report that responses carry at `now`. Responses carry a new report only
    /// after the report delay; during the delay, they carry the previous report.
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

    /// Returns the number of requests in flight as of the last call of [`accept`](Self::accept),
    /// [`report`](Self::report) or [`advance`](Self::advance).
    pub fn in_flight(&self) -> usize {
        self.finish_times_us.len()
    }

    /// Returns whether the upstream has crashed under overload during slow start.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Returns whether the upstream is congested, which makes requests take longer.
    pub fn is_congested(&self) -> bool {
        matches!(self.congestion, Congestion::Congested { .. })
    }

    /// Returns the time from which all cores are free, unless further requests are accepted.
    pub fn idle_at(&self) -> f64 {
        self.core_free_at.iter().copied().fold(0.0, f64::max)
    }

    /// Advances the model to `now`. A request leaves the queue when a core begins to process it,
    /// and is in flight until its response is sent. Also updates the congestion.
    pub fn advance(&mut self, now: f64) {
        while self.begin_times.front().is_some_and(|begin| *begin <= now) {
            self.begin_times.pop_front();
        }
        while self
            .finish_times_us
            .peek()
            .is_some_and(|finish| finish.0 <= microseconds(now))
        {
            self.finish_times_us.pop();
        }
        self.update_congestion(now);
    }

    /// Returns the core time that has been spent up to the time `now`, in seconds.
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
        let is_queue_long =
            self.begin_times.len() as f64 >= settings.congestion_queue_per_core * cores;
        self.congestion = match self.congestion {
            Congestion::Congested { since, low_since } => self.recover(now, since, low_since),
            _ if !is_queue_long => Congestion::None,
            building => {
                let since = match building {
                    Congestion::Building { since } => since,
                    _ => now,
                };
                match now - since >= settings.congestion_onset_s {
                    true => Congestion::Congested {
                        since: now,
                        low_since: None,
                    },
                    false => Congestion::Building { since },
                }
            }
        };
    }

    /// Returns the next state of a congested upstream at `now`.
    fn recover(&self, now: f64, since: f64, low_since: Option<f64>) -> Congestion {
        let cores_in_use = self.core_free_at.iter().filter(|free| **free > now).count();
        let utilization = cores_in_use as f64 / f64::from(self.settings.cores);
        if utilization > self.settings.recovery_utilization {
            return Congestion::Congested {
                since,
                low_since: None,
            };
        }
        let low_since = low_since.unwrap_or(now.max(since));
        match now - low_since >= self.settings.recovery_s {
            true => Congestion::None,
            false => Congestion::Congested {
                since,
                low_since: Some(low_since),
            },
        }
    }

    /// Adds a request to the overload window, and marks the upstream as crashed if the work in the
    /// window exceeds `overload_multiple` times the work that the current capacity could do in a
    /// window of that length. After slow start, empties the window instead.
    fn check_slow_start_overload(&mut self, now: f64, work: f64) {
        let share = self.slow_start_share(now);
        if share >= 1.0 {
            self.overload_window.clear();
            return;
        }
        self.overload_window.push_back(AcceptedRequest {
            accepted_at: now,
            work,
        });
        self.overload_window_work += work;
        let window_start = now - self.settings.overload_window_s;
        while let Some(oldest) = self
            .overload_window
            .front()
            .copied()
            .filter(|accepted| accepted.accepted_at < window_start)
        {
            self.overload_window_work -= oldest.work;
            self.overload_window.pop_front();
        }
        let capacity = share
            * self.settings.speed
            * f64::from(self.settings.cores)
            * self.settings.overload_window_s;
        self.has_crashed |= self.overload_window_work > self.settings.overload_multiple * capacity;
    }
}

fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}
