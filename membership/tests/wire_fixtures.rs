//! Holds the bytes of every kind of datagram, what a receiver does about each, and everything that
//! whole simulated fleets put out, against data that an earlier version of this crate has written
//! (`tests/data/`).
//!
//! Where a test fails, what this version writes lies in cargo's directory for test output, for
//! comparison.

mod simulation;

use frostkeel_membership::{Identity, PeerIndex};
use simulation::{Captured, EPOCH_MS, FLEET, Fault, Simulation, member_name};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::Duration;

const SMALL_FLEET: u16 = 8;
const SMALL_FLEET_END: Duration = Duration::from_secs(160);
const SMALL_FLEET_SEEDS: [u64; 3] = [1, 2, 3];
/// Enough members for a part of the view to be compared part by part, and few enough for integer
/// arithmetic.
const LARGE_FLEET: u16 = 120;
const LARGE_FLEET_END: Duration = Duration::from_secs(24);
const LARGE_FLEET_SEED: u64 = 4;
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

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn start(place: u16, name: u16, boot_ms: u64, remembers: bool) -> Fault {
    Fault::Start {
        place,
        name,
        boot_ms,
        remembers,
    }
}

/// A datagram of the fleet with a correct checksum over whatever it says.
fn signed(fleet: &str, message: &[u8]) -> Vec<u8> {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(fleet.as_bytes());
    checksum.update(message);
    let mut datagram = vec![1, fleet.len() as u8];
    datagram.extend(fleet.as_bytes());
    datagram.extend(checksum.finalize().to_le_bytes());
    datagram.extend(message);
    datagram
}

/// Datagrams that are dropped, one or more for each reason.
fn invalid_datagrams() -> Vec<Vec<u8>> {
    let check = [1, 1, 7];
    // A hello of "m1" at place 1, another one at place 9, and one whose incarnation is far in the
    // future.
    let hello = |place: u8, boot: &[u8]| [&[1, 0, 2, b'm', b'1', place], boot, &[0, 0]].concat();
    let mut flipped = signed(FLEET, &check);
    flipped[3] ^= 1;
    let mut other_version = signed(FLEET, &check);
    other_version[0] = 2;
    vec![
        Vec::new(),
        vec![1; 257],
        flipped,
        other_version,
        signed("other", &check),
        signed(FLEET, &[1, 99]),
        signed(FLEET, &hello(2, &[1])),
        signed(FLEET, &hello(9, &[1])),
        signed(
            FLEET,
            &hello(1, &[255, 255, 255, 255, 255, 255, 255, 255, 127]),
        ),
    ]
}

/// A request to join by a process at a place, as it would send it itself.
fn hello(to: u16, from: u16, name: u16, boot_ms: u64) -> Fault {
    let (name, peer) = (member_name(name), PeerIndex(from));
    let id = Identity {
        name,
        peer,
        incarnation: EPOCH_MS + boot_ms,
        rejoin_count: 0,
        is_leaving: false,
    };
    let id = postcard::to_allocvec(&id).expect("an identity fits");
    Fault::Inject {
        to,
        from,
        datagram: signed(FLEET, &[&[1, 0], &id[..]].concat()),
    }
}

/// More requests to join than are answered, over ten seconds, and more claims to a name than a
/// process that has just started takes it back from.
fn hello_storms() -> impl Iterator<Item = (Duration, Fault)> {
    let at =
        |start, step_ms: u64, index: u64| seconds(start) + Duration::from_millis(step_ms * index);
    let requests = (0..1000).map(move |index| (at(125, 10, index), hello(6, 1, 9, 125_000)));
    let claims =
        (0..6).map(move |index| (at(141, 50, index), hello(3, 1, 3, 200_000 + 1_000 * index)));
    requests.chain(claims)
}

