//! The rules for a balancer, applied to histories that comply with them and to histories that
//! violate them.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::checks::{Rule, balancer_rules};
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::history::{
    AttemptFailure, ClientAttemptId, EndpointState, Event, EventKind, ProcessState, UpstreamReply,
};

/// Index of the class whose requests must not run twice.
const AT_MOST_ONCE: u16 = 3;

fn sent(id: ClientAttemptId, class: u16) -> EventKind {
    EventKind::AttemptSent {
        id,
        request: id as u32,
        retry: 0,
        class,
        tenant: 0,
        balancer: 1,
    }
}

fn reached(id: ClientAttemptId, upstream: u32) -> EventKind {
    EventKind::UpstreamReceived { id, upstream }
}

fn replied(id: ClientAttemptId, upstream: u32, reply: UpstreamReply) -> EventKind {
    EventKind::UpstreamReplied {
        id,
        upstream,
        reply,
    }
}

fn response(id: ClientAttemptId, status: u16) -> EventKind {
    EventKind::ResponseReceived { id, status }
}

fn connection_closed(id: ClientAttemptId) -> EventKind {
    EventKind::AttemptFailed {
        id,
        failure: AttemptFailure::ConnectionClosed,
    }
}

fn notified(state: EndpointState) -> EventKind {
    EventKind::EndpointNotified {
        balancer: 1,
        upstream: 2,
        state,
    }
}

fn balancer_state(balancer: u32, state: ProcessState) -> EventKind {
    EventKind::BalancerState { balancer, state }
}

/// Returns the rules that a history violates; the times of its events are in milliseconds.
fn violated_rules(events: Vec<(u64, EventKind)>) -> Vec<Rule> {
    let text = "name = \"x\"\nseconds = 9.0\n[fleet]\nbalancers = 2\nupstreams = 4\n";
    let experiment = Experiment::parse(text).expect("a valid experiment");
    let events = events.into_iter().map(|(at_ms, kind)| Event {
        at_us: at_ms * 1000,
        kind,
    });
    let violations = balancer_rules::violations(&experiment, &events.collect::<Vec<_>>());
    violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_compliant_history_has_no_violation() {
    let events = vec![
        (0, sent(1, AT_MOST_ONCE)),
        (10, reached(1, 0)),
        (11, replied(1, 0, UpstreamReply::Rejected)),
        (12, reached(1, 2)),
        (300, replied(1, 2, UpstreamReply::Served)),
        (310, response(1, 200)),
        (400, notified(EndpointState::Terminating)),
        (1000, sent(2, 0)),
        (1010, reached(2, 2)),
        (1020, replied(2, 2, UpstreamReply::Served)),
        (1025, response(2, 200)),
        (2000, sent(3, 0)),
        (2010, balancer_state(1, ProcessState::Killed)),
        (2020, connection_closed(3)),
        (3000, sent(4, 0)),
        (3001, response(4, 503)),
    ];
    assert_eq!(violated_rules(events), []);
}

#[test]
fn a_kill_excuses_only_requests_in_flight() {
    let killed = balancer_state(1, ProcessState::Killed);
    let in_flight = vec![
        (0, sent(1, 0)),
        (500, killed.clone()),
        (510, connection_closed(1)),
    ];
    assert_eq!(violated_rules(in_flight), []);
    let later = vec![
        (0, killed),
        (3000, sent(1, 0)),
        (3100, connection_closed(1)),
    ];
    assert_eq!(violated_rules(later), [Rule::ExactlyOneResponse]);
}

#[test]
fn each_violated_rule_is_reported() {
    let two_responses = vec![
        (0, sent(1, 0)),
        (5, response(1, 503)),
        (6, response(1, 503)),
    ];
    let four_attempts = (0..5).map(|k| (k, if k == 0 { sent(1, 0) } else { reached(1, 0) }));
    let removed = notified(EndpointState::Removed);
    let overloaded = EventKind::UpstreamState {
        upstream: 3,
        state: ProcessState::Overloaded,
    };
    for (rule, events) in [
        (Rule::ExactlyOneResponse, two_responses),
        (
            Rule::ExactlyOneResponse,
            vec![(0, sent(1, 0)), (5, connection_closed(1))],
        ),
        (
            Rule::ServedByUpstream,
            vec![(0, sent(1, 0)), (5, response(1, 200))],
        ),
        (
            Rule::AtMostOnce,
            vec![
                (0, sent(1, AT_MOST_ONCE)),
                (5, reached(1, 0)),
                (9, reached(1, 2)),
            ],
        ),
        (Rule::AttemptLimit, four_attempts.collect()),
        (
            Rule::DrainRespected,
            vec![(0, removed), (1000, sent(1, 0)), (1200, reached(1, 2))],
        ),
        (Rule::SlowStartRespected, vec![(7, overloaded)]),
        (
            Rule::ProcessHealthy,
            vec![(7, balancer_state(0, ProcessState::Crashed))],
        ),
    ] {
        assert_eq!(violated_rules(events), [rule], "{rule:?}");
    }
}
