//! The rules for a balancer, checked over a complete history. Each rule has one or two functions.

use super::attempts::{AttemptRecord, AttemptRecords, Reached, collect};
use super::{Rule, Violation};
use crate::experiment::{Experiment, Idempotence};
use crate::history::{
    AttemptFailure, ClientAttemptId, EndpointState, Event, EventKind, ProcessState, ResponseClass,
    UpstreamReply,
};
use std::collections::HashMap;

/// The maximum number of attempts to upstreams that a balancer makes for a client attempt.
const MAX_ATTEMPTS: usize = 3;
/// The time after a notification during which a new request may still reach an upstream, in
/// microseconds: 1 s and 50 ms by the protocol, and 100 ms for the latency of real sockets.
const DRAIN_GRACE_US: u64 = 1_150_000;
/// The tolerance for differences between the recorded times of simultaneous events, in
/// microseconds.
const RECORDING_TOLERANCE_US: u64 = 100_000;
/// The maximum time from the request for a balancer's graceful shutdown until it is killed, in
/// microseconds.
const MAX_SHUTDOWN_US: u64 = 5_500_000;

/// Returns all violations in a history, in the order of time.
pub fn violations(experiment: &Experiment, events: &[Event]) -> Vec<Violation> {
    let attempts = collect(events);
    let mut found = Vec::new();
    for (id, attempt) in &attempts {
        found.extend(at_most_one_response(*id, attempt));
        found.extend(at_least_one_response(*id, attempt, events));
        found.extend(served_by_upstream(*id, attempt));
        found.extend(attempt_limit(*id, attempt));
        found.extend(at_most_once(*id, attempt, experiment));
    }
    found.extend(drain_respected(&attempts, events));
    found.extend(events.iter().filter_map(slow_start_respected));
    found.extend(events.iter().filter_map(process_healthy));
    found.sort_by(|a, b| (a.at_us, a.rule, &a.description).cmp(&(b.at_us, b.rule, &b.description)));
    found
}

/// Checks that a client receives at most one final response to an attempt that a balancer accepted.
///
/// Source: the platform's brief, "No run may break these rules".
fn at_most_one_response(id: ClientAttemptId, attempt: &AttemptRecord) -> Option<Violation> {
    let sent = attempt.sent?;
    let second = attempt.responses.get(1)?;
    let responses: Vec<String> = attempt
        .responses
        .iter()
        .map(|response| format!("{} at {}", response.status, seconds(response.at_us)))
        .collect();
    Some(Violation {
        rule: Rule::ExactlyOneResponse,
        at_us: second.at_us,
        description: format!(
            "attempt {id:x}, sent to b{} at {}, received more than one response: {}",
            sent.balancer,
            seconds(sent.at_us),
            responses.join(", ")
        ),
    })
}

/// Checks that a client receives at least one final response to an attempt that a running balancer
/// accepted.
///
/// A missing response is not a violation if the balancer ended or was shutting down, or if a fault
/// reset the client's connection (see [`is_missing_response_excused`]).
///
/// Source: the platform's brief, "No run may break these rules".
fn at_least_one_response(
    id: ClientAttemptId,
    attempt: &AttemptRecord,
    events: &[Event],
) -> Option<Violation> {
    let sent = attempt.sent?;
    let failure = attempt.failure.as_ref()?;
    if failure.cause != AttemptFailure::ConnectionClosed
        || !attempt.responses.is_empty()
        || is_missing_response_excused(events, sent.balancer, sent.at_us, failure.at_us)
    {
        return None;
    }
    Some(Violation {
        rule: Rule::ExactlyOneResponse,
        at_us: failure.at_us,
        description: format!(
            "attempt {id:x}, sent to b{} at {}: the connection closed at {} without a response",
            sent.balancer,
            seconds(sent.at_us),
            seconds(failure.at_us)
        ),
    })
}

