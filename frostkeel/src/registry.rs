//! `frostkeel registry`, `frostkeel list` and `frostkeel drain`.

use bytes::{Bytes, BytesMut};
use clap::{Args, Subcommand};
use frostkeel_registry::client::{CompleteResponse, call, send_request};
use frostkeel_registry::endpoint::EndpointUpdate;
use frostkeel_registry::{config::Config, service};
use http_body_util::BodyExt;
use hyper::Method;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

type Done = Result<ExitCode, Box<dyn Error>>;

/// Runs a list service, or asks one how it stands.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Registry {
    /// Its configuration, in TOML.
    #[arg(long)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    ask: Option<Ask>,
}

#[derive(Subcommand)]
enum Ask {
    /// Say how a list service stands.
    Status {
        /// Its writing address.
        #[arg(long)]
        write: SocketAddr,
    },
}

/// Shows the list of a list service.
#[derive(Args)]
pub struct List {
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

/// Lets an upstream get nothing new.
#[derive(Args)]
pub struct Drain {
    /// Whom.
    uid: String,
    /// The list service's writing address.
    #[arg(long)]
    write: SocketAddr,
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
}

pub fn run(command: Registry) -> Done {
    match (command.config, command.ask) {
        (Some(path), None) => {
            let text =
                std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
            let config = Config::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
            runtime()?.block_on(service::run(config))?;
            Ok(ExitCode::SUCCESS)
        }
        (None, Some(Ask::Status { write })) => {
            let CompleteResponse { status, body } =
                runtime()?.block_on(call(write, Method::GET, "/status", String::new()))?;
            print!("{}", String::from_utf8_lossy(&body));
            Ok(if status == 200 {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        _ => Err("registry --config FILE runs one, registry status asks one".into()),
    }
}

pub fn drain(command: Drain) -> Done {
    let target = format!("/upstreams/{}/drain", command.uid);
    let called = runtime()?.block_on(call(command.write, Method::POST, &target, String::new()));
    let CompleteResponse { status, body } = called?;
    let said = String::from_utf8_lossy(&body);
    if status == 200 {
        println!("{}: draining, {}", command.uid, said.trim());
        Ok(ExitCode::SUCCESS)
    } else {
        Err(format!("{}: {}", command.uid, said.trim()).into())
    }
}

pub fn list(command: List) -> Done {
    runtime()?.block_on(async {
        if !command.watch {
            let CompleteResponse { status, body } = call(
                command.read,
                Method::GET,
                "/registry/instances",
                String::new(),
            )
            .await?;
            if status != 200 {
                return Err(format!(
                    "{}: {}",
                    command.read,
                    String::from_utf8_lossy(&body).trim()
                )
                .into());
            }
            show(&body, command.json)?;
            return Ok(ExitCode::SUCCESS);
        }
        let target = "/registry/instances?stream=1&index=0";
        let mut body = send_request(command.read, Method::GET, target, String::new())
            .await?
            .into_body();
        let mut pending = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            pending.extend_from_slice(&data);
            while let Some(n) = pending.iter().position(|byte| *byte == b'\n') {
                let line = pending.split_to(n + 1).freeze();
                if !line.trim_ascii().is_empty() {
                    show(&line, command.json)?;
                }
            }
        }
        Err(format!("{}: the watch has ended", command.read).into())
    })
}

fn show(text: &Bytes, json: bool) -> Result<(), Box<dyn Error>> {
    if json {
        println!("{}", String::from_utf8_lossy(text).trim());
        return Ok(());
    }
    let list: EndpointUpdate = serde_json::from_slice(text)?;
    println!(
        "version {}{}",
        list.revision,
        if list.is_snapshot {
            ", the whole list"
        } else {
            ""
        }
    );
    for t in &list.records {
        println!(
            "  {:20} {:22} {:8} {:8} {} weight {:<6} start {}",
            t.uid, t.address, t.zone, t.model, t.state, t.weight, t.boot_ms
        );
    }
    Ok(())
}
