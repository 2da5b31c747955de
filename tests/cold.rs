//! Cold upstreams under the sum of what all balancers send: a simulated fleet of the real decision module, at several
//! sizes. Beyond the budget of N requests in the stated window only 2 x root of N + 2 are put down to chance.

mod common;

use common::*;
use frostkeel_policy::*;
use std::collections::BTreeSet;
use std::time::Duration;

const WARM: u64 = 10;
const LOAD: f64 = 0.7;
/// When two upstreams start, when balancers do, and when the play ends.
const STARTS: Duration = Duration::from_secs(3);
const RESTART: Duration = Duration::from_secs(5);
const ENDS: Duration = Duration::from_secs(14);
const NEW: [u64; 2] = [98, 99];

/// What one play is about.
struct Play {
    balancers: u32,
    seed: u64,
    /// Requests a second that a warm upstream can do.
    pace: u64,
    /// Whether half of the balancers start anew while the upstreams are cold.
    restarts: bool,
}

impl Play {
    fn settings(&self) -> Settings {
        let latency_objective = 5_000 / self.pace;
        Settings {
            balancers: self.balancers,
            classes: vec![class(
                latency_objective,
                4 * latency_objective,
                Effect::Idempotent,
            )],
            tenants: vec![Tenant {
                quota_per_s: LOAD * (WARM * self.pace) as f64,
            }],
            slow_start_initial_share: 0.12,
            slow_start_duration: ms(23_000),
            overload_multiple: 3.0,
            overload_window: ms(2000),
            ..Settings::default()
        }
    }

    fn balancer(&self, index: u32, life: u64, list: &[Endpoint], now: Duration) -> Bench {
        let settings = Settings {
            index,
            ..self.settings()
        };
        let mut bench = Bench::new(settings.clone(), &[]);
        bench.balancer =
            Balancer::new(settings, self.seed << 32 | u64::from(index) << 8 | life).unwrap();
        bench.timers.clear();
        bench.now = now;
        bench.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Cached,
            endpoints: list,
        });
        bench
    }

    /// The most that a cold upstream got in a window over what the budget and chance allow, in requests.
    fn excess(&self) -> f64 {
        let old: Vec<Endpoint> = fleet(WARM);
        let with_new = || {
            let started = Some(STARTS);
            old.iter()
                .cloned()
                .chain(NEW.map(|id| Endpoint {
                    started,
                    ..endpoint(id)
                }))
                .collect::<Vec<_>>()
        };
        let mut all: Vec<Bench> = (0..self.balancers)
            .map(|k| self.balancer(k, 0, &old, Duration::ZERO))
            .collect();
        let rate = LOAD * (WARM * self.pace) as f64;
        let takes = Duration::from_secs_f64(1.0 / self.pace as f64);
        let (mut told, mut restarted) = (false, !self.restarts);
        let mut out: BTreeSet<(Duration, usize, RequestId)> = BTreeSet::new();
        let mut cold: Vec<(u64, Duration)> = Vec::new();
        let mut chance = fastrand::Rng::with_seed(self.seed);
        let mut now = Duration::ZERO;
        while now < ENDS {
            now += Duration::from_secs_f64(-(1.0 - chance.f64()).ln() / rate);
            while let Some(&(at, k, id)) = out.first().filter(|(at, ..)| *at <= now) {
                out.pop_first();
                let bench = &mut all[k];
                if bench.sent.contains_key(&id) {
                    bench.run(at.saturating_sub(bench.now));
                    bench.ended(id, 0, Outcome::Ok);
                }
            }
            if !told && now >= STARTS {
                told = true;
                for bench in &mut all {
                    bench.run(now.saturating_sub(bench.now));
                    bench.tell(Event::EndpointsUpdated {
                        scope: UpdateScope::Snapshot,
                        endpoints: &with_new(),
                    });
                }
            }
            if !restarted && now >= RESTART {
                restarted = true;
                for k in (0..self.balancers).step_by(2) {
                    all[k as usize] = self.balancer(k, 1, &with_new(), now);
                    out.retain(|(_, of, _)| *of != k as usize);
                }
            }
            let k = chance.usize(..all.len());
            let bench = &mut all[k];
            bench.run(now.saturating_sub(bench.now));
            let id = bench.request(0, 0, takes * 20);
            let Some(upstream) = bench.at(id, 0) else {
                continue;
            };
            if NEW.contains(&upstream.0) {
                cold.push((upstream.0, now));
            }
            out.insert((now + takes, k, id));
        }
        let settings = self.settings();
        let window = settings.overload_window;
        let mut worst = f64::NEG_INFINITY;
        for new in NEW {
            let sends: Vec<Duration> = cold
                .iter()
                .filter(|(id, _)| *id == new)
                .map(|(_, at)| *at)
                .collect();
            assert!(!sends.is_empty(), "it is warmed up by work");
            for (k, from) in sends.iter().enumerate() {
                let count = sends[k..]
                    .iter()
                    .take_while(|at| **at < *from + window)
                    .count() as f64;
                let age =
                    (*from - STARTS).as_secs_f64() / settings.slow_start_duration.as_secs_f64();
                let climb = settings.slow_start_initial_share
                    + (1.0 - settings.slow_start_initial_share) * age.min(1.0);
                let budget =
                    settings.overload_multiple * self.pace as f64 * climb * window.as_secs_f64();
                worst = worst.max(count - (budget + 2.0 * budget.sqrt() + 2.0));
            }
        }
        worst
    }
}

