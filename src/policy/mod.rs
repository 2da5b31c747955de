//! All decisions of a balancer, alone. Their types, events and actions stand in `interface.rs`.
//!
//! The ordinary path is the paper's: every tick refills one token bucket a tenant by a guaranteed rate and a
//! share, in proportion to demand, of the spare room W of the upstreams; a request that finds a token is
//! admitted, any other refused on arrival; admitted requests take turns round robin over the ready upstreams,
//! skipping one that holds clearly more than the next ones. Everything else here is an exception to that path
//! and says what it guards against. Times are seconds.

mod admission;
mod attempt_flow;
mod capacity;
mod class_statistics;
mod clock;
mod endpoint_lease;
mod endpoint_polling;
mod idle_connections;
mod list;
mod load;
mod outlier_detection;
mod pacing;
mod request_flow;
mod requests;
mod round_robin;
mod upstream_health;
mod upstreams;
mod weights;

use crate::interface::{
    Action, Event, SendPause, Settings, SettingsError, StatusSnapshot, TimerId, UpstreamId,
    WatchEvent,
};
use crate::random::Random;
use admission::Admission;
use capacity::{Capacity, CapacityInputs, RATE_MEMORY_S};
use class_statistics::ClassStatistics;
use endpoint_lease::EndpointLease;
use endpoint_polling::EndpointPolling;
use idle_connections::IdleConnections;
use load::LoadReportTracker;
use outlier_detection::{OutlierDetection, may_be_ejected};
use pacing::{PacingRates, SendPacing};
use request_flow::Arrival;
use requests::{Requests, RetryBudget};
use round_robin::Rotation;
use std::time::Duration;
use upstream_health::suspicion_left;
use upstreams::{Upstream, Upstreams};
use weights::Weights;

/// Seconds between refills: short against any aim, long against one look over the fleet.
const TICK_S: f64 = 0.025;
/// Upstreams in a subset for each request a second that the balancer may get, and at the least.
const SUBSET_EACH: f64 = 0.7;
const SUBSET_LEAST: f64 = 2.0;
/// The timer of the tick.
const TICK_TIMER: TimerId = TimerId(0);

/// One balancer's decisions. See the crate's page for its use.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    /// The time of the event in hand; in seconds as well.
    now: Duration,
    now_s: f64,
    actions: Vec<Action>,
    random: Random,
    upstreams: Upstreams,
    rotation: Rotation,
    subset_least: usize, // of an equal part of the traffic
    subset: usize,       // of what this balancer really gets
    sharers: f64,        // balancers that send to each upstream, by an equal spread of subsets
    choose_at: f64,      // when the subset is looked at again
    requests: Requests,
    retry_budget: RetryBudget,
    idle_connections: IdleConnections,
    admission: Admission,
    classes: ClassStatistics,
    outliers: OutlierDetection,
    wanted: f64, // first tries of the running tick, or what was admitted where they can't be told
    flow: f64,   // the same a second, smoothed
    capacity: Capacity,
    pacing: SendPacing,
    load_reports: LoadReportTracker,
    weights: Weights,
    ticking: bool,
    last_tick_s: f64,
    polling: EndpointPolling,
    lease: EndpointLease,
}

