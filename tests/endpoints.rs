//! Endpoint updates, and events for requests and upstreams that are not known.

mod common;
use common::*;
use frostkeel_policy::*;

#[test]
fn sends_nothing_to_draining_or_removed_upstreams() {
    let mut bench = Bench::new(one_class(Effect::Idempotent), &fleet(3));
    bench.traffic(20, ms(5), |_| Some(Outcome::Ok));
    let (mut drains, before) = (
        endpoint(1),
        [
            bench.attempts_at(UpstreamId(1)),
            bench.attempts_at(UpstreamId(2)),
        ],
    );
    drains.availability = Availability::Draining;
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Delta,
        endpoints: &[drains],
    });
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Snapshot,
        endpoints: &[endpoint(1), endpoint(3)],
    });
    let mut drains = endpoint(1);
    drains.availability = Availability::Draining;
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Delta,
        endpoints: &[drains],
    });
    bench.traffic(60, ms(30), |_| Some(Outcome::Ok));
    assert_eq!(
        before,
        [
            bench.attempts_at(UpstreamId(1)),
            bench.attempts_at(UpstreamId(2))
        ]
    );
    assert!(bench.attempts_at(UpstreamId(3)) > 20);
}

/// An empty fleet: a refusal, at once, and service again as soon as there is one.
#[test]
fn rejects_without_endpoints_and_serves_once_one_is_added() {
    let mut bench = Bench::new(one_class(Effect::AtMostOnce), &[]);
    let id = bench.request(0, 0, ms(1000));
    assert_eq!(bench.answers.get(&id), Some(&"refused"));
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Snapshot,
        endpoints: &fleet(1),
    });
    bench.run(ms(3000));
    bench.traffic(100, ms(100), |_| Some(Outcome::Ok));
    assert!(bench.attempts_at(UpstreamId(1)) > 0);
}

/// Events for what is not known are passed over.
#[test]
fn ignores_events_for_unknown_ids() {
    let mut bench = Bench::new(one_class(Effect::Idempotent), &fleet(2));
    let (id, attempt, upstream, latency) = (RequestId(99), AttemptNo(3), UpstreamId(42), ms(1));
    let (outcome, report) = (Outcome::Ok, &[][..]);
    for event in [
        Event::AttemptEnded {
            id,
            attempt,
            upstream,
            outcome,
            latency,
            finished: false,
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
        bench.tell(event);
        assert!(bench.actions.is_empty(), "{:?}", bench.actions);
    }
}
