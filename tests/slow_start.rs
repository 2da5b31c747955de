//! Upstreams in slow start under the load of all balancers together. Each test simulates fleets of
//! several sizes, in which every balancer runs the decision module.

mod common;

use common::{Harness, SiteOptions, class, endpoint, endpoints, ms, settings_with_all_effects};
use frostkeel_policy::{
    Effect, Endpoint, Outcome, RequestId, Settings, Tenant, UpdateScope, UpstreamId,
};
use std::collections::BTreeSet;
use std::time::Duration;

const WARM_UPSTREAMS: u64 = 10;
/// The load as a fraction of what the warm upstreams can serve.
const LOAD_FRACTION: f64 = 0.7;
/// The time at which the new upstreams start.
const UPSTREAM_START: Duration = Duration::from_secs(3);
/// The time at which half of the balancers restart.
const BALANCER_RESTART: Duration = Duration::from_secs(5);
const SIMULATION_END: Duration = Duration::from_secs(14);
const NEW_UPSTREAMS: [u64; 2] = [98, 99];

/// A fleet of balancers in which two upstreams start.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    balancers: u32,
    seed: u64,
    /// Requests a second that a warm upstream can serve.
    service_rate: u64,
    /// Whether half of the balancers restart while the upstreams are in slow start.
    balancers_restart: bool,
}

impl Scenario {
    fn settings(&self) -> Settings {
        let latency_objective_ms = 5_000 / self.service_rate;
        let class = class(
            latency_objective_ms,
            4 * latency_objective_ms,
            Effect::Idempotent,
        );
        Settings {
            balancers: self.balancers,
            classes: vec![class],
            tenants: vec![Tenant {
                quota_per_s: self.arrival_rate(),
            }],
            slow_start_initial_fraction: 0.12,
            slow_start_duration: ms(23_000),
            overload_multiple: 3.0,
            overload_window: ms(2000),
            ..Settings::default()
        }
    }

    /// Returns the requests per second at all balancers together.
    fn arrival_rate(&self) -> f64 {
        LOAD_FRACTION * (WARM_UPSTREAMS * self.service_rate) as f64
    }

    fn service_time(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.service_rate as f64)
    }

    fn balancer(
        &self,
        index: usize,
        incarnation: u64,
        endpoints: &[Endpoint],
        now: Duration,
    ) -> Harness {
        let settings = Settings {
            index: index as u32,
            ..self.settings()
        };
        let seed = self.seed << 32 | (index as u64) << 8 | incarnation;
        Harness::starting_at(now, settings, seed, endpoints)
    }

    /// Returns how many requests a new upstream can get in the window after `sent_at` without an
    /// overload.
    fn budget(&self, sent_at: Duration) -> f64 {
        let settings = self.settings();
        let age = (sent_at - UPSTREAM_START).as_secs_f64();
        let progress = (age / settings.slow_start_duration.as_secs_f64()).min(1.0);
        let initial_fraction = settings.slow_start_initial_fraction;
        let capacity_fraction = initial_fraction + (1.0 - initial_fraction) * progress;
        settings.overload_multiple
            * self.service_rate as f64
            * capacity_fraction
            * settings.overload_window.as_secs_f64()
    }
}

/// A request in flight at one of the balancers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    due: Duration,
    balancer: usize,
    id: RequestId,
}

/// A request that was sent to a new upstream.
struct SentToNew {
    upstream: u64,
    sent_at: Duration,
}

struct Simulation {
    scenario: Scenario,
    now: Duration,
    rng: fastrand::Rng,
    balancers: Vec<Harness>,
    in_flight: BTreeSet<InFlight>,
    sent_to_new: Vec<SentToNew>,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let listed = endpoints(WARM_UPSTREAMS);
        let balancer = |index| scenario.balancer(index as usize, 0, &listed, Duration::ZERO);
        Self {
            scenario,
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(scenario.seed),
            balancers: (0..scenario.balancers).map(balancer).collect(),
            in_flight: BTreeSet::new(),
            sent_to_new: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        let mut upstreams_started = false;
        let mut balancers_restarted = !self.scenario.balancers_restart;
        while self.now < SIMULATION_END {
            self.advance_to_next_arrival();
            self.complete_due();
            if !upstreams_started && self.now >= UPSTREAM_START {
                upstreams_started = true;
                self.announce_new_upstreams();
            }
            if !balancers_restarted && self.now >= BALANCER_RESTART {
                balancers_restarted = true;
                self.restart_every_second_balancer();
            }
            self.send_request();
        }
        self
    }

    fn advance_to_next_arrival(&mut self) {
        let gap = -(1.0 - self.rng.f64()).ln() / self.scenario.arrival_rate();
        self.now += Duration::from_secs_f64(gap);
    }

