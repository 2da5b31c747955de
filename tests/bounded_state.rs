//! The state of a balancer stays bounded over a long run.

mod common;

use common::{Harness, endpoint, endpoints, ms, settings_with_quotas};
use frostkeel_policy::{Endpoint, Outcome, Settings, UpdateScope};

fn settings() -> Settings {
    settings_with_quotas(1, &[50.0])
}

/// Each update replaces all endpoints. Requests must go only to endpoints of the present list.
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
                "sent to {upstream:?}, which has been removed"
            );
            harness.end_attempt(id, 0, Outcome::Ok);
        }
    }
    let entries = harness.balancer.entries();
    assert!(
        entries <= 40,
        "{entries} state entries after 200 lists of 4 endpoints, expected 40 at most"
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
        "{entries} state entries after 2000 completed requests, expected 20 at most"
    );
}
