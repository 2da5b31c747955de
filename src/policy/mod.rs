//! The decisions of a balancer, made by [`Balancer`]. The events that it takes and the actions that
//! it returns are declared in `interface.rs`.
//!
//! The ordinary path follows the paper "Dynamic Admission Control for Improving Utilization of
//! Parlay X Gateway", whose symbols are listed below. Every tick refills the token bucket of each
//! tenant at a guaranteed rate, and with a part of the spare capacity of the upstreams (W in the
//! paper) in proportion to the tenant's demand. A request is admitted if the bucket of its tenant
//! has a token; otherwise it is rejected on arrival. Admitted requests are distributed round robin
//! over the ready upstreams; an upstream is skipped if it has clearly more requests in flight per
//! unit of capacity than the next upstreams in turn. Everything else is an exception to that path,
//! and the comment of each exception states what the exception guards against.
//!
//! Each module owns its constants and its state, including its state of each upstream; [`Balancer`]
//! passes it the inputs from other modules. `request_flow.rs`, `attempt_flow.rs` and
//! `endpoint_flow.rs` show how a request, an attempt and an endpoint update pass through the
//! modules. Names that end in `_s` hold seconds: durations, or times on the embedder's clock. Names
//! that end in `_per_s` hold rates per second.
//!
//! The paper's symbols are given where each quantity is declared: V_i, mu_i, u_g_i, u_i and T_i in
//! `admission.rs`; W, C_j and Q_j in `capacity.rs`; q_j in `load.rs`; sigma in `round_robin.rs`.
//! The time since the last tick, `elapsed_s`, is tau in the paper.

mod admission;
mod attempt_flow;
mod capacity;
mod class_statistics;
mod clock;
mod endpoint_flow;
mod endpoint_lease;
mod endpoint_polling;
mod endpoints;
mod idle_connections;
mod load;
mod outlier_detection;
mod pacing;
mod request_flow;
mod requests;
mod round_robin;
mod smoothing;
mod subset;
mod upstream_health;
mod upstreams;
mod weights;

use crate::interface::{
    Action, Event, SendPause, Settings, SettingsError, StatusSnapshot, Tenant, TimerId, UpstreamId,
};
use crate::random::Random;
use admission::Admission;
use capacity::{Capacity, CapacityInputs};
use class_statistics::ClassStatistics;
use endpoint_lease::EndpointLease;
use endpoint_polling::EndpointPolling;
use idle_connections::IdleConnectionStatistics;
use load::LoadReportTracker;
use outlier_detection::{OutlierDetection, may_be_ejected};
use pacing::{PacingInputs, SendPacing};
use request_flow::Arrival;
use requests::{Requests, RetryBudget};
use round_robin::Rotation;
use std::time::Duration;
use subset::Subset;
use upstream_health::suspicion_decay_factor;
use upstreams::{Upstream, Upstreams};
use weights::Weights;

/// Seconds between ticks: much less than any latency objective, and much more than one pass over
/// all upstreams takes.
const TICK_S: f64 = 0.025;
/// Upper limit, in seconds, of the time that one tick accounts for, even if more time has passed
/// since the last tick.
const MAX_TICK_ELAPSED_S: f64 = 1.0;
const TICK_TIMER: TimerId = TimerId(0);

/// Makes the decisions of one balancer: takes events and returns actions. The documentation of the
/// crate shows its use.
pub struct Balancer {
    settings: Settings,
    /// Time of the event that is being processed, on the embedder's clock; `now_s` is the same time
    /// in seconds.
    now: Duration,
    now_s: f64,
    actions: Vec<Action>,
    random: Random,
    is_started: bool,
    last_tick_at_s: f64,
    // The upstreams, and the subset of them that this balancer sends to.
    polling: EndpointPolling,
    lease: EndpointLease,
    upstreams: Upstreams,
    subset: Subset,
    rotation: Rotation,
    // Requests in flight, and statistics of their outcomes.
    requests: Requests,
    retry_budget: RetryBudget,
    classes: ClassStatistics,
    load_reports: LoadReportTracker,
    outliers: OutlierDetection,
    idle_connection_statistics: IdleConnectionStatistics,
    // Limits of admissions and of sends.
    weights: Weights,
    capacity: Capacity,
    admission: Admission,
    pacing: SendPacing,
}

/// Returns the number of requests per second that a balancer expects before it has received any
/// request: the sum of the stated quotas divided by the number of balancers. The sum counts as at
/// least one request per second.
fn expected_requests_per_s(settings: &Settings) -> f64 {
    let quotas = settings
        .tenants
        .iter()
        .map(|tenant: &Tenant| tenant.quota_per_s);
    let stated_quota_sum_per_s: f64 = quotas.filter(|quota| quota.is_finite()).sum();
    stated_quota_sum_per_s.max(1.0) / f64::from(settings.balancers)
}

