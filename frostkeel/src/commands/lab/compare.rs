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

/// What is compared.
#[derive(Args)]
pub struct CompareArgs {
    /// The experiment.
    file: PathBuf,
    /// The experiment that is compared with it; the same unless named.
    other: Option<PathBuf>,
    /// The balancer's program that is compared with; beside this one unless named.
    #[arg(long)]
    before: Option<PathBuf>,
    /// The balancer's program that is compared; beside this one unless named.
    #[arg(long)]
    after: Option<PathBuf>,
    /// Plays of each, on as many seeds.
    #[arg(long, default_value_t = 3)]
    plays: u32,
    #[command(flatten)]
    run: RunArgs,
}

/// One of the two that are compared.
struct Side {
    name: &'static str,
    experiment: Experiment,
    program: PathBuf,
    /// The served shares of the runs that count.
    served_shares: Vec<f64>,
}

/// Runs both sides and prints each run and a summary of each side.
pub fn run(args: CompareArgs) -> CommandResult {
    let sides = sides(&args)?;
    runtime::for_lab()?.block_on(compare(sides, args.plays, &args.run))
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

async fn compare(mut sides: [Side; 2], rounds: u32, args: &RunArgs) -> CommandResult {
    let folder = args.output_folder(&sides[0].experiment.name);
    let first_seed = args.seed.unwrap_or(sides[0].experiment.seed);
    let stop = interrupt_signal();
    let mut all_count = true;
    for round in 0..u64::from(rounds.max(1)) {
        for side in &mut sides {
            let folder = folder.join(format!("{}-{round}", side.name));
            let outcome = side.run(first_seed + round, &folder, &stop).await?;
            all_count &= outcome.void_reason.is_none();
        }
    }
    for side in &mut sides {
        side.print_summary();
    }
    Ok(CommandOutcome::from_check(all_count))
}

impl Side {
    /// Runs the experiment once, and prints and records its result.
    async fn run(
        &mut self,
        seed: u64,
        folder: &Path,
        stop: &watch::Receiver<bool>,
    ) -> Result<RunOutcome, CommandError> {
        let options = RunOptions {
            balancer: self.program.clone(),
            guard: Some(std::env::current_exe()?),
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
            "{:6} seed {seed}: served {:.3}, worst class {:.3}, p99 {:.0} ms, {} breaches{}",
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
                "{name:6} served: median {median:.3}, worst {worst:.3}, best {best:.3} of {} plays",
                shares.len()
            ),
            _ => println!("{name:6} no play counts"),
        }
    }
}
