//! The program `frostkeel-balancer`. It reads its configuration, logs to standard error and serves until SIGTERM.

use frostkeel_balancer::config::{Config, ConfigError};
use frostkeel_balancer::process::{self, StartError};
use std::io;
use std::process::ExitCode;
use tokio::runtime::LocalOptions;
use tracing::level_filters::LevelFilter;

/// The reason why the program exits with a failure.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Runtime(#[from] io::Error),
    #[error(transparent)]
    Start(#[from] StartError),
}

fn main() -> ExitCode {
    let level = std::env::var("NODE_LOG")
        .ok()
        .and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        // Otherwise a line that cannot be written is reported on standard error too, which ends the process.
        .log_internal_errors(false)
        .init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("frostkeel-balancer: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), ProgramError> {
    let config = Config::from_env()?;
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build_local(LocalOptions::default())?;
    Ok(runtime.block_on(process::serve(config))?)
}
