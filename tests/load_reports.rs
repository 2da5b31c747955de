//! What load reports tell of upstreams: late ones, missing ones and invalid ones.

mod common;
use common::*;
use frostkeel_policy::*;

/// A thin balancer hears from each upstream about once a second: what all of them say at last is what it goes by,
/// not a mean over fifty reports, which is several seconds of its traffic.
#[test]
fn utilization_follows_the_latest_report_of_each_upstream() {
    let (reports, report_fields) = (LoadReports::Inline, vec![LoadField::Utilization]);
    let mut bench = Bench::new(
        Settings {
            load_reports: reports,
            report_fields,
            ..stated(100, &[1500.0])
        },
        &fleet(10),
    );
    let mut all_say = |busy: f32| {
        for id in 1..=10 {
            let (upstream, outcome, latency) = (UpstreamId(id), Outcome::Ok, ms(1));
            bench.tell(Event::HealthCheckEnded {
                upstream,
                outcome,
                latency,
                report: &[busy],
            });
            bench.run(ms(70));
        }
        bench.balancer.status().utilization
    };
    for _ in 0..10 {
        all_say(0.3);
    }
    let surged = all_say(0.9);
    assert!(
        (surged - 0.9).abs() < 0.01,
        "believed {surged} where all say 0.9"
    );
}

/// Reports full of nonsense neither panic nor poison what is known.
#[test]
fn ignores_invalid_load_reports_and_weights() {
    let mut s = one_class(Effect::Idempotent);
    s.load_reports = LoadReports::Inline;
    s.report_fields = vec![LoadField::Utilization, LoadField::Queue];
    let mut bench = Bench::new(s, &fleet(2));
    for bad in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -3.0, 1e30] {
        let (upstream, outcome, latency, report) =
            (UpstreamId(1), Outcome::Ok, ms(1), &[bad, bad][..]);
        bench.tell(Event::HealthCheckEnded {
            upstream,
            outcome,
            latency,
            report,
        });
    }
    let mut odd = [endpoint(1), endpoint(2)];
    (odd[0].weight, odd[1].weight) = (f64::NAN, f64::INFINITY);
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Snapshot,
        endpoints: &odd,
    });
    bench.run(ms(10_000));
    bench.traffic(200, ms(30), |_| Some(Outcome::Ok));
    let served = bench.answers.values().filter(|a| **a == "served").count();
    assert!(served > 180, "{served} of 200 served");
    assert!(bench.attempts_at(UpstreamId(1)) > 20 && bench.attempts_at(UpstreamId(2)) > 20);
}

/// One balancer alone: an old report says nothing of others, as there are none. A stale crowd must not turn it away.
#[test]
fn single_balancer_ignores_stale_load_reports() {
    let mut set = one_class(Effect::Idempotent);
    (set.load_reports, set.report_fields) = (LoadReports::Inline, vec![LoadField::InFlight]);
    set.tenants = vec![Tenant {
        quota_per_s: 1000.0,
    }];
    let mut bench = Bench::new(set, &fleet(3));
    for k in 0..300 {
        let id = bench.request(0, 0, ms(1000));
        assert!(bench.at(id, 0).is_some(), "room for one");
        bench.run(ms(5));
        bench.ended(id, 0, Outcome::Ok);
        let (upstream, outcome, latency) = (UpstreamId(1), Outcome::Ok, ms(1));
        let report = [if k % 2 == 0 { 9.0 } else { 0.0 }];
        bench.tell(Event::HealthCheckEnded {
            upstream,
            outcome,
            latency,
            report: &report,
        });
    }
    let got = bench.attempts_at(UpstreamId(1));
    assert!(
        (85..=115).contains(&got),
        "{got} of 300 at the one with old reports"
    );
}

/// Four tell how much others hold there, the fifth has not been heard of for seconds. It is no emptier for that: all
/// balancers would send it their turns.
#[test]
fn upstream_without_recent_reports_does_not_count_as_idle() {
    let mut set = one_class(Effect::Idempotent);
    (set.load_reports, set.report_fields, set.balancers) =
        (LoadReports::Inline, vec![LoadField::InFlight], 100);
    set.tenants = vec![Tenant {
        quota_per_s: 5000.0,
    }];
    let mut bench = Bench::new(set, &fleet(5));
    for k in 0..600 {
        let id = bench.request(0, 0, ms(1000));
        bench.run(ms(20));
        if bench.at(id, 0).is_some() {
            bench.ended(id, 0, Outcome::Ok);
        }
        let quiet_from = 100;
        for upstream in (1..=if k < quiet_from { 5 } else { 4 }).map(UpstreamId) {
            let (outcome, latency, report) = (Outcome::Ok, ms(1), &[8.0][..]);
            bench.tell(Event::HealthCheckEnded {
                upstream,
                outcome,
                latency,
                report,
            });
        }
        bench.run(ms(30));
    }
    let got = bench.attempts_at(UpstreamId(5));
    assert!((90..=150).contains(&got), "{got} of 600 at one of five");
}
