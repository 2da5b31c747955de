//! Outlier detection: which upstreams are ejected, and for how long.
#![expect(clippy::expect_used, reason = "a failing step fails the test")]

mod common;

use common::{FinalResponse, Harness, endpoints, ms, settings_with_quotas, single_class_settings};
use frostkeel_policy::{Action, DedupGroup, Effect, Outcome, RequestId, Settings, UpstreamId};
use std::cell::Cell;
use std::time::Duration;

fn idempotent_harness(endpoint_count: u64) -> Harness {
    let settings = single_class_settings(Effect::Idempotent);
    Harness::new(settings, &endpoints(endpoint_count))
}

/// Asserts that all upstreams are in the rotation, and that none is in slow start or ejected.
fn assert_all_in_rotation(harness: &Harness, upstreams: usize, context: &str) {
    let status = harness.balancer.status();
    assert_eq!(
        (status.rotation_size, status.warming_up, status.ejected),
        (upstreams, 0, 0),
        "number of upstreams in the rotation, in slow start and ejected, {context}"
    );
}

/// Returns how many attempts one of four upstreams gets in 3 s if it fails each of them.
fn attempts_at_failing_upstream(balancers: u32) -> usize {
    let settings = Settings {
        balancers,
        ..single_class_settings(Effect::Idempotent)
    };
    let mut harness = Harness::new(settings, &endpoints(4));
    let failing = UpstreamId(2);
    let outcome_at = |upstream| {
        Some(if upstream == failing {
            Outcome::Error
        } else {
            Outcome::Ok
        })
    };
    harness.run_traffic(60, ms(10), outcome_at);
    let before = harness.attempt_count(failing);
    harness.run_traffic(300, ms(10), outcome_at);
    harness.attempt_count(failing) - before
}

/// Each balancer sends trial requests to an ejected upstream independently of the others. With 16
/// balancers each one waits longer, so that their trials together do not load an upstream that has
/// to recover.
#[test]
fn ejection_time_grows_with_the_number_of_balancers_per_upstream() {
    let attempts = attempts_at_failing_upstream(1);
    assert!(
        attempts > 0,
        "a single balancer sends a trial request within 3 s"
    );
    assert_eq!(
        attempts_at_failing_upstream(16),
        0,
        "one of 16 balancers sends no trial request within 3 s"
    );
}

/// Sends requests of which every attempt at `failing`, and one in ten attempts at any other
/// upstream, fails. Returns the largest number of upstreams that were ejected at the same time.
fn run_with_background_errors(
    harness: &mut Harness,
    rng: &mut fastrand::Rng,
    count: usize,
    failing: Option<UpstreamId>,
) -> usize {
    let mut max_ejected = 0;
    for _ in 0..count {
        let id = harness.request();
        let mut attempt = 0;
        while let Some(upstream) = harness.upstream_of(id, attempt) {
            harness.advance(ms(3));
            let fails = rng.f64() < 0.1 || failing == Some(upstream);
            let outcome = if fails { Outcome::Error } else { Outcome::Ok };
            harness.end_attempt(id, attempt, outcome);
            attempt += 1;
        }
        harness.advance(ms(3));
        max_ejected = max_ejected.max(harness.balancer.status().ejected);
    }
    max_ejected
}

/// One in ten attempts fails at each upstream, as when the network loses responses. This must eject
/// no upstream, while an upstream that only sends errors must still be detected.
#[test]
fn ejects_the_upstream_with_only_errors_and_none_for_background_errors() {
    let mut harness = idempotent_harness(8);
    let mut rng = fastrand::Rng::with_seed(5);
    let ejected = run_with_background_errors(&mut harness, &mut rng, 3000, None);
    assert_eq!(
        ejected, 0,
        "number of healthy upstreams that were ejected at the same time"
    );
    let failing = UpstreamId(3);
    let ejected = run_with_background_errors(&mut harness, &mut rng, 600, Some(failing));
    assert!(ejected > 0);
    let before = harness.attempt_count(failing);
    run_with_background_errors(&mut harness, &mut rng, 600, Some(failing));
    let attempts = harness.attempt_count(failing) - before;
    assert!(
        attempts < 40,
        "{attempts} of about 700 attempts at the upstream with only errors, expected fewer than 40"
    );
}

/// Returns the timeout of the attempt of a request that was sent in the last event.
fn attempt_timeout(harness: &Harness, request: RequestId) -> Duration {
    let mut timeouts = harness.actions.iter().filter_map(|action| match action {
        Action::Attempt { id, timeout, .. } if *id == request => *timeout,
        _ => None,
    });
    timeouts.next_back().expect("an attempt with a timeout")
}

