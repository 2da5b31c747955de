//! The files that a run writes: `events.jsonl`, `result.json` and the HTML page must be identical
//! to the committed ones.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use common::assert_matches_fixture;
use frostkeel_lab::balancers::CoreUsage;
use frostkeel_lab::checks::membership_figures::MembershipFigures;
use frostkeel_lab::checks::{Rule, Violation};
use frostkeel_lab::history::{
    AttemptFailure, EndpointState, Event, EventKind, ProcessState, UpstreamReply,
};
use frostkeel_lab::measurements::figures::{ClassCounts, Figures, RequestCounts, SecondFigures};
use frostkeel_lab::reports::{size_plot, write_report};
use frostkeel_lab::runs::simulation::SimulationOutcome;
use frostkeel_lab::runs::{LabOverhead, MembershipOutcome, RunOutcome};
use frostkeel_membership::{MemberState, Name};
use std::path::Path;

const PROCESS_STATES: [ProcessState; 12] = [
    ProcessState::Ready,
    ProcessState::Killed,
    ProcessState::ShutdownRequested,
    ProcessState::Paused,
    ProcessState::Resumed,
    ProcessState::Exited,
    ProcessState::Crashed,
    ProcessState::MemoryLimitExceeded,
    ProcessState::SurvivedKill,
    ProcessState::Overloaded,
    ProcessState::Degraded,
    ProcessState::Recovered,
];

const MEMBER_STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Left,
    MemberState::Dead,
];

const ENDPOINT_STATES: [EndpointState; 3] = [
    EndpointState::Ready,
    EndpointState::Terminating,
    EndpointState::Removed,
];

const FAILURES: [AttemptFailure; 3] = [
    AttemptFailure::NoConnection,
    AttemptFailure::ConnectionClosed,
    AttemptFailure::TimedOut,
];

/// Returns one event of each kind that has no enumeration; two faults, with and without a duration.
fn plain_events() -> Vec<EventKind> {
    vec![
        EventKind::RequestDue {
            request: 3,
            class: 1,
        },
        EventKind::AttemptSent {
            id: 24,
            request: 3,
            retry: 0,
            class: 1,
            tenant: 2,
            balancer: 0,
        },
        EventKind::ResponseReceived {
            id: 24,
            status: 200,
        },
        EventKind::UpstreamReceived {
            id: 24,
            upstream: 4,
        },
        EventKind::DiscoveryCalled { balancer: 1 },
        EventKind::UpstreamLoad {
            upstream: 4,
            in_flight: 7,
            utilization: 0.5,
        },
        EventKind::ClientConnectionsReset { balancer: 1 },
        EventKind::NameYielded { balancer: 1 },
        EventKind::FaultStarted {
            description: "u1: killed, back after 2s".into(),
            duration_s: Some(2.0),
        },
        EventKind::FaultStarted {
            description: "b1: asked to leave, started again".into(),
            duration_s: None,
        },
    ]
}

/// Returns events of every kind, with every value of each of its enumerations.
fn events() -> Vec<Event> {
    let mut all = plain_events();
    all.extend(FAILURES.map(|failure| EventKind::AttemptFailed { id: 25, failure }));
    let replies = [UpstreamReply::Served, UpstreamReply::Rejected];
    all.extend(replies.map(|reply| EventKind::UpstreamReplied {
        id: 24,
        upstream: 4,
        reply,
    }));
    all.extend(ENDPOINT_STATES.map(|state| EventKind::EndpointNotified {
        balancer: 1,
        upstream: 4,
        state,
    }));
    all.extend(PROCESS_STATES.map(|state| EventKind::BalancerState { balancer: 1, state }));
    all.extend(PROCESS_STATES.map(|state| EventKind::UpstreamState { upstream: 4, state }));
    all.extend(PROCESS_STATES.map(|state| EventKind::RegistryState { state }));
    all.extend(MEMBER_STATES.map(|state| EventKind::ViewChanged {
        observer: 0,
        name: Name::new("b1").expect("a name"),
        incarnation: 1_700_000_000_001,
        state,
        version: 9,
    }));
    (0..)
        .zip(all)
        .map(|(k, kind)| Event {
            at_us: 250_000 * k,
            kind,
        })
        .collect()
}

