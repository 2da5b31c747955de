//! `frostkeel agent`: runs a command and registers it with a registry for as long as it runs.

use crate::error::CommandError;
use crate::exit::{CommandOutcome, CommandResult};
use crate::runtime;
use clap::Args;
use frostkeel_registry::client::{ClientError, CompleteResponse, call};
use hyper::Method;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::process::ExitStatus;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::process::{Child, Command};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep_until, timeout};

/// The starting value of the backoff, which doubles with each failed request.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The maximum of the backoff before jitter is applied.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// The time that the command has to end after SIGTERM. After it, the command is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(10);
/// The time that the registry has to respond to each of the requests that the agent sends before it ends.
const SHUTDOWN_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// The range of `--ttl-s`, in seconds.
const LEASE_RANGE_S: RangeInclusive<f64> = 1.0..=3600.0;
/// The range of `--drain-s`, in seconds.
const DRAIN_RANGE_S: RangeInclusive<f64> = 0.0..=3600.0;

/// Arguments of `frostkeel agent`.
#[derive(Args)]
pub struct AgentArgs {
    /// Address of the registry's interface for writes, e.g. 127.0.0.1:7100.
    #[arg(long = "write", value_name = "ADDRESS")]
    write_address: SocketAddr,
    /// Identifier of the upstream, which must stay the same over restarts of the command, e.g. u2.
    #[arg(long)]
    uid: String,
    /// Address at which balancers reach the upstream, e.g. 10.0.0.1:80.
    #[arg(long, value_name = "ADDRESS")]
    endpoint: SocketAddr,
    /// Availability zone of the upstream, e.g. zone-a, which is published on the endpoint list.
    ///
    /// Balancers can prefer upstreams of their own zone.
    ///
    /// A zone that is not in their settings, usually also the empty one, counts as another zone.
    #[arg(long = "az", value_name = "ZONE", default_value = "")]
    zone: String,
    /// Model of the upstream's machine, e.g. m5, which is published on the endpoint list; empty if not known.
    ///
    /// It is for information: the decisions of balancers do not depend on it.
    #[arg(long, default_value = "")]
    model: String,
    /// Duration of the upstream's lease in seconds, 1 to 3600; the agent renews it after a third of that time.
    #[arg(long, value_name = "SECONDS", default_value_t = 10.0)]
    ttl_s: f64,
    /// Seconds, 0 to 3600, that the draining upstream has to finish its requests before the command gets SIGTERM.
    #[arg(long, value_name = "SECONDS", default_value_t = 5.0)]
    drain_s: f64,
    /// Command to run, with its arguments.
    #[arg(last = true, required = true)]
    command: Vec<String>,
}

/// Runs the command and keeps it registered, until the command ends or the agent receives a signal and ends it.
pub fn run(args: AgentArgs) -> CommandResult {
    if !LEASE_RANGE_S.contains(&args.ttl_s) || !DRAIN_RANGE_S.contains(&args.drain_s) {
        return Err(CommandError::AgentTimes);
    }
    runtime::single_threaded()?.block_on(supervise(args))
}

async fn supervise(args: AgentArgs) -> CommandResult {
    let mut signals = ShutdownSignals::listen()?;
    let mut child = spawn(&args.command)?;
    let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let agent = Agent { args, boot_ms };
    let ended = tokio::select! {
        status = child.wait() => Some(status?),
        () = signals.received() => None,
        error = agent.maintain_registration() => return Err(error),
    };
    let status = match ended {
        Some(status) => status,
        None => agent.drain_and_terminate(&mut child).await?,
    };
    agent.deregister().await;
    Ok(CommandOutcome::ChildEnded(status))
}

fn spawn(command: &[String]) -> Result<Child, CommandError> {
    let (program, arguments) = command.split_first().ok_or(CommandError::NoCommand)?;
    let spawned = Command::new(program)
        .args(arguments)
        .kill_on_drop(true)
        .spawn();
    spawned.map_err(|source| CommandError::StartProgram {
        program: program.clone(),
        source,
    })
}

/// Receives SIGTERM and SIGINT, the signals that ask the agent to end.
struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    fn listen() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// An agent with one incarnation of its upstream.
struct Agent {
    args: AgentArgs,
    /// The start of the upstream's incarnation, in milliseconds of Unix time.
    boot_ms: u64,
}

/// The result of a registration or a renewal.
enum RegistrationResult {
    Accepted,
    /// The registry responded 404: the upstream is not on the endpoint list.
    NotListed,
    /// The registry responded 400 or 409: the request is not valid, the address is in use, or this incarnation is
    /// superseded.
    Rejected {
        message: String,
    },
    /// The request failed, or the registry responded with a status other than 200, 400, 404 and 409.
    Failed {
        reason: String,
    },
}

impl RegistrationResult {
    fn from_response(response: Result<CompleteResponse, ClientError>) -> Self {
        match response {
            Ok(CompleteResponse { status: 200, .. }) => Self::Accepted,
            Ok(CompleteResponse { status: 404, .. }) => Self::NotListed,
            Ok(CompleteResponse {
                status: 400 | 409,
                body,
            }) => Self::Rejected {
                message: String::from_utf8_lossy(&body).trim().to_owned(),
            },
            Ok(CompleteResponse { status, .. }) => Self::Failed {
                reason: format!("it answered {status}"),
            },
            Err(error) => Self::Failed {
                reason: error.to_string(),
            },
        }
    }
}

