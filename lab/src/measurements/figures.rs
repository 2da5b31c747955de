//! The figures of a run, computed from its complete history.

use super::{LatencyHistogram, latency_histogram, quantile_ms};
use crate::experiment::{Class, Experiment};
use crate::history::{
    AttemptFailure, ClientAttemptId, Event, EventKind, ResponseClass, request_of,
};
use serde::Serialize;
use std::collections::HashMap;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;
/// Seconds at the start of a run that the service before the first fault is computed without,
/// because the balancers have no estimates of their upstreams yet.
const EXCLUDED_START_S: usize = 3;

/// Counts of requests by outcome. A request counts once, together with all its attempts. The
/// serialized names are those of `result.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Number of requests that were due.
    #[serde(rename = "asked")]
    pub requested: u32,
    /// Requests served within the latency objective of their class, from the time when they were
    /// due.
    pub in_time: u32,
    /// Requests served later than the latency objective.
    pub late: u32,
    /// Requests whose last outcome was a rejection.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Requests that failed, or that ended without a response.
    pub failed: u32,
}

/// Counts of the requests of a class by outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassCounts {
    /// Name of the class.
    pub class: String,
    /// Counts over the complete run.
    #[serde(flatten)]
    pub counts: RequestCounts,
}

/// The figures of one second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SecondFigures {
    /// Counts of the requests that were due in this second, by outcome.
    #[serde(flatten)]
    pub counts: RequestCounts,
    /// Median latency in ms of the served requests whose response arrived in this second.
    pub p50_ms: f64,
    /// 99th percentile of the latency in ms of the served requests whose response arrived in this
    /// second.
    pub p99_ms: f64,
    /// Mean utilization of the upstreams, over all load samples of this second.
    #[serde(rename = "util")]
    pub utilization: f64,
}

/// The figures of a complete run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Fraction of the requests that were served within their latency objective, with each request
    /// weighted by the priority weight of its class.
    #[serde(rename = "served")]
    pub served_share: f64,
    /// Fraction of the requests served within the latency objective, in the class in which it is
    /// lowest.
    #[serde(rename = "worst_class")]
    pub worst_class_share: f64,
    /// Mean number of client attempts for each request.
    #[serde(rename = "tries")]
    pub client_attempts_per_request: f64,
    /// Mean number of attempts that reached an upstream, for each request.
    #[serde(rename = "attempts")]
    pub upstream_attempts_per_request: f64,
    /// Median latency in ms of served requests, from the time when they were due to the response.
    pub p50_ms: f64,
    /// 90th percentile of the latency in ms of served requests.
    pub p90_ms: f64,
    /// 99th percentile of the latency in ms of served requests.
    pub p99_ms: f64,
    /// Maximum number of connections that one balancer opened to the discovery service within a
    /// second.
    #[serde(rename = "calls_most")]
    pub max_discovery_calls: usize,
    /// Counts of requests, by class in the order of the experiment.
    pub classes: Vec<ClassCounts>,
    /// Figures of each second of the run, in order. The last second includes the requests that were
    /// due later and the responses that arrived later.
    pub seconds: Vec<SecondFigures>,
}

/// Computes the figures of a run from its history.
pub fn figures(experiment: &Experiment, events: &[Event]) -> Figures {
    let requests = Requests::collect(events);
    let length_s = experiment.length.as_secs_f64().ceil() as usize;
    let mut outcomes = Outcomes::new(&experiment.classes, length_s.max(1));
    for request in requests.by_number.values() {
        outcomes.add(request, &experiment.classes);
    }
    let mut seconds = outcomes.seconds;
    for (second, latencies) in seconds.iter_mut().zip(&outcomes.latencies_by_second) {
        second.p50_ms = quantile_ms(latencies, 0.5);
        second.p99_ms = quantile_ms(latencies, 0.99);
    }
    add_utilization(events, &mut seconds);
    let classes = outcomes.classes;
    let requested: u32 = classes.iter().map(|class| class.counts.requested).sum();
    let requested = f64::from(requested.max(1));
    Figures {
        served_share: weighted_share(&experiment.classes, &classes),
        worst_class_share: worst_class_share(&classes),
        client_attempts_per_request: f64::from(requests.client_attempts) / requested,
        upstream_attempts_per_request: f64::from(requests.upstream_attempts) / requested,
        p50_ms: quantile_ms(&outcomes.latencies, 0.5),
        p90_ms: quantile_ms(&outcomes.latencies, 0.9),
        p99_ms: quantile_ms(&outcomes.latencies, 0.99),
        max_discovery_calls: max_discovery_calls(events),
        classes,
        seconds,
    }
}

