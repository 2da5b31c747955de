//! Tests of the view: convergence and versions.

use crate::support::{encode_gossip, identity, name, new_membership};
use foca::{Member, State};
use frostkeel_membership::{Identity, MemberState, Output, PeerIndex};
use std::time::Duration;

/// Updates about one member, and the identity and state of that member after all of them.
struct Case {
    updates: Vec<Member<Identity>>,
    final_id: Identity,
    final_state: MemberState,
}

/// Returns all permutations of a sequence.
fn permutations<T: Clone>(items: &[T]) -> Vec<Vec<T>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for index in 0..items.len() {
        let mut rest = items.to_vec();
        let first = rest.remove(index);
        all.extend(permutations(&rest).into_iter().map(|mut order| {
            order.insert(0, first.clone());
            order
        }));
    }
    all
}

fn convergence_cases() -> [Case; 4] {
    let (earlier, later) = (identity(3, 1), identity(3, 2));
    let leaving = Identity {
        is_leaving: true,
        ..earlier
    };
    [
        Case {
            updates: vec![
                Member::new(earlier, 0, State::Alive),
                Member::new(earlier, 0, State::Suspect),
                Member::new(earlier, 1, State::Alive),
                Member::new(earlier, 1, State::Suspect),
                Member::new(earlier, 2, State::Alive),
            ],
            final_id: earlier,
            final_state: MemberState::Alive,
        },
        Case {
            updates: vec![
                Member::new(earlier, 0, State::Alive),
                Member::new(earlier, 3, State::Suspect),
                Member::new(earlier, 1, State::Down),
                Member::new(later, 0, State::Alive),
                Member::new(earlier, 9, State::Alive),
            ],
            final_id: later,
            final_state: MemberState::Alive,
        },
        Case {
            updates: vec![
                Member::new(earlier, 0, State::Alive),
                Member::new(earlier, 1, State::Suspect),
                Member::new(leaving, 0, State::Down),
                Member::new(earlier, 7, State::Alive),
                Member::new(earlier, 7, State::Down),
            ],
            final_id: leaving,
            final_state: MemberState::Left,
        },
        Case {
            updates: vec![
                Member::new(earlier, 0, State::Alive),
                Member::new(later, 0, State::Alive),
                Member::new(later, 0, State::Suspect),
                Member::new(later, 0, State::Down),
                Member::new(leaving, 0, State::Down),
            ],
            final_id: later,
            final_state: MemberState::Dead,
        },
    ]
}

/// Updates in any order, each received once or several times, must result in the same view. The
/// later incarnation takes precedence, dead takes precedence over alive within one incarnation, and
/// an older update never reverts a leave.
#[test]
fn updates_in_any_order_converge_to_the_same_view() {
    for case in convergence_cases() {
        for order in permutations(&case.updates) {
            let mut receiver = new_membership(0);
            // The first update makes the member known, because the death of an unknown member is
            // not reported.
            let known = case.updates[0].clone();
            for update in std::iter::once(&known).chain(&order).chain(&order[..2]) {
                let datagram = encode_gossip(
                    identity(1, 0),
                    receiver.identity(),
                    std::slice::from_ref(update),
                );
                let received =
                    receiver.handle_datagram(Duration::from_secs(1), PeerIndex(1), &datagram);
                received.expect("a valid datagram");
            }
            let record = receiver.view().get(&name(3)).expect("the member is known");
            let expected = (case.final_id, case.final_state);
            assert_eq!((record.id, record.state), expected, "after {order:?}");
        }
    }
}

#[test]
fn each_view_change_is_reported_and_increments_the_version() {
    let mut receiver = new_membership(0);
    for number in 1..6 {
        let update = Member::alive(identity(number + 1, 0));
        let datagram = encode_gossip(identity(number, 0), receiver.identity(), &[update]);
        let received =
            receiver.handle_datagram(Duration::from_secs(1), PeerIndex(number), &datagram);
        received.expect("a valid datagram");
    }
    let mut versions = Vec::new();
    while let Some(output) = receiver.poll_output() {
        if let Output::ViewChanged(change) = output {
            versions.push(change.version);
        }
    }
    assert_eq!(versions, (1..=7).collect::<Vec<u64>>());
    assert_eq!(receiver.view().version(), 7);
    assert_eq!(receiver.view().live_count(), 7);
}