    fn complete_due(&mut self) {
        while let Some(&request) = self.in_flight.first() {
            if request.due > self.now {
                break;
            }
            self.in_flight.pop_first();
            let balancer = &mut self.balancers[request.balancer];
            if balancer.attempts.contains_key(&request.id) {
                balancer.advance_to(request.due);
                balancer.end_attempt(request.id, 0, Outcome::Ok);
            }
        }
    }

    fn endpoints_with_new() -> Vec<Endpoint> {
        let new = NEW_UPSTREAMS.map(|id| Endpoint {
            started: Some(UPSTREAM_START),
            ..endpoint(id)
        });
        endpoints(WARM_UPSTREAMS).into_iter().chain(new).collect()
    }

    fn announce_new_upstreams(&mut self) {
        let listed = Self::endpoints_with_new();
        for balancer in &mut self.balancers {
            balancer.advance_to(self.now);
            balancer.update_endpoints(UpdateScope::Snapshot, &listed);
        }
    }

    fn restart_every_second_balancer(&mut self) {
        let listed = Self::endpoints_with_new();
        for index in (0..self.balancers.len()).step_by(2) {
            self.balancers[index] = self.scenario.balancer(index, 1, &listed, self.now);
            self.in_flight.retain(|request| request.balancer != index);
        }
    }

    fn send_request(&mut self) {
        let service_time = self.scenario.service_time();
        let index = self.rng.usize(..self.balancers.len());
        let balancer = &mut self.balancers[index];
        balancer.advance_to(self.now);
        let id = balancer.request_of(0, 0, service_time * 20);
        let Some(upstream) = balancer.upstream_of(id, 0) else {
            return;
        };
        if NEW_UPSTREAMS.contains(&upstream.0) {
            self.sent_to_new.push(SentToNew {
                upstream: upstream.0,
                sent_at: self.now,
            });
        }
        self.in_flight.insert(InFlight {
            due: self.now + service_time,
            balancer: index,
            id,
        });
    }

    /// Returns by how many requests a new upstream exceeded the limit of a window at most. The
    /// limit is the budget N and a tolerance of 2 * sqrt(N) + 2 for random variation.
    fn max_excess(&self) -> f64 {
        let window = self.scenario.settings().overload_window;
        let mut max = f64::NEG_INFINITY;
        for upstream in NEW_UPSTREAMS {
            let sent = self.sent_to_new.iter();
            let sent = sent.filter(|sent| sent.upstream == upstream);
            let times: Vec<Duration> = sent.map(|sent| sent.sent_at).collect();
            assert!(!times.is_empty(), "no request at upstream {upstream}");
            for (k, sent_at) in times.iter().enumerate() {
                let count = count_in_window(&times[k..], window);
                let budget = self.scenario.budget(*sent_at);
                max = max.max(count - (budget + 2.0 * budget.sqrt() + 2.0));
            }
        }
        max
    }
}

/// Returns how many of the ascending times lie in the window that begins at the first of them.
fn count_in_window(times: &[Duration], window: Duration) -> f64 {
    let in_window = times.iter().take_while(|time| **time < times[0] + window);
    in_window.count() as f64
}

/// The requests of all balancers together must not overload an upstream in slow start, even if half
/// of the balancers have just restarted.
#[test]
fn fleets_of_any_size_stay_within_the_slow_start_budget() {
    for balancers in [2, 5, 20, 30, 300] {
        for (service_rate, balancers_restart) in [(100, false), (100, true), (8, false), (8, true)]
        {
            for seed in 1..4 {
                let scenario = Scenario {
                    balancers,
                    seed,
                    service_rate,
                    balancers_restart,
                };
                let excess = Simulation::new(scenario).run().max_excess();
                assert!(excess <= 0.0, "{scenario:?}: {excess:.1} over the limit");
            }
        }
    }
}

/// A new upstream among ten warm ones, each of which can serve 100 requests per second.
const NEW_UPSTREAM: UpstreamId = UpstreamId(99);
/// Requests per second at all balancers together.
const ARRIVAL_RATE_PER_S: u64 = 700;
const SERVICE_TIME: Duration = ms(20);
const OVERLOAD_WINDOW: Duration = ms(2000);

