//! A harness that runs a [`Balancer`] in simulated time and records its actions.

use super::ms;
use frostkeel_policy::{
    Action, AttemptNo, Balancer, ClassId, Endpoint, Event, FailureReason, Outcome, RequestId,
    Settings, TenantId, TimerId, UpdateScope, UpstreamId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The seed of a balancer where a test does not choose one.
const DEFAULT_SEED: u64 = 7;

/// The final response to a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    Served,
    Rejected,
    Failed,
}

/// An attempt that the balancer sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub sent_at: Duration,
    pub upstream: UpstreamId,
}

/// A timer that the balancer has set.
#[derive(Clone, Copy, Debug)]
pub struct ArmedTimer {
    due: Duration,
    timer: TimerId,
}

/// A balancer with a clock, its pending timers and a record of its actions.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Duration,
    /// The actions that the last event returned.
    pub actions: Vec<Action>,
    pub attempts: BTreeMap<RequestId, Vec<SentAttempt>>,
    pub final_responses: BTreeMap<RequestId, FinalResponse>,
    pub failure_reasons: BTreeMap<RequestId, FailureReason>,
    pub health_checks: Vec<UpstreamId>,
    /// The times at which the balancer polled for its endpoints.
    pub polls: Vec<Duration>,
    timers: Vec<ArmedTimer>,
    last_request_id: u32,
}

impl Harness {
    /// Starts a balancer at time zero with these endpoints in its cache.
    pub fn new(settings: Settings, endpoints: &[Endpoint]) -> Self {
        Self::with_seed(settings, DEFAULT_SEED, endpoints)
    }

    pub fn with_seed(settings: Settings, seed: u64, endpoints: &[Endpoint]) -> Self {
        Self::starting_at(Duration::ZERO, settings, seed, endpoints)
    }

    pub fn starting_at(
        now: Duration,
        settings: Settings,
        seed: u64,
        endpoints: &[Endpoint],
    ) -> Self {
        let mut harness = Self {
            balancer: Balancer::new(settings, seed).expect("valid settings"),
            now,
            actions: Vec::new(),
            attempts: BTreeMap::new(),
            final_responses: BTreeMap::new(),
            failure_reasons: BTreeMap::new(),
            health_checks: Vec::new(),
            polls: Vec::new(),
            timers: Vec::new(),
            last_request_id: 0,
        };
        harness.update_endpoints(UpdateScope::Cached, endpoints);
        harness
    }

