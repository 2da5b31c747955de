//! Tests of the comparison of two views by a tree of hashes.
#![expect(
    clippy::expect_used,
    reason = "a test fails where its input cannot be set up"
)]

use frostkeel_membership::hash_tree::{
    FollowUp, HashedMember, MAX_DEPTH, MAX_MEMBERS_SENT, PositionPrefix,
};
use frostkeel_membership::{Identity, Name, PeerIndex};
use rand::SeedableRng;
use rand::rngs::StdRng;

const MEMBER_COUNT: u64 = 2000;
/// The number of the only member whose incarnation differs between the two views.
const DIFFERING_MEMBER: usize = 700;

fn hashed_member(number: u64, incarnation: u64) -> HashedMember {
    let name = Name::new(&format!("m{number}")).expect("a valid name");
    HashedMember::new(&Identity {
        name,
        peer: PeerIndex(0),
        incarnation,
        rejoin_count: 0,
        is_leaving: false,
    })
}

#[test]
fn following_differing_hashes_finds_the_member_that_differs() {
    let own_members: Vec<HashedMember> = (0..MEMBER_COUNT)
        .map(|number| hashed_member(number, 1))
        .collect();
    let mut peer_members = own_members.clone();
    peer_members[DIFFERING_MEMBER] = hashed_member(DIFFERING_MEMBER as u64, 2);
    let differing_position = own_members[DIFFERING_MEMBER].position;
    let mut prefix = PositionPrefix::default();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..MAX_DEPTH {
        assert!(prefix.is_valid() && prefix.contains(differing_position));
        let own_hashes = prefix.child_hashes(own_members.iter().copied());
        let peer_hashes = prefix.child_hashes(peer_members.iter().copied());
        let positions = own_members.iter().map(|member| member.position);
        match prefix.follow_ups(&own_hashes, &peer_hashes, positions, &mut rng)[..] {
            [FollowUp::SendHashes(child)] => prefix = child,
            [FollowUp::SendMembers(child)] => {
                assert!(child.contains(differing_position));
                let sent = own_members
                    .iter()
                    .filter(|member| child.contains(member.position));
                assert!((1..=MAX_MEMBERS_SENT).contains(&sent.count()));
                return;
            }
            ref other => panic!("exactly one child differs, not {other:?}"),
        }
    }
    panic!("the members were never sent");
}
