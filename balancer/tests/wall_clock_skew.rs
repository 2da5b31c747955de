//! Start times of upstreams, which the list states by the wall clock, where that clock is an hour
//! off: this balancer's or the others' may have been stepped.
#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

mod common;

use common::{
    TestConfig, Upstream, WatchingBalancer, at_most_once_request, endpoint_json,
    endpoint_list_json, started_endpoint_json,
};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_MS: u64 = 3_600_000;
/// Requests by which an upstream's share is measured.
const REQUESTS: usize = 300;
/// The largest share of one of two upstreams while it is in slow start.
const MAX_SLOW_START_SHARE: f64 = 0.15;
/// The smallest share of one of two upstreams after that.
const MIN_WARM_SHARE: f64 = 0.25;

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap().as_millis() as u64
}

/// A balancer with two upstreams, of which the second one restarts.
struct RestartTest {
    balancer: WatchingBalancer,
    upstreams: [Upstream; 2],
}

impl RestartTest {
    fn start(slow_start_ms: u64) -> Self {
        let upstreams = [Upstream::healthy(), Upstream::healthy()];
        let addresses = upstreams.each_ref().map(|upstream| upstream.address);
        let mut config = TestConfig::with_upstreams(&addresses);
        config.slow_start_ms = slow_start_ms;
        Self {
            balancer: WatchingBalancer::start_with(config),
            upstreams,
        }
    }

    /// Sends a list in which the second upstream has started at this time.
    fn send_list(&self, revision: u64, started_at_ms: u64) {
        let [first, second] = self.upstreams.each_ref().map(|upstream| upstream.address);
        let first = endpoint_json("s-0", first, "Ready");
        let second = started_endpoint_json("s-1", second, "Ready", started_at_ms);
        let list = endpoint_list_json(revision, true, &[first, second]);
        self.balancer.watch.send(&list);
    }

    /// The share of requests that the second upstream gets now.
    fn second_share(&self) -> f64 {
        let before = self.upstreams[1].request_count();
        let mut client = self.balancer.process.connect();
        for _ in 0..REQUESTS {
            let response = client.exchange(&at_most_once_request(5000, "x"));
            assert_eq!(response.status(), 200);
        }
        (self.upstreams[1].request_count() - before) as f64 / REQUESTS as f64
    }
}

/// A start time ahead of this balancer's clock must not count as a new start with each list: the
/// upstream would be in slow start permanently.
#[test]
fn start_time_ahead_of_the_wall_clock_counts_once() {
    let test = RestartTest::start(1000);
    let started_at_ms = wall_clock_ms() + HOUR_MS;
    for revision in 2..12 {
        test.send_list(revision, started_at_ms);
        std::thread::sleep(Duration::from_millis(200));
    }
    test.send_list(12, started_at_ms);
    test.balancer.process.round_trip();
    let share = test.second_share();
    assert!(
        share > MIN_WARM_SHARE,
        "long after its start it gets {share}"
    );
}

/// A start that looks an hour old by this balancer's clock has just happened: the upstream must not
/// get its full share at once.
#[test]
fn start_time_behind_the_wall_clock_begins_slow_start() {
    let test = RestartTest::start(20_000);
    test.send_list(2, wall_clock_ms() - HOUR_MS);
    test.balancer.process.round_trip();
    let share = test.second_share();
    assert!(share < MAX_SLOW_START_SHARE, "just started it gets {share}");
}

#[test]
fn slow_start_lasts_for_its_configured_duration() {
    let test = RestartTest::start(2000);
    test.send_list(2, wall_clock_ms());
    test.balancer.process.round_trip();
    let share = test.second_share();
    assert!(share < MAX_SLOW_START_SHARE, "just started it gets {share}");
    std::thread::sleep(Duration::from_millis(2500));
    let share = test.second_share();
    assert!(
        share > MIN_WARM_SHARE,
        "after its slow start it gets {share}"
    );
}
