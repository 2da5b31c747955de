//! `frostkeel lab simulate`: runs only the state machines of the membership protocol, in simulated time, with the
//! faults that an experiment has for balancers.

use super::{parse_seconds, read_experiment};
use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use clap::Args;
use frostkeel_lab::checks::membership_figures::missed_expectations;
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::reports::size_plot;
use frostkeel_lab::runs::simulation::{SimulationOutcome, simulate};
use std::path::PathBuf;

/// The maximum number of missed expectations, violations and differences that are printed for a simulation.
const MAX_PRINTED_DEVIATIONS: usize = 6;

/// Arguments of `frostkeel lab simulate`.
#[derive(Args)]
pub struct SimulateArgs {
    /// Path of the experiment file, in TOML. It needs `name`, `seconds`, `fleet.balancers` and `fleet.upstreams`.
    file: PathBuf,
    /// Numbers of balancers to simulate, separated by commas, e.g. 10,100 [default: the experiment's number].
    #[arg(long = "members", value_name = "COUNT,...", value_delimiter = ',')]
    member_counts: Vec<u32>,
    /// Seed of the first simulation of each size, an integer [default: the seed of the experiment].
    #[arg(long)]
    seed: Option<u64>,
    /// Number of simulations of each size, on consecutive seeds.
    #[arg(long = "plays", value_name = "COUNT", default_value_t = 1)]
    seed_count: u64,
    /// Simulated time in seconds [default: the duration of the experiment].
    #[arg(long)]
    seconds: Option<f64>,
    /// Let all members know each other from the start; without this flag they have to discover each other.
    #[arg(long)]
    known: bool,
    /// Path of an SVG file to write, which plots detection times and traffic over the sizes.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
}

/// The outcome of a simulation, and the experiment's expectations that it missed.
struct Simulated {
    outcome: SimulationOutcome,
    missed: Vec<String>,
}

/// Simulates each fleet size on each seed, and prints a line for each simulation.
pub fn run(args: &SimulateArgs) -> CommandResult {
    let mut experiment = read_experiment(&args.file)?;
    if let Some(seconds) = args.seconds {
        experiment.length = parse_seconds(seconds)?;
    }
    let experiment_size = [experiment.fleet.balancers];
    let sizes = if args.member_counts.is_empty() {
        &experiment_size[..]
    } else {
        &args.member_counts
    };
    print_header();
    let mut outcomes = Vec::new();
    let mut expectations_met = true;
    for size in sizes {
        experiment.fleet.balancers = *size;
        for simulated in simulate_seeds(&experiment, args) {
            let simulated = simulated?;
            print_row(&simulated.outcome);
            print_deviations(&experiment, &simulated);
            expectations_met &= simulated.missed.is_empty();
            outcomes.push(simulated.outcome);
        }
    }
    if let Some(path) = &args.plot {
        std::fs::write(path, size_plot(&outcomes))?;
    }
    Ok(CommandOutcome::from_check(expectations_met))
}

/// Simulates an experiment on all seeds concurrently. The results are in the order of the seeds.
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
        let seeds = first_seed..first_seed + args.seed_count;
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
        outcome.member_count,
        outcome.seed,
        outcome.seconds,
        outcome.datagrams_per_s,
        outcome.bytes_per_s,
        figures.kill_count,
        figures.detection_p50_s,
        figures.detection_p99_s,
        figures.detection_max_s,
        figures.running_declared_down_count,
        figures.paused_declared_down_count,
        converged_since.as_deref().unwrap_or("never"),
        figures.divergent_view_count
    );
}

fn print_deviations(experiment: &Experiment, simulated: &Simulated) {
    let Simulated { outcome, missed } = simulated;
    let violations = if experiment.expect.no_running_declared_down {
        &outcome.violations[..]
    } else {
        &[]
    };
    let deviations = missed
        .iter()
        .chain(violations)
        .chain(&outcome.figures.differences);
    for deviation in deviations.take(MAX_PRINTED_DEVIATIONS) {
        println!("        deviation: {deviation}");
    }
}
