//! Outlier detection for an upstream that fails for one class of requests, or for all classes.

mod common;

use common::{Harness, class, endpoints, ms};
use frostkeel_policy::{Effect, Outcome, RequestId, Settings, UpstreamId};
use std::time::Duration;

const FAULTY: UpstreamId = UpstreamId(2);
const REQUESTS: usize = 600;
/// The number of the request from which on the upstream is faulty.
const FAULTY_FROM: usize = 200;
/// The number of the request from which on attempts at the faulty upstream are counted.
const COUNTED_FROM: usize = 300;
const SERVICE_TIME: Duration = ms(150);
/// How long after its send an attempt at the faulty upstream ends with an outcome.
const FAULT_LATENCY: Duration = ms(20);
/// How long after its send the test ends an attempt that gets no response.
const TIMEOUT: Duration = ms(1170);
const EFFECTS: [Effect; 4] = [
    Effect::Idempotent,
    Effect::Idempotent,
    Effect::Idempotent,
    Effect::AtMostOnce,
];

/// Numbers of attempts that were sent to the faulty upstream.
#[derive(Clone, Copy, Default)]
struct FaultyAttempts {
    total: usize,
    at_most_once: usize,
}

#[derive(Clone, Copy)]
struct OpenAttempt {
    id: RequestId,
    attempt: usize,
    sent_at: Duration,
    at_most_once: bool,
}

/// Returns the outcome of an attempt at the faulty upstream, given how many attempts have ended
/// there before it; `None` if the upstream never responds.
type OutcomeAtFaulty = fn(usize) -> Option<Outcome>;

/// Low traffic of four classes, one of them at-most-once, with one faulty upstream of ten.
struct LowTraffic {
    harness: Harness,
    open: Vec<OpenAttempt>,
    fault_has_begun: bool,
    outcome_at_faulty: OutcomeAtFaulty,
    at_faulty: FaultyAttempts,
}

impl LowTraffic {
    /// Runs the traffic. Returns the attempts at the faulty upstream from request [`COUNTED_FROM`]
    /// on.
    fn run(outcome_at_faulty: OutcomeAtFaulty) -> FaultyAttempts {
        let classes = EFFECTS.map(|effect| class(1200, 3000, effect)).to_vec();
        let settings = Settings {
            classes,
            ..Settings::default()
        };
        let mut traffic = Self {
            harness: Harness::new(settings, &endpoints(10)),
            open: Vec::new(),
            fault_has_begun: false,
            outcome_at_faulty,
            at_faulty: FaultyAttempts::default(),
        };
        let mut before = FaultyAttempts::default();
        for k in 0..REQUESTS {
            if k == COUNTED_FROM {
                before = traffic.at_faulty;
            }
            traffic.fault_has_begun = k >= FAULTY_FROM;
            traffic.send_request(k * 7 / 3 % EFFECTS.len());
        }
        FaultyAttempts {
            total: traffic.at_faulty.total - before.total,
            at_most_once: traffic.at_faulty.at_most_once - before.at_most_once,
        }
    }

    /// Sends a request and advances the clock to the time of the next one.
    fn send_request(&mut self, class: usize) {
        let id = self.harness.request_of(class as u16, 0, ms(2500));
        self.open.push(OpenAttempt {
            id,
            attempt: 0,
            sent_at: self.harness.now,
            at_most_once: EFFECTS[class] == Effect::AtMostOnce,
        });
        for _ in 0..7 {
            self.harness.advance(ms(10));
            let open = std::mem::take(&mut self.open);
            self.open = open
                .into_iter()
                .filter_map(|attempt| self.end_if_due(attempt))
                .collect();
        }
    }

    /// Ends the attempt if it is due. Returns the attempt of the request that is still open.
    fn end_if_due(&mut self, open: OpenAttempt) -> Option<OpenAttempt> {
        let OpenAttempt { id, attempt, .. } = open;
        let harness = &mut self.harness;
        let is_hedged = attempt == 0 && harness.upstream_of(id, 1).is_some();
        if is_hedged && !harness.final_responses.contains_key(&id) {
            harness.end_attempt(id, 1, Outcome::Ok);
            harness.end_attempt(id, 0, Outcome::Cancelled);
            return None;
        }
        let upstream = harness.upstream_of(id, attempt)?;
        if upstream == FAULTY && self.fault_has_begun {
            return self.end_at_faulty_if_due(open);
        }
        if harness.now < open.sent_at + SERVICE_TIME {
            return Some(open);
        }
        harness.end_attempt(id, attempt, Outcome::Ok);
        None
    }

    fn end_at_faulty_if_due(&mut self, open: OpenAttempt) -> Option<OpenAttempt> {
        let OpenAttempt { id, attempt, .. } = open;
        let outcome = (self.outcome_at_faulty)(self.at_faulty.total);
        let duration = outcome.map_or(TIMEOUT, |_| FAULT_LATENCY);
        if self.harness.now < open.sent_at + duration {
            return Some(open);
        }
        self.at_faulty.total += 1;
        self.at_faulty.at_most_once += usize::from(open.at_most_once);
        let ended_with = outcome.unwrap_or(Outcome::TimedOut);
        self.harness.end_attempt(id, attempt, ended_with);
        let has_failed = outcome.is_some_and(|outcome| outcome != Outcome::Ok);
        let is_retried = has_failed && self.harness.upstream_of(id, attempt + 1).is_some();
        is_retried.then_some(OpenAttempt {
            attempt: attempt + 1,
            sent_at: self.harness.now,
            ..open
        })
    }
}