fn counts(requested: u32) -> RequestCounts {
    RequestCounts {
        requested,
        in_time: requested - 4,
        late: 2,
        rejected: 1,
        failed: 1,
    }
}

fn violations() -> Vec<Violation> {
    let rules = [
        Rule::ExactlyOneResponse,
        Rule::ServedByUpstream,
        Rule::AtMostOnce,
        Rule::AttemptLimit,
        Rule::DrainRespected,
        Rule::SlowStartRespected,
        Rule::MembershipAccurate,
        Rule::ProcessHealthy,
    ];
    let violation = |(at_us, rule)| {
        let description = "b1: Crashed at 0.001 s".into();
        Violation {
            rule,
            at_us,
            description,
        }
    };
    (0..).zip(rules).map(violation).collect()
}

fn membership_figures() -> MembershipFigures {
    MembershipFigures {
        kill_count: 1,
        leave_count: 2,
        detection_p50_s: 3.5,
        detection_p99_s: 4.5,
        detection_max_s: 5.5,
        leave_detection_max_s: 0.25,
        undetected_count: 3,
        running_declared_down_count: 4,
        paused_declared_down_count: 5,
        left_declared_dead_count: 6,
        suspicion_count: 7,
        converged_since_s: Some(8.5),
        divergent_view_count: 9,
        differences: vec!["b1 has b2 as None, most have Some(5)".into()],
    }
}

fn figures() -> Figures {
    let second = |requested| SecondFigures {
        counts: counts(requested),
        p50_ms: 120.5,
        p99_ms: 850.25,
        utilization: 0.375,
    };
    Figures {
        served_share: 0.75,
        worst_class_share: 0.5,
        client_attempts_per_request: 1.25,
        upstream_attempts_per_request: 1.5,
        p50_ms: 100.5,
        p90_ms: 400.25,
        p99_ms: 900.125,
        max_discovery_calls: 2,
        classes: vec![ClassCounts {
            class: "station-status".into(),
            counts: counts(40),
        }],
        seconds: (10..20).map(second).collect(),
    }
}

fn outcome() -> RunOutcome {
    RunOutcome {
        experiment: "forms & <signs>".into(),
        seed: 7,
        balancer: "target/balancer".into(),
        seconds: 10.0,
        is_interrupted: true,
        void_reason: Some("the lab was late: p99 21.0 ms of 20 allowed".into()),
        violations: violations(),
        missed_expectations: vec!["served 0.500 of 0.950 expected".into()],
        figures: figures(),
        max_memory_mb: 12.5,
        balancer_cores: CoreUsage {
            mean: 0.125,
            max: 0.25,
        },
        membership: Some(MembershipOutcome {
            figures: membership_figures(),
            datagrams_per_s: 10.5,
            bytes_per_s: 900.25,
        }),
        lab: LabOverhead {
            late_p50_ms: 0.5,
            late_p99_ms: 1.5,
            late_max_ms: 2.5,
            cores: 0.75,
            dropped_event_count: 0,
        },
        events: events(),
    }
}

#[test]
fn files_of_a_run_match_the_committed_ones() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("forms");
    std::fs::create_dir_all(&folder).expect("a folder");
    let page = write_report(&outcome(), &folder).expect("written");
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).expect("a file");
    let events = include_str!("data/events.jsonl");
    assert_matches_fixture("forms-events.jsonl", &read("events.jsonl"), events);
    let result = include_str!("data/result.json");
    assert_matches_fixture("forms-result.json", &read("result.json"), result);
    let page = std::fs::read_to_string(page).expect("a page");
    assert_matches_fixture("forms-report.html", &page, include_str!("data/report.html"));
}

#[test]
fn plot_over_fleet_sizes_matches_the_committed_one() {
    let of_size = |member_count: u32| SimulationOutcome {
        member_count,
        seed: 1,
        seconds: 60.0,
        datagrams_per_s: 2.5,
        bytes_per_s: 400.0,
        figures: membership_figures(),
        violations: Vec::new(),
    };
    let plot = size_plot(&[of_size(10), of_size(100), of_size(1000)]);
    assert_matches_fixture("forms-sizes.svg", &plot, include_str!("data/sizes.svg"));
}
