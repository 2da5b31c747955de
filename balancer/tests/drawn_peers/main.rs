//! A play of drawn peers beside clients that keep to the protocol. The peers write slowly, stop in the
//! middle of a request, send heads of many short fields, do not read their responses, flood, use
//! ever new names, leave, and repeat ids. Checked are the balancer's memory, the responses to the
//! clients, and which requests the upstreams have executed.
//!
//! The seed and the time of the play are fixed. The environment variables `PEER_PLAY_SEED` and
//! `PEER_PLAY_SECONDS` set others, for a long run by hand.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "../common/mod.rs"]
mod common;

mod clients;
mod peers;
mod upstreams;

use common::TestConfig;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The least memory of a balancer on the platform, in megabytes, and the most descriptors.
const MEMORY_LIMIT_MB: u64 = 32;
const MAX_SOCKETS: usize = 1024;
const CLIENT_COUNT: usize = 100;
const PEER_COUNT: usize = 240;
const UPSTREAM_COUNT: usize = 6;
const DEFAULT_SEED: u64 = 56;
const DEFAULT_SECONDS: u64 = 30;
/// The time after the play within which the balancer must serve each request again.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Returns the number in an environment variable, or a default.
fn variable(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().unwrap())
}

/// Guards against peers that make the balancer exceed its memory, delay or drop the responses to
/// others, or have requests executed that are incomplete, abandoned or repeated.
#[test]
fn drawn_peers_affect_neither_memory_nor_other_clients() {
    let seed = variable("PEER_PLAY_SEED", DEFAULT_SEED);
    let time = Duration::from_secs(variable("PEER_PLAY_SECONDS", DEFAULT_SECONDS));
    println!("seed {seed}, {time:?}");
    let executions = upstreams::Executions::default();
    let addresses: Vec<_> = (0..UPSTREAM_COUNT as u64)
        .map(|number| upstreams::start(seed ^ number, &executions))
        .collect();
    let mut config = TestConfig::with_upstreams(&addresses);
    (config.max_sockets, config.memory_mb) = (MAX_SOCKETS, MEMORY_LIMIT_MB);
    let mut process = config.start();
    let (stop, outcomes) = (AtomicBool::new(false), clients::Outcomes::default());
    let late_closes = peers::LateCloses::default();
    std::thread::scope(|scope| {
        for number in 0..CLIENT_COUNT as u64 {
            let (process, stop, outcomes) = (&process, &stop, &outcomes);
            scope.spawn(move || clients::run(seed, number, process, stop, outcomes));
        }
        for number in 0..PEER_COUNT as u64 {
            let (process, stop, late_closes) = (&process, &stop, &late_closes);
            scope.spawn(move || peers::run(seed, number, process, stop, late_closes));
        }
        let start = Instant::now();
        while start.elapsed() < time {
            std::thread::sleep(Duration::from_millis(100));
        }
        stop.store(true, Ordering::SeqCst);
    });
    let peak_mb = process.peak_memory_mb();
    println!("peak memory {peak_mb} MB; {}", outcomes.summary());
    assert!(process.is_running(), "the balancer has ended");
    assert!(peak_mb < MEMORY_LIMIT_MB as f64, "{peak_mb} MB");
    let mut faults = outcomes.faults(&executions);
    faults.extend(peers::faults(&executions));
    faults.extend(late_closes.into_faults());
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
    assert!(outcomes.served() > 0, "no request was served");
    let recovered = clients::recovers(&process, RECOVERY_TIME);
    assert!(recovered, "requests are not served after the play");
}
