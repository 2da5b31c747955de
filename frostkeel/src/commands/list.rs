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
/// The target of a watch from index 0, which delivers the complete list first and then each change.
const WATCH_TARGET: &str = "/registry/instances?stream=1&index=0";

/// Arguments of `frostkeel list`.
#[derive(Args)]
pub struct ListArgs {
    /// Address of the registry's interface for reads and watches, e.g. 127.0.0.1:7101.
    #[arg(long = "read", value_name = "ADDRESS")]
    read_address: SocketAddr,
    /// Print the list, then each change of it, until the registry ends the watch.
    #[arg(long)]
    watch: bool,
    /// Print the registry's JSON as received, one line for each list or change, instead of a table.
    #[arg(long)]
    json: bool,
}

/// Prints the list. With `--watch`, then prints each change, and returns an error when the registry ends the watch.
pub fn run(args: &ListArgs) -> CommandResult {
    let runtime = runtime::multi_threaded()?;
    if args.watch {
        runtime.block_on(print_changes(args))
    } else {
        runtime.block_on(print_once(args))
    }
}

async fn print_once(args: &ListArgs) -> CommandResult {
    let response = call(args.read_address, Method::GET, LIST_TARGET, String::new()).await;
    let CompleteResponse { status, body } = response?;
    if status != StatusCode::OK {
        let message = String::from_utf8_lossy(&body).trim().to_owned();
        return Err(CommandError::RegistryRejected {
            subject: args.read_address.to_string(),
            message,
        });
    }
    print_update(&body, args.json)?;
    Ok(CommandOutcome::Passed)
}

async fn print_changes(args: &ListArgs) -> CommandResult {
    let response = send_request(args.read_address, Method::GET, WATCH_TARGET, String::new()).await;
    let mut body = response?.into_body();
    let mut pending = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        pending.extend_from_slice(&data);
        while let Some(line) = next_line(&mut pending) {
            // A blank line is a heartbeat, which the registry sends on an idle watch.
            if !line.trim_ascii().is_empty() {
                print_update(&line, args.json)?;
            }
        }
    }
    Err(CommandError::WatchEnded {
        registry: args.read_address,
    })
}

/// Removes and returns the first line, including its line feed. `None` if no line is complete yet.
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
        "revision {}{}",
        update.revision,
        if update.is_snapshot {
            ", the complete list"
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
