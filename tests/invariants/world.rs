//! The simulated environment of a balancer: requests, attempts, endpoints and a clock. It checks
//! every action.
#![expect(clippy::expect_used, reason = "a failing step fails the test")]

use crate::common::{endpoint, ms};
use crate::operations::{EndpointChange, Operation};
use crate::requests::{Attempt, Request, RequestPhase, cell, zone};
use frostkeel_policy::{
    Action, AttemptNo, Availability, Balancer, CellId, ClassId, Endpoint, Event, Outcome,
    RequestId, Settings, TenantId, TimerId, UpdateScope, UpstreamId, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Identifies an attempt by its request and its number.
type AttemptKey = (RequestId, usize);

struct ArmedTimer {
    due: Duration,
    timer: TimerId,
}

/// The simulated environment of a balancer.
pub struct World {
    pub settings: Settings,
    pub requests: BTreeMap<RequestId, Request>,
    /// Two balancers with equal settings and seeds, which get the same events.
    balancers: [Balancer; 2],
    now: Duration,
    timers: Vec<ArmedTimer>,
    health_checks: Vec<UpstreamId>,
    listed: BTreeMap<UpstreamId, Availability>,
    ever_listed: BTreeSet<UpstreamId>,
}

/// Returns the element that a random number selects; `None` if there is no element.
fn pick<T: Copy>(elements: &[T], number: usize) -> Option<T> {
    elements.get(number % elements.len().max(1)).copied()
}

impl World {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = || Balancer::new(settings.clone(), seed).expect("valid settings");
        Self {
            balancers: [balancer(), balancer()],
            settings,
            requests: BTreeMap::new(),
            now: ms(5000),
            timers: Vec::new(),
            health_checks: Vec::new(),
            listed: BTreeMap::new(),
            ever_listed: BTreeSet::new(),
        }
    }

    /// Passes one event to both balancers and checks their actions.
    fn handle(&mut self, event: Event<'_>) {
        let (mut actions, mut same_actions) = (Vec::new(), Vec::new());
        let [first, second] = &mut self.balancers;
        first.handle(self.now, event.clone(), &mut actions);
        second.handle(self.now, event, &mut same_actions);
        assert_eq!(
            actions, same_actions,
            "two balancers returned different actions for the same events"
        );
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Timer { after, timer } => {
                let due = self.now + after;
                self.timers.push(ArmedTimer { due, timer });
            }
            Action::HealthCheck { upstream } => {
                assert!(self.settings.health_checks, "health checks are not allowed");
                assert!(self.ever_listed.contains(&upstream));
                self.health_checks.push(upstream);
            }
            Action::WatchEndpoints => assert!(self.settings.polls_endpoints),
            Action::Log(_) | Action::CloseIdleConnections { .. } => {}
            Action::Cancel { id, attempt } => {
                assert!(self.settings.cancellation);
                let attempts = self.requests[&id].attempts.len();
                assert!(
                    usize::from(attempt.0) < attempts,
                    "a cancellation of an attempt that was never sent"
                );
            }
            Action::Attempt {
                id,
                upstream,
                timeout,
            } => self.send_attempt(id, upstream, timeout),
            Action::Reject { id, .. } => {
                let request = &self.requests[&id];
                request.check_rejection(self.settings.classes[request.class].effect);
                self.answer(id);
            }
            Action::Fail { id, .. } => self.answer(id),
        }
    }

    fn send_attempt(&mut self, id: RequestId, upstream: UpstreamId, timeout: Option<Duration>) {
        let request = &self.requests[&id];
        assert_eq!(
            request.phase,
            RequestPhase::Waiting,
            "an attempt of a request that has ended or whose response streams"
        );
        assert!(
            request.attempts.len() < usize::from(self.settings.max_attempts),
            "more attempts than max_attempts"
        );
        assert_eq!(
            self.listed.get(&upstream),
            Some(&Availability::Ready),
            "an attempt at {upstream:?}, which is draining, removed or unknown"
        );
        let mut attempts = request.attempts.iter();
        assert!(
            self.settings.hedging || attempts.all(|attempt| !attempt.is_in_flight),
            "two attempts in flight without hedging"
        );
        let effect = self.settings.classes[request.class].effect;
        request.check_another_attempt(effect, self.now, upstream);
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("a known request");
        let times_out_at = timeout.map_or(request.deadline, |timeout| {
            request.deadline.min(now + timeout)
        });
        request.attempts.push(Attempt {
            upstream,
            sent_at: now,
            times_out_at,
            is_in_flight: true,
            may_have_run: false,
        });
    }

    fn answer(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("a known request");
        assert_eq!(
            request.phase,
            RequestPhase::Waiting,
            "a final response to a request that has ended or whose response streams"
        );
        request.phase = RequestPhase::Answered { at: self.now };
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome, report: f32) {
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("a known request");
        let state = &mut request.attempts[attempt];
        state.is_in_flight = false;
        state.may_have_run = !outcome.never_ran();
        let (upstream, latency) = (state.upstream, now - state.sent_at);
        match request.phase {
            RequestPhase::Streaming => request.phase = RequestPhase::Answered { at: now },
            RequestPhase::Waiting if outcome == Outcome::Ok => {
                request.phase = RequestPhase::Answered { at: now };
            }
            _ => {}
        }
        let request_finished = !request.phase.is_open();
        self.handle(Event::AttemptEnded {
            id,
            attempt: AttemptNo(attempt as u8),
            upstream,
            outcome,
            latency,
            request_finished,
            report: &[report],
        });
    }

    pub fn attempts_in_flight(&self) -> Vec<AttemptKey> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            let attempts = request.attempts.iter().enumerate();
            let attempts = attempts.filter(|(_, attempt)| attempt.is_in_flight);
            in_flight.extend(attempts.map(|(number, _)| (*id, number)));
        }
        in_flight
    }

    /// Advances the clock in steps of 1 ms. In each step, attempts time out before timers fire.
    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += ms(1);
            self.time_out_attempts();
            self.fire_timers();
        }
    }

    fn time_out_attempts(&mut self) {
        for (id, number) in self.attempts_in_flight() {
            let request = &self.requests[&id];
            let attempt = &request.attempts[number];
            let is_due = attempt.is_in_flight && attempt.times_out_at <= self.now;
            if is_due && request.phase != RequestPhase::Streaming {
                self.end_attempt(id, number, Outcome::TimedOut, 0.0);
            }
        }
    }

    fn fire_timers(&mut self) {
        let timers = std::mem::take(&mut self.timers).into_iter();
        let (due, pending): (Vec<_>, _) = timers.partition(|timer| timer.due <= self.now);
        self.timers = pending;
        for ArmedTimer { timer, .. } in due {
            self.handle(Event::Timer { timer });
        }
    }

    /// Applies an operation. `number` is the number of the operation, and the id of the request
    /// that it submits.
    pub fn apply(&mut self, operation: &Operation, number: u32) {
        match operation {
            Operation::Request {
                class,
                tenant,
                time_left_ms,
                work_ms,
            } => {
                let class = usize::from(*class) % self.settings.classes.len();
                self.submit(
                    number,
                    class,
                    TenantId(*tenant),
                    ms(*time_left_ms),
                    *work_ms,
                );
            }
            Operation::EndAttempt {
                pick: selected,
                outcome,
                reported_in_flight,
            } => {
                if let Some((id, attempt)) = pick(&self.attempts_in_flight(), *selected) {
                    self.end_attempt(id, attempt, *outcome, *reported_in_flight);
                }
            }
            Operation::EndHealthCheck {
                pick,
                is_ok,
                reported_in_flight,
            } => self.end_health_check(*pick, *is_ok, *reported_in_flight),
            Operation::StartStream { pick } => self.start_stream(*pick),
            Operation::Disconnect { pick } => self.disconnect(*pick),
            Operation::UpdateEndpoints { scope, entries } => {
                self.update_endpoints(*scope, entries);
            }
            Operation::Wait { milliseconds } => self.advance(*milliseconds),
        }
    }

    fn submit(
        &mut self,
        number: u32,
        class: usize,
        tenant: TenantId,
        time_left: Duration,
        work_ms: Option<f64>,
    ) {
        let id = RequestId(number);
        let request = Request {
            class,
            deadline: self.now + time_left,
            phase: RequestPhase::Waiting,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        self.handle(Event::Request {
            id,
            class: ClassId(class as u16),
            tenant,
            time_left,
            work_ms,
            is_retry: number.is_multiple_of(3),
        });
    }

    fn end_health_check(&mut self, selected: usize, is_ok: bool, reported_in_flight: f32) {
        if self.health_checks.is_empty() {
            return;
        }
        let selected = selected % self.health_checks.len();
        let upstream = self.health_checks.remove(selected);
        self.handle(Event::HealthCheckEnded {
            upstream,
            outcome: if is_ok {
                Outcome::Ok
            } else {
                Outcome::ConnectFailed
            },
            latency: ms(1),
            report: &[reported_in_flight],
        });
    }

    fn start_stream(&mut self, selected: usize) {
        let mut candidates = self.attempts_in_flight();
        candidates.retain(|(id, _)| {
            let request = &self.requests[id];
            let is_streamed = self.settings.classes[request.class].streamed;
            is_streamed && request.phase == RequestPhase::Waiting
        });
        let Some((id, attempt)) = pick(&candidates, selected) else {
            return;
        };
        let request = self.requests.get_mut(&id).expect("a known request");
        request.phase = RequestPhase::Streaming;
        let latency = self.now - request.attempts[attempt].sent_at;
        let attempt = AttemptNo(attempt as u8);
        self.handle(Event::StreamStarted {
            id,
            attempt,
            latency,
        });
    }

    fn disconnect(&mut self, selected: usize) {
        let requests = self.requests.iter();
        let open = requests.filter(|(_, request)| request.phase.is_open());
        let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        let Some(id) = pick(&open, selected) else {
            return;
        };
        let request = self.requests.get_mut(&id).expect("a known request");
        request.phase = RequestPhase::Disconnected;
        self.handle(Event::ClientDisconnected { id });
    }

    fn update_endpoints(&mut self, scope: UpdateScope, changes: &[EndpointChange]) {
        if scope == UpdateScope::Failed {
            return self.handle(Event::EndpointsUpdated {
                scope,
                endpoints: &[],
            });
        }
        let changes = changes.iter().map(|change| (change.id, change));
        // If several entries have the same id, the last one is used.
        let changes: BTreeMap<u64, &EndpointChange> = changes.collect();
        let endpoints: Vec<Endpoint> = changes.values().map(|c| self.endpoint(c)).collect();
        if scope != UpdateScope::Delta {
            self.listed.clear();
        }
        for endpoint in &endpoints {
            self.listed.insert(endpoint.id, endpoint.availability);
            self.ever_listed.insert(endpoint.id);
        }
        self.handle(Event::EndpointsUpdated {
            scope,
            endpoints: &endpoints,
        });
    }

    fn endpoint(&self, change: &EndpointChange) -> Endpoint {
        let id = UpstreamId(change.id);
        let started = self.now.saturating_sub(ms(500));
        Endpoint {
            zone: ZoneId(zone(id) as u8),
            cell: CellId(cell(id) as u16),
            availability: change.availability,
            started: change.is_restarted.then_some(started),
            ..endpoint(change.id)
        }
    }
}
