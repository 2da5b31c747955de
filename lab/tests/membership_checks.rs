//! The checks of membership, applied to sequences of view changes that the tests construct.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::checks::membership_checks::MembershipChecker;
use frostkeel_lab::checks::membership_figures::MembershipFigures;
use frostkeel_lab::history::{EventKind, ProcessState};
use frostkeel_membership::{MemberState, Name};

/// The incarnation of every member.
const INCARNATION: u64 = 5;

fn view_change(observer: u32, member: u32, state: MemberState, version: u64) -> EventKind {
    let name = Name::new(&format!("b{member}")).expect("a name");
    EventKind::ViewChanged {
        observer,
        name,
        incarnation: INCARNATION,
        state,
        version,
    }
}

fn process_state(balancer: u32, state: ProcessState) -> EventKind {
    EventKind::BalancerState { balancer, state }
}

/// Returns the figures and the number of violations of a history in which three members learn of
/// each other at 1 s, and the events of a test case then occur at the given times in seconds.
fn check_views(case_events: Vec<(u64, EventKind)>) -> (MembershipFigures, usize) {
    let mut checker = MembershipChecker::default();
    for observer in 0..3 {
        let members = [observer, (observer + 1) % 3, (observer + 2) % 3];
        for (version, member) in (1..).zip(members) {
            let change = view_change(observer, member, MemberState::Alive, version);
            checker.observe(1_000_000, &change);
        }
    }
    case_events
        .into_iter()
        .for_each(|(at_s, kind)| checker.observe(at_s * 1_000_000, &kind));
    let report = checker.finish();
    (report.figures, report.violations.len())
}

#[test]
fn a_kill_is_detected_once_all_survivors_know() {
    let (figures, violations) = check_views(vec![
        (10, process_state(2, ProcessState::Killed)),
        (13, view_change(0, 2, MemberState::Dead, 4)),
        (15, view_change(1, 2, MemberState::Dead, 4)),
    ]);
    assert_eq!((figures.kill_count, figures.detection_max_s), (1, 5.0));
    assert_eq!((figures.undetected_count, violations), (0, 0));
    assert_eq!(
        (figures.converged_since_s, figures.divergent_view_count),
        (Some(15.0), 0)
    );
}

#[test]
fn a_live_process_declared_dead_is_a_violation() {
    let (figures, violations) = check_views(vec![(10, view_change(0, 2, MemberState::Dead, 4))]);
    assert_eq!((figures.running_declared_down_count, violations), (1, 1));
    assert_eq!(
        (figures.divergent_view_count, figures.converged_since_s),
        (1, None)
    );
}

#[test]
fn a_paused_process_declared_dead_is_counted_separately() {
    let (figures, _) = check_views(vec![
        (9, process_state(2, ProcessState::Paused)),
        (10, view_change(0, 2, MemberState::Dead, 4)),
    ]);
    assert_eq!(
        (
            figures.running_declared_down_count,
            figures.paused_declared_down_count
        ),
        (0, 1)
    );
}

#[test]
fn a_skipped_version_is_a_violation() {
    let (figures, violations) = check_views(vec![(10, view_change(0, 2, MemberState::Suspect, 6))]);
    assert_eq!((figures.suspicion_count, violations), (1, 1));
}

#[test]
fn a_kill_that_a_survivor_never_knows_is_undetected() {
    let (figures, _) = check_views(vec![
        (10, process_state(2, ProcessState::Killed)),
        (13, view_change(0, 2, MemberState::Dead, 4)),
    ]);
    assert_eq!((figures.kill_count, figures.undetected_count), (1, 1));
}

#[test]
fn a_process_declared_dead_after_a_graceful_leave_is_counted() {
    let (figures, _) = check_views(vec![
        (10, process_state(2, ProcessState::ShutdownRequested)),
        (13, view_change(0, 2, MemberState::Dead, 4)),
    ]);
    assert_eq!(
        (figures.leave_count, figures.left_declared_dead_count),
        (1, 1)
    );
}
