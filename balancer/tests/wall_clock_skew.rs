//! Slow start with wall clocks that differ by an hour. The endpoint list states the start times of
//! upstreams by the wall clock, and the clock of this balancer or of another machine may have been
//! stepped.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    TestConfig, Upstream, WatchingBalancer, at_most_once_request, endpoint_json,
    endpoint_json_with_start_time, endpoint_list_json,
};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_MS: u64 = 3_600_000;
/// The number of requests from which an upstream's fraction of the requests is computed.
const REQUEST_COUNT: usize = 300;
/// The upper limit of an upstream's fraction of the requests during slow start, with two upstreams.
const MAX_SLOW_START_FRACTION: f64 = 0.15;
/// The lower limit of that fraction after slow start.
const MIN_FRACTION_AFTER_SLOW_START: f64 = 0.25;

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap().as_millis() as u64
}

/// A balancer with two upstreams, the second of which is listed with a later start time.
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

    /// Sends a snapshot in which the second upstream started at this Unix time in milliseconds.
    fn send_list(&self, revision: u64, started_at_ms: u64) {
        let [first, second] = self.upstreams.each_ref().map(|upstream| upstream.address);
        let first = endpoint_json("s-0", first, "Ready");
        let second = endpoint_json_with_start_time("s-1", second, "Ready", started_at_ms);
        let list = endpoint_list_json(revision, true, &[first, second]);
        self.balancer.watch.send(&list);
    }

    /// Sends requests and returns the fraction of them that the second upstream receives.
    fn second_upstream_fraction(&self) -> f64 {
        let before = self.upstreams[1].request_count();
        let mut client = self.balancer.process.connect();
        for _ in 0..REQUEST_COUNT {
            let response = client.exchange(&at_most_once_request(5000, "x"));
            assert_eq!(response.status(), 200);
        }
        (self.upstreams[1].request_count() - before) as f64 / REQUEST_COUNT as f64
    }
}

/// A start time ahead of this balancer's clock must not begin slow start again with each list that
/// contains it. Otherwise the upstream would remain in slow start permanently.
#[test]
fn start_time_in_the_future_begins_slow_start_once() {
    let test = RestartTest::start(1000);
    let started_at_ms = wall_clock_ms() + HOUR_MS;
    for revision in 2..12 {
        test.send_list(revision, started_at_ms);
        std::thread::sleep(Duration::from_millis(200));
    }
    test.send_list(12, started_at_ms);
    test.balancer.process.round_trip();
    let fraction = test.second_upstream_fraction();
    assert!(
        fraction > MIN_FRACTION_AFTER_SLOW_START,
        "fraction {fraction} after slow start"
    );
}

/// An upstream has just started, but by this balancer's clock it started an hour ago. It must still
/// begin in slow start, not with its full fraction of the requests.
#[test]
fn start_time_in_the_past_begins_slow_start() {
    let test = RestartTest::start(20_000);
    test.send_list(2, wall_clock_ms() - HOUR_MS);
    test.balancer.process.round_trip();
    let fraction = test.second_upstream_fraction();
    assert!(
        fraction < MAX_SLOW_START_FRACTION,
        "fraction {fraction} in slow start"
    );
}

#[test]
fn slow_start_lasts_for_its_configured_duration() {
    let test = RestartTest::start(2000);
    test.send_list(2, wall_clock_ms());
    test.balancer.process.round_trip();
    let fraction = test.second_upstream_fraction();
    assert!(
        fraction < MAX_SLOW_START_FRACTION,
        "fraction {fraction} in slow start"
    );
    std::thread::sleep(Duration::from_millis(2500));
    let fraction = test.second_upstream_fraction();
    assert!(
        fraction > MIN_FRACTION_AFTER_SLOW_START,
        "fraction {fraction} after slow start"
    );
}
