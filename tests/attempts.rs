//! Failures listed or not: what users would want of a balancer alone.

mod common;
use common::*;
use frostkeel_policy::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn hedges_when_the_first_attempt_is_overdue() {
    let mut bench = Bench::new(one_class(Effect::Idempotent), &fleet(3));
    let id = bench.request(0, 0, ms(1000));
    bench.run(ms(300));
    let (first, second) = (
        bench.at(id, 0).unwrap(),
        bench.at(id, 1).expect("a second copy"),
    );
    assert_ne!(first, second);
    bench.ended(id, 1, Outcome::Ok);
    assert!(bench.actions.contains(&Action::Cancel {
        id,
        attempt: AttemptNo(0)
    }));
}

#[test]
fn does_not_retry_an_at_most_once_request_that_may_have_run() {
    let mut bench = Bench::new(one_class(Effect::AtMostOnce), &fleet(3));
    let id = bench.request(0, 0, ms(1000));
    bench.run(ms(600));
    assert_eq!(bench.at(id, 1), None, "no second copy");
    bench.ended(id, 0, Outcome::Reset);
    assert_eq!(bench.at(id, 1), None);
    assert_eq!(
        bench.answers.get(&id),
        Some(&"failed"),
        "a refusal would promise that it is harmless to retry"
    );
    let id = bench.request(0, 0, ms(1000));
    bench.ended(id, 0, Outcome::ConnectFailed);
    assert!(bench.at(id, 1).is_some(), "what never ran may go elsewhere");
}

/// Failures everywhere must not multiply the load: further attempts stay within the retry budget.
#[test]
fn retries_stay_within_the_retry_budget() {
    let mut bench = Bench::new(one_class(Effect::Idempotent), &fleet(20));
    bench.traffic(500, ms(10), |_| Some(Outcome::Error));
    let (requests, attempts) = (
        bench.sent.len(),
        bench.sent.values().map(Vec::len).sum::<usize>(),
    );
    let most = requests + requests / 10 + 11;
    assert!(
        attempts <= most,
        "{attempts} attempts for {requests} requests"
    );
}

/// Something drops idle connections unseen: silence meets sends after a pause only. Before the next such send the
/// connections are closed; sends soon after another need no new one.
#[test]
fn closes_idle_connections_before_use_when_they_go_silent() {
    let mut bench = Bench::new(one_class(Effect::AtMostOnce), &fleet(2));
    let mut closed: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let mut used: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let (mut lost, mut late_lost) = (0, 0);
    for k in 0..300u64 {
        let id = bench.request(0, 0, ms(600));
        let Some(upstream) = bench.at(id, 0) else {
            continue;
        };
        if bench
            .actions
            .contains(&Action::CloseIdleConnections { upstream })
        {
            closed.insert(upstream, bench.now);
        }
        let idle = used.get(&upstream).map_or(ms(0), |at| bench.now - *at);
        let dead = idle > ms(900) && closed.get(&upstream) != Some(&bench.now);
        bench.run(ms(if dead { 600 } else { 20 }));
        bench.ended(id, 0, if dead { Outcome::TimedOut } else { Outcome::Ok });
        used.insert(upstream, bench.now);
        (lost, late_lost) = (
            lost + u32::from(dead),
            late_lost + u32::from(dead && k > 150),
        );
        bench.run(ms(if k % 6 == 0 { 2500 } else { 60 }));
    }
    assert!(
        lost > 0 && !closed.is_empty(),
        "the trouble was met and answered"
    );
    assert!(
        late_lost <= 12,
        "{late_lost} of the last 50 after a pause still lost, {lost} in all"
    );
}

/// What is worth nothing after its aim is not waited for; what still earns then is.
#[test]
fn attempt_timeout_ends_when_a_late_response_has_no_weight() {
    for (late_weight_share, ends) in [(0.0, Some(ms(392))), (0.5, None)] {
        let mut set = one_class(Effect::AtMostOnce);
        set.classes[0].late_weight_share = late_weight_share;
        let mut bench = Bench::new(set, &fleet(2));
        bench.request(0, 0, ms(1000));
        let Some(Action::Attempt { timeout, .. }) = bench.actions.last() else {
            panic!("not sent")
        };
        assert_eq!(*timeout, ends, "late priority_weight {late_weight_share}");
    }
}

/// Thin traffic meets idle connections only, and one request in ten is long. Two long ones in a row are chance: no
/// connection is closed for them, as each would cost a new one.
#[test]
fn occasional_long_requests_close_no_idle_connections() {
    let mut bench = Bench::new(one_class(Effect::AtMostOnce), &fleet(2));
    let mut closed = 0;
    for k in 0..400u64 {
        let id = bench.request(0, 0, ms(1000));
        closed += bench
            .actions
            .iter()
            .filter(|a| matches!(a, Action::CloseIdleConnections { .. }))
            .count();
        if bench.at(id, 0).is_none() {
            continue;
        }
        let long = k % 20 >= 18;
        bench.run(ms(if long { 390 } else { 100 }));
        bench.ended(id, 0, if long { Outcome::TimedOut } else { Outcome::Ok });
        bench.run(ms(900));
    }
    assert_eq!(closed, 0, "closings of idle connections");
}

/// Whoever has answered others since is not stuck: the request is a long one, and a copy is as long anywhere.
#[test]
fn no_hedge_while_the_upstream_responds_to_other_requests() {
    let tenants = vec![Tenant {
        quota_per_s: 1000.0,
    }];
    let mut bench = Bench::new(
        Settings {
            tenants,
            ..one_class(Effect::Idempotent)
        },
        &fleet(3),
    );
    let ids: Vec<_> = (0..9).map(|_| bench.request(0, 0, ms(1000))).collect();
    bench.run(ms(20));
    let (long, others) = ids.split_first().unwrap();
    assert!(
        others
            .iter()
            .any(|id| bench.at(*id, 0) == bench.at(*long, 0)),
        "others went there too"
    );
    others
        .iter()
        .for_each(|id| bench.ended(*id, 0, Outcome::Ok));
    bench.run(ms(300));
    assert_eq!(bench.at(*long, 1), None, "a copy of what is only long");
}
