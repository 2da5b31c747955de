//! The scenarios: simulated fleets with the steps that are applied to them.

use crate::simulation::{EPOCH_MS, FLEET, Simulation, Step, member_name};
use frostkeel_membership::{Identity, PeerIndex};
use std::time::Duration;

const SMALL_MEMBER_COUNT: u16 = 8;
/// The number of members of the large fleet: enough that nodes of the hash tree below the root are
/// compared by their children's hashes, and at most 128, so that `log10`, whose result may differ
/// between processors, has no effect on the digests.
const LARGE_MEMBER_COUNT: u16 = 120;
const LARGE_SIMULATION_SEED: u64 = 4;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn start(peer: u16, name: u16, incarnation_offset_ms: u64, is_restored: bool) -> Step {
    Step::Start {
        peer,
        name,
        incarnation_offset_ms,
        is_restored,
    }
}

/// Encodes a datagram with a correct checksum. `body` is the kind and the message, and may be
/// invalid.
fn encode_with_checksum(fleet: &str, body: &[u8]) -> Vec<u8> {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(fleet.as_bytes());
    checksum.update(body);
    let mut datagram = vec![1, fleet.len() as u8];
    datagram.extend(fleet.as_bytes());
    datagram.extend(checksum.finalize().to_le_bytes());
    datagram.extend(body);
    datagram
}

/// Returns datagrams that are invalid when they are received from peer 1, at least one for each
/// drop reason except `UnknownSender`.
fn invalid_datagrams() -> Vec<Vec<u8>> {
    let check_body = [1, 1, 7];
    // Returns the body of a join message from a process named "m1". `peer` is the peer index that
    // the process claims, and `incarnation` is its encoded incarnation.
    let join_body = |peer: u8, incarnation: &[u8]| {
        [&[1, 0, 2, b'm', b'1', peer], incarnation, &[0, 0]].concat()
    };
    let mut flipped_bit = encode_with_checksum(FLEET, &check_body);
    flipped_bit[3] ^= 1;
    let mut unsupported_version = encode_with_checksum(FLEET, &check_body);
    unsupported_version[0] = 2;
    vec![
        Vec::new(),
        // One byte longer than permitted.
        vec![1; 257],
        flipped_bit,
        unsupported_version,
        encode_with_checksum("other", &check_body),
        // A message of a kind that does not exist.
        encode_with_checksum(FLEET, &[1, 99]),
        // The claimed peer index is not that of the source.
        encode_with_checksum(FLEET, &join_body(2, &[1])),
        // The claimed peer index does not exist.
        encode_with_checksum(FLEET, &join_body(9, &[1])),
        // The incarnation is in the future: 2^63 - 1 ms.
        encode_with_checksum(
            FLEET,
            &join_body(1, &[255, 255, 255, 255, 255, 255, 255, 255, 127]),
        ),
    ]
}

/// Returns a step that delivers a join message as a process at the peer `from` would send it.
fn join(to: u16, from: u16, name: u16, incarnation_offset_ms: u64) -> Step {
    let (name, peer) = (member_name(name), PeerIndex(from));
    let id = Identity {
        name,
        peer,
        incarnation: EPOCH_MS + incarnation_offset_ms,
        rejoin_count: 0,
        is_leaving: false,
    };
    let id = postcard::to_allocvec(&id).expect("an identity can be encoded");
    Step::Inject {
        to,
        from,
        datagram: encode_with_checksum(FLEET, &[&[1, 0], &id[..]].concat()),
    }
}

/// Returns steps that deliver more join messages over ten seconds than the receiver may respond
/// to, and steps that deliver claims to a name by more claimants than a process that has just
/// started may supersede.
fn join_storms() -> impl Iterator<Item = (Duration, Step)> {
    let at = |start_s, step_ms: u64, index: u64| {
        seconds(start_s) + Duration::from_millis(step_ms * index)
    };
    let joins = (0..1000).map(move |index| (at(125, 10, index), join(6, 1, 9, 125_000)));
    let claims =
        (0..6).map(move |index| (at(141, 50, index), join(3, 1, 3, 200_000 + 1_000 * index)));
    joins.chain(claims)
}

