//! Compares the resources that one balancer uses in a small fleet, with 300 balancers and 200
//! upstreams, and in a large fleet, with 900 balancers and 3,200 upstreams. Traffic, capacity and
//! limits of the balancer are the same, and the endpoint list changes continuously.

mod common;

use common::{
    TestConfig, Upstream, Watch, WatchingBalancer, endpoint_json, endpoint_list_json,
    idempotent_request,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The number of listeners that all upstreams of a fleet share.
const LISTENER_COUNT: usize = 16;
const RUN_TIME: Duration = Duration::from_secs(6);
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum factor by which the CPU time in the large fleet may exceed that in the small fleet.
/// The operators' bound, 1.4, applies to the optimized build
/// (`cargo test --release -p frostkeel-balancer --test fleet_size`). Without optimization,
/// iterating over the list takes longer.
const MAX_CPU_GROWTH_FACTOR: f64 = if cfg!(debug_assertions) { 4.0 } else { 1.4 };

/// The resources that a balancer used in one run, and the fraction of requests that it served.
#[derive(Debug)]
struct Usage {
    cpu_s: f64,
    peak_memory_mb: f64,
    /// The largest number of open descriptors.
    descriptors: usize,
    /// The number of connections opened to upstreams.
    connections: usize,
    served_fraction: f64,
}

/// Returns a delta in which one upstream begins to drain and another one is added.
fn update(revision: u64, upstreams: &[Upstream]) -> String {
    let address = upstreams[revision as usize % LISTENER_COUNT].address;
    let draining = endpoint_json(&format!("s-{revision}"), address, "Terminating");
    let added = endpoint_json(&format!("t-{revision}"), address, "Ready");
    endpoint_list_json(revision, false, &[draining, added])
}

fn send_updates(watch: &Watch, upstreams: &[Upstream], has_ended: &AtomicBool) {
    let mut revision = 2;
    while !has_ended.load(Ordering::SeqCst) {
        watch.send(&update(revision, upstreams));
        revision += 1;
        std::thread::sleep(UPDATE_INTERVAL);
    }
}

/// Runs one balancer of a fleet with these numbers of balancers and upstreams.
fn run_balancer(balancers: usize, upstream_count: usize) -> Usage {
    let upstreams: Vec<Upstream> = (0..LISTENER_COUNT).map(|_| Upstream::healthy()).collect();
    let addresses: Vec<_> = (0..upstream_count)
        .map(|k| upstreams[k % LISTENER_COUNT].address)
        .collect();
    let mut config = TestConfig::with_upstreams(&addresses);
    config.balancers = balancers;
    config.max_sockets = 1024;
    let balancer = WatchingBalancer::start_with(config);
    let process = &balancer.process;
    let has_ended = AtomicBool::new(false);
    let (mut served, mut sent, mut descriptors) = (0, 0, 0);
    std::thread::scope(|scope| {
        scope.spawn(|| send_updates(&balancer.watch, &upstreams, &has_ended));
        let mut client = process.connect();
        let start = Instant::now();
        while start.elapsed() < RUN_TIME {
            let response = client.exchange(&idempotent_request(5000));
            served += usize::from(response.status() == 200);
            sent += 1;
            descriptors = descriptors.max(process.open_descriptors());
            std::thread::sleep(REQUEST_INTERVAL);
        }
        has_ended.store(true, Ordering::SeqCst);
    });
    Usage {
        cpu_s: process.cpu_s(),
        peak_memory_mb: process.peak_memory_mb(),
        descriptors,
        connections: upstreams.iter().map(Upstream::connection_count).sum(),
        served_fraction: served as f64 / sent as f64,
    }
}

/// The operators set the bounds of this test.
#[test]
fn resource_use_is_bounded_with_sixteen_times_as_many_upstreams() {
    const THOUSANDS_OF_UPSTREAMS: f64 = 3.2;
    let small = run_balancer(300, 200);
    let large = run_balancer(900, 3200);
    let context = format!("{large:?}, {small:?}");
    println!("{context}");
    let max_cpu_s = MAX_CPU_GROWTH_FACTOR * small.cpu_s + 0.02 + 0.03 * THOUSANDS_OF_UPSTREAMS;
    assert!(large.cpu_s <= max_cpu_s, "{context}");
    let max_memory_mb = 1.5 * small.peak_memory_mb + 8.0 + 4.0 * THOUSANDS_OF_UPSTREAMS;
    assert!(large.peak_memory_mb <= max_memory_mb, "{context}");
    let max_descriptors = 2 * small.descriptors + 40;
    assert!(large.descriptors <= max_descriptors, "{context}");
    let max_connections = small.connections * 5 / 2 + 40;
    assert!(large.connections <= max_connections, "{context}");
    let min_served_fraction = 0.85 * small.served_fraction;
    assert!(large.served_fraction >= min_served_fraction, "{context}");
}
