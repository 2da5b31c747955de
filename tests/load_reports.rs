//! The use of load reports of upstreams, including late, missing and invalid ones.

mod common;

use common::{
    FinalResponse, Harness, endpoint, endpoints, ms, settings_with_quotas, single_class_settings,
    with_inline_reports,
};
use frostkeel_policy::{Effect, LoadField, Outcome, UpdateScope, UpstreamId};

/// A balancer with little traffic gets a report from each upstream about once a second. It must use
/// the latest report of each: a mean over fifty reports would span several seconds of its traffic.
#[test]
fn utilization_follows_the_latest_report_of_each_upstream() {
    let settings = settings_with_quotas(100, &[1500.0]);
    let settings = with_inline_reports(settings, &[LoadField::Utilization]);
    let mut harness = Harness::new(settings, &endpoints(10));
    let mut utilization_when_all_report = |reported: f32| {
        for id in 1..=10 {
            harness.report_load(UpstreamId(id), &[reported]);
            harness.advance(ms(70));
        }
        harness.balancer.status().utilization
    };
    for _ in 0..10 {
        utilization_when_all_report(0.3);
    }
    let utilization = utilization_when_all_report(0.9);
    assert!(
        (utilization - 0.9).abs() < 0.01,
        "a utilization of {utilization}, expected the 0.9 that all upstreams report"
    );
}

/// Four of five upstreams report their requests in flight, and the fifth has not reported for
/// seconds. If it counted as idle, all balancers would send their requests to it.
#[test]
fn upstream_without_recent_reports_does_not_count_as_idle() {
    const LAST_REPORT_OF_ALL: usize = 100;
    let settings = settings_with_quotas(100, &[5000.0]);
    let settings = with_inline_reports(settings, &[LoadField::InFlight]);
    let mut harness = Harness::new(settings, &endpoints(5));
    for k in 0..600 {
        let id = harness.request();
        harness.advance(ms(20));
        harness.serve_if_sent(id);
        let reporting_count = if k < LAST_REPORT_OF_ALL { 5 } else { 4 };
        for upstream in (1..=reporting_count).map(UpstreamId) {
            harness.report_load(upstream, &[8.0]);
        }
        harness.advance(ms(30));
    }
    let attempts = harness.attempt_count(UpstreamId(5));
    assert!(
        (90..=150).contains(&attempts),
        "{attempts} of 600 attempts at the upstream without recent reports, expected 90 to 150"
    );
}

/// A single balancer knows all requests in flight itself. There are no other balancers whose
/// requests an old report could show.
#[test]
fn single_balancer_ignores_stale_load_reports() {
    let settings = settings_with_quotas(1, &[1000.0]);
    let settings = with_inline_reports(settings, &[LoadField::InFlight]);
    let mut harness = Harness::new(settings, &endpoints(3));
    let reporting = UpstreamId(1);
    for k in 0..300 {
        let id = harness.request();
        assert!(
            harness.is_sent(id),
            "rejected although there is spare capacity for one request"
        );
        harness.advance(ms(5));
        harness.end_attempt(id, 0, Outcome::Ok);
        let in_flight = if k % 2 == 0 { 9.0 } else { 0.0 };
        harness.report_load(reporting, &[in_flight]);
    }
    let attempts = harness.attempt_count(reporting);
    assert!(
        (85..=115).contains(&attempts),
        "{attempts} of 300 attempts at the upstream with old reports, expected 85 to 115"
    );
}

/// Invalid values neither cause a panic nor corrupt the load estimates.
#[test]
fn ignores_invalid_load_reports_and_weights() {
    let settings = single_class_settings(Effect::Idempotent);
    let settings = with_inline_reports(settings, &[LoadField::Utilization, LoadField::Queue]);
    let mut harness = Harness::new(settings, &endpoints(2));
    for value in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -3.0, 1e30] {
        harness.report_load(UpstreamId(1), &[value, value]);
    }
    let mut listed = [endpoint(1), endpoint(2)];
    listed[0].weight = f64::NAN;
    listed[1].weight = f64::INFINITY;
    harness.update_endpoints(UpdateScope::Snapshot, &listed);
    harness.advance(ms(10_000));
    harness.run_traffic(200, ms(30), |_| Some(Outcome::Ok));
    let served = harness.final_response_count(FinalResponse::Served);
    assert!(
        served > 180,
        "{served} of 200 requests served, expected more than 180"
    );
    for upstream in [UpstreamId(1), UpstreamId(2)] {
        assert!(
            harness.attempt_count(upstream) > 20,
            "{upstream:?} got 20 attempts or fewer"
        );
    }
}