impl Balancer {
    /// A balancer with these settings; `seed` is its only source of chance.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        let stated: f64 = set
            .tenants
            .iter()
            .map(|t| t.quota_per_s)
            .filter(|a| a.is_finite())
            .sum();
        let each = stated.max(1.0) / f64::from(set.balancers);
        let subset = (SUBSET_EACH * each).clamp(SUBSET_LEAST, 1e6) as usize;
        let capacity = Capacity::new(&set, each);
        Ok(Self {
            pacing: SendPacing::new(capacity.knows_utilization()),
            capacity,
            subset,
            subset_least: subset,
            random: Random::with_seed(seed),
            admission: Admission::new(&set),
            outliers: OutlierDetection::new(set.classes.len()),
            classes: ClassStatistics::new(&set),
            flow: each,
            load_reports: LoadReportTracker::new(&set),
            weights: Weights::new(&set),
            polling: EndpointPolling::new(&set),
            lease: EndpointLease::new(set.drain_grace, set.has_local_agent),
            settings: set,
            retry_budget: RetryBudget::full(),
            ..Self::default()
        })
    }

    /// Entries of state held: upstreams, requests, attempts to look after. Bounded: see the tests.
    pub fn entries(&self) -> usize {
        self.upstreams.entry_count() + self.requests.entry_count()
    }

    /// The upstreams in turn.
    fn in_turn(&self) -> impl Iterator<Item = &Upstream> {
        self.rotation
            .members()
            .iter()
            .map(|slot| &self.upstreams[*slot])
    }

    /// The present state that decisions are based on.
    pub fn status(&self) -> StatusSnapshot {
        let warming_up = self.in_turn().filter(|u| u.weight.is_warming_up()).count();
        let ejected = self
            .in_turn()
            .filter(|u| u.health.is_ejected(self.now_s))
            .count();
        StatusSnapshot {
            spare_capacity: self.capacity.spare(),
            service_rate: self.capacity.service_rate()
                * self.in_turn().map(|u| u.weight.weight()).sum::<f64>(),
            utilization: self.capacity.utilization(),
            mean_latency_s: self.classes.mean_latency_s(),
            demand_per_s: self.admission.demand_per_s(),
            in_flight: self.upstreams.iter().map(|u| u.load.in_flight()).sum(),
            rotation_size: self.rotation.members().len(),
            warming_up,
            ejected,
        }
    }

    /// When no new attempt may be sent, unless the endpoint list is confirmed before; `None`: it is
    /// confirmed. An embedder looks here again just before it writes an attempt.
    pub fn send_pause(&self) -> Option<SendPause> {
        self.lease.send_pause()
    }

    /// Takes in one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        let at = now.as_secs_f64();
        (self.now, self.now_s) = (now, at);
        if !std::mem::replace(&mut self.ticking, true) {
            self.last_tick_s = at;
            self.polling.start(at, &mut self.random);
            let after = Duration::from_secs_f64(TICK_S * self.random.f64());
            self.actions.push(Action::Timer {
                after,
                timer: TICK_TIMER,
            });
        }
        match event {
            Event::EndpointsUpdated { scope, endpoints } => self.fleet(scope, endpoints),
            Event::Watch(event) => self.on_watch_event(event),
            Event::Request {
                id,
                class,
                tenant,
                time_left,
                is_retry,
                ..
            } => {
                self.on_request(Arrival {
                    id,
                    class: usize::from(class.0),
                    tenant: tenant.0 as usize,
                    time_left,
                    is_retry,
                });
            }
            Event::StreamStarted { id, .. } => self.on_stream_started(id),
            Event::AttemptEnded {
                id,
                attempt,
                upstream,
                outcome,
                latency,
                finished,
                report,
            } => {
                // One given up as overdue ends before the tick that would have found it so.
                self.handle_overdue_attempts();
                self.record_load_report(upstream, report);
                self.on_attempt_ended(id, attempt, outcome, latency, finished);
            }
            Event::ClientDisconnected { id } => self.complete(id),
            Event::HealthCheckEnded {
                upstream, report, ..
            } => self.record_load_report(upstream, report),
            Event::Timer { timer: TICK_TIMER } => self.tick(),
            Event::Timer { .. } => {}
        }
        std::mem::swap(&mut self.actions, actions);
    }

    /// Takes in what happened to the endpoint watch or a poll.
    fn on_watch_event(&mut self, event: WatchEvent) {
        self.lease.on_watch_event(event, self.now_s);
        if matches!(event, WatchEvent::Partial { .. }) {
            self.polling.on_partial_response();
        }
    }

    /// Discovery has confirmed the endpoint list.
    fn renew_lease(&mut self) {
        let log_event = self.lease.renew(self.now_s);
        self.actions.extend(log_event.map(Action::Log));
    }

    fn record_load_report(&mut self, id: UpstreamId, report: &[f32]) {
        if let Some(slot) = self.upstreams.slot(id) {
            let upstream = &mut self.upstreams[slot];
            self.load_reports
                .record(&mut upstream.load, upstream.size, report, self.now_s);
        }
    }

    /// A first attempt of a client counts for the size of the subset.
    fn record_first_attempt(&mut self) {
        self.wanted += 1.0;
    }

    /// Spare capacity, and what the token buckets get of it.
    fn update_capacity(&mut self, elapsed_s: f64) {
        self.classes.fade(elapsed_s, self.now_s);
        self.capacity.update(&CapacityInputs {
            upstreams: &self.upstreams,
            rotation: self.rotation.members(),
            classes: &self.classes,
            load_reports: &self.load_reports,
            balancers_per_upstream: self.sharers,
            elapsed_s,
            now_s: self.now_s,
        });
        self.pacing.set_active(self.capacity.knows_utilization());
        let (spare, shortage) = (self.capacity.spare(), self.capacity.shortage());
        self.admission.refill(spare, shortage, elapsed_s);
    }

    /// Weighs the upstreams of the rotation anew: what each can do now, and the turns and sends it gets.
    fn update_weights(&mut self, elapsed_s: f64) {
        let (now_s, members) = (self.now_s, self.rotation.members());
        let ready = self.in_turn().filter(|u| u.ready);
        let ejected = ready.filter(|u| u.health.is_ejected(now_s)).count();
        let ejections_hold = may_be_ejected(ejected, self.in_turn().filter(|u| u.ready).count());
        let suspicion_left = suspicion_left(elapsed_s);
        let abandoned_left = (-elapsed_s / self.classes.shortest_objective_s()).exp();
        for slot in members {
            let upstream = &mut self.upstreams[*slot];
            upstream.health.fade(suspicion_left);
            upstream.load.fade_abandoned(abandoned_left);
        }
        let upstreams = &mut self.upstreams;
        self.weights
            .update(upstreams, members, ejections_hold, elapsed_s, now_s);
        self.load_reports.update_mean(upstreams, members, now_s);
        let service_rate = self.capacity.service_rate();
        let slow_start = self
            .weights
            .slow_start_rate(upstreams, members, service_rate);
        self.rotation
            .earn_slow_start_turns(upstreams, slow_start, elapsed_s);
        let rates = PacingRates {
            service_rate,
            slow_start,
            utilization: self.capacity.utilization(),
            balancers_per_upstream: self.sharers,
            load_reports: &self.load_reports,
        };
        self.pacing
            .refill(upstreams, members, &rates, elapsed_s, now_s);
    }

    /// The tick: W and the grants, then the fleet's weights, overdue attempts and discovery.
    fn tick(&mut self) {
        let (at, tau) = (self.now_s, (self.now_s - self.last_tick_s).clamp(0.0, 1.0));
        self.last_tick_s = at;
        // Traffic is uneven: several times the mean on an equal part of the upstreams would crowd them as
        // others idle. Repeats that are not marked would count as that. Both ways by leaps, so that chance
        // moves nothing.
        self.flow += (tau / RATE_MEMORY_S).min(1.0) * (self.wanted / tau.max(1e-6) - self.flow);
        self.wanted = 0.0;
        let due = (SUBSET_EACH * self.flow).clamp(self.subset_least as f64, 1e6) as usize;
        let more =
            due * 2 >= self.subset * 3 && self.rotation.members().len() < self.upstreams.len();
        if more || due * 3 <= self.subset {
            (self.subset, self.choose_at) = (due, at);
        }
        if at >= self.choose_at {
            self.choose_subset();
        }
        self.update_weights(tau);
        self.update_capacity(tau);
        self.handle_overdue_attempts();
        if self.polling.poll_if_due(at, &mut self.random) {
            self.actions.push(Action::WatchEndpoints);
        }
        self.actions.push(Action::Timer {
            after: Duration::from_secs_f64(TICK_S),
            timer: TICK_TIMER,
        });
    }
}