    /// Passes one event to the balancer and records its actions.
    pub fn handle(&mut self, event: Event<'_>) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.record(&action);
            self.actions.push(action);
        }
    }

    fn record(&mut self, action: &Action) {
        match *action {
            Action::Timer { after, timer } => {
                let due = self.now + after;
                self.timers.push(ArmedTimer { due, timer });
            }
            Action::Attempt { id, upstream, .. } => {
                let sent_at = self.now;
                let attempts = self.attempts.entry(id).or_default();
                attempts.push(SentAttempt { sent_at, upstream });
            }
            Action::Reject { id, reason, .. } => {
                self.record_failure(id, FinalResponse::Rejected, reason);
            }
            Action::Fail { id, reason } => self.record_failure(id, FinalResponse::Failed, reason),
            Action::HealthCheck { upstream } => self.health_checks.push(upstream),
            Action::WatchEndpoints => self.polls.push(self.now),
            Action::Cancel { .. } | Action::CloseIdleConnections { .. } | Action::Log(_) => {}
        }
    }

    fn record_failure(&mut self, id: RequestId, response: FinalResponse, reason: FailureReason) {
        let earlier = self.final_responses.insert(id, response);
        assert_eq!(earlier, None, "one final response for each request");
        self.failure_reasons.insert(id, reason);
    }

    /// Advances the clock by `span` and fires each timer at its due time.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            self.timers.sort_by_key(|timer| timer.due);
            match self.timers.first().copied() {
                Some(ArmedTimer { due, timer }) if due <= end => {
                    self.timers.remove(0);
                    self.now = due;
                    self.handle(Event::Timer { timer });
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Advances the clock to `time`; does nothing if that has passed.
    pub fn advance_to(&mut self, time: Duration) {
        self.advance(time.saturating_sub(self.now));
    }

    pub fn update_endpoints(&mut self, scope: UpdateScope, endpoints: &[Endpoint]) {
        self.handle(Event::EndpointsUpdated { scope, endpoints });
    }

    /// Reports that a poll has failed or the watch has ended.
    pub fn fail_poll(&mut self) {
        self.update_endpoints(UpdateScope::Failed, &[]);
    }

    /// Advances the clock in steps until the balancer polls for its endpoints; returns the time of
    /// the poll.
    pub fn advance_to_next_poll(&mut self, step: Duration) -> Duration {
        let polls = self.polls.len();
        while self.polls.len() == polls {
            self.advance(step);
        }
        self.polls[polls]
    }

    /// Reports a successful health check of the upstream, with this load report.
    pub fn report_load(&mut self, upstream: UpstreamId, report: &[f32]) {
        self.handle(Event::HealthCheckEnded {
            upstream,
            outcome: Outcome::Ok,
            latency: ms(1),
            report,
        });
    }

    /// Submits a request of class 0 and tenant 0 whose client waits for 1 s.
    pub fn request(&mut self) -> RequestId {
        self.request_of(0, 0, ms(1000))
    }

    pub fn request_of(&mut self, class: u16, tenant: u32, time_left: Duration) -> RequestId {
        self.submit(ClassId(class), TenantId(tenant), time_left, false)
    }

    /// Submits a request; `is_retry` states whether its client marked it as a retry.
    pub fn submit(
        &mut self,
        class: ClassId,
        tenant: TenantId,
        time_left: Duration,
        is_retry: bool,
    ) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        self.handle(Event::Request {
            id,
            class,
            tenant,
            time_left,
            work_ms: None,
            is_retry,
        });
        id
    }

    /// Returns the upstream that an attempt was sent to; `None` if there was no such attempt.
    pub fn upstream_of(&self, id: RequestId, attempt: usize) -> Option<UpstreamId> {
        let attempts = self.attempts.get(&id)?;
        attempts.get(attempt).map(|sent| sent.upstream)
    }

    /// Returns whether the request was sent to an upstream.
    pub fn is_sent(&self, id: RequestId) -> bool {
        self.upstream_of(id, 0).is_some()
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let SentAttempt { sent_at, upstream } = self.attempts[&id][attempt];
        let request_finished = outcome == Outcome::Ok || self.final_responses.contains_key(&id);
        if outcome == Outcome::Ok {
            self.final_responses
                .entry(id)
                .or_insert(FinalResponse::Served);
        }
        self.handle(Event::AttemptEnded {
            id,
            attempt: AttemptNo(attempt as u8),
            upstream,
            outcome,
            latency: self.now - sent_at,
            request_finished,
            report: &[],
        });
    }

    /// Ends the first attempt of the request, if there was one, with a successful response.
    pub fn serve_if_sent(&mut self, id: RequestId) {
        if self.is_sent(id) {
            self.end_attempt(id, 0, Outcome::Ok);
        }
    }

    /// Ends all attempts that were sent for the request as timed out.
    pub fn time_out_attempts(&mut self, id: RequestId) {
        for attempt in 0..self.attempts[&id].len() {
            self.end_attempt(id, attempt, Outcome::TimedOut);
        }
    }

    /// Submits `count` requests, `gap` apart, and ends each attempt as soon as it is sent, retries
    /// included. `outcome_at` gives the outcome at an upstream, or `None` if it never responds.
    pub fn run_traffic(
        &mut self,
        count: usize,
        gap: Duration,
        outcome_at: impl Fn(UpstreamId) -> Option<Outcome>,
    ) {
        for _ in 0..count {
            let id = self.request();
            let mut attempt = 0;
            while let Some(upstream) = self.upstream_of(id, attempt) {
                if let Some(outcome) = outcome_at(upstream) {
                    self.end_attempt(id, attempt, outcome);
                }
                attempt += 1;
            }
            self.advance(gap);
        }
    }

    /// Returns how many attempts of all requests this upstream got.
    pub fn attempt_count(&self, upstream: UpstreamId) -> usize {
        let attempts = self.attempts.values().flatten();
        attempts.filter(|sent| sent.upstream == upstream).count()
    }

    pub fn final_response_count(&self, response: FinalResponse) -> usize {
        let responses = self.final_responses.values();
        responses.filter(|given| **given == response).count()
    }
}

/// Requests in flight, each with the time at which the test ends it.
#[derive(Default)]
pub struct CompletionQueue(BTreeSet<(Duration, RequestId)>);

impl CompletionQueue {
    pub fn schedule(&mut self, due: Duration, id: RequestId) {
        self.0.insert((due, id));
    }

    /// Removes and returns the next request if it is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<RequestId> {
        self.0.first().filter(|(due, _)| *due <= now)?;
        self.pop()
    }

    pub fn pop(&mut self) -> Option<RequestId> {
        self.0.pop_first().map(|(_, id)| id)
    }
}