/// A client's request, and its outcome over all its attempts.
struct Request {
    due_us: u64,
    class: usize,
    /// Time of the first successful response; `None` if there is none.
    served_us: Option<u64>,
    /// Whether the last response was a rejection. A later attempt without a connection leaves this
    /// unchanged; one that ended without a response for another reason clears it.
    is_rejected: bool,
}

/// The requests of a history, and the number of attempts for all of them.
#[derive(Default)]
struct Requests {
    by_number: HashMap<u64, Request>,
    client_attempts: u32,
    upstream_attempts: u32,
}

impl Requests {
    fn collect(events: &[Event]) -> Self {
        let mut requests = Self::default();
        for event in events {
            requests.observe(event);
        }
        requests
    }

    fn observe(&mut self, event: &Event) {
        match event.kind {
            EventKind::RequestDue { request, class } => {
                let class = usize::from(class);
                let one = Request {
                    due_us: event.at_us,
                    class,
                    served_us: None,
                    is_rejected: false,
                };
                self.by_number.insert(u64::from(request), one);
            }
            EventKind::AttemptSent { .. } => self.client_attempts += 1,
            EventKind::ResponseReceived { id, status } => {
                self.on_response(event.at_us, id, status);
            }
            EventKind::AttemptFailed { id, failure } => {
                if let Some(request) = self.by_number.get_mut(&request_of(id)) {
                    request.is_rejected &= failure == AttemptFailure::NoConnection;
                }
            }
            EventKind::UpstreamReceived { .. } => self.upstream_attempts += 1,
            _ => {}
        }
    }

    fn on_response(&mut self, at_us: u64, id: ClientAttemptId, status: u16) {
        let Some(request) = self.by_number.get_mut(&request_of(id)) else {
            return;
        };
        let class = ResponseClass::of(status);
        request.is_rejected = class == ResponseClass::Rejected;
        if class == ResponseClass::Served {
            request.served_us.get_or_insert(at_us);
        }
    }
}

/// Counts and latencies, to which requests are added one by one.
struct Outcomes {
    classes: Vec<ClassCounts>,
    seconds: Vec<SecondFigures>,
    latencies: LatencyHistogram,
    /// Latencies by the second of the response.
    latencies_by_second: Vec<LatencyHistogram>,
}

impl Outcomes {
    fn new(classes: &[Class], length_s: usize) -> Self {
        let class = |class: &Class| ClassCounts {
            class: class.name.clone(),
            counts: RequestCounts::default(),
        };
        Self {
            classes: classes.iter().map(class).collect(),
            seconds: vec![SecondFigures::default(); length_s],
            latencies: latency_histogram(),
            latencies_by_second: (0..length_s).map(|_| latency_histogram()).collect(),
        }
    }

    fn add(&mut self, request: &Request, classes: &[Class]) {
        let Some(class) = classes.get(request.class) else {
            return;
        };
        let last = self.seconds.len() - 1;
        let second_of = |at_us: u64| ((at_us / SECOND_US) as usize).min(last);
        let latency_us = request.served_us.map(|at_us| at_us - request.due_us);
        let second = &mut self.seconds[second_of(request.due_us)];
        for counts in [&mut second.counts, &mut self.classes[request.class].counts] {
            counts.requested += 1;
            *match latency_us {
                Some(latency) if latency as f64 <= class.latency_objective_ms * 1e3 => {
                    &mut counts.in_time
                }
                Some(_) => &mut counts.late,
                None if request.is_rejected => &mut counts.rejected,
                None => &mut counts.failed,
            } += 1;
        }
        if let (Some(latency), Some(served_us)) = (latency_us, request.served_us) {
            self.latencies.saturating_record(latency.max(1));
            self.latencies_by_second[second_of(served_us)].saturating_record(latency.max(1));
        }
    }
}

