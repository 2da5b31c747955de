//! Starts of upstreams, which the list tells by the wall clock, where that clock is an hour off: this balancer's or the
//! others' may have been stepped.
#![expect(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod common;

use common::*;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_MS: u64 = 3_600_000;
/// Requests of which the upstreams' shares are counted.
const REQUESTS: usize = 300;
/// The share of one of two upstreams: at most while it is cold, and at the least once it is warm.
const COLD_MOST: f64 = 0.15;
const WARM_LEAST: f64 = 0.25;

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A list of a version in which the second upstream has started at this time.
fn restarted(rev: u64, upstreams: &[Upstream; 2], boot_ms: u64) -> String {
    let old = entry("s-0", upstreams[0].address, "Ready");
    list(
        rev,
        true,
        &[
            old,
            started_entry("s-1", upstreams[1].address, "Ready", boot_ms),
        ],
    )
}

/// The share of requests that the second upstream gets now.
fn second_share(node: &Node, upstreams: &[Upstream; 2]) -> f64 {
    let before = upstreams[1].seen().len();
    let mut client = node.connect();
    for _ in 0..REQUESTS {
        assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
    }
    (upstreams[1].seen().len() - before) as f64 / REQUESTS as f64
}

fn start(cold_ms: u64) -> (Node, [Upstream; 2], Calls, std::net::TcpStream) {
    let upstreams = [
        Upstream::start(Then::Answer(OK)),
        Upstream::start(Then::Answer(OK)),
    ];
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&[upstreams[0].address, upstreams[1].address]);
    (setup.discovery, setup.asks, setup.cold_ms) = (discovery, true, cold_ms);
    let node = setup.start();
    let (_, watch) = calls.recv_timeout(LONG).expect("a watch");
    (node, upstreams, calls, watch)
}

/// Guards against a start that lies ahead of this balancer's clock and is taken for a new one with each list: the
/// upstream would be cold for ever.
#[test]
fn start_time_ahead_of_the_wall_clock_counts_once() {
    let (node, upstreams, _calls, watch) = start(1000);
    let boot_ms = wall_ms() + HOUR_MS;
    for rev in 2..12 {
        tell(&watch, &restarted(rev, &upstreams, boot_ms));
        std::thread::sleep(Duration::from_millis(200));
    }
    tell(&watch, &restarted(12, &upstreams, boot_ms));
    node.round_trip();
    let share = second_share(&node, &upstreams);
    assert!(share > WARM_LEAST, "warm for long, it gets {share}");
}

/// Guards against a start that looks an hour old by this balancer's clock and is one of just now: the upstream would
/// get its whole share cold.
#[test]
fn start_time_behind_the_wall_clock_begins_slow_start() {
    let (node, upstreams, _calls, watch) = start(20_000);
    tell(&watch, &restarted(2, &upstreams, wall_ms() - HOUR_MS));
    node.round_trip();
    let share = second_share(&node, &upstreams);
    assert!(share < COLD_MOST, "just started, it gets {share}");
}

/// Guards starts that the wall clock dates well: just seen they are cold, and warm once their time is over.
#[test]
fn slow_start_lasts_for_its_configured_duration() {
    let (node, upstreams, _calls, watch) = start(2000);
    tell(&watch, &restarted(2, &upstreams, wall_ms()));
    node.round_trip();
    let share = second_share(&node, &upstreams);
    assert!(share < COLD_MOST, "just started, it gets {share}");
    std::thread::sleep(Duration::from_millis(2500));
    let share = second_share(&node, &upstreams);
    assert!(share > WARM_LEAST, "warm, it gets {share}");
}