fn all_effects_balancers(balancers: u32, many_balancers: bool) -> Vec<Harness> {
    let settings = Settings {
        balancers,
        polls_endpoints: false,
        slow_start_initial_fraction: 0.1,
        slow_start_duration: ms(20_000),
        overload_multiple: 3.0,
        overload_window: OVERLOAD_WINDOW,
        tenants: vec![Tenant {
            quota_per_s: ARRIVAL_RATE_PER_S as f64,
        }],
        ..settings_with_all_effects(&SiteOptions {
            many_balancers,
            hedging: true,
            cancellation: true,
            max_attempts: 4,
        })
    };
    let balancer = |index| {
        let settings = Settings {
            index,
            ..settings.clone()
        };
        Harness::with_seed(settings, u64::from(index), &endpoints(WARM_UPSTREAMS))
    };
    (0..balancers).map(balancer).collect()
}

/// Advances all balancers. The health checks report no load for the new upstream and some load for
/// the others.
fn advance_all(balancers: &mut [Harness], now: Duration) {
    for balancer in balancers {
        balancer.advance_to(now);
        for upstream in std::mem::take(&mut balancer.health_checks) {
            let in_flight = if upstream == NEW_UPSTREAM { 0.0 } else { 2.0 };
            balancer.report_load(upstream, &[in_flight]);
        }
    }
}

/// A request whose attempts are ended one after another.
struct OpenRequest {
    balancer: usize,
    id: RequestId,
    ended_attempts: usize,
    arrived_at: Duration,
}

impl OpenRequest {
    /// Ends the attempts that are due and records those that were sent to the new upstream. Returns
    /// whether the request is still open.
    fn end_due_attempts(
        &mut self,
        balancers: &mut [Harness],
        now: Duration,
        sent_to_new: &mut Vec<Duration>,
    ) -> bool {
        let balancer = &mut balancers[self.balancer];
        let next_attempt = |balancer: &Harness, attempt: usize| {
            balancer.attempts.get(&self.id)?.get(attempt).copied()
        };
        while let Some(sent) = next_attempt(balancer, self.ended_attempts) {
            if now < sent.sent_at + SERVICE_TIME {
                return true;
            }
            if sent.upstream == NEW_UPSTREAM {
                sent_to_new.push(sent.sent_at);
            }
            balancer.end_attempt(self.id, self.ended_attempts, Outcome::Ok);
            self.ended_attempts += 1;
        }
        now < self.arrived_at + ms(100) && !balancer.final_responses.contains_key(&self.id)
    }
}

/// Simulates 12 s in which one upstream starts. Returns when requests were sent to it.
fn run_with_new_upstream(mut balancers: Vec<Harness>) -> Vec<Duration> {
    let mut sent_to_new: Vec<Duration> = Vec::new();
    let mut open: Vec<OpenRequest> = Vec::new();
    for step in 0..12 * ARRIVAL_RATE_PER_S {
        let now = Duration::from_micros(step * 1_000_000 / ARRIVAL_RATE_PER_S);
        if step == 3 * ARRIVAL_RATE_PER_S {
            announce_new_upstream(&mut balancers, now);
        }
        advance_all(&mut balancers, now);
        let balancer = (step as usize * 7919) % balancers.len();
        open.push(OpenRequest {
            balancer,
            id: balancers[balancer].request_of(0, 0, ms(600)),
            ended_attempts: 0,
            arrived_at: now,
        });
        open.retain_mut(|request| request.end_due_attempts(&mut balancers, now, &mut sent_to_new));
    }
    sent_to_new.sort();
    sent_to_new
}

fn announce_new_upstream(balancers: &mut [Harness], now: Duration) {
    let new = Endpoint {
        started: Some(now),
        ..endpoint(NEW_UPSTREAM.0)
    };
    for balancer in balancers {
        balancer.advance_to(now);
        balancer.update_endpoints(UpdateScope::Delta, std::slice::from_ref(&new));
    }
}

/// In any window, all balancers together must not send a new upstream more than the overload
/// multiple of what it can serve, although it is idle and the other upstreams are not.
#[test]
fn all_balancers_together_stay_within_a_new_upstreams_budget() {
    for (many_balancers, balancers) in [(false, 20), (true, 400)] {
        let sent_to_new = run_with_new_upstream(all_effects_balancers(balancers, many_balancers));
        let total = sent_to_new.len();
        assert!(total > 10, "{total} requests at the new upstream");
        for (k, sent_at) in sent_to_new.iter().enumerate() {
            let count = count_in_window(&sent_to_new[k..], OVERLOAD_WINDOW);
            let age = sent_at.saturating_sub(UPSTREAM_START).as_secs_f64();
            let capacity = 100.0 * (0.1 + 0.9 * ((age + 1.0) / 20.0).min(1.0));
            let budget = 3.0 * capacity * 2.0;
            assert!(
                count <= budget,
                "{count} requests in 2 s from {sent_at:?}, expected {budget} at most"
            );
        }
    }
}
