//! The outcome of a run, and the check of the experiment's expectations.

use crate::balancers::CoreUsage;
use crate::checks::Violation;
use crate::checks::membership_figures::{self, MembershipFigures};
use crate::experiment::Experiment;
use crate::history::Event;
use crate::measurements::figures::{Figures, Recovery, recovery};
use crate::measurements::{LatencyHistogram, quantile_ms};
use serde::Serialize;
use std::path::PathBuf;

/// Limit on the 99th percentile of the delay with which the lab sends requests, in ms. A run
/// with a higher value is invalid: its figures describe the lab rather than the balancers.
const MAX_LATENESS_MS: f64 = 20.0;
/// Minimum recovery after the faults: the share of requests served in time must reach this fraction
/// of the share before the faults.
const MIN_RECOVERED_RATIO: f64 = 0.9;

/// The delays with which the lab sent requests, its processor use, and the number of events that it
/// dropped.
#[derive(Clone, Debug, Serialize)]
pub struct LabOverhead {
    /// Median delay between when a request was due and when it was sent, in ms.
    pub late_p50_ms: f64,
    /// 99th percentile of that delay, in ms.
    pub late_p99_ms: f64,
    /// Maximum of that delay, in ms.
    pub late_max_ms: f64,
    /// Mean number of cores that the lab used; 1 is one core without idle time.
    pub cores: f64,
    /// Number of events that were dropped because the history had reached its limit.
    #[serde(rename = "dropped")]
    pub dropped_event_count: u64,
}

impl LabOverhead {
    /// Creates the figures. `lateness` is a histogram of the delays of requests in microseconds,
    /// and `cores` the mean number of cores that the lab used.
    pub(super) fn new(lateness: &LatencyHistogram, cores: f64, dropped_event_count: u64) -> Self {
        Self {
            late_p50_ms: quantile_ms(lateness, 0.5),
            late_p99_ms: quantile_ms(lateness, 0.99),
            late_max_ms: lateness.max() as f64 / 1e3,
            cores,
            dropped_event_count,
        }
    }

    /// Returns the reason why the lab's overhead makes the run invalid; `None` if the run is valid.
    pub(super) fn void_reason(&self) -> Option<String> {
        if self.late_p99_ms > MAX_LATENESS_MS {
            return Some(format!(
                "the lab was late: p99 {:.1} ms of {MAX_LATENESS_MS} allowed",
                self.late_p99_ms
            ));
        }
        let dropped = self.dropped_event_count;
        (dropped > 0).then(|| format!("{dropped} events were dropped: the history was full"))
    }
}

/// The figures of membership among the balancers, and its network traffic.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipOutcome {
    /// Detection times of departures, and counts of false detections.
    #[serde(flatten)]
    pub figures: MembershipFigures,
    /// Mean number of datagrams that each balancer sent per second.
    #[serde(rename = "datagrams")]
    pub datagrams_per_s: f64,
    /// Mean number of bytes that each balancer sent per second.
    #[serde(rename = "bytes")]
    pub bytes_per_s: f64,
}

/// The outcome of a run. It is written to `result.json` under the serialized names.
#[derive(Serialize)]
pub struct RunOutcome {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// Path of the program that was started as each balancer.
    pub balancer: PathBuf,
    /// Duration of the load in seconds, at most the length that the experiment sets.
    pub seconds: f64,
    /// Whether the run was interrupted before all requests had ended.
    #[serde(rename = "cut_short")]
    pub is_interrupted: bool,
    /// Why the run is invalid; `None` if it is valid.
    #[serde(rename = "void")]
    pub void_reason: Option<String>,
    /// Violations of the rules that are checked over the history.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// Descriptions of the experiment's expectations that were not met.
    #[serde(rename = "missed")]
    pub missed_expectations: Vec<String>,
    /// Request counts, latencies and utilization of the run.
    pub figures: Figures,
    /// Highest sampled memory use of any balancer, in MB.
    #[serde(rename = "memory_mb")]
    pub max_memory_mb: f64,
    /// Processor use of the balancers.
    pub balancer_cores: CoreUsage,
    /// Figures of membership; `None` if the experiment has no membership.
    #[serde(rename = "members")]
    pub membership: Option<MembershipOutcome>,
    /// Figures of the lab's own process.
    pub lab: LabOverhead,
    /// All recorded events of the run.
    #[serde(skip)]
    pub events: Vec<Event>,
}

impl RunOutcome {
    /// Returns whether the run is valid, breaks no rule and satisfies all expectations.
    pub fn is_good(&self) -> bool {
        self.void_reason.is_none()
            && self.violations.is_empty()
            && self.missed_expectations.is_empty()
    }
}

/// Returns a description of each expectation of the experiment that the run does not satisfy.
pub(super) fn missed_expectations(
    experiment: &Experiment,
    figures: &Figures,
    membership: Option<&MembershipOutcome>,
) -> Vec<String> {
    let mut missed = Vec::new();
    if let Some(membership) = membership {
        missed = membership_figures::missed_expectations(experiment, &membership.figures);
    }
    let min_served = experiment.expect.min_served;
    if figures.served_share < min_served {
        missed.push(format!(
            "served {:.3} of {min_served:.3} expected",
            figures.served_share
        ));
    }
    missed.extend(check_recovery(experiment, figures));
    missed
}

/// Checks that the service recovers within `recovered_within_s` seconds after the end of the last
/// fault: from that time on, the share of requests served in time must be at least
/// `MIN_RECOVERED_RATIO` times the share before the first fault. Returns `None` if the service
/// recovers or if the experiment does not set `recovered_within_s`.
fn check_recovery(experiment: &Experiment, figures: &Figures) -> Option<String> {
    let within_s = experiment.expect.recovered_within_s?;
    match recovery(experiment, figures, within_s) {
        Some(Recovery { before, after }) if after >= MIN_RECOVERED_RATIO * before => None,
        Some(Recovery { before, after }) => Some(format!(
            "share of requests served in time from {within_s} s after the end of the last fault: \
             {after:.3}, expected at least {:.3} ({before:.3} before the first fault)",
            MIN_RECOVERED_RATIO * before
        )),
        None => Some(format!(
            "recovery cannot be checked: it requires a fault, requests before the first fault, and \
             requests later than {within_s} s after the end of the last fault"
        )),
    }
}