/// Faults of one class at an upstream do not imply faults of the others. If the upstream fails for
/// all classes, each class alone sees too few consecutive faults, but all of them together see
/// enough to eject it.
#[test]
fn ejects_for_all_classes_when_an_upstream_fails_for_all() {
    struct Case {
        name: &'static str,
        outcome_at_faulty: OutcomeAtFaulty,
        max_attempts: usize,
        max_at_most_once: usize,
    }
    let cases = [
        Case {
            name: "three of four attempts fail immediately",
            outcome_at_faulty: |count| {
                Some(if count % 4 == 3 {
                    Outcome::Ok
                } else {
                    Outcome::Error
                })
            },
            max_attempts: 15,
            max_at_most_once: 1,
        },
        Case {
            name: "no attempt gets a response",
            outcome_at_faulty: |_| None,
            max_attempts: 8,
            max_at_most_once: 0,
        },
        Case {
            name: "every attempt is rejected, as by an upstream that drains without an update",
            outcome_at_faulty: |_| Some(Outcome::Rejected),
            max_attempts: 3,
            max_at_most_once: 3,
        },
    ];
    for case in cases {
        let FaultyAttempts {
            total,
            at_most_once,
        } = LowTraffic::run(case.outcome_at_faulty);
        let name = case.name;
        assert!(
            total <= case.max_attempts,
            "{name}: {total} attempts at the faulty upstream in 300 requests"
        );
        assert!(
            at_most_once <= case.max_at_most_once,
            "{name}: {at_most_once} at-most-once requests sent to the faulty upstream"
        );
    }
}

fn two_class_harness() -> Harness {
    let settings = Settings {
        classes: vec![class(400, 1000, Effect::AtMostOnce); 2],
        ..Settings::default()
    };
    Harness::new(settings, &endpoints(4))
}

/// Numbers of requests that were sent to one upstream, by class.
type CountByClass = [usize; 2];

/// Sends requests of both classes alternately and returns how many were sent to `upstream`. If
/// `times_out` is set, `upstream` does not respond to class 0.
fn run_two_classes(
    harness: &mut Harness,
    upstream: UpstreamId,
    requests_per_class: u64,
    times_out: bool,
) -> CountByClass {
    let mut sent = [0; 2];
    for k in 0..2 * requests_per_class {
        let class = (k / 3 % 2) as u16;
        let id = harness.request_of(class, 0, ms(450));
        let Some(sent_to) = harness.upstream_of(id, 0) else {
            continue;
        };
        sent[usize::from(class)] += usize::from(sent_to == upstream);
        harness.advance(ms(10));
        if sent_to == upstream && class == 0 && times_out {
            harness.advance(ms(440));
            harness.end_attempt(id, 0, Outcome::TimedOut);
        } else {
            harness.end_attempt(id, 0, Outcome::Ok);
        }
        harness.advance(ms(40));
    }
    sent
}

/// An upstream does not respond to one class but serves the other. Only the first class is moved to
/// other upstreams, and it returns some time after the upstream has recovered.
#[test]
fn timeouts_of_one_class_move_only_that_class() {
    let mut harness = two_class_harness();
    let upstream = UpstreamId(3);
    run_two_classes(&mut harness, upstream, 50, false);
    let [unserved, served] = run_two_classes(&mut harness, upstream, 400, true);
    assert!(
        unserved <= 20,
        "{unserved} of 400 requests sent where they get no response, expected 20 at most"
    );
    assert!(
        served >= 100,
        "{served} of 400 requests of the class that is served there, expected at least 100"
    );
    let [restored, _] = run_two_classes(&mut harness, upstream, 600, false);
    assert!(
        restored >= 60,
        "{restored} of 600 requests after the recovery, expected at least 60"
    );
}

/// An upstream that rejects a class immediately has nothing in flight and therefore seems the least
/// loaded. It must not attract requests of the class.
#[test]
fn an_upstream_that_rejects_a_class_does_not_attract_it() {
    let mut harness = two_class_harness();
    let rejecting = UpstreamId(2);
    let (mut rejected, mut served) = (0, 0);
    for k in 0..600u64 {
        let class = (k / 3 % 2) as u16;
        let id = harness.request_of(class, 0, ms(900));
        let mut attempt = 0;
        while let Some(upstream) = harness.upstream_of(id, attempt) {
            if upstream == rejecting && class == 0 {
                rejected += 1;
                harness.end_attempt(id, attempt, Outcome::Rejected);
            } else {
                served += usize::from(upstream == rejecting);
                harness.advance(ms(60));
                harness.end_attempt(id, attempt, Outcome::Ok);
            }
            attempt += 1;
        }
        harness.advance(ms(10));
    }
    assert!(
        rejected <= 12,
        "{rejected} attempts rejected by the upstream that rejects the class, expected 12 at most"
    );
    assert!(
        served >= 60,
        "{served} requests of the other class served there, expected at least 60"
    );
}
