//! Experiments on membership in simulated time.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::checks::membership_figures::missed_expectations;
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::runs::simulation::{SimulationOutcome, simulate};

fn run(name: &str, members: u32, seed: u64) -> (SimulationOutcome, Vec<String>) {
    let file = format!("{}/experiments/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(file).expect("the experiment");
    let mut experiment = Experiment::parse(&text).expect("a valid experiment");
    experiment.fleet.balancers = members;
    let outcome = simulate(&experiment, seed, false).expect("a simulation");
    let missed = missed_expectations(&experiment, &outcome.figures);
    (outcome, missed)
}

/// Checks the expectations of the experiments. Time is simulated, so that the result does not
/// depend on the machine.
#[test]
fn experiments_meet_their_expectations_in_simulated_time() {
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
            let (outcome, missed) = run(name, members, seed);
            assert_eq!(
                missed,
                Vec::<String>::new(),
                "{name}, {members}, seed {seed}: {:?}",
                outcome.figures
            );
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let (one, other) = (
        run("membership-kill", 8, 4).0,
        run("membership-kill", 8, 4).0,
    );
    assert_eq!(one.figures, other.figures);
    assert_eq!(
        (one.datagrams_per_s, one.bytes_per_s),
        (other.datagrams_per_s, other.bytes_per_s)
    );
}
