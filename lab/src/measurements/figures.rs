//! The figures of a run, computed over its complete history.

use super::{LatencyHistogram, latency_histogram, quantile_ms};
use crate::experiment::{Class, Experiment};
use crate::history::{
    AttemptFailure, ClientAttemptId, Event, EventKind, ResponseClass, request_of,
};
use serde::Serialize;
use std::collections::HashMap;

/// Microseconds of a second.
const SECOND_US: u64 = 1_000_000;
/// Seconds excluded at the start: balancers have no estimates of their upstreams yet.
const WARM_UP_S: usize = 3;

/// The outcomes of the requests of one class, or of one second, or of all; a request counts once
/// with all its attempts. The serialized names are those of `result.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Requests.
    #[serde(rename = "asked")]
    pub requested: u32,
    /// Served within the latency objective, counted from the first attempt.
    pub in_time: u32,
    /// Served later.
    pub late: u32,
    /// Ended rejected.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Ended failed, or without a response.
    pub failed: u32,
}

/// The outcomes of the requests of a class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassCounts {
    /// The class.
    pub class: String,
    /// Its counts.
    #[serde(flatten)]
    pub counts: RequestCounts,
}

/// The figures of one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SecondFigures {
    /// By the second of the first attempt.
    #[serde(flatten)]
    pub counts: RequestCounts,
    /// Median latency of what was served, by the second of the response, in ms.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// Mean utilization of the upstreams.
    #[serde(rename = "util")]
    pub utilization: f64,
}

/// The figures of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Weight served within the latency objective, as a share of the weight requested.
    #[serde(rename = "served")]
    pub served_share: f64,
    /// The same of the worst-served class.
    #[serde(rename = "worst_class")]
    pub worst_class_share: f64,
    /// Client attempts for each request.
    #[serde(rename = "tries")]
    pub client_attempts: f64,
    /// Attempts that reached an upstream, for each request.
    #[serde(rename = "attempts")]
    pub upstream_attempts: f64,
    /// Median latency of what was served, from the first attempt to the response, in ms.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The most calls to the discovery service that one balancer made within a second.
    #[serde(rename = "calls_most")]
    pub max_discovery_calls: usize,
    /// By class.
    pub classes: Vec<ClassCounts>,
    /// By second.
    pub seconds: Vec<SecondFigures>,
}

/// Computes the figures of a history.
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
        client_attempts: f64::from(requests.client_attempts) / requested,
        upstream_attempts: f64::from(requests.upstream_attempts) / requested,
        p50_ms: quantile_ms(&outcomes.latencies, 0.5),
        p90_ms: quantile_ms(&outcomes.latencies, 0.9),
        p99_ms: quantile_ms(&outcomes.latencies, 0.99),
        max_discovery_calls: max_discovery_calls(events),
        classes,
        seconds,
    }
}

/// The outcome of one request.
struct Request {
    due_us: u64,
    class: usize,
    /// When it was served, if it was.
    served_us: Option<u64>,
    /// Whether its last response rejected it.
    is_rejected: bool,
}

/// The requests of a history, with the attempts for all of them.
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

/// Outcomes of requests as they are added up.
struct Outcomes {
    classes: Vec<ClassCounts>,
    seconds: Vec<SecondFigures>,
    latencies: LatencyHistogram,
    /// By the second of the response.
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

/// Weight served within the latency objective, as a share of the weight requested.
fn weighted_share(classes: &[Class], counts: &[ClassCounts]) -> f64 {
    let sum = |count: fn(&RequestCounts) -> u32| -> f64 {
        let weighted = |(class, counted): (&Class, &ClassCounts)| {
            class.priority_weight * f64::from(count(&counted.counts))
        };
        classes.iter().zip(counts).map(weighted).sum()
    };
    sum(|counts| counts.in_time) / sum(|counts| counts.requested).max(1e-9)
}

/// The least share of the requests of a class that were served within the latency objective.
fn worst_class_share(classes: &[ClassCounts]) -> f64 {
    let share =
        |counts: &RequestCounts| f64::from(counts.in_time) / f64::from(counts.requested.max(1));
    classes
        .iter()
        .filter(|class| class.counts.requested > 0)
        .map(|class| share(&class.counts))
        .fold(1.0, f64::min)
}

/// The most calls to the discovery service that one balancer made within a second.
fn max_discovery_calls(events: &[Event]) -> usize {
    let mut calls: HashMap<u32, Vec<u64>> = HashMap::new();
    for event in events {
        if let EventKind::DiscoveryCalled { balancer } = event.kind {
            calls.entry(balancer).or_default().push(event.at_us);
        }
    }
    let within_a_second = |times: &[u64]| match times.first() {
        Some(first) => times
            .iter()
            .take_while(|at_us| **at_us < first + SECOND_US)
            .count(),
        None => 0,
    };
    let most = |times: &Vec<u64>| {
        (0..times.len())
            .map(|start| within_a_second(&times[start..]))
            .max()
            .unwrap_or(0)
    };
    calls.values().map(most).max().unwrap_or(0)
}

/// The mean of the samples of utilization within each second.
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

/// Shares of the requests that were served within the latency objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recovery {
    /// Before the first fault.
    pub before: f64,
    /// From some time after the end of the last fault on.
    pub after: f64,
}

/// What was served before the first fault, and from so many seconds after the end of the last one
/// on; `None` where either time has no request.
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
        .get(WARM_UP_S.min(first_start)..first_start)?;
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