/// Checks that a successful response comes from an upstream that processed the request.
///
/// Source: the platform's protocol: a balancer forwards responses, and generates no successful one
/// by itself.
fn served_by_upstream(id: ClientAttemptId, attempt: &AttemptRecord) -> Option<Violation> {
    let sent = attempt.sent?;
    let success = attempt
        .responses
        .iter()
        .find(|response| ResponseClass::of(response.status) == ResponseClass::Served)?;
    if attempt
        .replies
        .iter()
        .any(|reply| reply.reply == UpstreamReply::Served)
    {
        return None;
    }
    Some(Violation {
        rule: Rule::ServedByUpstream,
        at_us: success.at_us,
        description: format!(
            "attempt {id:x}: b{} responded 200 at {}, but no upstream processed the request",
            sent.balancer,
            seconds(success.at_us)
        ),
    })
}

/// Checks that a balancer makes at most three attempts to upstreams, retries and hedges included,
/// for each client attempt. A client's own retry is a new client attempt.
///
/// Source: the platform's wire format, `limits.try_limit`, which the lab sets to 3.
fn attempt_limit(id: ClientAttemptId, attempt: &AttemptRecord) -> Option<Violation> {
    let sent = attempt.sent?;
    let excess = attempt.reached.get(MAX_ATTEMPTS)?;
    Some(Violation {
        rule: Rule::AttemptLimit,
        at_us: excess.at_us,
        description: describe_reached(id, sent.balancer, &attempt.reached),
    })
}

/// Checks that a request of an at-most-once class runs at one upstream at most. An upstream that
/// rejected the request without processing it did not run it.
///
/// Source: the platform's brief, "No run may break these rules", and the wire format, "Each effect
/// happens once".
fn at_most_once(
    id: ClientAttemptId,
    attempt: &AttemptRecord,
    experiment: &Experiment,
) -> Option<Violation> {
    let sent = attempt.sent?;
    let class = experiment.classes.get(usize::from(sent.class))?;
    if class.idempotence != Idempotence::AtMostOnce {
        return None;
    }
    let mut processed = attempt.reached.clone();
    for reply in attempt
        .replies
        .iter()
        .filter(|reply| reply.reply == UpstreamReply::Rejected)
    {
        if let Some(rejected) = processed
            .iter()
            .position(|at| at.upstream == reply.upstream)
        {
            processed.remove(rejected);
        }
    }
    let second = processed.get(1)?;
    Some(Violation {
        rule: Rule::AtMostOnce,
        at_us: second.at_us,
        description: describe_reached(id, sent.balancer, &attempt.reached),
    })
}

/// A notification to a balancer about the state of an upstream.
struct Notification {
    at_us: u64,
    state: EndpointState,
}

/// Checks that no new request reaches an upstream later than 1 s after the balancer was notified of
/// the upstream's drain or removal.
///
/// Source: the platform's brief, "Figures of the rules", and the wire format,
/// `guarantees.drain_grace_ms`.
fn drain_respected(attempts: &AttemptRecords, events: &[Event]) -> Vec<Violation> {
    let notified = notifications(events);
    let mut found = Vec::new();
    for (id, attempt) in attempts {
        let Some(sent) = attempt.sent else { continue };
        for reached in &attempt.reached {
            let known = notified.get(&(sent.balancer, reached.upstream));
            let drained = known.and_then(|known| drained_before(known, reached.at_us));
            let Some(drained) = drained else { continue };
            found.push(Violation {
                rule: Rule::DrainRespected,
                at_us: reached.at_us,
                description: format!(
                    "attempt {id:x} through b{} reached u{} at {}, after the notification {} at {}",
                    sent.balancer,
                    reached.upstream,
                    seconds(reached.at_us),
                    drained.state.label(),
                    seconds(drained.at_us)
                ),
            });
        }
    }
    found
}

/// Groups the notifications by the numbers of the notified balancer and the upstream. The
/// notifications of a group are in order of time.
fn notifications(events: &[Event]) -> HashMap<(u32, u32), Vec<Notification>> {
    let mut notified: HashMap<(u32, u32), Vec<Notification>> = HashMap::new();
    for Event { at_us, kind } in events {
        if let EventKind::EndpointNotified {
            balancer,
            upstream,
            state,
        } = kind
        {
            let notification = Notification {
                at_us: *at_us,
                state: *state,
            };
            notified
                .entry((*balancer, *upstream))
                .or_default()
                .push(notification);
        }
    }
    notified
}

