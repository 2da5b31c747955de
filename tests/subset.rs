//! A balancer with little traffic keeps to a subset of the upstreams; all balancers together load
//! every upstream alike.

mod common;

use common::{Harness, endpoint, endpoint_in_state, endpoints, ms, settings_with_quotas};
use frostkeel_policy::{
    Availability, ClassId, Endpoint, Outcome, Settings, TenantId, UpdateScope, UpstreamId,
};
use std::collections::{BTreeMap, BTreeSet};

const BALANCERS: u32 = 240;

/// Settings of one balancer that gets two requests a second.
fn settings(index: u32) -> Settings {
    Settings {
        index,
        ..settings_with_quotas(BALANCERS, &[480.0])
    }
}

/// Forty-eight endpoints whose ids are far apart.
fn sparse_endpoints() -> Vec<Endpoint> {
    (1..=48).map(|id| endpoint(id * 7919)).collect()
}

fn upstreams_used(harness: &Harness) -> BTreeSet<UpstreamId> {
    let attempts = harness.attempts.values().flatten();
    attempts.map(|sent| sent.upstream).collect()
}

/// The upstreams that get requests at two a second.
fn upstreams_used_by(harness: &mut Harness, requests: usize) -> BTreeSet<UpstreamId> {
    harness.attempts.clear();
    harness.run_traffic(requests, ms(500), |_| Some(Outcome::Ok));
    upstreams_used(harness)
}

/// Upstreams must not run out of connections.
#[test]
fn low_traffic_uses_a_small_subset_and_all_subsets_cover_the_fleet_evenly() {
    let listed = sparse_endpoints();
    let mut users: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    for index in 0..BALANCERS {
        let subset = upstreams_used_by(&mut Harness::new(settings(index), &listed), 60);
        let size = subset.len();
        assert!(
            (2..=10).contains(&size),
            "{size} upstreams used by balancer {index}"
        );
        for upstream in subset {
            *users.entry(upstream).or_default() += 1;
        }
    }
    assert_eq!(users.len(), listed.len(), "every upstream is used");
    let min = users.values().min().expect("at least one upstream");
    let max = users.values().max().expect("at least one upstream");
    assert!(max * 2 <= min * 3, "used by {min} to {max} balancers");
}

#[test]
fn uses_all_upstreams_when_the_fleet_is_small_or_the_traffic_is_high() {
    let mut small_fleet = Harness::new(settings(5), &endpoints(2));
    assert_eq!(upstreams_used_by(&mut small_fleet, 100).len(), 2);
    let high_traffic = Settings {
        balancers: 4,
        ..settings(3)
    };
    let mut high_traffic = Harness::new(high_traffic, &endpoints(60));
    assert_eq!(upstreams_used_by(&mut high_traffic, 300).len(), 60);
}

/// The subset outlives changes elsewhere; a removed upstream of it is replaced.
#[test]
fn subset_is_stable_and_replaces_removed_upstreams() {
    let listed = sparse_endpoints();
    let mut harness = Harness::new(settings(17), &listed);
    let before = upstreams_used_by(&mut harness, 60);
    let removed = |id: UpstreamId| endpoint_in_state(id.0, Availability::Removed);
    let ids = listed.iter().map(|endpoint| endpoint.id);
    let (inside, outside): (Vec<_>, Vec<_>) = ids.partition(|id| before.contains(id));
    for id in outside.iter().take(20) {
        harness.update_endpoints(UpdateScope::Delta, &[removed(*id)]);
        harness.advance(ms(50));
    }
    assert_eq!(
        upstreams_used_by(&mut harness, 60),
        before,
        "changes outside of the subset change nothing"
    );
    let two_removed = [removed(inside[0]), removed(inside[1])];
    harness.update_endpoints(UpdateScope::Delta, &two_removed);
    let after = upstreams_used_by(&mut harness, 60);
    assert_eq!(after.len(), before.len());
    assert_eq!(after.intersection(&before).count(), before.len() - 2);
}

/// A balancer that gets ten times its equal share of the traffic would overload an equal share of
/// the upstreams while others are idle. It uses more of them, keeps those that it has, and releases
/// them once the traffic has moved on.
#[test]
fn subset_size_follows_the_traffic() {
    let mut harness = Harness::new(settings(17), &sparse_endpoints());
    let low_traffic = upstreams_used_by(&mut harness, 60);
    harness.run_traffic(200, ms(50), |_| Some(Outcome::Ok));
    harness.attempts.clear();
    harness.run_traffic(200, ms(50), |_| Some(Outcome::Ok));
    let high_traffic = upstreams_used(&harness);
    assert!(
        (10..=24).contains(&high_traffic.len()),
        "{} upstreams for 20 requests a second",
        high_traffic.len()
    );
    assert!(
        low_traffic.is_subset(&high_traffic),
        "its connections stay in use"
    );
    harness.run_traffic(30, ms(500), |_| Some(Outcome::Ok));
    let after = upstreams_used_by(&mut harness, 60);
    assert!(
        after.len() <= 2 * low_traffic.len(),
        "{} upstreams for 2 requests a second",
        after.len()
    );
}

/// The subset after 20 requests a second that never end.
fn subset_size_under(is_retry: bool, retries_marked: bool) -> usize {
    let settings = Settings {
        retries_marked,
        ..settings(17)
    };
    let mut harness = Harness::new(settings, &sparse_endpoints());
    for _ in 0..160 {
        harness.submit(ClassId(0), TenantId(0), ms(1000), is_retry);
        harness.advance(ms(50));
    }
    harness.balancer.status().rotation_size
}

/// The demand at a balancer counts, not what it manages to serve on too few upstreams. Retries do
/// not count: an overload multiplies them and would spread itself. Where they are not marked, only
/// what is admitted counts.
#[test]
fn subset_size_ignores_retries() {
    let first_attempts = subset_size_under(false, true);
    assert!(
        (10..=24).contains(&first_attempts),
        "{first_attempts} for 20 first attempts a second"
    );
    assert_eq!(subset_size_under(true, true), 2, "for 20 retries a second");
    assert_eq!(
        subset_size_under(false, false),
        2,
        "for 20 a second that may be retries, hardly any of them admitted"
    );
}

/// Without stated quotas a single balancer uses all upstreams, whatever its traffic.
#[test]
fn single_balancer_uses_all_upstreams() {
    let settings = Settings {
        balancers: 1,
        tenants: Vec::new(),
        ..settings(0)
    };
    let mut harness = Harness::new(settings, &endpoints(40));
    assert_eq!(upstreams_used_by(&mut harness, 200).len(), 40);
}
