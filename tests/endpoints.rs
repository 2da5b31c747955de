//! Endpoint updates, and events for unknown requests and upstreams.

mod common;

use common::{
    FinalResponse, Harness, endpoint, endpoint_in_state, endpoints, ms, single_class_settings,
};
use frostkeel_policy::{
    AttemptNo, Availability, Effect, Event, Outcome, RequestId, TimerId, UpdateScope, UpstreamId,
};

#[test]
fn sends_nothing_to_draining_or_removed_upstreams() {
    let (draining, removed, ready) = (UpstreamId(1), UpstreamId(2), UpstreamId(3));
    let mut harness = Harness::new(single_class_settings(Effect::Idempotent), &endpoints(3));
    harness.run_traffic(20, ms(5), |_| Some(Outcome::Ok));
    let attempts_before = [draining, removed].map(|upstream| harness.attempt_count(upstream));
    let drain = endpoint_in_state(1, Availability::Draining);
    harness.update_endpoints(UpdateScope::Delta, std::slice::from_ref(&drain));
    harness.update_endpoints(UpdateScope::Snapshot, &[endpoint(1), endpoint(3)]);
    harness.update_endpoints(UpdateScope::Delta, &[drain]);
    harness.run_traffic(60, ms(30), |_| Some(Outcome::Ok));
    let attempts_after = [draining, removed].map(|upstream| harness.attempt_count(upstream));
    assert_eq!(attempts_before, attempts_after);
    assert!(harness.attempt_count(ready) > 20);
}

#[test]
fn rejects_without_endpoints_and_serves_once_one_is_added() {
    let mut harness = Harness::new(single_class_settings(Effect::AtMostOnce), &[]);
    let id = harness.request();
    let response = harness.final_responses.get(&id);
    assert_eq!(response, Some(&FinalResponse::Rejected));
    harness.update_endpoints(UpdateScope::Snapshot, &endpoints(1));
    harness.advance(ms(3000));
    harness.run_traffic(100, ms(100), |_| Some(Outcome::Ok));
    assert!(harness.attempt_count(UpstreamId(1)) > 0);
}

#[test]
fn ignores_events_for_unknown_ids() {
    let mut harness = Harness::new(single_class_settings(Effect::Idempotent), &endpoints(2));
    let (id, attempt, upstream) = (RequestId(99), AttemptNo(3), UpstreamId(42));
    let (outcome, latency, report) = (Outcome::Ok, ms(1), &[][..]);
    for event in [
        Event::AttemptEnded {
            id,
            attempt,
            upstream,
            outcome,
            latency,
            request_finished: false,
            report,
        },
        Event::HealthCheckEnded {
            upstream,
            outcome,
            latency,
            report,
        },
        Event::StreamStarted {
            id,
            attempt,
            latency,
        },
        Event::ClientDisconnected { id },
        Event::Timer {
            timer: TimerId(12345),
        },
    ] {
        harness.handle(event);
        assert!(harness.actions.is_empty(), "{:?}", harness.actions);
    }
}