/// Returns the last notification that is more than [`DRAIN_GRACE_US`] older than `at_us`, if it
/// reports the upstream as not ready. Returns `None` if a later notification, received no later
/// than `at_us`, reports the upstream as ready again.
fn drained_before(known: &[Notification], at_us: u64) -> Option<&Notification> {
    let grace_has_ended = |notified: &Notification| notified.at_us + DRAIN_GRACE_US < at_us;
    let last = known
        .iter()
        .rev()
        .find(|notified| grace_has_ended(notified))?;
    let is_ready_again = known.iter().any(|notified| {
        notified.state == EndpointState::Ready
            && !grace_has_ended(notified)
            && notified.at_us <= at_us
    });
    (last.state != EndpointState::Ready && !is_ready_again).then_some(last)
}

/// Checks that the balancers together do not overload an upstream in slow start until it crashes.
///
/// Source: the platform's brief, "No run may break these rules", and the wire format, "Fail back
/// with care".
fn slow_start_respected(event: &Event) -> Option<Violation> {
    let EventKind::UpstreamState {
        upstream,
        state: ProcessState::Overloaded,
    } = event.kind
    else {
        return None;
    };
    Some(Violation {
        rule: Rule::SlowStartRespected,
        at_us: event.at_us,
        description: format!(
            "u{upstream} crashed under overload during slow start at {}",
            seconds(event.at_us)
        ),
    })
}

/// Checks that no balancer crashes, exceeds its memory limit, or survives SIGKILL.
///
/// Source: the experiment's `fleet.memory_mb` (the platform's `limits.memory_mb`), and the lab
/// itself.
fn process_healthy(event: &Event) -> Option<Violation> {
    let EventKind::BalancerState { balancer, state } = event.kind else {
        return None;
    };
    let is_fault = matches!(
        state,
        ProcessState::Crashed | ProcessState::MemoryLimitExceeded | ProcessState::SurvivedKill
    );
    is_fault.then(|| Violation {
        rule: Rule::ProcessHealthy,
        at_us: event.at_us,
        description: format!("b{balancer}: {} at {}", state.label(), seconds(event.at_us)),
    })
}

/// Returns whether an event explains why a client attempt, which a balancer had in flight from
/// `from_us` to `to_us`, received no response. These events are:
///
/// - The balancer ended or a fault reset its clients' connections during that period, with a
///   tolerance of [`RECORDING_TOLERANCE_US`] at both ends.
/// - The graceful shutdown of the balancer was requested at most [`MAX_SHUTDOWN_US`] before the
///   start of that period, and at most [`RECORDING_TOLERANCE_US`] after its end.
fn is_missing_response_excused(events: &[Event], balancer: u32, from_us: u64, to_us: u64) -> bool {
    events.iter().any(|event| {
        let (affected, effect_us) = match event.kind {
            EventKind::ClientConnectionsReset { balancer } => (balancer, RECORDING_TOLERANCE_US),
            EventKind::BalancerState {
                balancer,
                state: ProcessState::Killed | ProcessState::Exited | ProcessState::Crashed,
            } => (balancer, RECORDING_TOLERANCE_US),
            EventKind::BalancerState {
                balancer,
                state: ProcessState::ShutdownRequested,
            } => (balancer, MAX_SHUTDOWN_US),
            _ => return false,
        };
        affected == balancer
            && event.at_us + effect_us >= from_us
            && event.at_us <= to_us + RECORDING_TOLERANCE_US
    })
}

fn describe_reached(id: ClientAttemptId, balancer: u32, reached: &[Reached]) -> String {
    let upstreams: Vec<String> = reached
        .iter()
        .map(|reached| format!("u{} at {}", reached.upstream, seconds(reached.at_us)))
        .collect();
    format!(
        "attempt {id:x} through b{balancer} reached {}",
        upstreams.join(", ")
    )
}

fn seconds(at_us: u64) -> String {
    format!("{:.3} s", at_us as f64 / 1e6)
}
