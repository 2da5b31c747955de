//! `frostkeel registry`: runs a registry server, or prints the status of one.

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

/// Arguments of `frostkeel registry`.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct RegistryArgs {
    /// Path of the registry's configuration, in TOML; runs a registry with it until a signal ends it.
    ///
    /// Required keys: `fleet` and `name` (not empty), `read` and `write` (addresses to listen on), `folder` (for the data).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    query: Option<RegistryQuery>,
}

#[derive(Subcommand)]
enum RegistryQuery {
    /// Print the status of a running registry as JSON.
    Status {
        /// Address of the registry's interface for writes, status and metrics, e.g. 127.0.0.1:7100.
        #[arg(long = "write", value_name = "ADDRESS")]
        write_address: SocketAddr,
    },
}

/// Runs a registry server until it receives a signal to end, or prints the status of a running one.
pub fn run(args: RegistryArgs) -> CommandResult {
    match (args.config, args.query) {
        (Some(path), None) => serve(path),
        (None, Some(RegistryQuery::Status { write_address })) => print_status(write_address),
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
