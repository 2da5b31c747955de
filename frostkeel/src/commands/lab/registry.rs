//! `frostkeel lab registry`: runs watchers and writers on a registry process that is killed and restarted.

use super::{RunArgs, parse_seconds};
use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use crate::runtime;
use clap::Args;
use frostkeel_lab::runs::registry_run::{RegistryRunOptions, RegistryRunOutcome, run_registry};
use std::ops::RangeInclusive;

/// The name of the run, which is part of the name of the default output folder.
const RUN_NAME: &str = "registry";
const DEFAULT_SEED: u64 = 1;
/// The range of `--changes`: changes per second, by all writers together.
const CHANGES_PER_S_RANGE: RangeInclusive<f64> = 0.1..=100_000.0;

/// Arguments of `frostkeel lab registry`.
#[derive(Args)]
pub struct RegistryRunArgs {
    /// Number of clients that watch the endpoint list, at least 1.
    #[arg(long, value_name = "COUNT", default_value_t = 1000)]
    watchers: u32,
    /// Number of upstreams on the endpoint list, at least 1.
    #[arg(long, value_name = "COUNT", default_value_t = 200)]
    upstreams: u32,
    /// Changes of the endpoint list per second by all writers together, 0.1 to 100000.
    #[arg(long = "changes", value_name = "PER_SECOND", default_value_t = 50.0)]
    changes_per_s: f64,
    /// Number of clients that write the changes, at least 1.
    #[arg(long, value_name = "COUNT", default_value_t = 10)]
    writers: u32,
    /// Time in seconds for which changes are written.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Number of times that the registry is killed and restarted during that time, at equal intervals.
    #[arg(long, value_name = "COUNT", default_value_t = 0)]
    kills: u32,
    #[command(flatten)]
    run: RunArgs,
}

/// Runs the load, and prints how soon the watchers received the changes and which rules were violated.
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
    if !has_load || !CHANGES_PER_S_RANGE.contains(&args.changes_per_s) {
        return Err(CommandError::RegistryLoad);
    }
    Ok(RegistryRunOptions {
        watcher_count: args.watchers,
        upstream_count: args.upstreams,
        changes_per_s: args.changes_per_s,
        writer_count: args.writers,
        duration,
        kill_count: args.kills,
        seed: args.run.seed.unwrap_or(DEFAULT_SEED),
    })
}

fn print_outcome(outcome: &RegistryRunOutcome) {
    println!(
        "{} changes acknowledged after {:.1} ms (median), {:.1} ms (99th percentile), {} without a response; \
         99% of the watchers received them after {:.1} ms (median), {:.1} ms (99th percentile), {:.1} ms \
         at most; {} lines received",
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
        println!("  VIOLATION: {violation}");
    }
}