/// Without hedging an attempt is abandoned as soon as it is overdue, just before the tick that
/// would detect it as overdue. It must still count as a sign of an unresponsive upstream, so that
/// an upstream that never responds gets hardly any further attempts.
#[test]
fn ejects_an_upstream_whose_attempts_are_abandoned_as_overdue() {
    let effect = Effect::Deduplicated {
        group: DedupGroup::All,
        ttl: ms(5000),
    };
    let settings = Settings {
        hedging: false,
        ..single_class_settings(effect)
    };
    let mut harness = Harness::new(settings, &endpoints(4));
    let unresponsive = UpstreamId(2);
    let mut sent_at = Vec::new();
    for _ in 0..600 {
        let id = harness.request();
        let mut attempt = 0;
        while let Some(upstream) = harness.upstream_of(id, attempt) {
            if upstream == unresponsive {
                sent_at.push(harness.now);
                let timeout = attempt_timeout(&harness, id);
                assert!(
                    timeout > Duration::ZERO,
                    "the attempt has a timeout above zero"
                );
                harness.advance(timeout);
                harness.end_attempt(id, attempt, Outcome::TimedOut);
            } else {
                harness.end_attempt(id, attempt, Outcome::Ok);
            }
            attempt += 1;
        }
        harness.advance(ms(50));
    }
    let early = sent_at.iter().filter(|time| **time < ms(5000)).count();
    assert!(
        early <= 4,
        "{early} attempts in 5 s at an unresponsive upstream, expected 4 at most"
    );
    assert!(
        sent_at.len() <= 6,
        "{} attempts in 30 s at an unresponsive upstream, expected 6 at most: {sent_at:?}",
        sent_at.len()
    );
}

/// An upstream that fails attempts immediately has nothing in flight and therefore seems the least
/// loaded. It must be ejected for some time.
#[test]
fn ejects_an_upstream_that_fails_immediately_and_restores_it() {
    let mut harness = idempotent_harness(4);
    let failing = UpstreamId(2);
    harness.run_traffic(100, ms(10), |upstream| {
        Some(if upstream == failing {
            Outcome::Reset
        } else {
            Outcome::Ok
        })
    });
    let before = harness.attempt_count(failing);
    assert!(
        before <= 4,
        "{before} attempts at an upstream that resets every connection, expected 4 at most"
    );
    harness.run_traffic(3000, ms(10), |_| Some(Outcome::Ok));
    assert!(
        harness.attempt_count(failing) > before + 50,
        "the upstream gets requests again after it has recovered"
    );
}

/// Connections to any upstream fail occasionally, and responses arrive in between. No upstream
/// process has died, so none may be ejected.
#[test]
fn isolated_connection_errors_eject_no_upstream() {
    for outcome in [Outcome::Reset, Outcome::ConnectFailed] {
        let mut harness = idempotent_harness(4);
        for round in 0..50 {
            let attempts = Cell::new(0);
            let first_attempt_fails = |_| {
                attempts.set(attempts.get() + 1);
                Some(if attempts.get() == 1 {
                    outcome
                } else {
                    Outcome::Ok
                })
            };
            harness.run_traffic(12, ms(10), first_attempt_fails);
            let context = format!("after {round} rounds of {outcome:?}");
            assert_all_in_rotation(&harness, 4, &context);
        }
        let responses = harness.final_responses.values();
        let not_served = responses.filter(|response| **response != FinalResponse::Served);
        assert_eq!(
            not_served.count(),
            0,
            "requests of 600 that were not served, with {outcome:?} as the first outcome"
        );
    }
}

/// Three resets in a row happen by chance at an upstream that responded just before them and
/// responds after them.
#[test]
fn consecutive_resets_between_responses_eject_no_upstream() {
    let settings = settings_with_quotas(1, &[1000.0]);
    let mut harness = Harness::new(settings, &endpoints(2));
    harness.run_traffic(20, ms(20), |_| Some(Outcome::Ok));
    let ids: Vec<RequestId> = (0..12).map(|_| harness.request()).collect();
    assert!(
        ids.iter().all(|id| harness.is_sent(*id)),
        "rejected although there is spare capacity for twelve requests"
    );
    harness.advance(ms(20));
    let at_first = |id: &RequestId| harness.upstream_of(*id, 0) == Some(UpstreamId(1));
    let (at_first, at_second): (Vec<RequestId>, Vec<_>) = ids.into_iter().partition(at_first);
    assert!(at_first.len() > 4);
    harness.end_attempt(at_first[0], 0, Outcome::Ok);
    for id in &at_first[1..4] {
        harness.end_attempt(*id, 0, Outcome::Reset);
    }
    harness.advance(ms(20));
    for id in at_first[4..].iter().chain(&at_second) {
        harness.end_attempt(*id, 0, Outcome::Ok);
    }
    assert_all_in_rotation(&harness, 2, "after three resets in a row");
}

/// The upstream accepts connections but never responds.
#[test]
fn avoids_an_upstream_that_never_responds() {
    let mut harness = idempotent_harness(4);
    let unresponsive = UpstreamId(3);
    harness.run_traffic(400, ms(10), |upstream| {
        (upstream != unresponsive).then_some(Outcome::Ok)
    });
    let attempts = harness.attempt_count(unresponsive);
    assert!(
        attempts * 8 < 400,
        "{attempts} of 400 requests sent to the unresponsive upstream, expected fewer than 50"
    );
}

/// When all upstreams seem unhealthy, the cause is probably not the upstreams. Requests are still
/// sent to them.
#[test]
fn still_sends_requests_when_all_upstreams_are_ejected() {
    let mut harness = idempotent_harness(4);
    harness.run_traffic(40, ms(10), |_| Some(Outcome::Reset));
    harness.advance(ms(1500));
    let before = harness.attempts.len();
    harness.run_traffic(20, ms(50), |_| Some(Outcome::Ok));
    assert!(
        harness.attempts.len() > before,
        "no request was sent after all upstreams had failed"
    );
}
