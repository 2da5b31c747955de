//! Experiments on membership in simulated time.

use frostkeel_lab::checks::membership_figures::missed_expectations;
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::simulated::{Simulated, simulate};

fn played(name: &str, members: u32, seed: u64) -> (Simulated, Vec<String>) {
    let file = format!("{}/experiments/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(file).expect("the experiment");
    let mut experiment = Experiment::parse(&text).expect("it can be meant");
    experiment.fleet.balancers = members;
    let played = simulate(&experiment, seed, false).expect("it can be simulated");
    let missed = missed_expectations(&experiment, &played.figures);
    (played, missed)
}

/// Simulated time: the bounds are those of the experiments, on any machine.
#[test]
fn experiments_hold_in_simulated_time() {
    for (name, members) in [
        ("membership-kill", 32),
        ("membership-stops", 32),
        ("membership-halves", 32),
        ("membership-crash", 16),
        ("membership-groups", 18),
        ("membership-bad", 16),
        ("membership-names", 8),
    ] {
        for seed in [1, 2] {
            let (played, missed) = played(name, members, seed);
            assert_eq!(
                missed,
                Vec::<String>::new(),
                "{name}, {members}, seed {seed}: {:?}",
                played.figures
            );
        }
    }
}

#[test]
fn a_seed_gives_one_history() {
    let (one, other) = (
        played("membership-kill", 8, 4).0,
        played("membership-kill", 8, 4).0,
    );
    assert_eq!(one.figures, other.figures);
    assert_eq!((one.datagrams, one.bytes), (other.datagrams, other.bytes));
}
