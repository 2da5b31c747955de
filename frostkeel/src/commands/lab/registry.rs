//! `frostkeel lab registry`: watchers and writers on a registry that is killed repeatedly.

use super::{RunArgs, parse_seconds};
use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use crate::runtime;
use clap::Args;
use frostkeel_lab::runs::registry_run::{RegistryRunOptions, RegistryRunOutcome, run_registry};
use std::ops::RangeInclusive;

/// The name of the folder with the results.
const RUN_NAME: &str = "registry";
const DEFAULT_SEED: u64 = 1;
/// Changes a second that the writers can make.
const CHANGE_RATES: RangeInclusive<f64> = 0.1..=100_000.0;

/// The load on the registry.
#[derive(Args)]
pub struct RegistryRunArgs {
    /// Watchers.
    #[arg(long, default_value_t = 1000)]
    watchers: u32,
    /// Upstreams on the list.
    #[arg(long, default_value_t = 200)]
    upstreams: u32,
    /// Changes a second.
    #[arg(long, default_value_t = 50.0)]
    changes: f64,
    /// Writers that send them.
    #[arg(long, default_value_t = 10)]
    writers: u32,
    /// For so long.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Times that the service is killed meanwhile.
    #[arg(long, default_value_t = 0)]
    kills: u32,
    #[command(flatten)]
    run: RunArgs,
}

/// Runs the load and prints how soon the watchers had the changes.
pub fn run(args: &RegistryRunArgs) -> CommandResult {
    let options = run_options(args)?;
    let folder = args.run.output_folder(RUN_NAME);
    let program = std::env::current_exe()?;
    let outcome = runtime::for_lab()?.block_on(run_registry(program, &folder, options))?;
    print_outcome(&outcome);
    Ok(CommandOutcome::from_check(outcome.violations.is_empty()))
}

fn run_options(args: &RegistryRunArgs) -> Result<RegistryRunOptions, CommandError> {
    let duration = parse_seconds(args.seconds)?;
    let has_load = args.watchers > 0 && args.writers > 0 && args.upstreams > 0;
    if !has_load || !CHANGE_RATES.contains(&args.changes) {
        return Err(CommandError::RegistryLoad);
    }
    Ok(RegistryRunOptions {
        watchers: args.watchers,
        upstreams: args.upstreams,
        changes_per_s: args.changes,
        writers: args.writers,
        duration,
        kills: args.kills,
        seed: args.run.seed.unwrap_or(DEFAULT_SEED),
    })
}

fn print_outcome(outcome: &RegistryRunOutcome) {
    println!(
        "{} changes acknowledged after {:.1} ms (median), {:.1} ms (99th percentile), {} without an answer; \
         99% of the watchers had them after {:.1} ms (median), {:.1} ms (99th percentile), {:.1} ms \
         at worst; {} lines",
        outcome.acknowledged_count,
        outcome.acknowledgement.p50_ms,
        outcome.acknowledgement.p99_ms,
        outcome.failed_count,
        outcome.delivery.p50_ms,
        outcome.delivery.p99_ms,
        outcome.delivery.max_ms,
        outcome.line_count
    );
    for violation in &outcome.violations {
        println!("  BROKEN: {violation}");
    }
}
