//! Tests with datagrams that are invalid or were corrupted in transit.

use crate::support::{
    FLEET, MAX_MEMBERS, PEER_COUNT, correct_checksum, encode_gossip, identity, new_membership,
};
use foca::{Member, State};
use frostkeel_membership::wire::{self, Message};
use frostkeel_membership::{
    DropReason, Identity, MAX_DATAGRAM_LEN, Membership, Output, PeerIndex, Phase,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

#[test]
fn invalid_datagrams_are_dropped_and_counted_by_reason() {
    let mut receiver = new_membership(0);
    let valid = encode_gossip(identity(1, 0), receiver.identity(), &[]);
    let mut foreign_fleet = valid.clone();
    foreign_fleet[2] = b'T';
    let unsupported_version = [&[9], &valid[1..]].concat();
    let mut flipped_bit = valid.clone();
    *flipped_bit.last_mut().expect("the datagram is not empty") ^= 1;
    let update_with_unknown_peer = [Member::alive(identity(9, 0))];
    let unknown_peer = encode_gossip(
        identity(1, 0),
        receiver.identity(),
        &update_with_unknown_peer,
    );
    let future_incarnation = encode_gossip(identity(1, 1 << 40), receiver.identity(), &[]);
    let too_long = vec![1; MAX_DATAGRAM_LEN + 1];
    for (datagram, source, reason) in [
        (&foreign_fleet, 1, DropReason::ForeignFleet),
        (&unsupported_version, 1, DropReason::UnsupportedVersion),
        (&flipped_bit, 1, DropReason::Malformed),
        (&too_long, 1, DropReason::Malformed),
        (&Vec::new(), 1, DropReason::Malformed),
        (&valid, 2, DropReason::SenderMismatch),
        (&unknown_peer, 1, DropReason::Implausible),
        (&future_incarnation, 1, DropReason::Implausible),
    ] {
        let result = receiver.handle_datagram(Duration::ZERO, PeerIndex(source), datagram);
        assert_eq!(result, Err(reason));
    }
    receiver.record_unknown_sender();
    let counters = receiver.counters();
    assert_eq!(counters.foreign_fleet, 1);
    assert_eq!(counters.unsupported_version, 1);
    assert_eq!(counters.malformed, 3);
    assert_eq!(counters.sender_mismatch, 1);
    assert_eq!(counters.implausible, 2);
    assert_eq!(counters.unknown_sender, 1);
    assert_eq!(receiver.view().len(), 1, "no member has become known");
    let result = receiver.handle_datagram(Duration::ZERO, PeerIndex(1), &valid);
    result.expect("a valid datagram");
    assert_eq!(receiver.view().len(), 2);
}

/// Returns valid datagrams of several kinds, from which mutated ones are derived.
fn datagrams_to_mutate(receiver: Identity) -> [Vec<u8>; 6] {
    let states = [State::Alive, State::Suspect, State::Down];
    let update =
        |number: u16| Member::new(identity(number, 3), number, states[usize::from(number) % 3]);
    let updates: Vec<Member<Identity>> = (2..7).map(update).collect();
    let from = identity(1, 0);
    let messages = [
        Message::Join { from },
        Message::CheckAck {
            nonce: 3,
            from,
            digest: 9,
        },
        Message::ViewMembers {
            from,
            requested_in_return: None,
            members: updates.clone(),
        },
        Message::ViewHashes {
            from,
            prefix: Default::default(),
            hashes: [7; 16],
        },
    ];
    let [join, check_ack, members, hashes] =
        messages.map(|message| wire::encode_message(FLEET, &message));
    [
        encode_gossip(from, receiver, &updates),
        encode_gossip(from, receiver, &updates[..1]),
        join,
        check_ack,
        members,
        hashes,
    ]
}

/// Flips one to three bits of a datagram, and truncates it with a probability of 10 %.
fn mutate(datagram: &mut Vec<u8>, rng: &mut StdRng) {
    for _ in 0..rng.random_range(1..4) {
        let index = rng.random_range(0..datagram.len());
        datagram[index] ^= 1 << rng.random_range(0..8);
    }
    if rng.random::<f64>() < 0.1 {
        datagram.truncate(rng.random_range(0..datagram.len()));
    }
}

/// Asserts that all datagrams to send have an existing peer as the receiver and a permitted length.
fn assert_sends_are_valid(membership: &mut Membership) {
    while let Some(output) = membership.poll_output() {
        if let Output::Send { to, datagram } = output {
            assert!(to.0 < PEER_COUNT && datagram.len() <= MAX_DATAGRAM_LEN);
        }
    }
}

/// The fuzz target `fuzz/fuzz_targets/datagram.rs` checks the same properties with arbitrary bytes.
#[test]
fn a_million_mutated_datagrams_cause_no_panic_and_no_unbounded_growth() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut receiver = new_membership(0);
    let valid_datagrams = datagrams_to_mutate(receiver.identity());
    let mut now = Duration::from_secs(1);
    for round in 0..1_000_000 {
        let mut datagram = valid_datagrams[rng.random_range(0..valid_datagrams.len())].clone();
        mutate(&mut datagram, &mut rng);
        // The checksum of every third datagram is corrected, so that its content is decoded.
        if round % 3 == 0 {
            correct_checksum(&mut datagram);
        }
        let _ = receiver.handle_datagram(now, PeerIndex(1), &datagram);
        if round % 1000 == 0 {
            now += Duration::from_millis(100);
            if receiver.next_timeout().is_some_and(|due_at| due_at <= now) {
                receiver.handle_timeout(now);
            }
        }
        assert_sends_are_valid(&mut receiver);
        if receiver.phase() != Phase::Member {
            receiver = new_membership(0);
        }
        assert!(receiver.view().len() <= MAX_MEMBERS + 1);
    }
    assert!(receiver.counters().malformed > 0);
}
