//! Parsing of the lines that a balancer's membership driver logs.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::balancers::{MemberLogLine, parse_member_log};
use frostkeel_lab::history::EventKind;
use frostkeel_membership::{MemberState, Name};

#[test]
fn parses_membership_lines_regardless_of_the_program_name() {
    for program in ["maplehook", "frostkeel_balancer"] {
        let line = format!(
            "2026-01-01T00:00:00Z INFO {program}::members: member name=b3 standing=gone \
             incarnation=40 turn=2 version=7"
        );
        let expected = EventKind::ViewChanged {
            observer: 1,
            name: Name::new("b3").expect("a name"),
            incarnation: 42,
            state: MemberState::Dead,
            version: 7,
        };
        assert_eq!(
            parse_member_log(1, &line),
            Some(MemberLogLine::Event(expected))
        );
    }
    let other = "2026-01-01T00:00:00Z INFO frostkeel_balancer::serve: listen=127.0.0.1:1";
    assert_eq!(parse_member_log(1, other), None);
}
