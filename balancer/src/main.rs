//! The program: reads its configuration, writes its log to standard error and serves until it is told to end.

use frostkeel_balancer::config::Config;
use frostkeel_balancer::process;
use std::error::Error;
use std::process::ExitCode;
use tokio::runtime::LocalOptions;
use tracing::level_filters::LevelFilter;

fn main() -> ExitCode {
    let level = std::env::var("NODE_LOG")
        .ok()
        .and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("frostkeel-balancer: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    runtime.block_on(process::serve(config))
}
