//! The subset of the upstreams that a balancer with little traffic sends to. The subsets of all
//! balancers together load every upstream equally.

mod common;

use common::{Harness, endpoint, endpoint_in_state, endpoints, ms, settings_with_quotas};
use frostkeel_policy::{
    Availability, ClassId, Endpoint, Outcome, Settings, TenantId, UpdateScope, UpstreamId,
};
use std::collections::{BTreeMap, BTreeSet};

const BALANCERS: u32 = 240;

/// Returns the settings of one balancer that gets two requests per second.
fn settings(index: u32) -> Settings {
    Settings {
        index,
        ..settings_with_quotas(BALANCERS, &[480.0])
    }
}

/// Returns 48 endpoints whose ids are far apart.
fn sparse_endpoints() -> Vec<Endpoint> {
    (1..=48).map(|id| endpoint(id * 7919)).collect()
}

fn upstreams_used(harness: &Harness) -> BTreeSet<UpstreamId> {
    let attempts = harness.attempts.values().flatten();
    attempts.map(|sent| sent.upstream).collect()
}

/// Runs this many requests at two per second and returns the upstreams that got them.
fn upstreams_used_by(harness: &mut Harness, requests: usize) -> BTreeSet<UpstreamId> {
    harness.attempts.clear();
    harness.run_traffic(requests, ms(500), |_| Some(Outcome::Ok));
    upstreams_used(harness)
}

/// If every balancer used all upstreams, these would run out of connections.
#[test]
fn low_traffic_uses_a_small_subset_and_all_subsets_cover_the_upstreams_evenly() {
    let listed = sparse_endpoints();
    let mut users: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    for index in 0..BALANCERS {
        let subset = upstreams_used_by(&mut Harness::new(settings(index), &listed), 60);
        let size = subset.len();
        assert!(
            (2..=10).contains(&size),
            "{size} upstreams used by balancer {index}, expected 2 to 10"
        );
        for upstream in subset {
            *users.entry(upstream).or_default() += 1;
        }
    }
    assert_eq!(users.len(), listed.len(), "every upstream is used");
    let min = users.values().min().expect("at least one upstream");
    let max = users.values().max().expect("at least one upstream");
    assert!(
        max * 2 <= min * 3,
        "the upstreams are used by {min} to {max} balancers"
    );
}

#[test]
fn uses_all_upstreams_when_they_are_few_or_the_traffic_is_high() {
    let mut few_upstreams = Harness::new(settings(5), &endpoints(2));
    assert_eq!(upstreams_used_by(&mut few_upstreams, 100).len(), 2);
    let high_traffic = Settings {
        balancers: 4,
        ..settings(3)
    };
    let mut high_traffic = Harness::new(high_traffic, &endpoints(60));
    assert_eq!(upstreams_used_by(&mut high_traffic, 300).len(), 60);
}

/// The removal of other upstreams does not change the subset. Upstreams that are removed from the
/// subset are replaced.
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
        "the removal of upstreams outside the subset must not change it"
    );
    let two_removed = [removed(inside[0]), removed(inside[1])];
    harness.update_endpoints(UpdateScope::Delta, &two_removed);
    let after = upstreams_used_by(&mut harness, 60);
    assert_eq!(after.len(), before.len());
    assert_eq!(after.intersection(&before).count(), before.len() - 2);
}

/// A balancer that gets ten times an equal part of the traffic would overload an equal part of the
/// upstreams while others are idle. It must add upstreams to its subset without removing any, and
/// remove the added ones when the traffic decreases.
#[test]
fn subset_size_follows_the_traffic() {
    let mut harness = Harness::new(settings(17), &sparse_endpoints());
    let used_at_low_traffic = upstreams_used_by(&mut harness, 60);
    harness.run_traffic(200, ms(50), |_| Some(Outcome::Ok));
    harness.attempts.clear();
    harness.run_traffic(200, ms(50), |_| Some(Outcome::Ok));
    let used_at_high_traffic = upstreams_used(&harness);
    assert!(
        (10..=24).contains(&used_at_high_traffic.len()),
        "{} upstreams used for 20 requests per second, expected 10 to 24",
        used_at_high_traffic.len()
    );
    assert!(
        used_at_low_traffic.is_subset(&used_at_high_traffic),
        "the upstreams used before must stay in the subset, with their connections"
    );
    harness.run_traffic(30, ms(500), |_| Some(Outcome::Ok));
    let after = upstreams_used_by(&mut harness, 60);
    assert!(
        after.len() <= 2 * used_at_low_traffic.len(),
        "{} upstreams used for 2 requests per second, expected at most twice as many as before",
        after.len()
    );
}

/// Returns the size of the subset after 8 s with 20 requests per second that never end.
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

/// The size of the subset depends on the demand, not on the requests that a small subset can serve.
/// Retries do not count as demand: an overload multiplies them, and would spread to more upstreams.
/// If clients do not mark retries, only admitted requests count.
#[test]
fn subset_size_ignores_retries() {
    let first_attempts = subset_size_under(false, true);
    assert!(
        (10..=24).contains(&first_attempts),
        "{first_attempts} upstreams for 20 first attempts per second, expected 10 to 24"
    );
    assert_eq!(
        subset_size_under(true, true),
        2,
        "upstreams for 20 retries per second"
    );
    assert_eq!(
        subset_size_under(false, false),
        2,
        "upstreams for 20 requests per second that may be retries, few of which are admitted"
    );
}

/// A single balancer without stated quotas uses all upstreams at any traffic.
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
