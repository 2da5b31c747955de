//! The load of every committed experiment: arrivals, faults with their targets and the balancers' configurations, as
//! digests that must not change. Times are compared to the microsecond, as `ln` may differ in the last bit elsewhere.

use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::simulated::simulate;
use frostkeel_lab::{Told, config, drawn_faults, schedule};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const OTHER_SEED: u64 = 97;

/// FNV-1a, 64 bits.
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn experiments() -> Vec<(String, Experiment)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = std::fs::read_dir(folder).expect("the experiments");
    let mut files: Vec<PathBuf> = files.map(|file| file.expect("an entry").path()).collect();
    files.sort();
    files
        .into_iter()
        .map(|file| {
            let text = std::fs::read_to_string(&file).expect("an experiment");
            let name = file
                .file_stem()
                .expect("a name")
                .to_string_lossy()
                .into_owned();
            (name, Experiment::parse(&text).expect("a valid experiment"))
        })
        .collect()
}

fn arrivals(experiment: &Experiment, seed: u64) -> (usize, u64) {
    let (mut text, arrivals) = (String::new(), schedule(experiment, seed));
    for a in &arrivals {
        let at = (a.at * 1e6).round() as u64;
        writeln!(
            text,
            "{at} {} {} {} {} {}",
            a.class, a.tenant, a.key, a.heeds, a.chance
        )
        .expect("written");
    }
    (arrivals.len(), digest(&text))
}

fn faults(experiment: &Experiment, seed: u64) -> (usize, u64) {
    let (mut text, faults) = (String::new(), drawn_faults(experiment, seed));
    for f in &faults {
        let at = f.at.as_micros();
        writeln!(
            text,
            "{at} {} {:?} {:?} {:?}",
            f.text, f.lasts, f.balancers, f.upstreams
        )
        .expect("written");
    }
    (faults.len(), digest(&text))
}

fn configurations(experiment: &Experiment, seed: u64) -> u64 {
    let discovery: SocketAddr = "127.16.1.251:9".parse().expect("an address");
    let mut text = String::new();
    for (number, starts) in [(0, 1), (1, 1), (1, 2)] {
        let told = Told {
            experiment,
            seed,
            number,
            name: format!("b{number}"),
            starts,
            known: "{\"rev\":1,\"all\":true,\"targets\":[]}".into(),
            discovery,
            peers: experiment
                .membership
                .map(|_| vec!["127.0.0.1:1".into(), "127.0.0.1:2".into()]),
        };
        writeln!(text, "{}", config(told)).expect("written");
    }
    digest(&text)
}

/// Holds what was computed against the committed text; what differs is left where it can be looked at.
fn compare(name: &str, actual: &str, committed: &str) {
    if actual != committed {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, actual).expect("written");
        let differs = actual.lines().zip(committed.lines()).find(|(a, c)| a != c);
        panic!("{name} has changed, see {}: {differs:?}", path.display());
    }
}

#[test]
fn a_seed_gives_the_load_that_it_always_gave() {
    let mut actual = String::new();
    for (name, experiment) in experiments() {
        for seed in [experiment.seed, OTHER_SEED] {
            let (arrivals, arrivals_digest) = arrivals(&experiment, seed);
            let (faults, faults_digest) = faults(&experiment, seed);
            let configurations = configurations(&experiment, seed);
            writeln!(
                actual,
                "{name} seed {seed}: {arrivals} arrivals {arrivals_digest:016x}, {faults} faults \
                 {faults_digest:016x}, configurations {configurations:016x}"
            )
            .expect("written");
        }
    }
    compare(
        "load_digests.txt",
        &actual,
        include_str!("data/load_digests.txt"),
    );
}

#[test]
fn a_seed_gives_the_simulated_figures_that_it_always_gave() {
    let mut actual = String::new();
    for (name, mut experiment) in experiments() {
        if !name.starts_with("membership-") || experiment.fleet.balancers > 40 {
            continue;
        }
        experiment.length = experiment.length.min(Duration::from_secs(60));
        let simulated = simulate(&experiment, 3, false).expect("it can be simulated");
        let mut value = serde_json::to_value(&simulated).expect("a value");
        // Which of two views of the same weight counts as the usual one is not settled.
        value["figures"]["differences"] = serde_json::Value::Null;
        writeln!(actual, "{name} {value}").expect("written");
    }
    compare("simulated.txt", &actual, include_str!("data/simulated.txt"));
}
