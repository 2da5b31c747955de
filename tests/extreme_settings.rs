//! Settings with extreme values that are accepted. A balancer aborts on a panic, so no such value
//! may cause one.

mod common;

use common::{Harness, endpoints, ms};
use frostkeel_policy::{
    AttemptNo, Class, ClassId, DedupGroup, Effect, Event, Outcome, Prices, Settings, Tenant,
    TenantId,
};
use proptest::prelude::{ProptestConfig, Strategy, any, prop, proptest};
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
const UPSTREAM_COUNT: u64 = 5;

/// Durations from the shortest to the longest that settings can state.
fn duration() -> impl Strategy<Value = Duration> + Clone {
    select(vec![
        Duration::ZERO,
        Duration::from_nanos(1),
        ms(1),
        ms(24),
        ms(40),
        ms(1000),
        Duration::from_secs(86_400),
        Duration::MAX,
    ])
}

/// Numbers from the least to the largest that settings can state.
fn number() -> impl Strategy<Value = f64> + Clone {
    select(vec![
        0.0,
        f64::MIN_POSITIVE,
        1e-9,
        0.5,
        1.0,
        150.0,
        1e9,
        f64::MAX,
    ])
}

fn effect() -> impl Strategy<Value = Effect> {
    let groups = vec![DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell];
    let kind = (0..3, select(groups), duration());
    kind.prop_map(|(kind, group, ttl)| match kind {
        0 => Effect::Idempotent,
        1 => Effect::AtMostOnce,
        _ => Effect::Deduplicated { group, ttl },
    })
}

fn class() -> impl Strategy<Value = Class> {
    let times = (duration(), duration());
    let weights = (number(), number(), number());
    let class = (times, weights, effect(), any::<bool>());
    class.prop_map(|((objective, deadline), weights, effect, streamed)| Class {
        latency_objective: objective.max(Duration::from_nanos(1)),
        deadline,
        priority_weight: weights.0,
        late_weight_fraction: weights.1,
        objective_extension_per_cpu_time: weights.2,
        effect,
        streamed,
    })
}

fn settings() -> impl Strategy<Value = Settings> {
    let lists = (
        prop::collection::vec(class(), 1..4),
        prop::collection::vec(number(), 0..4),
    );
    let durations = prop::collection::vec(duration(), 7);
    let numbers = prop::collection::vec(number(), 4);
    let flags = prop::collection::vec(any::<bool>(), 6);
    let counts = (select(vec![1, 2, 300, u32::MAX]), 1..=u8::MAX);
    (lists, durations, numbers, flags, counts).prop_map(
        |((classes, quotas), durations, numbers, flags, (balancers, max_attempts))| Settings {
            balancers,
            index: balancers - 1,
            classes,
            tenants: quotas
                .into_iter()
                .map(|quota_per_s| Tenant { quota_per_s })
                .collect(),
            poll_interval: durations[0],
            drain_grace: durations[1],
            slow_start_duration: durations[2],
            overload_window: durations[3],
            max_retry_after: durations[4],
            connect_timeout: durations[5],
            connection_idle_timeout: durations[6],
            over_quota_weight_fraction: numbers[0],
            slow_start_initial_fraction: numbers[1],
            overload_multiple: numbers[2],
            prices: Prices {
                cross_zone: numbers[3],
                ..Prices::default()
            },
            polls_endpoints: flags[0],
            has_local_agent: flags[1],
            hedging: flags[2],
            cancellation: flags[3],
            retries_marked: flags[4],
            scales_priority_weight_by_work: flags[5],
            max_attempts,
            ..Settings::default()
        },
    )
}

/// A request, and the outcome and latency of all its attempts.
#[derive(Clone, Debug)]
struct Step {
    class: u16,
    tenant: u32,
    time_left: Duration,
    outcome: Outcome,
    latency_ms: u64,
    is_stream: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let request = (0..4_u16, 0..4_u32, duration());
    let response = (select(OUTCOMES.to_vec()), 0..120_u64, any::<bool>());
    (request, response).prop_map(
        |((class, tenant, time_left), (outcome, latency_ms, is_stream))| Step {
            class,
            tenant,
            time_left,
            outcome,
            latency_ms,
            is_stream,
        },
    )
}

/// Submits the request of a step, and ends each attempt of it.
fn run_step(harness: &mut Harness, step: &Step) {
    let (class, tenant) = (ClassId(step.class), TenantId(step.tenant));
    let id = harness.submit(
        class,
        tenant,
        step.time_left,
        step.latency_ms.is_multiple_of(2),
    );
    let mut attempt = 0;
    while harness.upstream_of(id, attempt).is_some() {
        if step.is_stream {
            harness.handle(Event::StreamStarted {
                id,
                attempt: AttemptNo(attempt as u8),
                latency: ms(1),
            });
        }
        harness.advance(ms(step.latency_ms));
        harness.end_attempt(id, attempt, step.outcome);
        attempt += 1;
    }
    harness.advance(ms(step.latency_ms));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(49),
        ..ProptestConfig::default()
    })]

    /// Guards against a crash of every balancer of a customer whose settings are accepted.
    #[test]
    fn no_accepted_settings_cause_a_panic(
        settings in settings(),
        steps in prop::collection::vec(step(), 1..40),
        seed in any::<u64>(),
    ) {
        let mut harness = Harness::with_seed(settings, seed, &endpoints(UPSTREAM_COUNT));
        for step in &steps {
            run_step(&mut harness, step);
        }
        harness.fail_poll();
        harness.advance(Duration::from_secs(30));
    }
}
