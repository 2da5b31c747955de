//! What a play writes: `events.jsonl`, `result.json` and the page, byte for byte as committed.

use frostkeel_lab::balancers::CoreUsage;
use frostkeel_lab::checks::membership_figures::MembershipFigures;
use frostkeel_lab::checks::{Rule, Violation};
use frostkeel_lab::history::{
    AttemptFailure, EndpointState, Event, EventKind, ProcessState, UpstreamReply,
};
use frostkeel_lab::measurements::figures::{ClassCounts, Figures, RequestCounts, SecondFigures};
use frostkeel_lab::simulated::Simulated;
use frostkeel_lab::{LabItself, Members, Played, report};
use frostkeel_membership::{MemberState, Name};
use std::path::Path;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Every kind of event, with every value of each of its enumerations.
fn events() -> Vec<Event> {
    let mut all = vec![
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
    ];
    all.extend(
        [
            AttemptFailure::NoConnection,
            AttemptFailure::ConnectionClosed,
            AttemptFailure::TimedOut,
        ]
        .map(|how| EventKind::AttemptFailed {
            id: 25,
            failure: how,
        }),
    );
    let replies = [UpstreamReply::Served, UpstreamReply::Rejected];
    all.extend(replies.map(|reply| EventKind::UpstreamReplied {
        id: 24,
        upstream: 4,
        reply,
    }));
    let listed = [
        EndpointState::Ready,
        EndpointState::Terminating,
        EndpointState::Removed,
    ];
    all.extend(listed.map(|listed| EventKind::EndpointNotified {
        balancer: 1,
        upstream: 4,
        state: listed,
    }));
    let lifecycle = [
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
    all.extend(lifecycle.map(|became| EventKind::BalancerState {
        balancer: 1,
        state: became,
    }));
    all.extend(lifecycle.map(|became| EventKind::UpstreamState {
        upstream: 4,
        state: became,
    }));
    all.extend(lifecycle.map(|became| EventKind::RegistryState { state: became }));
    let states = [
        MemberState::Present,
        MemberState::Suspect,
        MemberState::Left,
        MemberState::Gone,
    ];
    all.extend(states.map(|standing| EventKind::ViewChanged {
        observer: 0,
        name: name("b1"),
        incarnation: 1_700_000_000_001,
        state: standing,
        version: 9,
    }));
    (0..)
        .zip(all)
        .map(|(k, what)| Event {
            at_us: 250_000 * k,
            kind: what,
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

fn breaches() -> Vec<Violation> {
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
    (0..)
        .zip(rules)
        .map(|(at, rule)| Violation {
            rule,
            at_us: at,
            description: "b1: Crashed at 0.001 s".into(),
        })
        .collect()
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
        false_failure_count: 4,
        paused_failure_count: 5,
        leave_as_failure_count: 6,
        suspicion_count: 7,
        converged_since_s: Some(8.5),
        divergent_view_count: 9,
        differences: vec!["b1 has b2 as None, most have Some(5)".into()],
    }
}

fn outcome() -> Played {
    let second = |requested| SecondFigures {
        counts: counts(requested),
        p50_ms: 120.5,
        p99_ms: 850.25,
        utilization: 0.375,
    };
    Played {
        experiment: "forms & <signs>".into(),
        seed: 7,
        balancer: "target/balancer".into(),
        seconds: 10.0,
        cut_short: true,
        void: Some("the lab was late: p99 21.0 ms of 20 allowed".into()),
        broken: breaches(),
        missed: vec!["served 0.500 of 0.950 expected".into()],
        figures: Figures {
            served_share: 0.75,
            worst_class_share: 0.5,
            client_attempts: 1.25,
            upstream_attempts: 1.5,
            p50_ms: 100.5,
            p90_ms: 400.25,
            p99_ms: 900.125,
            max_discovery_calls: 2,
            classes: vec![ClassCounts {
                class: "station-status".into(),
                counts: counts(40),
            }],
            seconds: (10..20).map(second).collect(),
        },
        memory_mb: 12.5,
        balancer_cores: CoreUsage {
            mean: 0.125,
            max: 0.25,
        },
        members: Some(Members {
            figures: membership_figures(),
            datagrams: 10.5,
            bytes: 900.25,
        }),
        lab: LabItself {
            late_p50_ms: 0.5,
            late_p99_ms: 1.5,
            late_max_ms: 2.5,
            cores: 0.75,
            dropped: 0,
        },
        events: events(),
    }
}

/// Holds a file against the committed one; what differs is left where it can be looked at.
fn compare(name: &str, actual: &str, committed: &str) {
    if actual != committed {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, actual).expect("written");
        let differs = actual.lines().zip(committed.lines()).find(|(a, c)| a != c);
        panic!("{name} has changed, see {}: {differs:?}", path.display());
    }
}

#[test]
fn files_of_a_play_keep_their_keys_and_forms() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("forms");
    std::fs::create_dir_all(&folder).expect("a folder");
    let page = report::write(&outcome(), &folder).expect("written");
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).expect("a file");
    compare(
        "forms-events.jsonl",
        &read("events.jsonl"),
        include_str!("data/events.jsonl"),
    );
    compare(
        "forms-result.json",
        &read("result.json"),
        include_str!("data/result.json"),
    );
    let page = std::fs::read_to_string(page).expect("a page");
    compare("forms-report.html", &page, include_str!("data/report.html"));
}

#[test]
fn the_plot_over_fleet_sizes_keeps_its_form() {
    let of_size = |members: u32| Simulated {
        members,
        seed: 1,
        seconds: 60.0,
        datagrams: 2.5,
        bytes: 400.0,
        figures: membership_figures(),
        broken: Vec::new(),
    };
    let plot = report::over_sizes(&[of_size(10), of_size(100), of_size(1000)]);
    compare("forms-sizes.svg", &plot, include_str!("data/sizes.svg"));
}
