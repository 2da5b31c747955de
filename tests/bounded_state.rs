//! State stays bounded however long a balancer runs.

mod common;

use common::{Harness, endpoint, endpoints, ms, settings_with_quotas};
use frostkeel_policy::{Endpoint, Outcome, Settings, UpdateScope};

fn settings() -> Settings {
    settings_with_quotas(1, &[50.0])
}

/// All endpoints are replaced again and again; requests keep going to those that are listed.
#[test]
fn releases_state_of_replaced_upstreams() {
    let mut harness = Harness::new(settings(), &endpoints(4));
    for round in 1..200u64 {
        let listed: Vec<Endpoint> = (4 * round..4 * round + 4).map(endpoint).collect();
        harness.update_endpoints(UpdateScope::Snapshot, &listed);
        harness.advance(ms(200));
        let id = harness.request();
        if let Some(upstream) = harness.upstream_of(id, 0) {
            assert!(
                listed.iter().any(|endpoint| endpoint.id == upstream),
                "{upstream:?} is removed"
            );
            harness.end_attempt(id, 0, Outcome::Ok);
        }
    }
    let entries = harness.balancer.entries();
    assert!(
        entries <= 40,
        "{entries} entries after two hundred lists of four endpoints"
    );
}

#[test]
fn releases_state_of_completed_requests() {
    let mut harness = Harness::new(settings(), &endpoints(4));
    harness.run_traffic(2000, ms(20), |_| Some(Outcome::Ok));
    harness.advance(ms(2000));
    let entries = harness.balancer.entries();
    assert!(
        entries <= 20,
        "{entries} entries after two thousand requests"
    );
}
