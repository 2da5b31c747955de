//! One run of an experiment, from the first process to the outcome.

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

/// How often progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// How a run is made.
pub struct RunOptions {
    /// The balancers' program.
    pub balancer: PathBuf,
    /// The program that guards the children, with `guard` as its first argument, and is the
    /// registry.
    pub guard: Option<PathBuf>,
    /// The seed.
    pub seed: u64,
    /// Where logs and configurations go.
    pub dir: PathBuf,
    /// Set to `true`, it interrupts the run.
    pub stop: watch::Receiver<bool>,
}

/// The status of a balancer in a run.
#[derive(Clone, Copy, Debug)]
pub struct BalancerStatus {
    /// Its state, as a label.
    pub state: &'static str,
    /// How many responses clients have had from it.
    pub response_count: u64,
}

/// The progress of a run.
#[derive(Clone, Debug)]
pub struct RunProgress {
    /// Time since the load began.
    pub elapsed: Duration,
    /// The status of each balancer.
    pub balancers: Vec<BalancerStatus>,
    /// The status of each upstream that is not removed.
    pub upstreams: Vec<UpstreamStatus>,
}

/// What was measured while the load was sent.
struct LoadMeasurements {
    is_interrupted: bool,
    elapsed: Duration,
    /// Processor time of the lab, in seconds.
    processor_s: f64,
    /// Between the balancers, where they have membership.
    peer_traffic: Option<Traffic>,
}

/// Runs an experiment; its progress is reported every second.
pub async fn run(
    experiment: Experiment,
    options: RunOptions,
    mut on_progress: impl FnMut(RunProgress),
) -> Result<RunOutcome, LabError> {
    let mut test_bed = TestBed::start(experiment, &options).await?;
    let arrivals = draw_load(&test_bed.experiment, options.seed);
    // Dropped only when all processes have exited: the clients of an interrupted run receive their
    // last responses meanwhile.
    let load = Arc::clone(&test_bed.clients).run(arrivals);
    tokio::pin!(load);
    let stop = options.stop.clone();
    let measured = measure_load(&mut test_bed, load.as_mut(), stop, &mut on_progress).await;
    test_bed.stop().await;
    Ok(judge(&test_bed, options, &measured))
}

/// Sends the load, until all of it is done or the run is interrupted.
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

/// Checks the history of a run and computes its figures.
fn judge(test_bed: &TestBed, options: RunOptions, measured: &LoadMeasurements) -> RunOutcome {
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
        if experiment.expect.no_false_failures {
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
        balancer: options.balancer,
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

/// Checks the views of the balancers up to the end of the load: the shutdown is no part of the run.
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

/// Processor time that this process has used, in seconds.
fn own_processor_seconds() -> f64 {
    processor_seconds(&std::fs::read_to_string("/proc/self/stat").unwrap_or_default())
}
