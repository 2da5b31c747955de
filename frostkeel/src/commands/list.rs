//! `frostkeel list`: prints the endpoint list of a registry, once or at each change.

use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use crate::runtime;
use bytes::{Bytes, BytesMut};
use clap::Args;
use frostkeel_registry::client::{CompleteResponse, call, send_request};
use frostkeel_registry::endpoint::EndpointUpdate;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;

const LIST_TARGET: &str = "/registry/instances";
/// A watch from the beginning: first the complete list, then each change.
const WATCH_TARGET: &str = "/registry/instances?stream=1&index=0";

/// Shows the list of a list service.
#[derive(Args)]
pub struct ListArgs {
    /// Its reading address.
    #[arg(long)]
    read: SocketAddr,
    /// Go on, and show each change.
    #[arg(long)]
    watch: bool,
    /// Write what the service says, in JSON, one line for each.
    #[arg(long)]
    json: bool,
}

/// Prints the list, and with `--watch` each change until the registry ends the watch.
pub fn run(args: &ListArgs) -> CommandResult {
    let runtime = runtime::multi_threaded()?;
    if args.watch {
        runtime.block_on(print_changes(args))
    } else {
        runtime.block_on(print_once(args))
    }
}

async fn print_once(args: &ListArgs) -> CommandResult {
    let response = call(args.read, Method::GET, LIST_TARGET, String::new()).await;
    let CompleteResponse { status, body } = response?;
    if status != StatusCode::OK {
        let message = String::from_utf8_lossy(&body).trim().to_owned();
        return Err(CommandError::RegistryRejected {
            subject: args.read.to_string(),
            message,
        });
    }
    print_update(&body, args.json)?;
    Ok(CommandOutcome::Passed)
}

async fn print_changes(args: &ListArgs) -> CommandResult {
    let response = send_request(args.read, Method::GET, WATCH_TARGET, String::new()).await;
    let mut body = response?.into_body();
    let mut pending = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        pending.extend_from_slice(&data);
        while let Some(line) = next_line(&mut pending) {
            // The registry sends blank lines as heartbeats of an idle watch.
            if !line.trim_ascii().is_empty() {
                print_update(&line, args.json)?;
            }
        }
    }
    Err(CommandError::WatchEnded {
        registry: args.read,
    })
}

/// Splits off the first line, with its end; `None` if it isn't complete yet.
fn next_line(pending: &mut BytesMut) -> Option<Bytes> {
    let end = pending.iter().position(|byte| *byte == b'\n')?;
    Some(pending.split_to(end + 1).freeze())
}

fn print_update(text: &Bytes, json: bool) -> Result<(), CommandError> {
    if json {
        println!("{}", String::from_utf8_lossy(text).trim());
        return Ok(());
    }
    let update: EndpointUpdate = serde_json::from_slice(text)?;
    println!(
        "version {}{}",
        update.revision,
        if update.is_snapshot {
            ", the whole list"
        } else {
            ""
        }
    );
    for endpoint in &update.records {
        println!(
            "  {:20} {:22} {:8} {:8} {} weight {:<6} start {}",
            endpoint.uid,
            endpoint.address,
            endpoint.zone,
            endpoint.model,
            endpoint.state,
            endpoint.weight,
            endpoint.boot_ms
        );
    }
    Ok(())
}