/// Guards against a cold upstream pushed over by the sum of all, however many they are, also where half of them have
/// just started themselves.
#[test]
fn no_size_of_fleet_pushes_a_cold_upstream_over() {
    for balancers in [2, 5, 20, 30, 300] {
        for (pace, restarts) in [(100, false), (100, true), (8, false), (8, true)] {
            for seed in 1..4 {
                let excess = Play {
                    balancers,
                    seed,
                    pace,
                    restarts,
                }
                .excess();
                assert!(
                    excess <= 0.0,
                    "{balancers} balancers, {pace} a second, restarts {restarts}, seed {seed}: {excess:.1} too many"
                );
            }
        }
    }
}

/// Many balancers at once must not send a newcomer more than the stated multiple of what it can do in any window,
/// though it is empty and the others are not.
#[test]
fn a_newcomer_is_not_pushed_over_by_all_balancers_together() {
    for (sparse, balancers) in [(false, 20), (true, 400)] {
        let mut set = varied_settings(true, sparse, true, 4);
        set.balancers = balancers;
        set.polls_endpoints = false;
        (set.slow_start_initial_share, set.slow_start_duration) = (0.1, ms(20_000));
        (set.overload_multiple, set.overload_window) = (3.0, ms(2000));
        set.tenants = vec![Tenant { quota_per_s: 700.0 }];
        let mut all: Vec<_> = (0..balancers)
            .map(|_| Bench::new(set.clone(), &fleet(WARM)))
            .collect();
        for (k, b) in all.iter_mut().enumerate() {
            let set = Settings {
                index: k as u32,
                ..set.clone()
            };
            b.balancer = Balancer::new(set, k as u64).unwrap();
            b.timers.clear();
            b.tell(Event::EndpointsUpdated {
                scope: UpdateScope::Cached,
                endpoints: &fleet(WARM),
            });
        }
        // Ten warm upstreams that can each do 100 a second, loaded to seven tenths; every answer takes 20 ms.
        let (rate, new) = (700u64, UpstreamId(99));
        let mut cold: Vec<Duration> = Vec::new();
        let mut open: Vec<(usize, RequestId, usize, Duration)> = Vec::new();
        for step in 0..(12_000 * rate / 1000) {
            let now = Duration::from_micros(step * 1_000_000 / rate);
            let k = (step as usize * 7919) % all.len();
            for b in &mut all {
                b.run(now.saturating_sub(b.now));
                if step == 3 * rate {
                    let mut newcomer = endpoint(99);
                    newcomer.started = Some(now);
                    b.tell(Event::EndpointsUpdated {
                        scope: UpdateScope::Delta,
                        endpoints: &[newcomer],
                    });
                }
                for upstream in std::mem::take(&mut b.probes) {
                    let held = if upstream == new { 0.0 } else { 2.0 };
                    let (outcome, latency, report) = (Outcome::Ok, ms(1), &[held][..]);
                    b.tell(Event::HealthCheckEnded {
                        upstream,
                        outcome,
                        latency,
                        report,
                    });
                }
            }
            let b = &mut all[k];
            let id = b.request(0, 0, ms(600));
            open.push((k, id, 0, now));
            open.retain_mut(|(k, id, seen, since)| {
                let b = &mut all[*k];
                while let Some((at, upstream)) = b.sent.get(id).and_then(|s| s.get(*seen)).copied()
                {
                    if now < at + ms(20) {
                        return true;
                    }
                    if upstream == new {
                        cold.push(at);
                    }
                    b.ended(*id, *seen, Outcome::Ok);
                    *seen += 1;
                }
                now < *since + ms(100) && !b.answers.contains_key(id)
            });
        }
        cold.sort();
        assert!(
            cold.len() > 10,
            "the newcomer is warmed up by work: {}",
            cold.len()
        );
        for (k, from) in cold.iter().enumerate() {
            let window = cold[k..]
                .iter()
                .take_while(|at| **at < *from + ms(2000))
                .count() as f64;
            let age = from.saturating_sub(Duration::from_secs(3)).as_secs_f64();
            let can = 100.0 * (0.1 + 0.9 * ((age + 1.0) / 20.0).min(1.0));
            let budget = 3.0 * can * 2.0;
            assert!(
                window <= budget,
                "{window} in two seconds from {from:?}, {budget} push it over"
            );
        }
    }
}
