//! Compares the bytes of every kind of datagram, the effect of each on its receiver, and all
//! outputs of simulated fleets with data that an earlier version of this crate wrote
//! (`tests/data/`).
//!
//! If a test fails, the data of the current version is in cargo's directory for test output, for
//! comparison.
#![expect(
    clippy::expect_used,
    reason = "a test fails where its input cannot be set up"
)]

mod captured;
mod output_log;
mod scenarios;
mod simulation;

use captured::{CapturedDatagram, bytes_from_hex};
use scenarios::{large_simulation, small_simulation};
use simulation::EPOCH_MS;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::Duration;

const SMALL_SIMULATION_END: Duration = Duration::from_secs(160);
const SMALL_SIMULATION_SEEDS: [u64; 3] = [1, 2, 3];
const LARGE_SIMULATION_END: Duration = Duration::from_secs(24);
/// The number of kinds of messages of this crate.
const OWN_MESSAGE_COUNT: u8 = 9;
const SWIM_MESSAGES: [&str; 10] = [
    "ping",
    "ack",
    "ping-req",
    "indirect-ping",
    "indirect-ack",
    "forwarded-ack",
    "announce",
    "feed",
    "gossip",
    "turn-undead",
];

/// Asserts that a text equals a committed file. If it differs, writes the text to cargo's directory
/// for test output.
fn assert_matches_file(file: &str, actual: &str) {
    let committed = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(file);
    let expected = fs::read_to_string(&committed).unwrap_or_default();
    if actual != expected {
        let output_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&output_path, actual).expect("the directory for test output can be written");
        let difference = actual
            .lines()
            .zip(expected.lines())
            .find(|(actual, expected)| actual != expected);
        panic!(
            "{file} differs from {}; first different lines (actual, expected): {difference:?}",
            output_path.display()
        );
    }
}

#[test]
fn every_kind_of_datagram_is_encoded_byte_for_byte_as_committed() {
    let mut simulation = small_simulation(SMALL_SIMULATION_SEEDS[0]);
    simulation.run_until(SMALL_SIMULATION_END);
    let own_kinds = (0..OWN_MESSAGE_COUNT).map(|position| format!("own-{position}"));
    let swim_kinds = SWIM_MESSAGES.iter().map(|kind| format!("swim-{kind}"));
    let kinds: BTreeSet<String> = own_kinds.chain(swim_kinds).collect();
    let captured: BTreeSet<String> = simulation
        .captured
        .iter()
        .map(|datagram| datagram.kind.clone())
        .collect();
    assert_eq!(captured, kinds, "the scenario sends every kind of datagram");
    let lines: String = simulation
        .captured
        .iter()
        .map(CapturedDatagram::line)
        .collect();
    assert_matches_file("datagrams.txt", &lines);
}

/// The committed datagrams are delivered instead of those that the current version encodes, to
/// receivers in the same state as when the committed datagrams were captured.
#[test]
fn every_kind_of_committed_datagram_has_the_committed_effect() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/datagrams.txt");
    let committed = fs::read_to_string(file).expect("the committed datagrams can be read");
    let mut simulation = small_simulation(SMALL_SIMULATION_SEEDS[0]);
    for committed_line in committed.lines() {
        let fields: Vec<&str> = committed_line.split(' ').collect();
        let send_number = fields[1].parse().expect("the send number is an integer");
        simulation
            .replacements
            .insert(send_number, bytes_from_hex(fields[4]));
    }
    simulation.run_until(SMALL_SIMULATION_END);
    assert!(
        simulation.replacements.is_empty(),
        "all committed datagrams are delivered"
    );
    for (captured, committed_line) in simulation.captured.iter().zip(committed.lines()) {
        assert_eq!(captured.line().trim_end(), committed_line);
    }
    assert_eq!(simulation.captured.len(), committed.lines().count());
}

#[test]
fn simulated_fleets_have_the_committed_output_digests() {
    let mut digests = String::new();
    for seed in SMALL_SIMULATION_SEEDS {
        let mut simulation = small_simulation(seed);
        for end in (10..=SMALL_SIMULATION_END.as_secs()).step_by(10) {
            simulation.run_until(Duration::from_secs(end));
            let (count, digest) = (simulation.log().output_count(), simulation.log().digest());
            writeln!(digests, "small {seed} {end} {count} {digest:016x}")
                .expect("writing to a string succeeds");
        }
        let reasons: Vec<u8> = simulation.drops.keys().copied().collect();
        assert_eq!(
            reasons,
            [1, 2, 3, 5, 6],
            "each drop reason that handle_datagram returns occurs"
        );
        assert!(
            simulation.log().superseded_count > 0,
            "a process restarted with its clock set back supersedes its previous incarnation"
        );
        assert!(
            simulation.log().yielded_count > 0,
            "a process yields its name"
        );
        let membership = simulation
            .membership(6)
            .expect("the process at peer 6 runs");
        assert!(membership.identity().incarnation >= EPOCH_MS && membership.view().version() > 8);
    }
    let mut simulation = large_simulation();
    for end in (3..=LARGE_SIMULATION_END.as_secs()).step_by(3) {
        simulation.run_until(Duration::from_secs(end));
        let (count, digest) = (simulation.log().output_count(), simulation.log().digest());
        writeln!(digests, "large {end} {count} {digest:016x}")
            .expect("writing to a string succeeds");
    }
    assert_matches_file("digests.txt", &digests);
}
