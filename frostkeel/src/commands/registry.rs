//! `frostkeel registry`: runs a registry server, or asks one for its status.

use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use crate::runtime;
use clap::{Args, Subcommand};
use frostkeel_registry::client::{CompleteResponse, call};
use frostkeel_registry::config::Config;
use frostkeel_registry::service;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Runs a list service, or asks one how it stands.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct RegistryArgs {
    /// Its configuration, in TOML.
    #[arg(long)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    query: Option<RegistryQuery>,
}

#[derive(Subcommand)]
enum RegistryQuery {
    /// Say how a list service stands.
    Status {
        /// Its writing address.
        #[arg(long)]
        write: SocketAddr,
    },
}

/// Runs a registry server until it receives a signal to end, or prints the status of one.
pub fn run(args: RegistryArgs) -> CommandResult {
    match (args.config, args.query) {
        (Some(path), None) => serve(path),
        (None, Some(RegistryQuery::Status { write })) => print_status(write),
        _ => Err(CommandError::NoRegistryAction),
    }
}

fn serve(path: PathBuf) -> CommandResult {
    let config = read_config(&path)?;
    runtime::multi_threaded()?.block_on(service::run(config))?;
    Ok(CommandOutcome::Passed)
}

fn read_config(path: &Path) -> Result<Config, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::ReadFile {
        path: path.to_owned(),
        source,
    })?;
    Config::parse(&text).map_err(|source| CommandError::RegistryConfig {
        path: path.to_owned(),
        source,
    })
}

fn print_status(registry: SocketAddr) -> CommandResult {
    let response =
        runtime::multi_threaded()?.block_on(call(registry, Method::GET, "/status", String::new()));
    let CompleteResponse { status, body } = response?;
    print!("{}", String::from_utf8_lossy(&body));
    Ok(CommandOutcome::from_check(status == StatusCode::OK))
}
