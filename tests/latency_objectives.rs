//! Classes with short latency objectives and deadlines, which a site's settings may state.

mod common;

use common::{FinalResponse, Harness, class, endpoints, ms};
use frostkeel_policy::{Class, Effect, Outcome, Settings};
use std::time::Duration;

const REQUEST_COUNT: usize = 200;
const REQUEST_INTERVAL: Duration = ms(20);
const SERVICE_TIME: Duration = ms(10);
/// The interval at which a balancer looks for overdue attempts.
const TICK: Duration = ms(25);
const UPSTREAM_COUNT: u64 = 4;

fn harness(class: Class) -> Harness {
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    Harness::new(settings, &endpoints(UPSTREAM_COUNT))
}

/// Guards against a crash at the first response of a class whose latency objective is shorter than
/// the shortest quantile of latencies that is of use, two ticks.
#[test]
fn balancer_survives_responses_of_classes_with_short_objectives() {
    let objectives = [
        Duration::from_nanos(1),
        ms(1),
        ms(5),
        TICK,
        ms(40),
        2 * TICK,
        ms(60),
        Duration::MAX,
    ];
    let deadlines = [Duration::ZERO, ms(1), ms(200), Duration::MAX];
    for (objective, deadline) in objectives
        .into_iter()
        .flat_map(|objective| deadlines.map(|deadline| (objective, deadline)))
    {
        for extension in [0.0, 3.0] {
            let class = Class {
                latency_objective: objective,
                objective_extension_per_cpu_time: extension,
                deadline,
                ..class(1, 1, Effect::Idempotent)
            };
            let mut harness = harness(class);
            for _ in 0..REQUEST_COUNT {
                let id = harness.request();
                harness.advance(SERVICE_TIME);
                harness.serve_if_sent(id);
                harness.advance(REQUEST_INTERVAL - SERVICE_TIME);
            }
            let served = harness.final_response_count(FinalResponse::Served);
            assert!(
                served > 0,
                "none served: objective {objective:?}, deadline {deadline:?}"
            );
        }
    }
}

/// Requests that are answered within their latency objective must all be served, however short the
/// objective is, and their upstreams must not count as unresponsive.
#[test]
fn serves_all_requests_within_a_short_objective() {
    for objective_ms in [20, 25, 40, 49, 50, 51] {
        let mut harness = harness(class(objective_ms, 200, Effect::Idempotent));
        for _ in 0..REQUEST_COUNT {
            let id = harness.request();
            harness.advance(SERVICE_TIME);
            harness.end_attempt(id, 0, Outcome::Ok);
            harness.advance(REQUEST_INTERVAL - SERVICE_TIME);
        }
        let served = harness.final_response_count(FinalResponse::Served);
        assert_eq!(served, REQUEST_COUNT, "objective {objective_ms} ms");
        let attempts: usize = harness.attempts.values().map(Vec::len).sum();
        assert_eq!(attempts, REQUEST_COUNT, "objective {objective_ms} ms");
    }
}

/// An attempt without a response must be hedged at the latest at the first tick after its latency
/// objective, even if that is shorter than two ticks.
#[test]
fn hedges_within_an_objective_shorter_than_two_ticks() {
    let objective = ms(45);
    let mut harness = harness(class(45, 200, Effect::Idempotent));
    for _ in 0..REQUEST_COUNT {
        let id = harness.request();
        harness.advance(SERVICE_TIME);
        harness.end_attempt(id, 0, Outcome::Ok);
        harness.advance(REQUEST_INTERVAL - SERVICE_TIME);
    }
    let id = harness.request();
    let sent_at = harness.now;
    harness.advance(objective + TICK);
    let hedged_after = harness.attempts[&id]
        .get(1)
        .map(|hedged| hedged.sent_at - sent_at);
    assert!(
        hedged_after.is_some_and(|after| after <= objective + TICK),
        "{hedged_after:?}"
    );
}