impl Default for Balancer {
    /// Returns a balancer without classes, which fails every request.
    fn default() -> Self {
        Self::with_settings(Settings::default(), 0)
    }
}

impl Balancer {
    /// Returns a balancer with these settings, or the error of [`Settings::check`]. `seed` is the
    /// balancer's only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self::with_settings(settings.with_limited_numbers(), seed))
    }

    fn with_settings(settings: Settings, seed: u64) -> Self {
        let expected_requests_per_s = expected_requests_per_s(&settings);
        let capacity = Capacity::new(&settings, expected_requests_per_s);
        Self {
            now: Duration::ZERO,
            now_s: 0.0,
            actions: Vec::new(),
            random: Random::with_seed(seed),
            is_started: false,
            last_tick_at_s: 0.0,
            polling: EndpointPolling::new(&settings),
            lease: EndpointLease::new(settings.drain_grace, settings.has_local_agent),
            upstreams: Upstreams::default(),
            subset: Subset::new(&settings, expected_requests_per_s),
            rotation: Rotation::default(),
            requests: Requests::default(),
            retry_budget: RetryBudget::full(),
            classes: ClassStatistics::new(&settings),
            load_reports: LoadReportTracker::new(&settings),
            outliers: OutlierDetection::new(settings.classes.len()),
            idle_connection_statistics: IdleConnectionStatistics::default(),
            weights: Weights::new(&settings),
            admission: Admission::new(&settings),
            pacing: SendPacing::new(capacity.knows_utilization()),
            capacity,
            settings,
        }
    }

    /// Returns the number of entries in all collections of state: upstreams, requests and overdue
    /// times of attempts. The number is bounded; `tests/bounded_state.rs` checks this.
    pub fn entries(&self) -> usize {
        self.upstreams.entry_count() + self.requests.entry_count()
    }

    /// Returns a snapshot of the state that decisions are based on.
    pub fn status(&self) -> StatusSnapshot {
        let rotation_weight: f64 = self.members().map(|u| u.weight.weight()).sum();
        StatusSnapshot {
            spare_capacity: self.capacity.spare_capacity(),
            service_rate: self.capacity.service_rate_per_weight() * rotation_weight,
            utilization: self.capacity.utilization(),
            mean_latency_s: self.classes.mean_latency_s(),
            demand_per_s: self.admission.demand_per_s(),
            in_flight: self.upstreams.iter().map(|u| u.load.in_flight()).sum(),
            rotation_size: self.rotation.member_slots().len(),
            warming_up: self.members().filter(|u| u.weight.is_warming_up()).count(),
            ejected: self
                .members()
                .filter(|u| u.health.is_ejected(self.now_s))
                .count(),
        }
    }

    /// Returns the period in which no new attempt may be sent unless the endpoint list is confirmed
    /// first; `None` while the list is confirmed. An embedder checks it again just before it writes
    /// an attempt.
    pub fn send_pause(&self) -> Option<SendPause> {
        self.lease.send_pause()
    }

    /// Processes one event, which occurred at `now` on the embedder's clock, and appends the
    /// actions that follow from it to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        (self.now, self.now_s) = (now, now.as_secs_f64());
        self.start();
        match event {
            Event::EndpointsUpdated { scope, endpoints } => self.on_endpoints(scope, endpoints),
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
                request_finished,
                report,
            } => {
                // Attempts that have become overdue are handled before the end of this attempt: if
                // only ticks did that, an attempt whose time-out is its overdue time would end
                // before the next tick and never count as overdue.
                self.handle_overdue_attempts();
                self.on_load_report(upstream, report);
                self.on_attempt_ended(id, attempt, outcome, latency, request_finished);
            }
            Event::ClientDisconnected { id } => self.complete(id),
            Event::HealthCheckEnded {
                upstream, report, ..
            } => {
                self.on_load_report(upstream, report);
            }
            Event::Timer { timer: TICK_TIMER } => self.on_tick(),
            Event::Timer { .. } => {}
        }
        std::mem::swap(&mut self.actions, actions);
    }

    /// Schedules the first tick and the first poll, if this is the first event. Each has a random
    /// delay, so that the ticks and polls of many balancers are spread.
    fn start(&mut self) {
        if std::mem::replace(&mut self.is_started, true) {
            return;
        }
        self.last_tick_at_s = self.now_s;
        self.polling.start(self.now_s, &mut self.random);
        let first_tick_delay_s = TICK_S * self.random.f64();
        self.schedule_tick(first_tick_delay_s);
    }

    fn schedule_tick(&mut self, delay_s: f64) {
        let after = Duration::from_secs_f64(delay_s);
        self.actions.push(Action::Timer {
            after,
            timer: TICK_TIMER,
        });
    }

    /// Processes a tick: updates the subset, the weights, the spare capacity and the token buckets,
    /// then handles overdue attempts and polls discovery if a poll is due.
    fn on_tick(&mut self) {
        let elapsed_s = (self.now_s - self.last_tick_at_s).clamp(0.0, MAX_TICK_ELAPSED_S);
        self.last_tick_at_s = self.now_s;
        let has_upstreams_outside = self.rotation.member_slots().len() < self.upstreams.len();
        self.subset
            .update_size(has_upstreams_outside, elapsed_s, self.now_s);
        if self.subset.is_choice_due(self.now_s) {
            self.choose_subset();
        }
        self.update_weights(elapsed_s);
        self.update_capacity(elapsed_s);
        self.handle_overdue_attempts();
        if self.polling.poll_if_due(self.now_s, &mut self.random) {
            self.actions.push(Action::WatchEndpoints);
        }
        self.schedule_tick(TICK_S);
    }

    fn on_load_report(&mut self, id: UpstreamId, report: &[f32]) {
        if let Some(slot) = self.upstreams.slot(id) {
            self.load_reports
                .record(&mut self.upstreams[slot], report, self.now_s);
        }
    }

    /// Returns the upstreams of the rotation.
    fn members(&self) -> impl Iterator<Item = &Upstream> {
        self.rotation
            .member_slots()
            .iter()
            .map(|slot| &self.upstreams[*slot])
    }

    /// Updates the upstreams of the rotation: decays the suspicion and the abandoned attempts of
    /// each, sets its capacity and weight, adds turns to the deficits of upstreams in slow start,
    /// and refills the send budgets. Also updates the mean, over the rotation, of the requests that
    /// other balancers have in flight.
    fn update_weights(&mut self, elapsed_s: f64) {
        let now_s = self.now_s;
        let ready = || self.members().filter(|u| u.endpoint.is_ready());
        let ejected_count = ready().filter(|u| u.health.is_ejected(now_s)).count();
        let ejections_apply = may_be_ejected(ejected_count, ready().count());
        let suspicion_decay_factor = suspicion_decay_factor(elapsed_s);
        let abandoned_decay_factor = (-elapsed_s / self.classes.shortest_objective_s()).exp();
        let (upstreams, member_slots) = (&mut self.upstreams, self.rotation.member_slots());
        for slot in member_slots {
            upstreams[*slot]
                .health
                .decay_suspicion(suspicion_decay_factor);
            upstreams[*slot]
                .load
                .decay_abandoned(abandoned_decay_factor);
        }
        self.weights
            .update(upstreams, member_slots, ejections_apply, elapsed_s, now_s);
        self.load_reports
            .update_mean(upstreams, member_slots, now_s);
        let service_rate_per_weight = self.capacity.service_rate_per_weight();
        let slow_start =
            self.weights
                .slow_start_rate(upstreams, member_slots, service_rate_per_weight);
        self.rotation
            .add_slow_start_deficit(upstreams, slow_start, elapsed_s);
        let inputs = PacingInputs {
            service_rate_per_weight,
            slow_start,
            utilization: self.capacity.utilization(),
            balancers_per_upstream: self.subset.balancers_per_upstream(),
            load_reports: &self.load_reports,
        };
        self.pacing
            .refill(upstreams, member_slots, &inputs, elapsed_s, now_s);
    }

    /// Decays stale latencies, updates the estimates of capacity, switches pacing on or off, and
    /// refills the token buckets from the spare capacity.
    fn update_capacity(&mut self, elapsed_s: f64) {
        self.classes.decay_stale_latencies(elapsed_s, self.now_s);
        self.capacity.update(&CapacityInputs {
            upstreams: &self.upstreams,
            rotation_slots: self.rotation.member_slots(),
            classes: &self.classes,
            load_reports: &self.load_reports,
            balancers_per_upstream: self.subset.balancers_per_upstream(),
            elapsed_s,
            now_s: self.now_s,
        });
        self.pacing.set_active(self.capacity.knows_utilization());
        let (spare_capacity, shortage_fraction) = (
            self.capacity.spare_capacity(),
            self.capacity.shortage_fraction(),
        );
        self.admission
            .refill(spare_capacity, shortage_fraction, elapsed_s);
    }
}