/// Kills, restarts, leaves, conflicts of names, stops, cut links, loss and invalid datagrams among
/// eight members.
fn small_fleet_faults() -> Vec<(Duration, Fault)> {
    let mut faults: Vec<(Duration, Fault)> = (0..SMALL_FLEET - 1)
        .map(|place| {
            (
                Duration::from_millis(130 * u64::from(place)),
                start(place, place, u64::from(place), false),
            )
        })
        .collect();
    for (index, datagram) in (0u64..).zip(invalid_datagrams()) {
        let at = seconds(6) + Duration::from_millis(10 * index);
        faults.push((
            at,
            Fault::Inject {
                to: 0,
                from: 1,
                datagram,
            },
        ));
    }
    let way = |from, to| (Fault::Cut { from, to }, Fault::Heal { from, to });
    for (from, to) in [(1, 2), (2, 1), (4, 5)] {
        let (cut, heal) = way(from, to);
        faults.extend([(seconds(8), cut), (seconds(18), heal)]);
    }
    let isolated = (0..SMALL_FLEET)
        .filter(|other| *other != 3)
        .flat_map(|other| [(3, other), (other, 3)]);
    for (from, to) in isolated {
        let (cut, heal) = way(from, to);
        faults.extend([(seconds(40), cut), (seconds(52), heal)]);
    }
    faults.extend([
        (seconds(7), Fault::UnknownSender(0)),
        (seconds(7), start(7, 7, 7_000, false)),
        (seconds(20), Fault::Kill(2)),
        (seconds(21), start(2, 2, 21_000, true)),
        (seconds(22), Fault::Loss(25)),
        (seconds(30), Fault::Loss(0)),
        (seconds(31), Fault::Leave(5)),
        (seconds(33), start(5, 5, 33_000, true)),
        (seconds(35), Fault::Hold(4)),
        (seconds(38), Fault::Release(4)),
        (seconds(56), Fault::Hold(6)),
        (seconds(68), Fault::Release(6)),
        // The clock was set back: an earlier incarnation than before.
        (seconds(70), Fault::Kill(1)),
        (seconds(71), start(1, 1, 0, false)),
        // A later process takes the name of a living one, and an earlier one comes back with it.
        (seconds(76), Fault::Kill(7)),
        (seconds(80), start(7, 0, 80_000, false)),
        (seconds(86), Fault::Kill(0)),
        (seconds(88), start(0, 0, 1, true)),
        (seconds(100), Fault::Kill(3)),
        (seconds(104), Fault::Loss(60)),
        (seconds(114), Fault::Loss(5)),
        (seconds(118), Fault::Leave(4)),
        (seconds(140), start(3, 3, 140_000, false)),
    ]);
    faults.extend(hello_storms());
    faults
}

fn small_fleet(seed: u64) -> Simulation {
    Simulation::new(SMALL_FLEET, seed, small_fleet_faults())
}

/// Many members that start at once, know nobody and lose a tenth of their datagrams; some are
/// killed.
fn large_fleet() -> Simulation {
    let mut faults: Vec<(Duration, Fault)> = (0..LARGE_FLEET)
        .map(|place| {
            (
                Duration::from_millis(5 * u64::from(place)),
                start(place, place, 0, false),
            )
        })
        .collect();
    faults.push((Duration::ZERO, Fault::Loss(10)));
    faults.extend((0..40).map(|place| (seconds(12), Fault::Kill(place))));
    Simulation::new(LARGE_FLEET, LARGE_FLEET_SEED, faults)
}

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

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn line(captured: &Captured) -> String {
    let Captured {
        kind,
        send_number,
        from,
        to,
        datagram,
        effect,
    } = captured;
    format!(
        "{kind} {send_number} {from} {to} {} {effect}\n",
        hex(datagram)
    )
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
    let lines: String = simulation.captured.iter().map(line).collect();
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
            .insert(send_number, bytes(fields[4]));
    }
    simulation.run_until(SMALL_FLEET_END);
    assert!(simulation.replacements.is_empty(), "all were delivered");
    for (captured, fixture) in simulation.captured.iter().zip(committed.lines()) {
        assert_eq!(line(captured).trim_end(), fixture);
    }
    assert_eq!(simulation.captured.len(), committed.lines().count());
}

#[test]
fn simulated_fleets_put_out_exactly_what_they_did_before() {
    let mut digests = String::new();
    for seed in SMALL_FLEET_SEEDS {
        let mut simulation = small_fleet(seed);
        for end in (10..=SMALL_FLEET_END.as_secs()).step_by(10) {
            simulation.run_until(seconds(end));
            let (count, digest) = (simulation.output_count, simulation.digest());
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
            simulation.superseded_count > 0,
            "a restart with its clock set back takes its name"
        );
        assert!(simulation.yielded_count > 0, "a process yields its name");
        let settled = simulation.machine(6).expect("it is still there");
        assert!(settled.identity().incarnation >= EPOCH_MS && settled.view().version() > 8);
    }
    let mut simulation = large_fleet();
    for end in (3..=LARGE_FLEET_END.as_secs()).step_by(3) {
        simulation.run_until(seconds(end));
        let (count, digest) = (simulation.output_count, simulation.digest());
        writeln!(digests, "large {end} {count} {digest:016x}")
            .expect("writing to a string succeeds");
    }
    assert_matches_file("digests.txt", &digests);
}
