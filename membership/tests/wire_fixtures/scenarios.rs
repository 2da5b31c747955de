//! The scenarios: what happens to simulated fleets from outside.

use crate::simulation::{EPOCH_MS, FLEET, Fault, Simulation, member_name};
use frostkeel_membership::{Identity, PeerIndex};
use std::time::Duration;

const SMALL_FLEET: u16 = 8;
/// Enough members for a node of the hash tree to be compared child by child, and few enough for
/// digests that are equal on all processors.
const LARGE_FLEET: u16 = 120;
const LARGE_FLEET_SEED: u64 = 4;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn start(peer: u16, name: u16, incarnation_ms: u64, is_restored: bool) -> Fault {
    Fault::Start {
        peer,
        name,
        incarnation_ms,
        is_restored,
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
    // Of "m1" at another peer, at a peer that does not exist, and with an incarnation from the future.
    let join = |peer: u8, boot: &[u8]| [&[1, 0, 2, b'm', b'1', peer], boot, &[0, 0]].concat();
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
        signed(FLEET, &join(2, &[1])),
        signed(FLEET, &join(9, &[1])),
        signed(
            FLEET,
            &join(1, &[255, 255, 255, 255, 255, 255, 255, 255, 127]),
        ),
    ]
}

/// A request to join that a process at a peer would send.
fn join(to: u16, from: u16, name: u16, incarnation_ms: u64) -> Fault {
    let (name, peer) = (member_name(name), PeerIndex(from));
    let id = Identity {
        name,
        peer,
        incarnation: EPOCH_MS + incarnation_ms,
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

/// More requests to join than are responded to, over ten seconds, and more claims to a name than
/// a process that has just started may supersede.
fn join_storms() -> impl Iterator<Item = (Duration, Fault)> {
    let at =
        |start, step_ms: u64, index: u64| seconds(start) + Duration::from_millis(step_ms * index);
    let requests = (0..1000).map(move |index| (at(125, 10, index), join(6, 1, 9, 125_000)));
    let claims =
        (0..6).map(move |index| (at(141, 50, index), join(3, 1, 3, 200_000 + 1_000 * index)));
    requests.chain(claims)
}

/// Links that are cut for a while: three in one direction, and then all of one member.
fn link_faults() -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let link = |from, to| (Fault::Cut { from, to }, Fault::Heal { from, to });
    for (from, to) in [(1, 2), (2, 1), (4, 5)] {
        let (cut, heal) = link(from, to);
        faults.extend([(seconds(8), cut), (seconds(18), heal)]);
    }
    let isolated = (0..SMALL_FLEET)
        .filter(|other| *other != 3)
        .flat_map(|other| [(3, other), (other, 3)]);
    for (from, to) in isolated {
        let (cut, heal) = link(from, to);
        faults.extend([(seconds(40), cut), (seconds(52), heal)]);
    }
    faults
}

/// Kills, restarts, leaves, name conflicts, pauses, cut links, loss and invalid datagrams among
/// eight members.
fn small_fleet_faults() -> Vec<(Duration, Fault)> {
    let mut faults: Vec<(Duration, Fault)> = (0..SMALL_FLEET - 1)
        .map(|peer| {
            (
                Duration::from_millis(130 * u64::from(peer)),
                start(peer, peer, u64::from(peer), false),
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
    faults.extend(link_faults());
    faults.extend([
        (seconds(7), Fault::UnknownSender(0)),
        (seconds(7), start(7, 7, 7_000, false)),
        (seconds(20), Fault::Kill(2)),
        (seconds(21), start(2, 2, 21_000, true)),
        (seconds(22), Fault::Loss(25)),
        (seconds(30), Fault::Loss(0)),
        (seconds(31), Fault::Leave(5)),
        (seconds(33), start(5, 5, 33_000, true)),
        (seconds(35), Fault::Pause(4)),
        (seconds(38), Fault::Resume(4)),
        (seconds(56), Fault::Pause(6)),
        (seconds(68), Fault::Resume(6)),
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
    faults.extend(join_storms());
    faults
}

/// Eight members under [`small_fleet_faults`].
pub fn small_fleet(seed: u64) -> Simulation {
    Simulation::new(SMALL_FLEET, seed, small_fleet_faults())
}

/// Many members that start at once, know nobody and lose a tenth of their datagrams; some are
/// killed.
pub fn large_fleet() -> Simulation {
    let mut faults: Vec<(Duration, Fault)> = (0..LARGE_FLEET)
        .map(|peer| {
            (
                Duration::from_millis(5 * u64::from(peer)),
                start(peer, peer, 0, false),
            )
        })
        .collect();
    faults.push((Duration::ZERO, Fault::Loss(10)));
    faults.extend((0..40).map(|peer| (seconds(12), Fault::Kill(peer))));
    Simulation::new(LARGE_FLEET, LARGE_FLEET_SEED, faults)
}
