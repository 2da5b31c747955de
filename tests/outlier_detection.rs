//! Which upstreams are ejected, for how long, and which are not.
#![expect(clippy::expect_used, reason = "a step that fails fails the test")]

mod common;

use common::{FinalResponse, Harness, endpoints, ms, settings_with_quotas, single_class_settings};
use frostkeel_policy::{Action, DedupGroup, Effect, Outcome, RequestId, Settings, UpstreamId};
use std::cell::Cell;
use std::time::Duration;

fn idempotent_harness(endpoint_count: u64) -> Harness {
    let settings = single_class_settings(Effect::Idempotent);
    Harness::new(settings, &endpoints(endpoint_count))
}

/// All upstreams are in the rotation, none in slow start, none ejected.
fn assert_all_in_rotation(harness: &Harness, upstreams: usize, context: &str) {
    let status = harness.balancer.status();
    assert_eq!(
        (status.rotation_size, status.warming_up, status.ejected),
        (upstreams, 0, 0),
        "in rotation, in slow start, ejected {context}"
    );
}

/// Attempts in 3 s at an upstream that fails each of them, among four.
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

/// Every balancer tries an ejected upstream again on its own. Where sixteen share it, each waits
/// longer, so that together they are no load to an upstream that needs to recover.
#[test]
fn ejection_lasts_longer_when_more_balancers_share_an_upstream() {
    let attempts = attempts_at_failing_upstream(1);
    assert!(attempts > 0, "a single balancer tries it within 3 s");
    assert_eq!(
        attempts_at_failing_upstream(16),
        0,
        "one of sixteen waits longer"
    );
}

/// Sends requests of which one in ten attempts fails anywhere, and every one at `failing`; returns
/// the most upstreams that were ejected at a time.
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

/// Responses are lost on the network, one in ten from each upstream: that must eject none of them.
/// One that gives nothing but errors is still found among them.
#[test]
fn ejects_the_upstream_with_only_errors_and_none_for_background_errors() {
    let mut harness = idempotent_harness(8);
    let mut rng = fastrand::Rng::with_seed(5);
    let ejected = run_with_background_errors(&mut harness, &mut rng, 3000, None);
    assert_eq!(ejected, 0, "ejected at a time, of eight healthy upstreams");
    let failing = UpstreamId(3);
    let ejected = run_with_background_errors(&mut harness, &mut rng, 600, Some(failing));
    assert!(ejected > 0);
    let before = harness.attempt_count(failing);
    run_with_background_errors(&mut harness, &mut rng, 600, Some(failing));
    let attempts = harness.attempt_count(failing) - before;
    assert!(
        attempts < 40,
        "{attempts} of some 700 attempts at the upstream that has only errors"
    );
}

/// The time-out of the attempt that the last event has led to.
fn attempt_timeout(harness: &Harness, request: RequestId) -> Duration {
    let mut timeouts = harness.actions.iter().filter_map(|action| match action {
        Action::Attempt { id, timeout, .. } if *id == request => *timeout,
        _ => None,
    });
    timeouts.next_back().expect("an attempt with a time-out")
}

/// Without hedging an attempt is abandoned when it is overdue, just before the tick that would have
/// found it so. It counts as unresponsive all the same, and an upstream that never responds gets
/// hardly any further attempts.
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
                assert!(timeout > Duration::ZERO, "it is abandoned after some time");
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
        "{early} attempts in 5 s at an unresponsive upstream"
    );
    assert!(
        sent_at.len() <= 6,
        "{} attempts in 30 s: {sent_at:?}",
        sent_at.len()
    );
}

/// An upstream that fails at once has nothing in flight and so looks the least loaded: it must be
/// ejected for a while.
#[test]
fn ejects_an_upstream_that_fails_at_once_and_restores_it() {
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
        "{before} attempts at an upstream that resets every connection"
    );
    harness.run_traffic(3000, ms(10), |_| Some(Outcome::Ok));
    assert!(
        harness.attempt_count(failing) > before + 50,
        "it serves again after it has recovered"
    );
}

/// Connections that fail now and then, at any upstream, between responses: no process has died.
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
        assert_eq!(not_served.count(), 0, "of 600 after {outcome:?}");
    }
}

/// Three resets in a row by chance, at an upstream that has just responded and goes on responding.
#[test]
fn consecutive_resets_between_responses_eject_no_upstream() {
    let settings = settings_with_quotas(1, &[1000.0]);
    let mut harness = Harness::new(settings, &endpoints(2));
    harness.run_traffic(20, ms(20), |_| Some(Outcome::Ok));
    let ids: Vec<RequestId> = (0..12).map(|_| harness.request()).collect();
    assert!(
        ids.iter().all(|id| harness.is_sent(*id)),
        "there is spare capacity for a dozen"
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

/// It accepts connections and never responds.
#[test]
fn avoids_an_upstream_that_never_responds() {
    let mut harness = idempotent_harness(4);
    let unresponsive = UpstreamId(3);
    harness.run_traffic(400, ms(10), |upstream| {
        (upstream != unresponsive).then_some(Outcome::Ok)
    });
    let attempts = harness.attempt_count(unresponsive);
    assert!(attempts * 8 < 400, "{attempts} of 400 went to it");
}

/// When all upstreams seem unhealthy the fault is not theirs: requests are sent all the same.
#[test]
fn still_sends_requests_when_all_upstreams_are_ejected() {
    let mut harness = idempotent_harness(4);
    harness.run_traffic(40, ms(10), |_| Some(Outcome::Reset));
    harness.advance(ms(1500));
    let before = harness.attempts.len();
    harness.run_traffic(20, ms(50), |_| Some(Outcome::Ok));
    assert!(harness.attempts.len() > before, "some are sent");
}
