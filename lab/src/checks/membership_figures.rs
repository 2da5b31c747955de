//! Figures of membership, and what an experiment expects of them.

use crate::experiment::Experiment;
use serde::Serialize;

/// How soon departures were detected, and false detections. The serialized names are those of
/// `result.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MembershipFigures {
    /// Processes that were killed.
    #[serde(rename = "kills")]
    pub kill_count: usize,
    /// Processes that were shut down gracefully.
    #[serde(rename = "leaves")]
    pub leave_count: usize,
    /// Seconds until 99% of the survivors knew of a kill: the median over all kills.
    #[serde(rename = "known_p50_s")]
    pub detection_p50_s: f64,
    /// The 99th percentile.
    #[serde(rename = "known_p99_s")]
    pub detection_p99_s: f64,
    /// The longest.
    #[serde(rename = "known_worst_s")]
    pub detection_max_s: f64,
    /// The longest after a graceful shutdown.
    #[serde(rename = "left_worst_s")]
    pub leave_detection_max_s: f64,
    /// Departures that fewer than 99% ever knew of.
    #[serde(rename = "unknown")]
    pub undetected_count: usize,
    /// How often a process considered a live one failed.
    #[serde(rename = "false_gone")]
    pub false_failure_count: usize,
    /// How often a process considered a paused one failed.
    #[serde(rename = "false_gone_held")]
    pub paused_failure_count: usize,
    /// How often one that had been shut down gracefully was considered failed.
    #[serde(rename = "left_as_gone")]
    pub leave_as_failure_count: usize,
    /// How often a process suspected another one.
    #[serde(rename = "suspected")]
    pub suspicion_count: usize,
    /// When all views became equal for the last time, in seconds; `None`: they are not.
    #[serde(rename = "equal_since_s")]
    pub converged_since_s: Option<f64>,
    /// Views that are not equal to the most common one, at the end.
    #[serde(rename = "unequal")]
    pub divergent_view_count: usize,
    /// Descriptions of some of the differences.
    pub differences: Vec<String>,
}

/// The expectations of an experiment that were missed, as text.
pub fn missed_expectations(experiment: &Experiment, figures: &MembershipFigures) -> Vec<String> {
    [
        missed_detection(experiment, figures),
        missed_convergence(experiment, figures),
        missed_false_failures(experiment, figures),
        missed_paused_failures(experiment, figures),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// `known_s`: seconds within which 99% of the other balancers know that one was killed.
fn missed_detection(experiment: &Experiment, figures: &MembershipFigures) -> Option<String> {
    let within = experiment.expect.detected_within_s?;
    let is_missed = figures.detection_max_s > within || figures.undetected_count > 0;
    is_missed.then(|| {
        format!(
            "kills were known to 99% within {:.1} s of {within} expected, {} never",
            figures.detection_max_s, figures.undetected_count
        )
    })
}

/// `equal_s`: seconds after the last fault within which all views are equal.
fn missed_convergence(experiment: &Experiment, figures: &MembershipFigures) -> Option<String> {
    let within = experiment.expect.converged_within_s?;
    let ends = experiment
        .faults
        .iter()
        .map(|fault| fault.end(experiment.length).as_secs_f64());
    let last = ends.fold(0.0, f64::max);
    match figures.converged_since_s {
        Some(since) if since <= last + within => None,
        Some(since) => Some(format!(
            "views were equal {:.1} s after the last fault",
            since - last
        )),
        None => Some(format!(
            "{} views are not like the others",
            figures.divergent_view_count
        )),
    }
}

/// `none_taken_for_gone`: no live process is considered failed.
fn missed_false_failures(experiment: &Experiment, figures: &MembershipFigures) -> Option<String> {
    let count = figures.false_failure_count;
    (experiment.expect.no_false_failures && count > 0)
        .then(|| format!("living ones were taken for gone {count} times"))
}

/// `none_stopped_taken_for_gone`: no paused process is considered failed.
fn missed_paused_failures(experiment: &Experiment, figures: &MembershipFigures) -> Option<String> {
    let count = figures.paused_failure_count;
    (experiment.expect.no_paused_failures && count > 0)
        .then(|| format!("stopped ones were taken for gone {count} times"))
}
