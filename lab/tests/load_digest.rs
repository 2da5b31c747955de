//! The load of every committed experiment must not change. Digests cover its arrivals, its faults
//! with their targets, and the balancers' configurations. Times are rounded to the microsecond,
//! because the last bit of `ln` may differ between processors.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use common::assert_matches_fixture;
use frostkeel_lab::balancers::{ConfigInputs, balancer_config};
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::faults::{ResolvedTargets, fault_schedule};
use frostkeel_lab::runs::simulation::simulate;
use frostkeel_lab::standins::load::draw_load;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The seed that is tested in addition to each experiment's own one.
const OTHER_SEED: u64 = 97;
/// The longest simulated time of an experiment; longer experiments are shortened.
const MAX_SIMULATED_TIME: Duration = Duration::from_secs(60);
/// The largest fleet, in balancers, that is simulated.
const MAX_SIMULATED_BALANCERS: u32 = 40;

/// Returns the 64-bit FNV-1a hash of a text.
fn digest(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

struct NamedExperiment {
    name: String,
    experiment: Experiment,
}

fn experiments() -> Vec<NamedExperiment> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = std::fs::read_dir(folder).expect("the experiments");
    let mut files: Vec<PathBuf> = files.map(|file| file.expect("an entry").path()).collect();
    files.sort();
    let read = |file: PathBuf| {
        let text = std::fs::read_to_string(&file).expect("an experiment");
        let name = file
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        NamedExperiment {
            name,
            experiment: Experiment::parse(&text).expect("a valid experiment"),
        }
    };
    files.into_iter().map(read).collect()
}

/// The number of arrivals or faults of an experiment, and a digest over all of them.
struct Digest {
    count: usize,
    digest: u64,
}

fn arrival_digest(experiment: &Experiment, seed: u64) -> Digest {
    let (mut text, arrivals) = (String::new(), draw_load(experiment, seed));
    for arrival in &arrivals {
        let at_us = (arrival.at_s * 1e6).round() as u64;
        let (class, tenant, key) = (arrival.class, arrival.tenant, arrival.key);
        let (honors, seed) = (arrival.honors_retry_after, arrival.seed);
        writeln!(text, "{at_us} {class} {tenant} {key} {honors} {seed}").expect("written");
    }
    Digest {
        count: arrivals.len(),
        digest: digest(&text),
    }
}

fn fault_digest(experiment: &Experiment, seed: u64) -> Digest {
    let (mut text, schedule) = (String::new(), fault_schedule(experiment, seed));
    for occurrence in &schedule {
        let at_us = occurrence.fault.start.as_micros();
        let targets = occurrence.targets.clone();
        let peers = occurrence
            .peers
            .clone()
            .unwrap_or_else(ResolvedTargets::default);
        let balancers = [targets.balancers, peers.balancers];
        let upstreams = [targets.upstreams, peers.upstreams];
        let (description, duration_s) = (occurrence.description(), occurrence.duration_s());
        writeln!(
            text,
            "{at_us} {description} {duration_s:?} {balancers:?} {upstreams:?}"
        )
        .expect("written");
    }
    Digest {
        count: schedule.len(),
        digest: digest(&text),
    }
}

fn configuration_digest(experiment: &Experiment, seed: u64) -> u64 {
    let discovery: SocketAddr = "127.16.1.251:9".parse().expect("an address");
    let peers = experiment
        .membership
        .map(|_| vec!["127.0.0.1:1".into(), "127.0.0.1:2".into()]);
    let mut text = String::new();
    for (number, start_count) in [(0, 1), (1, 1), (1, 2)] {
        let inputs = ConfigInputs {
            experiment,
            seed,
            number,
            name: format!("b{number}"),
            start_count,
            known_endpoints: "{\"rev\":1,\"all\":true,\"targets\":[]}".into(),
            discovery,
            peers: peers.clone(),
        };
        writeln!(text, "{}", balancer_config(inputs)).expect("written");
    }
    digest(&text)
}

#[test]
fn load_matches_the_committed_digests() {
    let mut actual = String::new();
    for NamedExperiment { name, experiment } in experiments() {
        for seed in [experiment.seed, OTHER_SEED] {
            let arrivals = arrival_digest(&experiment, seed);
            let faults = fault_digest(&experiment, seed);
            let configurations = configuration_digest(&experiment, seed);
            writeln!(
                actual,
                "{name} seed {seed}: {} arrivals {:016x}, {} faults {:016x}, configurations \
                 {configurations:016x}",
                arrivals.count, arrivals.digest, faults.count, faults.digest
            )
            .expect("written");
        }
    }
    assert_matches_fixture(
        "load_digests.txt",
        &actual,
        include_str!("data/load_digests.txt"),
    );
}

#[test]
fn simulated_figures_match_the_committed_ones() {
    let mut actual = String::new();
    for NamedExperiment {
        name,
        mut experiment,
    } in experiments()
    {
        if !name.starts_with("membership-") || experiment.fleet.balancers > MAX_SIMULATED_BALANCERS
        {
            continue;
        }
        experiment.length = experiment.length.min(MAX_SIMULATED_TIME);
        let outcome = simulate(&experiment, 3, false).expect("a simulation");
        let mut value = serde_json::to_value(&outcome).expect("a value");
        // If two views are equally common, it is undefined which one the others are compared with.
        value["figures"]["differences"] = serde_json::Value::Null;
        writeln!(actual, "{name} {value}").expect("written");
    }
    assert_matches_fixture("simulated.txt", &actual, include_str!("data/simulated.txt"));
}
