//! The figures of membership, and the expectations that an experiment has of them.

use crate::experiment::Experiment;
use serde::Serialize;

/// The times until departures were detected, and the counts of false detections. Times are in
/// seconds, and 0 if no departure was detected. The serialized names are those of `result.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MembershipFigures {
    /// Number of processes that were killed or have crashed.
    #[serde(rename = "kills")]
    pub kill_count: usize,
    /// Number of processes that were shut down gracefully.
    #[serde(rename = "leaves")]
    pub leave_count: usize,
    /// Median time from a kill until 99% of the surviving members had detected it.
    #[serde(rename = "known_p50_s")]
    pub detection_p50_s: f64,
    /// 99th percentile of the time from a kill until 99% of the surviving members had detected it.
    #[serde(rename = "known_p99_s")]
    pub detection_p99_s: f64,
    /// Longest time from a kill until 99% of the surviving members had detected it.
    #[serde(rename = "known_worst_s")]
    pub detection_max_s: f64,
    /// Longest time from a graceful shutdown until 99% of the surviving members had detected it.
    #[serde(rename = "left_worst_s")]
    pub leave_detection_max_s: f64,
    /// Number of departures that fewer than 99% of the surviving members ever detected.
    #[serde(rename = "unknown")]
    pub undetected_count: usize,
    /// Number of times that a process declared a running member left or dead. Paused members are
    /// not included.
    #[serde(rename = "false_gone")]
    pub running_declared_down_count: usize,
    /// Number of times that a process declared a paused member left or dead.
    #[serde(rename = "false_gone_held")]
    pub paused_declared_down_count: usize,
    /// Number of times that a process declared a member dead, instead of left, that had been shut
    /// down gracefully.
    #[serde(rename = "left_as_gone")]
    pub left_declared_dead_count: usize,
    /// Number of times that a process suspected a member.
    #[serde(rename = "suspected")]
    pub suspicion_count: usize,
    /// Time in seconds since which all views have been equal; `None` if they differ at the end.
    #[serde(rename = "equal_since_s")]
    pub converged_since_s: Option<f64>,
    /// Number of views that differ from the most common one at the end.
    #[serde(rename = "unequal")]
    pub divergent_view_count: usize,
    /// Descriptions of differences between views at the end, limited in number.
    pub differences: Vec<String>,
}

/// Returns a description of each expectation of the experiment that was missed.
pub fn missed_expectations(experiment: &Experiment, figures: &MembershipFigures) -> Vec<String> {
    [
        check_detection(experiment, figures),
        check_convergence(experiment, figures),
        check_running_declared_down(experiment, figures),
        check_paused_declared_down(experiment, figures),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Checks `known_s`: the seconds within which 99% of the other balancers detect a kill. A departure
/// that was never detected also misses the expectation.
fn check_detection(experiment: &Experiment, figures: &MembershipFigures) -> Option<String> {
    let within = experiment.expect.detected_within_s?;
    let is_missed = figures.detection_max_s > within || figures.undetected_count > 0;
    is_missed.then(|| {
        format!(
            "99% of the members detected the kills within {:.1} s, expected {within} s; {} \
             departures were not detected",
            figures.detection_max_s, figures.undetected_count
        )
    })
}

/// Checks `equal_s`: the seconds after the last fault within which all views are equal.
fn check_convergence(experiment: &Experiment, figures: &MembershipFigures) -> Option<String> {
    let within = experiment.expect.converged_within_s?;
    let ends = experiment
        .faults
        .iter()
        .map(|fault| fault.end(experiment.length).as_secs_f64());
    let last = ends.fold(0.0, f64::max);
    match figures.converged_since_s {
        Some(since) if since <= last + within => None,
        Some(since) => Some(format!(
            "views were equal {:.1} s after the last fault, expected {within} s",
            since - last
        )),
        None => Some(format!(
            "{} views differ from the most common view at the end",
            figures.divergent_view_count
        )),
    }
}

/// Checks `none_taken_for_gone`: no running process is declared left or dead.
fn check_running_declared_down(
    experiment: &Experiment,
    figures: &MembershipFigures,
) -> Option<String> {
    let count = figures.running_declared_down_count;
    (experiment.expect.no_running_declared_down && count > 0)
        .then(|| format!("live processes were declared left or dead {count} times, expected 0"))
}

/// Checks `none_stopped_taken_for_gone`: no paused process is declared left or dead.
fn check_paused_declared_down(
    experiment: &Experiment,
    figures: &MembershipFigures,
) -> Option<String> {
    let count = figures.paused_declared_down_count;
    (experiment.expect.no_paused_declared_down && count > 0)
        .then(|| format!("paused processes were declared left or dead {count} times, expected 0"))
}
