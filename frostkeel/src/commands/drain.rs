//! `frostkeel drain`: asks a registry to drain an upstream.

use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use crate::runtime;
use clap::Args;
use frostkeel_registry::client::{CompleteResponse, call};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;

/// Arguments of `frostkeel drain`.
#[derive(Args)]
pub struct DrainArgs {
    /// Identifier of the upstream, as in the first column of `frostkeel list`, e.g. u2.
    uid: String,
    /// Address of the registry's interface for writes, e.g. 127.0.0.1:7100.
    #[arg(long = "write", value_name = "ADDRESS")]
    write_address: SocketAddr,
}

/// Sends the request and prints the registry's response.
pub fn run(args: &DrainArgs) -> CommandResult {
    let target = format!("/upstreams/{}/drain", args.uid);
    let response = runtime::multi_threaded()?.block_on(call(
        args.write_address,
        Method::POST,
        &target,
        String::new(),
    ));
    let CompleteResponse { status, body } = response?;
    let body = String::from_utf8_lossy(&body);
    let message = body.trim();
    if status != StatusCode::OK {
        return Err(CommandError::RegistryRejected {
            subject: args.uid.clone(),
            message: message.to_owned(),
        });
    }
    println!("{}: draining, {message}", args.uid);
    Ok(CommandOutcome::Passed)
}