/// Returns steps that block links temporarily: first the links from peer 1 to 2, from 2 to 1 and
/// from 4 to 5, and later all links from and to peer 3.
fn link_block_steps() -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    let block_and_unblock =
        |from, to| (Step::BlockLink { from, to }, Step::UnblockLink { from, to });
    for (from, to) in [(1, 2), (2, 1), (4, 5)] {
        let (block, unblock) = block_and_unblock(from, to);
        steps.extend([(seconds(8), block), (seconds(18), unblock)]);
    }
    let isolated = (0..SMALL_MEMBER_COUNT)
        .filter(|other| *other != 3)
        .flat_map(|other| [(3, other), (other, 3)]);
    for (from, to) in isolated {
        let (block, unblock) = block_and_unblock(from, to);
        steps.extend([(seconds(40), block), (seconds(52), unblock)]);
    }
    steps
}

/// Returns the steps of the small simulation, each with the time at which it is applied: starts,
/// kills, restarts, leaves, name conflicts, pauses, blocked links, lost datagrams, invalid
/// datagrams and storms of join messages.
fn small_simulation_steps() -> Vec<(Duration, Step)> {
    let mut steps: Vec<(Duration, Step)> = (0..SMALL_MEMBER_COUNT - 1)
        .map(|peer| {
            (
                Duration::from_millis(130 * u64::from(peer)),
                start(peer, peer, u64::from(peer), false),
            )
        })
        .collect();
    for (index, datagram) in (0u64..).zip(invalid_datagrams()) {
        let at = seconds(6) + Duration::from_millis(10 * index);
        steps.push((
            at,
            Step::Inject {
                to: 0,
                from: 1,
                datagram,
            },
        ));
    }
    steps.extend(link_block_steps());
    steps.extend([
        (seconds(7), Step::UnknownSender(0)),
        (seconds(7), start(7, 7, 7_000, false)),
        (seconds(20), Step::Kill(2)),
        (seconds(21), start(2, 2, 21_000, true)),
        (seconds(22), Step::Loss(25)),
        (seconds(30), Step::Loss(0)),
        (seconds(31), Step::Leave(5)),
        (seconds(33), start(5, 5, 33_000, true)),
        (seconds(35), Step::Pause(4)),
        (seconds(38), Step::Resume(4)),
        (seconds(56), Step::Pause(6)),
        (seconds(68), Step::Resume(6)),
        // The clock was set back before the restart, so the restarted process has an earlier
        // incarnation than the process that it replaces.
        (seconds(70), Step::Kill(1)),
        (seconds(71), start(1, 1, 0, false)),
        // The process at peer 7 claims the name of the live process at peer 0 with a later
        // incarnation. Then a process with that name and an earlier incarnation starts at peer 0.
        (seconds(76), Step::Kill(7)),
        (seconds(80), start(7, 0, 80_000, false)),
        (seconds(86), Step::Kill(0)),
        (seconds(88), start(0, 0, 1, true)),
        (seconds(100), Step::Kill(3)),
        (seconds(104), Step::Loss(60)),
        (seconds(114), Step::Loss(5)),
        (seconds(118), Step::Leave(4)),
        (seconds(140), start(3, 3, 140_000, false)),
    ]);
    steps.extend(join_storms());
    steps
}

/// Creates a fleet of eight members with the steps of [`small_simulation_steps`].
pub fn small_simulation(seed: u64) -> Simulation {
    Simulation::new(SMALL_MEMBER_COUNT, seed, small_simulation_steps())
}

/// Creates a fleet of 120 members that start within 0.6 s without knowing each other and lose a
/// tenth of their datagrams. A third of them is killed after 12 s.
pub fn large_simulation() -> Simulation {
    let mut steps: Vec<(Duration, Step)> = (0..LARGE_MEMBER_COUNT)
        .map(|peer| {
            (
                Duration::from_millis(5 * u64::from(peer)),
                start(peer, peer, 0, false),
            )
        })
        .collect();
    steps.push((Duration::ZERO, Step::Loss(10)));
    steps.extend((0..40).map(|peer| (seconds(12), Step::Kill(peer))));
    Simulation::new(LARGE_MEMBER_COUNT, LARGE_SIMULATION_SEED, steps)
}
