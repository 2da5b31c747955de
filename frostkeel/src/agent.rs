//! `frostkeel agent`: beside an upstream, it keeps it on the list for as long as it runs.

use clap::Args;
use frostkeel_registry::client::{CompleteResponse, call};
use hyper::Method;
use serde_json::json;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::process::{Child, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep_until, timeout};

/// Before a call that failed is made again, at first and at most.
const AGAIN: Duration = Duration::from_millis(200);
const AGAIN_MOST: Duration = Duration::from_secs(3);
/// How long a command may take to end once it was asked to.
const ENDS: Duration = Duration::from_secs(10);
/// How long the list service may take to hear of the end.
const FAREWELL: Duration = Duration::from_secs(2);

/// Runs a command and keeps it on the list: registered once it runs, renewed, drained at SIGTERM, gone when it ends.
#[derive(Args)]
pub struct Agent {
    /// The list service's writing address.
    #[arg(long)]
    write: SocketAddr,
    /// Who the upstream is; it lasts over restarts.
    #[arg(long)]
    uid: String,
    /// Where it is reached.
    #[arg(long)]
    endpoint: SocketAddr,
    /// Its zone.
    #[arg(long, default_value = "")]
    az: String,
    /// Its kind.
    #[arg(long, default_value = "")]
    model: String,
    /// Seconds of its lease; it is renewed after a third.
    #[arg(long, default_value_t = 10.0)]
    ttl_s: f64,
    /// Seconds for which it finishes what it has before it is asked to end.
    #[arg(long, default_value_t = 5.0)]
    drain_s: f64,
    /// The command, and its arguments.
    #[arg(last = true, required = true)]
    command: Vec<String>,
}

type Done = Result<ExitCode, Box<dyn Error>>;

pub fn run(agent: Agent) -> Done {
    if !(1.0..=3600.0).contains(&agent.ttl_s) || !(0.0..=3600.0).contains(&agent.drain_s) {
        return Err("ttl-s of 1 to 3600 and drain-s of 0 to 3600 are possible".into());
    }
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(agent.keep())
}

impl Agent {
    async fn keep(&self) -> Done {
        let mut term = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (program, arguments) = self.command.split_first().ok_or("a command is needed")?;
        let spawned = Command::new(program)
            .args(arguments)
            .kill_on_drop(true)
            .spawn();
        let mut child = spawned.map_err(|e| format!("{program}: {e}"))?;
        let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let ended = tokio::select! {
            ended = child.wait() => Some(ended?),
            _ = term.recv() => None,
            _ = interrupt.recv() => None,
            e = self.renew(boot_ms) => return Err(e.into()),
        };
        let ended = match ended {
            Some(ended) => ended,
            None => self.leave(&mut child).await?,
        };
        // It is on the list no more. Where the service cannot be told, the lease ends by itself.
        let life = json!({"boot_ms": boot_ms}).to_string();
        let gone = timeout(
            FAREWELL,
            call(self.write, Method::DELETE, &self.path(""), life),
        )
        .await;
        if !matches!(gone, Ok(Ok(CompleteResponse { status: 200, .. }))) {
            tracing::warn!(
                "{}: the list service was not told of the end; its lease ends by itself",
                self.uid
            );
        }
        Ok(ExitCode::from(
            ended
                .code()
                .and_then(|code| u8::try_from(code).ok())
                .unwrap_or(1),
        ))
    }

    fn path(&self, what: &str) -> String {
        format!("/upstreams/{}{what}", self.uid)
    }

    /// Registers and renews until another start has taken its place, or the list will never have it; says why.
    async fn renew(&self, boot_ms: u64) -> String {
        let lease = Duration::from_secs_f64(self.ttl_s);
        let (mut registered, mut again) = (false, AGAIN);
        loop {
            let begun = Instant::now();
            let called = if registered {
                let body = json!({"boot_ms": boot_ms}).to_string();
                call(self.write, Method::POST, &self.path("/renew"), body).await
            } else {
                let body = json!({"endpoint": self.endpoint.to_string(), "az": self.az, "model": self.model,
                    "boot_ms": boot_ms, "ttl_s": self.ttl_s});
                call(self.write, Method::PUT, &self.path(""), body.to_string()).await
            };
            let next = match called {
                Ok(CompleteResponse { status: 200, .. }) => {
                    if !std::mem::replace(&mut registered, true) {
                        tracing::info!("{}: on the list", self.uid);
                    }
                    again = AGAIN;
                    lease / 3
                }
                // Not listed any more: it registers anew, at once.
                Ok(CompleteResponse { status: 404, .. }) if registered => {
                    registered = false;
                    AGAIN
                }
                Ok(CompleteResponse {
                    status: 400 | 409,
                    body,
                }) => {
                    let said = String::from_utf8_lossy(&body).trim().to_owned();
                    return format!("{}: the list service refuses it: {said}", self.uid);
                }
                failed => {
                    let why = match failed {
                        Ok(response) => format!("it answered {}", response.status),
                        Err(e) => e.to_string(),
                    };
                    tracing::warn!("{}: not heard by the list service: {why}", self.uid);
                    again = (again * 2).min(AGAIN_MOST);
                    // Many agents of one service must not all come back together.
                    again.mul_f64(0.5 + f64::from(begun.elapsed().subsec_nanos() % 1000) / 1000.0)
                }
            };
            sleep_until(begun + next).await;
        }
    }

    /// Drains it, waits, and asks it to end.
    async fn leave(&self, child: &mut Child) -> std::io::Result<std::process::ExitStatus> {
        let path = self.path("/drain");
        let drained = call(self.write, Method::POST, &path, String::new());
        match timeout(FAREWELL, drained).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => tracing::warn!("{}: not drained: {e}", self.uid),
            Err(_) => tracing::warn!("{}: not drained: no answer", self.uid),
        }
        let until = Instant::now() + Duration::from_secs_f64(self.drain_s);
        tokio::select! {
            ended = child.wait() => return ended,
            () = sleep_until(until) => {}
        }
        if let Some(pid) = child
            .id()
            .and_then(|pid| rustix::process::Pid::from_raw(pid as i32))
        {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        }
        match timeout(ENDS, child.wait()).await {
            Ok(ended) => ended,
            Err(_) => {
                child.start_kill()?;
                child.wait().await
            }
        }
    }
}