impl Agent {
    fn target(&self, action: &str) -> String {
        format!("/upstreams/{}{action}", self.args.uid)
    }

    /// Registers the upstream and renews its lease. Returns only if the registry rejects the incarnation.
    async fn maintain_registration(&self) -> CommandError {
        let uid = &self.args.uid;
        let lease = Duration::from_secs_f64(self.args.ttl_s);
        let mut is_registered = false;
        let mut backoff = MIN_BACKOFF;
        loop {
            let sent_at = Instant::now();
            let response = if is_registered {
                self.renew().await
            } else {
                self.register().await
            };
            let wait = match RegistrationResult::from_response(response) {
                RegistrationResult::Accepted => {
                    if !std::mem::replace(&mut is_registered, true) {
                        tracing::info!("{uid}: on the list");
                    }
                    backoff = MIN_BACKOFF;
                    lease / RENEWALS_PER_LEASE
                }
                RegistrationResult::NotListed if is_registered => {
                    is_registered = false;
                    MIN_BACKOFF
                }
                RegistrationResult::Rejected { message } => {
                    return CommandError::RegistrationRejected {
                        uid: uid.clone(),
                        message,
                    };
                }
                RegistrationResult::NotListed => {
                    tracing::warn!("{uid}: not heard by the list service: it answered 404");
                    backoff = next_backoff(backoff);
                    with_jitter(backoff, sent_at)
                }
                RegistrationResult::Failed { reason } => {
                    tracing::warn!("{uid}: not heard by the list service: {reason}");
                    backoff = next_backoff(backoff);
                    with_jitter(backoff, sent_at)
                }
            };
            sleep_until(sent_at + wait).await;
        }
    }

    async fn register(&self) -> Result<CompleteResponse, ClientError> {
        let body = json!({
            "endpoint": self.args.endpoint.to_string(),
            "az": self.args.zone,
            "model": self.args.model,
            "boot_ms": self.boot_ms,
            "ttl_s": self.args.ttl_s,
        });
        call(
            self.args.write_address,
            Method::PUT,
            &self.target(""),
            body.to_string(),
        )
        .await
    }

    async fn renew(&self) -> Result<CompleteResponse, ClientError> {
        let target = self.target("/renew");
        call(
            self.args.write_address,
            Method::POST,
            &target,
            self.incarnation_body(),
        )
        .await
    }

    /// Returns the body of a request that the registry applies only to this incarnation.
    fn incarnation_body(&self) -> String {
        json!({ "boot_ms": self.boot_ms }).to_string()
    }

    /// Removes the upstream from the endpoint list. If that fails, its lease still expires.
    async fn deregister(&self) {
        let target = self.target("");
        let request = call(
            self.args.write_address,
            Method::DELETE,
            &target,
            self.incarnation_body(),
        );
        let response = timeout(SHUTDOWN_REQUEST_TIMEOUT, request).await;
        if !matches!(response, Ok(Ok(CompleteResponse { status: 200, .. }))) {
            tracing::warn!(
                "{}: the list service was not told of the end; its lease ends by itself",
                self.args.uid
            );
        }
    }

    /// Drains the upstream, waits `--drain-s` for its requests, and ends the command if it is still running.
    async fn drain_and_terminate(&self, child: &mut Child) -> io::Result<ExitStatus> {
        self.drain().await;
        let drained_at = Instant::now() + Duration::from_secs_f64(self.args.drain_s);
        tokio::select! {
            status = child.wait() => return status,
            () = sleep_until(drained_at) => {}
        }
        terminate(child).await
    }

    async fn drain(&self) {
        let target = self.target("/drain");
        let request = call(
            self.args.write_address,
            Method::POST,
            &target,
            String::new(),
        );
        match timeout(SHUTDOWN_REQUEST_TIMEOUT, request).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => tracing::warn!("{}: not drained: {error}", self.args.uid),
            Err(_) => tracing::warn!("{}: not drained: no answer", self.args.uid),
        }
    }
}

fn next_backoff(backoff: Duration) -> Duration {
    (backoff * 2).min(MAX_BACKOFF)
}

/// Returns the backoff multiplied by a factor from 0.5 to 1.5, so that agents of the same registry retry at different
/// times. The factor is derived from the clock.
fn with_jitter(backoff: Duration, sent_at: Instant) -> Duration {
    let fraction = f64::from(sent_at.elapsed().subsec_nanos() % 1000) / 1000.0;
    backoff.mul_f64(0.5 + fraction)
}

/// Sends SIGTERM, and SIGKILL if the command has not ended after [`TERMINATION_TIMEOUT`].
async fn terminate(child: &mut Child) -> io::Result<ExitStatus> {
    let pid = child
        .id()
        .and_then(|id| rustix::process::Pid::from_raw(id as i32));
    if let Some(pid) = pid {
        let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
    }
    match timeout(TERMINATION_TIMEOUT, child.wait()).await {
        Ok(status) => status,
        Err(_) => {
            child.start_kill()?;
            child.wait().await
        }
    }
}
