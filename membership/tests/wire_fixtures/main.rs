//! Holds the bytes of every kind of datagram, what a receiver does about each, and everything that
//! whole simulated fleets put out, against data that an earlier version of this crate has written
//! (`tests/data/`).
//!
//! Where a test fails, what this version writes lies in cargo's directory for test output, for
//! comparison.
#![expect(
    clippy::expect_used,
    reason = "a test fails where its input cannot be set up"
)]

mod captured;
mod output_log;
mod scenarios;
mod simulation;

use captured::{Captured, bytes_from_hex};
use scenarios::{large_fleet, small_fleet};
use simulation::EPOCH_MS;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::Duration;

const SMALL_FLEET_END: Duration = Duration::from_secs(160);
const SMALL_FLEET_SEEDS: [u64; 3] = [1, 2, 3];
const LARGE_FLEET_END: Duration = Duration::from_secs(24);
/// The crate's own messages, by position.
const OWN_MESSAGES: u8 = 9;
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

/// Compares text with a committed file; a difference leaves the text beside the other test output.
fn assert_matches_file(file: &str, actual: &str) {
    let committed = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(file);
    let expected = fs::read_to_string(&committed).unwrap_or_default();
    if actual != expected {
        let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&written, actual).expect("the directory for test output can be written");
        let difference = actual
            .lines()
            .zip(expected.lines())
            .find(|(actual, expected)| actual != expected);
        panic!(
            "{file} differs from {}: first {difference:?}",
            written.display()
        );
    }
}

#[test]
fn every_kind_of_datagram_is_written_byte_for_byte_as_before() {
    let mut simulation = small_fleet(SMALL_FLEET_SEEDS[0]);
    simulation.run_until(SMALL_FLEET_END);
    let own = (0..OWN_MESSAGES).map(|position| format!("own-{position}"));
    let swim = SWIM_MESSAGES.iter().map(|kind| format!("swim-{kind}"));
    let kinds: BTreeSet<String> = own.chain(swim).collect();
    let captured: BTreeSet<String> = simulation
        .captured
        .iter()
        .map(|one| one.kind.clone())
        .collect();
    assert_eq!(captured, kinds, "the scenario writes every kind");
    let lines: String = simulation.captured.iter().map(Captured::line).collect();
    assert_matches_file("datagrams.txt", &lines);
}

/// The committed datagrams are delivered in place of those written now, to receivers in the state
/// that they had then.
#[test]
fn every_kind_of_committed_datagram_is_read_with_the_same_effect() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/datagrams.txt");
    let committed = fs::read_to_string(file).expect("the committed datagrams can be read");
    let mut simulation = small_fleet(SMALL_FLEET_SEEDS[0]);
    for fixture in committed.lines() {
        let fields: Vec<&str> = fixture.split(' ').collect();
        let send_number = fields[1].parse().expect("a number");
        simulation
            .replacements
            .insert(send_number, bytes_from_hex(fields[4]));
    }
    simulation.run_until(SMALL_FLEET_END);
    assert!(simulation.replacements.is_empty(), "all were delivered");
    for (captured, fixture) in simulation.captured.iter().zip(committed.lines()) {
        assert_eq!(captured.line().trim_end(), fixture);
    }
    assert_eq!(simulation.captured.len(), committed.lines().count());
}

#[test]
fn simulated_fleets_put_out_exactly_what_they_did_before() {
    let mut digests = String::new();
    for seed in SMALL_FLEET_SEEDS {
        let mut simulation = small_fleet(seed);
        for end in (10..=SMALL_FLEET_END.as_secs()).step_by(10) {
            simulation.run_until(Duration::from_secs(end));
            let (count, digest) = (simulation.log().output_count(), simulation.log().digest());
            writeln!(digests, "small {seed} {end} {count} {digest:016x}")
                .expect("writing to a string succeeds");
        }
        let reasons: Vec<u8> = simulation.drops.keys().copied().collect();
        assert_eq!(
            reasons,
            [1, 2, 3, 5, 6],
            "each reason to drop a datagram occurs"
        );
        assert!(
            simulation.log().superseded_count > 0,
            "a restart with its clock set back takes its name"
        );
        assert!(
            simulation.log().yielded_count > 0,
            "a process yields its name"
        );
        let settled = simulation.machine(6).expect("it is still there");
        assert!(settled.identity().incarnation >= EPOCH_MS && settled.view().version() > 8);
    }
    let mut simulation = large_fleet();
    for end in (3..=LARGE_FLEET_END.as_secs()).step_by(3) {
        simulation.run_until(Duration::from_secs(end));
        let (count, digest) = (simulation.log().output_count(), simulation.log().digest());
        writeln!(digests, "large {end} {count} {digest:016x}")
            .expect("writing to a string succeeds");
    }
    assert_matches_file("digests.txt", &digests);
}
