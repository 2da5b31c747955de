//! Attempts of a request: hedging, retries, timeouts, and idle connections that are closed before
//! they are used.

mod common;

use common::{FinalResponse, Harness, endpoints, ms, settings_with_quotas, single_class_settings};
use frostkeel_policy::{Action, AttemptNo, Effect, Outcome, RequestId, UpstreamId};
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn hedges_when_the_first_attempt_is_overdue() {
    let mut harness = Harness::new(single_class_settings(Effect::Idempotent), &endpoints(3));
    let id = harness.request();
    harness.advance(ms(300));
    let first = harness.upstream_of(id, 0).expect("a first attempt");
    let hedge = harness.upstream_of(id, 1).expect("a hedge");
    assert_ne!(first, hedge);
    harness.end_attempt(id, 1, Outcome::Ok);
    let cancel = Action::Cancel {
        id,
        attempt: AttemptNo(0),
    };
    assert!(harness.actions.contains(&cancel));
}

#[test]
fn does_not_retry_an_at_most_once_request_that_may_have_run() {
    let mut harness = Harness::new(single_class_settings(Effect::AtMostOnce), &endpoints(3));
    let id = harness.request();
    harness.advance(ms(600));
    assert_eq!(harness.upstream_of(id, 1), None, "no hedge");
    harness.end_attempt(id, 0, Outcome::Reset);
    assert_eq!(harness.upstream_of(id, 1), None, "no retry");
    assert_eq!(
        harness.final_responses.get(&id),
        Some(&FinalResponse::Failed),
        "expected a failure: a rejection would tell the client that a retry is harmless"
    );
    let id = harness.request();
    harness.end_attempt(id, 0, Outcome::ConnectFailed);
    assert!(
        harness.upstream_of(id, 1).is_some(),
        "a request that was not processed may be retried"
    );
}

/// The upstream has responded to other requests since the first attempt, so it is not stuck. The
/// request takes long because it is expensive, and a hedge would take as long at another upstream.
#[test]
fn no_hedge_while_the_upstream_responds_to_other_requests() {
    let settings = settings_with_quotas(1, &[1000.0]);
    let mut harness = Harness::new(settings, &endpoints(3));
    let ids: Vec<RequestId> = (0..9).map(|_| harness.request()).collect();
    harness.advance(ms(20));
    let (long, others) = ids.split_first().expect("nine requests");
    let upstream = harness.upstream_of(*long, 0);
    assert!(
        others
            .iter()
            .any(|id| harness.upstream_of(*id, 0) == upstream),
        "the upstream got other requests too"
    );
    for id in others {
        harness.end_attempt(*id, 0, Outcome::Ok);
    }
    harness.advance(ms(300));
    assert_eq!(harness.upstream_of(*long, 1), None, "no hedge");
}

/// When all attempts fail, retries must not multiply the load.
#[test]
fn retries_stay_within_the_retry_budget() {
    let mut harness = Harness::new(single_class_settings(Effect::Idempotent), &endpoints(20));
    harness.run_traffic(500, ms(10), |_| Some(Outcome::Error));
    let requests = harness.attempts.len();
    let attempts: usize = harness.attempts.values().map(Vec::len).sum();
    let max_attempts = requests + requests / 10 + 11;
    assert!(
        attempts <= max_attempts,
        "{attempts} attempts for {requests} requests, expected {max_attempts} at most"
    );
}

/// An attempt whose response has no weight after the latency objective is abandoned just before
/// it. If a late response still has weight, the attempt runs until the client's deadline.
#[test]
fn attempt_times_out_before_the_objective_if_a_late_response_has_no_weight() {
    for (late_weight_fraction, expected) in [(0.0, Some(ms(392))), (0.5, None)] {
        let mut settings = single_class_settings(Effect::AtMostOnce);
        settings.classes[0].late_weight_fraction = late_weight_fraction;
        let mut harness = Harness::new(settings, &endpoints(2));
        harness.request();
        let Some(Action::Attempt { timeout, .. }) = harness.actions.last() else {
            panic!("the request was not sent")
        };
        assert_eq!(
            *timeout, expected,
            "timeout with a late weight fraction of {late_weight_fraction}"
        );
    }
}

/// With low traffic every request uses an idle connection, and one in ten requests takes long. Two
/// long requests in a row happen by chance. Closing the idle connections after them would only cost
/// new connections.
#[test]
fn occasional_long_requests_close_no_idle_connections() {
    let mut harness = Harness::new(single_class_settings(Effect::AtMostOnce), &endpoints(2));
    let mut closed = 0;
    for k in 0..400u64 {
        let id = harness.request();
        let actions = harness.actions.iter();
        closed += actions
            .filter(|action| matches!(action, Action::CloseIdleConnections { .. }))
            .count();
        if !harness.is_sent(id) {
            continue;
        }
        let is_long = k % 20 >= 18;
        harness.advance(ms(if is_long { 390 } else { 100 }));
        let outcome = if is_long {
            Outcome::TimedOut
        } else {
            Outcome::Ok
        };
        harness.end_attempt(id, 0, outcome);
        harness.advance(ms(900));
    }
    assert_eq!(
        closed, 0,
        "number of times that idle connections were closed"
    );
}

/// The network drops connections silently once they have been idle for some time, and requests on
/// them get no response. The balancer must close such connections before the next request uses
/// them, but keep those that were used recently.
#[test]
fn closes_idle_connections_before_use_when_they_go_silent() {
    const MAX_IDLE: Duration = ms(900);
    let mut harness = Harness::new(single_class_settings(Effect::AtMostOnce), &endpoints(2));
    let mut closed_at: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let mut last_used_at: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let (mut lost, mut lost_late) = (0, 0);
    for k in 0..300u64 {
        let id = harness.request_of(0, 0, ms(600));
        let Some(upstream) = harness.upstream_of(id, 0) else {
            continue;
        };
        let close = Action::CloseIdleConnections { upstream };
        if harness.actions.contains(&close) {
            closed_at.insert(upstream, harness.now);
        }
        let last_used = last_used_at.get(&upstream);
        let idle = last_used.map_or(Duration::ZERO, |time| harness.now - *time);
        let is_new = closed_at.get(&upstream) == Some(&harness.now);
        let is_lost = idle > MAX_IDLE && !is_new;
        harness.advance(ms(if is_lost { 600 } else { 20 }));
        let outcome = if is_lost {
            Outcome::TimedOut
        } else {
            Outcome::Ok
        };
        harness.end_attempt(id, 0, outcome);
        last_used_at.insert(upstream, harness.now);
        lost += u32::from(is_lost);
        lost_late += u32::from(is_lost && k > 150);
        harness.advance(ms(if k % 6 == 0 { 2500 } else { 60 }));
    }
    assert!(
        lost > 0 && !closed_at.is_empty(),
        "expected lost requests and closed connections: {lost} lost, closed at {closed_at:?}"
    );
    assert!(
        lost_late <= 12,
        "{lost_late} of the last 50 requests after a pause lost, expected 12 at most; {lost} in all"
    );
}
