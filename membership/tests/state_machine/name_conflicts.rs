//! Tests of conflicts between two processes that claim the same name.

use crate::support::{BASE_INCARNATION, FLEET, encode_gossip, identity, new_membership};
use foca::Member;
use frostkeel_membership::wire::{self, Message};
use frostkeel_membership::{Identity, Membership, Output, PeerIndex, Phase};
use std::time::Duration;

fn outputs(membership: &mut Membership) -> Vec<Output> {
    std::iter::from_fn(|| membership.poll_output()).collect()
}

/// Delivers a datagram in which another member reports a claim to the receiver's name.
fn report_claim(receiver: &mut Membership, now: Duration, claimant: Identity) {
    let datagram = encode_gossip(
        identity(1, 0),
        receiver.identity(),
        &[Member::alive(claimant)],
    );
    receiver
        .handle_datagram(now, PeerIndex(1), &datagram)
        .expect("a valid datagram");
}

/// The process with the earlier incarnation must report that it yields, and send nothing more.
#[test]
fn the_later_incarnation_retains_the_name_and_the_earlier_one_yields() {
    let mut earlier = new_membership(0);
    let later = Identity {
        peer: PeerIndex(5),
        incarnation: BASE_INCARNATION + 60_000,
        ..earlier.identity()
    };
    report_claim(&mut earlier, Duration::from_secs(60), later);
    assert!(outputs(&mut earlier).contains(&Output::YieldedTo(later)));
    assert_eq!(earlier.phase(), Phase::Yielded);
    assert_eq!(earlier.next_timeout(), None);
    let join = Message::Join {
        from: identity(1, 0),
    };
    let datagram = wire::encode_message(FLEET, &join);
    let received = earlier.handle_datagram(Duration::from_secs(61), PeerIndex(1), &datagram);
    received.expect("a valid datagram");
    assert_eq!(outputs(&mut earlier), []);
}

/// If the clock is set back before a restart, the restarted process has an earlier incarnation than
/// the process that it replaces. It must nevertheless retain its name, by taking the incarnation
/// after that of the replaced process. The number of times that it may do so is limited.
#[test]
fn a_process_restarted_with_its_clock_set_back_supersedes_the_process_it_replaces() {
    let mut restarted = new_membership(0);
    let replaced = Identity {
        incarnation: BASE_INCARNATION + 60_000,
        ..restarted.identity()
    };
    report_claim(&mut restarted, Duration::from_millis(100), replaced);
    assert!(outputs(&mut restarted).contains(&Output::SupersededClaimant(replaced)));
    assert_eq!(restarted.phase(), Phase::Member);
    assert_eq!(restarted.identity().incarnation, replaced.incarnation + 1);
    let own_id = restarted.identity();
    for minutes in 2..9 {
        let claimant = Identity {
            incarnation: BASE_INCARNATION + minutes * 60_000,
            ..own_id
        };
        report_claim(&mut restarted, Duration::from_millis(200), claimant);
    }
    assert_eq!(
        restarted.phase(),
        Phase::Yielded,
        "the number of claimants that a process supersedes is limited"
    );
}
