//! The process of the balancer: its start, its shutdown at SIGTERM, and the reload of its configuration at SIGHUP.

use crate::client::{Phase, Server};
use crate::config::Config;
use crate::discovery::Discovery;
use crate::event_loop::EventLoop;
use crate::members::{Members, MembersError};
use crate::memory_budget::MemoryBudget;
use crate::request_counters::RequestCounters;
use crate::upstream::Upstreams;
use crate::{reload, shutdown};
use frostkeel_policy::{Balancer, SettingsError};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};

/// The reason why a balancer cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The decision module rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The listener for clients cannot be bound.
    #[error("cannot listen for clients on {address}: {source}")]
    Listen {
        /// The configured address for clients.
        address: SocketAddr,
        /// The error of binding the listener.
        source: io::Error,
    },
    /// The participation in the membership cannot start.
    #[error(transparent)]
    Members(#[from] MembersError),
    /// A signal handler cannot be installed, or the listener's local address is unavailable.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// The parts of a running balancer that its shutdown needs.
pub(crate) struct RunningBalancer {
    pub(crate) event_loop: Rc<EventLoop>,
    /// Publishes the phase of the shutdown to the server.
    pub(crate) phase: watch::Sender<Phase>,
    /// The server for clients. It completes in [`Phase::Closing`], when the last client connection has closed.
    pub(crate) server: JoinHandle<()>,
}

/// Serves clients until SIGTERM, then drains until the requests in flight have their final responses, or until shortly
/// before SIGKILL.
pub async fn serve(config: Config) -> Result<(), StartError> {
    let balancer = Balancer::new(config.site.settings.clone(), config.seed)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let address = config.listen;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    let members = match &config.membership {
        Some(membership) => Some(Members::start(membership, config.seed).await?),
        None => None,
    };
    let mut running = start(&config, balancer, listener)?;
    tokio::select! {
        _ = terminate.recv() => (),
        () = reload::reload_on(&mut hangup, &running.event_loop) => (),
    }
    tracing::info!("draining");
    if let Some(members) = &members {
        members.leave();
    }
    let event_loop = Rc::clone(&running.event_loop);
    tokio::select! {
        () = shutdown::drain(&config, &mut running) => (),
        // Reloads continue during the drain, because the address of discovery may change while requests are in flight.
        () = reload::reload_on(&mut hangup, &event_loop) => (),
    }
    event_loop.stop();
    Ok(())
}

fn start(
    config: &Config,
    balancer: Balancer,
    listener: TcpListener,
) -> Result<RunningBalancer, StartError> {
    let settings = &config.site.settings;
    let memory = MemoryBudget::for_process(config.memory_mb, config.sockets);
    let upstreams = Upstreams::new(settings, config.max_upstream_connections(), &memory);
    let discovery = Discovery::new(config.discovery, config.site.names.clone(), &memory);
    let cached_list = discovery.cached_list(&config.cached_list);
    tracing::info!(
        poll_interval = ?settings.poll_interval,
        drain_grace = ?settings.drain_grace,
        has_local_agent = settings.has_local_agent,
        "endpoint watch settings"
    );
    tracing::info!(listen = %listener.local_addr()?, endpoints = cached_list.entries.len(), "serving");
    let counters = RequestCounters::new(&config.site);
    let event_loop = EventLoop::start(balancer, counters, upstreams, discovery, cached_list);
    let (phase, phases) = watch::channel(Phase::Serving);
    let max_clients = config.max_client_connections();
    let server = Server::new(
        Rc::clone(&event_loop),
        &config.site,
        phases,
        max_clients,
        &memory,
    );
    let server = spawn_local(server.run(listener));
    Ok(RunningBalancer {
        event_loop,
        phase,
        server,
    })
}