/// Returns the fraction of the requests served within their latency objective, with each request
/// weighted by the priority weight of its class.
fn weighted_share(classes: &[Class], counts: &[ClassCounts]) -> f64 {
    let sum = |count: fn(&RequestCounts) -> u32| -> f64 {
        let weighted = |(class, counted): (&Class, &ClassCounts)| {
            class.priority_weight * f64::from(count(&counted.counts))
        };
        classes.iter().zip(counts).map(weighted).sum()
    };
    sum(|counts| counts.in_time) / sum(|counts| counts.requested).max(1e-9)
}

/// Returns the lowest fraction, over the classes that have requests, of requests served within the
/// latency objective.
fn worst_class_share(classes: &[ClassCounts]) -> f64 {
    let share =
        |counts: &RequestCounts| f64::from(counts.in_time) / f64::from(counts.requested.max(1));
    classes
        .iter()
        .filter(|class| class.counts.requested > 0)
        .map(|class| share(&class.counts))
        .fold(1.0, f64::min)
}

/// Returns the maximum number of connections that one balancer opened to the discovery service
/// within any period of one second.
fn max_discovery_calls(events: &[Event]) -> usize {
    let mut calls: HashMap<u32, Vec<u64>> = HashMap::new();
    for event in events {
        if let EventKind::DiscoveryCalled { balancer } = event.kind {
            calls.entry(balancer).or_default().push(event.at_us);
        }
    }
    let calls_in_first_second = |times: &[u64]| match times.first() {
        Some(first) => times
            .iter()
            .take_while(|at_us| **at_us < first + SECOND_US)
            .count(),
        None => 0,
    };
    let max_within_a_second = |times: &Vec<u64>| {
        (0..times.len())
            .map(|start| calls_in_first_second(&times[start..]))
            .max()
            .unwrap_or(0)
    };
    calls.values().map(max_within_a_second).max().unwrap_or(0)
}

/// Sets the utilization of each second to the mean of the load samples in it.
fn add_utilization(events: &[Event], seconds: &mut [SecondFigures]) {
    let mut sample_counts = vec![0u32; seconds.len()];
    for event in events {
        let index = (event.at_us / SECOND_US) as usize;
        if let EventKind::UpstreamLoad { utilization, .. } = event.kind
            && let Some(second) = seconds.get_mut(index)
        {
            second.utilization += f64::from(utilization);
            sample_counts[index] += 1;
        }
    }
    for (second, count) in seconds.iter_mut().zip(sample_counts) {
        second.utilization /= f64::from(count.max(1));
    }
}

/// Fractions of the requests that were served within their latency objective, around the faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recovery {
    /// Fraction before the first fault.
    pub before: f64,
    /// Fraction from a given time after the end of the last fault on.
    pub after: f64,
}

/// Returns the fractions of the requests that were served within their latency objective before the
/// first fault, and from `after_s` seconds after the end of the last fault on. Returns `None` if
/// the experiment has no fault, or if either period has no request.
pub fn recovery(experiment: &Experiment, figures: &Figures, after_s: f64) -> Option<Recovery> {
    let faults = &experiment.faults;
    let first_start = faults.iter().map(|fault| fault.start).min()?.as_secs_f64() as usize;
    let last_end = faults
        .iter()
        .map(|fault| fault.end(experiment.length))
        .max()?
        .as_secs_f64();
    let before = figures
        .seconds
        .get(EXCLUDED_START_S.min(first_start)..first_start)?;
    let after = figures
        .seconds
        .get((last_end + after_s).ceil() as usize..)?;
    Some(Recovery {
        before: in_time_share(before)?,
        after: in_time_share(after)?,
    })
}

fn in_time_share(seconds: &[SecondFigures]) -> Option<f64> {
    let sum = |count: fn(&RequestCounts) -> u32| {
        seconds
            .iter()
            .map(|second| f64::from(count(&second.counts)))
            .sum::<f64>()
    };
    let requested = sum(|counts| counts.requested);
    (requested > 0.0).then(|| sum(|counts| counts.in_time) / requested)
}
