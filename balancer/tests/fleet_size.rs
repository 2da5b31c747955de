//! What one balancer needs as its fleet grows sixteenfold: the same traffic, capacity and limits for each balancer, 900
//! of them with 3,200 upstreams in place of 300 with 200, and a list that goes on changing.
#![expect(
    clippy::expect_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod common;

use common::*;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Listeners behind all upstreams of a fleet.
const LISTENERS: usize = 16;
const PLAY: Duration = Duration::from_secs(6);
const CHANGE_EVERY: Duration = Duration::from_millis(100);
const REQUEST_EVERY: Duration = Duration::from_millis(20);

/// How much the processor time may grow. The operators' bound is one of the program as it is shipped
/// (`cargo test --release -p frostkeel-balancer --test fleet_size`); without optimization its passes over the list weigh more.
const CPU_GROWTH: f64 = if cfg!(debug_assertions) { 4.0 } else { 1.4 };

/// What a play needed and did.
#[derive(Debug)]
struct Needs {
    cpu_s: f64,
    peak_mb: f64,
    descriptors: usize,
    connections: usize,
    served: f64,
}

/// A drain, an end and a newcomer, in turn.
fn changes(rev: u64, upstreams: &[Upstream]) -> String {
    let at = upstreams[rev as usize % LISTENERS].address;
    let (old, new) = (format!("s-{}", rev), format!("t-{rev}"));
    list(
        rev,
        false,
        &[entry(&old, at, "Terminating"), entry(&new, at, "Ready")],
    )
}

fn go_on_changing(watch: &TcpStream, upstreams: &[Upstream], over: &AtomicBool) {
    let mut rev = 2;
    while !over.load(Ordering::SeqCst) {
        tell(watch, &changes(rev, upstreams));
        rev += 1;
        std::thread::sleep(CHANGE_EVERY);
    }
}

/// Plays a fleet as one of its balancers sees it.
fn play(balancers: usize, count: usize) -> Needs {
    let upstreams: Vec<Upstream> = (0..LISTENERS)
        .map(|_| Upstream::start(Then::Answer(OK)))
        .collect();
    let all: Vec<_> = (0..count)
        .map(|k| upstreams[k % LISTENERS].address)
        .collect();
    let (discovery, calls) = discovery();
    let mut setup = Setup::with(&all);
    (setup.discovery, setup.asks, setup.balancers, setup.sockets) =
        (discovery, true, balancers, 1024);
    let node = setup.start();
    let (_, watch) = calls.recv_timeout(LONG).expect("a watch");
    let over = AtomicBool::new(false);
    let (mut served, mut sent, mut descriptors) = (0, 0, 0);
    std::thread::scope(|scope| {
        scope.spawn(|| go_on_changing(&watch, &upstreams, &over));
        let mut client = node.connect();
        let start = Instant::now();
        while start.elapsed() < PLAY {
            served += usize::from(client.exchange(&look(5000)).status() == 200);
            sent += 1;
            descriptors = descriptors.max(node.descriptors());
            std::thread::sleep(REQUEST_EVERY);
        }
        over.store(true, Ordering::SeqCst);
    });
    Needs {
        cpu_s: node.cpu_s(),
        peak_mb: node.peak_mb(),
        descriptors,
        connections: upstreams.iter().map(Upstream::connections).sum(),
        served: served as f64 / sent as f64,
    }
}

/// Guards what a balancer needs against the size of its fleet, by the operators' bounds.
#[test]
fn resource_use_is_bounded_in_a_fleet_sixteen_times_as_large() {
    let usual = play(300, 200);
    let large = play(900, 3200);
    let thousands = 3.2;
    println!("{usual:?} {large:?}");
    assert!(
        large.cpu_s <= CPU_GROWTH * usual.cpu_s + 0.02 + 0.03 * thousands,
        "{large:?}, {usual:?}"
    );
    assert!(
        large.peak_mb <= 1.5 * usual.peak_mb + 8.0 + 4.0 * thousands,
        "{large:?}, {usual:?}"
    );
    assert!(
        large.descriptors <= 2 * usual.descriptors + 40,
        "{large:?}, {usual:?}"
    );
    assert!(
        large.connections <= usual.connections * 5 / 2 + 40,
        "{large:?}, {usual:?}"
    );
    assert!(large.served >= 0.85 * usual.served, "{large:?}, {usual:?}");
}
