//! `frostkeel lab simulate`: an experiment's faults on the membership's state machines alone, in simulated time.

use super::{parse_seconds, read_experiment};
use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use clap::Args;
use frostkeel_lab::checks::membership_figures::missed_expectations;
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::reports::size_plot;
use frostkeel_lab::runs::simulation::{SimulationOutcome, simulate};
use std::path::PathBuf;

/// Lines about what went wrong in a simulation.
const MAX_PRINTED_DEVIATIONS: usize = 6;

/// What is simulated.
#[derive(Args)]
pub struct SimulateArgs {
    /// The experiment.
    file: PathBuf,
    /// Sizes of the fleet, in place of the experiment's own.
    #[arg(long, value_delimiter = ',')]
    members: Vec<u32>,
    /// Seed in place of the experiment's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Plays of each size, on as many seeds.
    #[arg(long, default_value_t = 1)]
    plays: u64,
    /// Seconds in place of the experiment's own.
    #[arg(long)]
    seconds: Option<f64>,
    /// All know each other from the start on; unless said, they have to find each other.
    #[arg(long)]
    known: bool,
    /// A plot over the sizes, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// A simulation and the expectations of the experiment that it missed.
struct Simulated {
    outcome: SimulationOutcome,
    missed: Vec<String>,
}

/// Simulates each size on each seed and prints a line for each.
pub fn run(args: &SimulateArgs) -> CommandResult {
    let mut experiment = read_experiment(&args.file)?;
    if let Some(seconds) = args.seconds {
        experiment.length = parse_seconds(seconds)?;
    }
    let own_size = [experiment.fleet.balancers];
    let sizes = if args.members.is_empty() {
        &own_size[..]
    } else {
        &args.members
    };
    print_header();
    let mut outcomes = Vec::new();
    let mut expectations_held = true;
    for size in sizes {
        experiment.fleet.balancers = *size;
        for simulated in simulate_seeds(&experiment, args) {
            let simulated = simulated?;
            print_row(&simulated.outcome);
            print_deviations(&experiment, &simulated);
            expectations_held &= simulated.missed.is_empty();
            outcomes.push(simulated.outcome);
        }
    }
    if let Some(path) = &args.plot {
        std::fs::write(path, size_plot(&outcomes))?;
    }
    Ok(CommandOutcome::from_check(expectations_held))
}

/// Simulates an experiment on all seeds at the same time; the results are in the order of the seeds.
fn simulate_seeds(
    experiment: &Experiment,
    args: &SimulateArgs,
) -> Vec<Result<Simulated, CommandError>> {
    let first_seed = args.seed.unwrap_or(experiment.seed);
    let simulate_seed = |seed| -> Result<Simulated, CommandError> {
        let outcome = simulate(experiment, seed, args.known)?;
        let missed = missed_expectations(experiment, &outcome.figures);
        Ok(Simulated { outcome, missed })
    };
    std::thread::scope(|scope| {
        let seeds = first_seed..first_seed + args.plays;
        let threads: Vec<_> = seeds
            .map(|seed| scope.spawn(move || simulate_seed(seed)))
            .collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    })
}

fn print_header() {
    println!(
        "{:>7} {:>5} {:>9} {:>6} {:>7} {:>5} {:>6} {:>6} {:>6} {:>6} {:>6} {:>8} {:>8}",
        "members",
        "seed",
        "seconds",
        "dgrams",
        "bytes",
        "kills",
        "p50 s",
        "p99 s",
        "worst",
        "false",
        "held",
        "equal s",
        "unequal"
    );
}

fn print_row(outcome: &SimulationOutcome) {
    let figures = &outcome.figures;
    let converged_since = figures
        .converged_since_s
        .map(|seconds| format!("{seconds:.1}"));
    println!(
        "{:>7} {:>5} {:>9.0} {:>6.2} {:>7.1} {:>5} {:>6.2} {:>6.2} {:>6.2} {:>6} {:>6} {:>8} {:>8}",
        outcome.members,
        outcome.seed,
        outcome.seconds,
        outcome.datagrams_per_s,
        outcome.bytes_per_s,
        figures.kill_count,
        figures.detection_p50_s,
        figures.detection_p99_s,
        figures.detection_max_s,
        figures.false_failure_count,
        figures.paused_failure_count,
        converged_since.as_deref().unwrap_or("never"),
        figures.divergent_view_count
    );
}

fn print_deviations(experiment: &Experiment, simulated: &Simulated) {
    let Simulated { outcome, missed } = simulated;
    let violations = if experiment.expect.no_false_failures {
        &outcome.violations[..]
    } else {
        &[]
    };
    let deviations = missed
        .iter()
        .chain(violations)
        .chain(&outcome.figures.differences);
    for deviation in deviations.take(MAX_PRINTED_DEVIATIONS) {
        println!("        missed: {deviation}");
    }
}
