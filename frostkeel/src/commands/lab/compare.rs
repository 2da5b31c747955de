//! `frostkeel lab compare`: runs two programs or two experiments in turn on the same seeds.

use super::{RunArgs, interrupt_signal, read_experiment};
use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use crate::runtime;
use clap::Args;
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::{RunOptions, RunOutcome, run as run_experiment};
use std::path::{Path, PathBuf};
use tokio::sync::watch;

/// Arguments of `frostkeel lab compare`.
#[derive(Args)]
pub struct CompareArgs {
    /// Path of the experiment file of the side `before`, in TOML, with the keys that `lab run` needs.
    file: PathBuf,
    /// Path of the experiment file of the side `after` [default: the same file].
    #[arg(value_name = "OTHER_FILE")]
    other: Option<PathBuf>,
    /// Path of the balancer program of the side `before` [default: the program of --balancer].
    #[arg(long, value_name = "PROGRAM")]
    before: Option<PathBuf>,
    /// Path of the balancer program of the side `after` [default: the program of --balancer].
    #[arg(long, value_name = "PROGRAM")]
    after: Option<PathBuf>,
    /// Number of runs of each side, on consecutive seeds.
    #[arg(long = "plays", value_name = "COUNT", default_value_t = 3)]
    run_count: u32,
    #[command(flatten)]
    run: RunArgs,
}

/// One of the two experiments and balancer programs that are compared.
struct Side {
    name: &'static str,
    experiment: Experiment,
    program: PathBuf,
    /// The share of the requested priority weight that was served within the latency objective, in each run that is not
    /// void.
    served_shares: Vec<f64>,
}

/// Runs both sides in turn, and prints each run and a summary of each side.
pub fn run(args: CompareArgs) -> CommandResult {
    let sides = sides(&args)?;
    runtime::for_lab()?.block_on(compare(sides, args.run_count, &args.run))
}

fn sides(args: &CompareArgs) -> Result<[Side; 2], CommandError> {
    if args.other.is_none() && args.before == args.after {
        return Err(CommandError::NothingToCompare);
    }
    let before = read_experiment(&args.file)?;
    let after = match &args.other {
        Some(other) => read_experiment(other)?,
        None => before.clone(),
    };
    let default_program = args.run.balancer_program()?;
    let program =
        |named: &Option<PathBuf>| named.clone().unwrap_or_else(|| default_program.clone());
    let side = |name, experiment, program| Side {
        name,
        experiment,
        program,
        served_shares: Vec::new(),
    };
    Ok([
        side("before", before, program(&args.before)),
        side("after", after, program(&args.after)),
    ])
}

async fn compare(mut sides: [Side; 2], run_count: u32, args: &RunArgs) -> CommandResult {
    let folder = args.output_folder(&sides[0].experiment.name);
    let first_seed = args.seed.unwrap_or(sides[0].experiment.seed);
    let stop = interrupt_signal();
    let mut all_valid = true;
    for round in 0..u64::from(run_count.max(1)) {
        for side in &mut sides {
            let folder = folder.join(format!("{}-{round}", side.name));
            let outcome = side.run(first_seed + round, &folder, &stop).await?;
            all_valid &= outcome.void_reason.is_none();
        }
    }
    for side in &mut sides {
        side.print_summary();
    }
    Ok(CommandOutcome::from_check(all_valid))
}

impl Side {
    /// Runs the experiment once, prints its result, and records its served share unless the run is void.
    async fn run(
        &mut self,
        seed: u64,
        folder: &Path,
        stop: &watch::Receiver<bool>,
    ) -> Result<RunOutcome, CommandError> {
        let options = RunOptions {
            balancer_program: self.program.clone(),
            guard_and_registry_program: Some(std::env::current_exe()?),
            seed,
            dir: folder.to_owned(),
            stop: stop.clone(),
        };
        let outcome = run_experiment(self.experiment.clone(), options, |_| ()).await?;
        if *stop.borrow() {
            return Err(CommandError::Interrupted);
        }
        self.print_run(seed, &outcome);
        if outcome.void_reason.is_none() {
            self.served_shares.push(outcome.figures.served_share);
        }
        Ok(outcome)
    }

    fn print_run(&self, seed: u64, outcome: &RunOutcome) {
        let figures = &outcome.figures;
        let void = outcome.void_reason.as_ref();
        let void = void.map(|reason| format!(", VOID: {reason}"));
        println!(
            "{:6} seed {seed}: served {:.3}, worst class {:.3}, p99 {:.0} ms, {} violations{}",
            self.name,
            figures.served_share,
            figures.worst_class_share,
            figures.p99_ms,
            outcome.violations.len(),
            void.unwrap_or_default()
        );
    }

    fn print_summary(&mut self) {
        let name = self.name;
        self.served_shares.sort_by(f64::total_cmp);
        let shares = &self.served_shares;
        let median = shares.get(shares.len() / 2);
        match (shares.first(), median, shares.last()) {
            (Some(worst), Some(median), Some(best)) => println!(
                "{name:6} served: median {median:.3}, worst {worst:.3}, best {best:.3} of {} runs",
                shares.len()
            ),
            _ => println!("{name:6} no valid run"),
        }
    }
}
