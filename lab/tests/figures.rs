//! The figures of a run, computed from histories that the tests construct.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::history::{Event, EventKind, client_attempt_id};
use frostkeel_lab::measurements::figures::{
    Recovery, RequestCounts, SecondFigures, figures, recovery,
};

fn sent(request: u32, retry: u8, class: u16) -> EventKind {
    let id = client_attempt_id(request, retry);
    EventKind::AttemptSent {
        id,
        request,
        retry,
        class,
        tenant: 0,
        balancer: 0,
    }
}

fn response(request: u32, retry: u8, status: u16) -> EventKind {
    EventKind::ResponseReceived {
        id: client_attempt_id(request, retry),
        status,
    }
}

fn due(request: u32, class: u16) -> EventKind {
    EventKind::RequestDue { request, class }
}

#[test]
fn counts_a_request_once_with_all_its_attempts() {
    let text = "name = \"x\"\nseconds = 9.0\n[fleet]\nbalancers = 2\nupstreams = 4\n";
    let experiment = Experiment::parse(text).expect("a valid experiment");
    let events = [
        (0, due(0, 0)),
        (0, sent(0, 0, 0)),
        (100, response(0, 0, 503)),
        (900, sent(0, 1, 0)),
        (1150, response(0, 1, 200)),
        (2000, due(1, 0)),
        (2000, sent(1, 0, 0)),
        (2100, response(1, 0, 503)),
        (2900, sent(1, 1, 0)),
        (3300, response(1, 1, 200)),
        (4000, due(2, 3)),
        (4000, sent(2, 0, 3)),
        (4100, response(2, 0, 503)),
        (5000, due(3, 3)),
        (5000, sent(3, 0, 3)),
        (5100, response(3, 0, 502)),
        (6000, due(4, 3)),
    ];
    let events = events.into_iter().map(|(at_ms, kind)| Event {
        at_us: at_ms * 1000,
        kind,
    });
    let figures = figures(&experiment, &events.collect::<Vec<_>>());
    let status = &figures.classes[0].counts;
    let counted = (status.requested, status.in_time, status.late);
    assert_eq!(counted, (2, 1, 1), "the latency objective is 1.2 s");
    let settle = &figures.classes[3].counts;
    let counted = (settle.requested, settle.rejected, settle.failed);
    assert_eq!(counted, (3, 1, 2), "request 4 found no balancer");
    assert!(
        (figures.served_share - 1.0 / 32.0).abs() < 1e-9,
        "{}",
        figures.served_share
    );
    assert_eq!(figures.seconds[2].counts.late, 1);
    assert_eq!(
        recovery(&experiment, &figures, 0.0),
        None,
        "the experiment has no fault"
    );
    assert!((figures.client_attempts_per_request - 6.0 / 5.0).abs() < 1e-9);
}

#[test]
fn recovery_compares_the_service_before_and_after_the_faults() {
    let text = "name = \"x\"\nseconds = 12.0\n[fleet]\nbalancers = 2\nupstreams = 4\n\
                [[fault]]\nat_s = 5.0\nkind = \"slow\"\ntarget = \"all upstreams\"\nfactor = 4\n\
                for_s = 2.0\n";
    let experiment = Experiment::parse(text).expect("a valid experiment");
    let second = |in_time| SecondFigures {
        counts: RequestCounts {
            requested: 10,
            in_time,
            ..RequestCounts::default()
        },
        ..SecondFigures::default()
    };
    let mut figures = figures(&experiment, &[]);
    figures.seconds = [1, 1, 1, 8, 10, 0, 0, 0, 0, 5, 6, 7].map(second).into();
    let expected = Recovery {
        before: 0.9,
        after: 0.6,
    };
    assert_eq!(recovery(&experiment, &figures, 2.0), Some(expected));
    assert_eq!(
        recovery(&experiment, &figures, 6.0),
        None,
        "the run ends before that time"
    );
}
