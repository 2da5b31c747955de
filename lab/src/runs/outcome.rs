//! The outcome of a run, and whether it meets the expectations.

use crate::balancers::CoreUsage;
use crate::checks::Violation;
use crate::checks::membership_figures::{self, MembershipFigures};
use crate::experiment::Experiment;
use crate::history::Event;
use crate::measurements::figures::{Figures, Recovery, recovery};
use crate::measurements::{LatencyHistogram, quantile_ms};
use serde::Serialize;
use std::path::PathBuf;

/// A run whose requests were sent later than this, at the 99th percentile, measured the lab, in ms.
const MAX_LATENESS_MS: f64 = 20.0;
/// Share of what was served before the faults that is served again once the service has recovered.
const RECOVERED_SHARE: f64 = 0.9;

/// The performance of the lab itself.
#[derive(Clone, Debug, Serialize)]
pub struct LabOverhead {
    /// How late requests were sent, in ms: the median.
    pub late_p50_ms: f64,
    /// The 99th percentile.
    pub late_p99_ms: f64,
    /// The latest.
    pub late_max_ms: f64,
    /// Share of one core that it used.
    pub cores: f64,
    /// Events that were dropped at the limit.
    #[serde(rename = "dropped")]
    pub dropped_event_count: u64,
}

impl LabOverhead {
    /// Of a lab that was so late, by a histogram in microseconds.
    pub(super) fn new(lateness: &LatencyHistogram, cores: f64, dropped_event_count: u64) -> Self {
        Self {
            late_p50_ms: quantile_ms(lateness, 0.5),
            late_p99_ms: quantile_ms(lateness, 0.99),
            late_max_ms: lateness.max() as f64 / 1e3,
            cores,
            dropped_event_count,
        }
    }

    /// Why a run of this lab does not count, where it does not.
    pub(super) fn void_reason(&self) -> Option<String> {
        if self.late_p99_ms > MAX_LATENESS_MS {
            return Some(format!(
                "the lab was late: p99 {:.1} ms of {MAX_LATENESS_MS} allowed",
                self.late_p99_ms
            ));
        }
        let dropped = self.dropped_event_count;
        (dropped > 0).then(|| format!("{dropped} events were not kept"))
    }
}

/// The figures of membership among the balancers, and its cost.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipOutcome {
    /// How soon departures were detected, and false detections.
    #[serde(flatten)]
    pub figures: MembershipFigures,
    /// Datagrams that each balancer sent in a second.
    #[serde(rename = "datagrams")]
    pub datagrams_per_s: f64,
    /// Bytes that each balancer sent in a second.
    #[serde(rename = "bytes")]
    pub bytes_per_s: f64,
}

/// The outcome of a run. The serialized names are those of `result.json`.
#[derive(Serialize)]
pub struct RunOutcome {
    /// The experiment's name.
    pub experiment: String,
    /// The seed.
    pub seed: u64,
    /// The balancers' program.
    pub balancer: PathBuf,
    /// Seconds of load.
    pub seconds: f64,
    /// It was interrupted.
    #[serde(rename = "cut_short")]
    pub is_interrupted: bool,
    /// Why it does not count, where it does not.
    #[serde(rename = "void")]
    pub void_reason: Option<String>,
    /// The violations of rules.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// The expectations that were missed.
    #[serde(rename = "missed")]
    pub missed_expectations: Vec<String>,
    /// The figures.
    pub figures: Figures,
    /// The most memory that any balancer used, in MB.
    #[serde(rename = "memory_mb")]
    pub max_memory_mb: f64,
    /// The share of a core that balancers used.
    pub balancer_cores: CoreUsage,
    /// Membership among the balancers, where they had it.
    #[serde(rename = "members")]
    pub membership: Option<MembershipOutcome>,
    /// The lab.
    pub lab: LabOverhead,
    /// The complete history.
    #[serde(skip)]
    pub events: Vec<Event>,
}

impl RunOutcome {
    /// Whether it counts, and meets all rules and expectations.
    pub fn is_good(&self) -> bool {
        self.void_reason.is_none()
            && self.violations.is_empty()
            && self.missed_expectations.is_empty()
    }
}

/// The expectations of an experiment that were missed, as text.
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
    missed.extend(missed_recovery(experiment, figures));
    missed
}

/// `back_s`: so many seconds after the last fault, 0.9 of what was served before the first is
/// served.
fn missed_recovery(experiment: &Experiment, figures: &Figures) -> Option<String> {
    let within = experiment.expect.recovered_within_s?;
    match recovery(experiment, figures, within) {
        Some(Recovery { before, after }) if after >= RECOVERED_SHARE * before => None,
        Some(Recovery { before, after }) => Some(format!(
            "{within} s after the last fault {after:.3} is served, {:.3} expected of {before:.3} \
             before the first",
            RECOVERED_SHARE * before
        )),
        None => Some(format!(
            "nothing is asked for {within} s after the last fault, or before the first"
        )),
    }
}
