//! The life of the process: start, reload at SIGHUP, graceful shutdown at SIGTERM.

use crate::config::Config;
use crate::discovery::Discovery;
use crate::event_loop::EventLoop;
use crate::members::Members;
use crate::request_counters::RequestCounters;
use crate::server::{Phase, Server};
use crate::upstream::Upstreams;
use frostkeel_policy::Balancer;
use std::error::Error;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// After SIGTERM the front goes on dealing out new connections for 0.4 s at most.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// SIGKILL may come when the longest deadline, 3 s at most, and 0.7 s more have passed; this is a bit before.
const KILL_DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// How often, and how many times, a configuration file is read that is not whole after SIGHUP.
const RELOAD_RETRY: Duration = Duration::from_millis(250);
const RELOAD_TRIES: u32 = 240;
/// For the answers to what is then still held.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Serves clients until SIGTERM, and then until what it holds has its final answers.
pub async fn serve(config: Config) -> Result<(), Box<dyn Error>> {
    let balancer = Balancer::new(config.site.settings.clone(), config.seed)?;
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let upstreams = Upstreams::new(&config.site.settings, config.upstream_connections());
    let discovery = Discovery::new(config.discovery, config.site.names.clone());
    let known = discovery.known(&config.known);
    let members = match &config.members {
        Some(members) => Some(Members::start(members, config.seed).await?),
        None => None,
    };
    let (poll_interval, drain_grace) = (
        config.site.settings.poll_interval,
        config.site.settings.drain_grace,
    );
    let pushed = config.site.settings.has_local_agent;
    tracing::info!(
        ?poll_interval,
        ?drain_grace,
        pushed,
        "what the settings say of the list"
    );
    tracing::info!(listen = %listener.local_addr()?, upstreams = known.entries.len(), "serving");
    let counters = RequestCounters::new(&config.site);
    let event_loop = EventLoop::start(balancer, counters, upstreams, discovery, known);
    let (phase, phases) = watch::channel(Phase::Serving);
    let server = Server::new(event_loop.clone(), &config.site, phases);
    let mut accepting = spawn_local(server.run(listener, config.client_connections()));

    tokio::select! {
        _ = term.recv() => (),
        () = reload_on(&mut hangup, &event_loop) => (),
    }
    tracing::info!("draining");
    if let Some(members) = &members {
        members.leave();
    }
    tokio::select! {
        () = drain(&config, &event_loop, &phase, &mut accepting) => (),
        // Discovery may move while what is held is still being answered.
        () = reload_on(&mut hangup, &event_loop) => (),
    }
    Ok(())
}

/// The graceful shutdown: ends connections with their answers, then all of them, then what is still held.
async fn drain(
    config: &Config,
    event_loop: &Rc<EventLoop>,
    phase: &watch::Sender<Phase>,
    accepting: &mut JoinHandle<()>,
) {
    phase.send_replace(Phase::Draining);
    sleep(ACCEPT_AFTER_TERM).await;
    phase.send_replace(Phase::Closing);
    let deadlines = config
        .site
        .settings
        .classes
        .iter()
        .map(|class| class.deadline);
    let longest = deadlines.max().unwrap_or_default().min(KILL_DEADLINE_MOST);
    let rest = (longest + KILL_AFTER_DEADLINE).saturating_sub(ACCEPT_AFTER_TERM + LAST_ANSWERS);
    if timeout(rest, &mut *accepting).await.is_err() {
        event_loop.force_close();
        let _ = timeout(LAST_ANSWERS, accepting).await;
    }
}

/// Reloads at each signal, for as long as it is polled.
async fn reload_on(hangup: &mut Signal, event_loop: &Rc<EventLoop>) {
    while hangup.recv().await.is_some() {
        let mut reload = pin!(reload(event_loop));
        // A further signal begins anew: the file may have been replaced since it was read.
        while tokio::select! { () = &mut reload => false, again = hangup.recv() => again.is_some() }
        {
            reload.set(self::reload(event_loop));
        }
    }
    std::future::pending().await
}

/// Takes in the configuration file anew: discovery may have moved. The rest of it holds for a process's life. A file
/// that cannot be read, or is half written, is read again for a while.
async fn reload(event_loop: &Rc<EventLoop>) {
    for read in 0..RELOAD_TRIES {
        match Config::from_env() {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "reloaded");
                event_loop.set_discovery_address(config.discovery);
                return;
            }
            Err(e) if read == 0 => tracing::warn!("not reloaded, and read again for a while: {e}"),
            Err(_) => (),
        }
        sleep(RELOAD_RETRY).await;
    }
    tracing::error!(
        "the configuration stays as it was: its file could not be read for {RELOAD_TRIES} times"
    );
}
