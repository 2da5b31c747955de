//! Runs an experiment: starts its processes, sends the load, and checks the recorded history.

use super::outcome::{LabOverhead, MembershipOutcome, RunOutcome, missed_expectations};
use super::test_bed::TestBed;
use crate::checks::membership_checks::MembershipChecker;
use crate::checks::{MembershipReport, Rule, Violation, balancer_rules};
use crate::error::LabError;
use crate::experiment::Experiment;
use crate::history::{Event, Recording};
use crate::links::Traffic;
use crate::measurements::figures::figures;
use crate::measurements::processor_seconds;
use crate::standins::UpstreamStatus;
use crate::standins::load::draw_load;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Interval between two reports of the progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Options of a run that the experiment itself does not set.
pub struct RunOptions {
    /// Path of the program that is started as each balancer.
    pub balancer_program: PathBuf,
    /// Path of the program that runs in two roles: as the [guard](crate::guard) of the child
    /// processes when its first argument is `guard`, and as the registry when it is run with the
    /// command `registry`. With `None`, the child processes survive if the lab is killed, and an
    /// experiment with a registry cannot run.
    pub guard_and_registry_program: Option<PathBuf>,
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// Directory for the logs and configurations of the processes; created if it does not exist.
    pub dir: PathBuf,
    /// Interrupts the run when its value becomes `true`.
    pub stop: watch::Receiver<bool>,
}

/// The status of one balancer during a run.
#[derive(Clone, Copy, Debug)]
pub struct BalancerStatus {
    /// Label of its state: `up`, `down`, `stopped` (paused) or `leaving` (shutting down).
    pub state: &'static str,
    /// Number of responses that clients have received from it.
    pub response_count: u64,
}

/// A snapshot of a run in progress, for display.
#[derive(Clone, Debug)]
pub struct RunProgress {
    /// Time since the load began.
    pub elapsed: Duration,
    /// Status of each balancer, in the order of their numbers.
    pub balancers: Vec<BalancerStatus>,
    /// Status of each upstream in the order of their numbers, except replaced ones that no longer
    /// listen.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Measurements from the start of the load until all requests have ended or the run is interrupted.
struct LoadMeasurements {
    is_interrupted: bool,
    /// Time from the start of the load to the end of the measurement.
    elapsed: Duration,
    /// Processor time that the lab's own process used, in seconds.
    processor_s: f64,
    /// Datagrams between the balancers; `None` if the experiment has no membership.
    peer_traffic: Option<Traffic>,
}

/// Runs an experiment and returns its outcome; calls `on_progress` once a second during the load.
pub async fn run(
    experiment: Experiment,
    options: RunOptions,
    mut on_progress: impl FnMut(RunProgress),
) -> Result<RunOutcome, LabError> {
    let mut test_bed = TestBed::start(experiment, &options).await?;
    let arrivals = draw_load(&test_bed.experiment, options.seed);
    // Dropping `load` aborts the clients. It is dropped only after all processes have exited, so
    // that the clients of an interrupted run still receive their last responses.
    let load = Arc::clone(&test_bed.clients).run(arrivals);
    tokio::pin!(load);
    let stop = options.stop.clone();
    let measured = measure_load(&mut test_bed, load.as_mut(), stop, &mut on_progress).await;
    test_bed.stop().await;
    Ok(evaluate(&test_bed, options, &measured))
}

/// Measures the run from the start of the load until all requests have ended or the run is
/// interrupted; calls `on_progress` at regular intervals.
async fn measure_load(
    test_bed: &mut TestBed,
    mut load: Pin<&mut impl Future<Output = ()>>,
    mut stop: watch::Receiver<bool>,
    on_progress: &mut impl FnMut(RunProgress),
) -> LoadMeasurements {
    let processor_before = own_processor_seconds();
    let traffic_before = test_bed.peer_traffic().unwrap_or_default();
    test_bed.begin();
    let mut next_report = Instant::now() + PROGRESS_INTERVAL;
    let is_interrupted = loop {
        tokio::select! {
            () = &mut load => break false,
            _ = stop.wait_for(|stop| *stop) => break true,
            () = sleep_until(next_report) => {
                next_report += PROGRESS_INTERVAL;
                on_progress(progress(test_bed));
            }
        }
    };
    LoadMeasurements {
        is_interrupted,
        elapsed: test_bed.history.now(),
        processor_s: own_processor_seconds() - processor_before,
        peer_traffic: test_bed
            .peer_traffic()
            .map(|traffic| traffic.since(traffic_before)),
    }
}

fn progress(test_bed: &TestBed) -> RunProgress {
    let states = (0..).zip(test_bed.balancers.statuses());
    let status = |(balancer, state)| BalancerStatus {
        state,
        response_count: test_bed.pool.response_count(balancer),
    };
    RunProgress {
        elapsed: test_bed.history.now(),
        balancers: states.map(status).collect(),
        upstreams: test_bed.upstreams.statuses(),
    }
}

/// Returns the outcome of a run: applies the checks to its history, and computes its figures.
fn evaluate(test_bed: &TestBed, options: RunOptions, measured: &LoadMeasurements) -> RunOutcome {
    let experiment = &test_bed.experiment;
    let Recording {
        events,
        dropped_count,
    } = test_bed.history.take();
    let elapsed_s = measured.elapsed.as_secs_f64();
    let cores = measured.processor_s / elapsed_s.max(1e-9);
    let lab = LabOverhead::new(&test_bed.clients.lateness(), cores, dropped_count);
    let figures = figures(experiment, &events);
    let mut violations = balancer_rules::violations(experiment, &events);
    let mut membership = None;
    if let Some(traffic) = measured.peer_traffic {
        let report = check_membership(&events, elapsed_s);
        if experiment.expect.no_running_declared_down {
            violations.extend(report.violations.into_iter().map(|found| Violation {
                rule: Rule::MembershipAccurate,
                at_us: found.at_us,
                description: found.description,
            }));
        }
        let member_seconds = elapsed_s * f64::from(experiment.fleet.balancers);
        membership = Some(MembershipOutcome {
            figures: report.figures,
            datagrams_per_s: traffic.datagrams as f64 / member_seconds,
            bytes_per_s: traffic.bytes as f64 / member_seconds,
        });
    }
    RunOutcome {
        experiment: experiment.name.clone(),
        seed: options.seed,
        balancer: options.balancer_program,
        seconds: measured.elapsed.min(experiment.length).as_secs_f64(),
        is_interrupted: measured.is_interrupted,
        void_reason: lab.void_reason(),
        violations,
        missed_expectations: missed_expectations(experiment, &figures, membership.as_ref()),
        figures,
        max_memory_mb: test_bed.balancers.max_memory_kb() as f64 / 1024.0,
        balancer_cores: test_bed.balancers.core_usage(),
        membership,
        lab,
        events,
    }
}

/// Checks the balancers' views of the membership up to the end of the load. Later events are
/// ignored, because they come from the shutdown of the run.
fn check_membership(events: &[Event], elapsed_s: f64) -> MembershipReport {
    let mut checker = MembershipChecker::default();
    for event in events
        .iter()
        .take_while(|event| event.at_us as f64 <= elapsed_s * 1e6)
    {
        checker.observe(event.at_us, &event.kind);
    }
    checker.finish()
}

/// Returns the processor time that this process has used, in seconds.
fn own_processor_seconds() -> f64 {
    processor_seconds(&std::fs::read_to_string("/proc/self/stat").unwrap_or_default())
}
