//! The test bed of a run: starts and stops the stand-ins, the links and the balancers.

use super::experiment_run::RunOptions;
use crate::balancers::{BalancerProcesses, RunContext};
use crate::error::LabError;
use crate::experiment::Experiment;
use crate::faults::FaultInjector;
use crate::history::History;
use crate::links::{DISCOVERY_HOST_NUMBER, Links, PeerLinks, Traffic, pair_address};
use crate::processes::guard::Guard;
use crate::processes::write_file;
use crate::standins::balancer_pool::BalancerPool;
use crate::standins::clients::Clients;
use crate::standins::discovery::DiscoveryService;
use crate::standins::registration::Registrations;
use crate::standins::registry_process::RegistryProcess;
use crate::standins::upstreams::Upstreams;
use rustix::process::{Resource, getrlimit};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Maximum number of balancers that are starting at the same time.
const MAX_CONCURRENT_STARTS: usize = 16;
/// Maximum number of recorded events of a run; each takes about 100 bytes of memory.
const MAX_EVENTS: usize = 20_000_000;
/// Allowance for the file descriptors of the lab that the estimate does not count individually.
const OTHER_DESCRIPTORS: u64 = 200;
/// File descriptors of the lab for each balancer process: its pipes, log and configuration.
const DESCRIPTORS_PER_BALANCER: u64 = 4;
/// Number of client connections that are assumed for a load of one request per second.
const CONNECTIONS_PER_REQUEST_RATE: f64 = 2.0;

/// The stand-ins, the links and the guard, all of which exist before the balancers start.
struct StandIns {
    experiment: Arc<Experiment>,
    history: Arc<History>,
    /// Guard process of the child processes; `None` if the run has no guard.
    guard_process: Option<Arc<Guard>>,
    upstreams: Arc<Upstreams>,
    discovery: Arc<DiscoveryService>,
    /// Address at which each balancer reaches the discovery service, by the balancer's number.
    discovery_addresses: Vec<SocketAddr>,
    links: Arc<Links>,
    /// Links between the balancers; `None` if the experiment has no membership.
    peer_links: Option<Arc<PeerLinks>>,
    tasks: JoinSet<()>,
}

impl StandIns {
    /// Starts the guard, the registry, the discovery service, the upstreams and the peer links. On
    /// return, all upstreams are on the endpoint list.
    async fn start(experiment: Experiment, options: &RunOptions) -> Result<Self, LabError> {
        let experiment = Arc::new(experiment);
        let history = Arc::new(History::new(MAX_EVENTS));
        let links = Links::new(options.seed, !experiment.impairs_links());
        let guard_process = start_guard(options)?;
        let registrations = start_registry(&experiment, options, &guard_process, &history).await?;
        let discovery =
            DiscoveryService::new(Arc::clone(&history), Arc::clone(&links), registrations);
        let upstreams = Upstreams::new(
            Arc::clone(&experiment),
            options.seed,
            Arc::clone(&history),
            Arc::clone(&discovery),
            Arc::clone(&links),
        );
        let mut tasks = JoinSet::new();
        let discovery_addresses = serve_discovery(&experiment, &discovery, &mut tasks).await?;
        for _ in 0..experiment.fleet.upstreams {
            upstreams.add(false).await.map_err(LabError::Address)?;
        }
        let peer_links = bind_peer_links(&experiment, options.seed, &mut tasks).await?;
        if let Some(registrations) = discovery.registrations() {
            let upstream_count = experiment.fleet.upstreams as usize;
            registrations
                .registry()
                .wait_until_ready(upstream_count)
                .await?;
        }
        Ok(Self {
            experiment,
            history,
            guard_process,
            upstreams,
            discovery,
            discovery_addresses,
            links,
            peer_links,
            tasks,
        })
    }
}

/// All processes, stand-ins and links of a run.
pub(super) struct TestBed {
    pub experiment: Arc<Experiment>,
    seed: u64,
    pub history: Arc<History>,
    pub pool: Arc<BalancerPool>,
    pub clients: Arc<Clients>,
    pub upstreams: Arc<Upstreams>,
    pub balancers: Arc<BalancerProcesses>,
    discovery: Arc<DiscoveryService>,
    links: Arc<Links>,
    /// Links between the balancers; `None` if the experiment has no membership.
    peer_links: Option<Arc<PeerLinks>>,
    /// Background tasks, which are aborted when the run stops.
    tasks: JoinSet<()>,
}

impl TestBed {
    /// Starts all processes and stand-ins of a run. On return, all servers accept requests.
    pub async fn start(experiment: Experiment, options: &RunOptions) -> Result<Self, LabError> {
        check_descriptor_limit(&experiment)?;
        let created = tokio::fs::create_dir_all(&options.dir).await;
        created.map_err(|source| LabError::File {
            path: options.dir.clone(),
            source,
        })?;
        let stand_ins = StandIns::start(experiment, options).await?;
        let StandIns {
            experiment,
            history,
            upstreams,
            discovery,
            links,
            peer_links,
            ..
        } = stand_ins;
        let pool = Arc::new(BalancerPool::new(experiment.fleet.balancers));
        let context = RunContext {
            experiment: Arc::clone(&experiment),
            seed: options.seed,
            history: Arc::clone(&history),
            pool: Arc::clone(&pool),
            peer_links: peer_links.clone(),
            guard: stand_ins.guard_process,
            dir: options.dir.clone(),
        };
        let list = Arc::clone(&discovery);
        let balancers = BalancerProcesses::new(
            context,
            &options.balancer_program,
            stand_ins.discovery_addresses,
            move |balancer| list.snapshot_text(balancer),
        );
        start_all(&balancers, experiment.fleet.balancers).await?;
        if peer_links.is_some() {
            write_file(&options.dir.join("pages"), &balancers.pages()).await?;
        }
        let clients = Clients::new(
            Arc::clone(&experiment),
            Arc::clone(&history),
            Arc::clone(&pool),
            Arc::clone(&links),
        );
        Ok(Self {
            experiment,
            seed: options.seed,
            history,
            pool,
            clients,
            upstreams,
            balancers,
            discovery,
            links,
            peer_links,
            tasks: stand_ins.tasks,
        })
    }

    /// Starts the clock of the run, the sampling of the upstreams' load, and the fault injector.
    pub fn begin(&mut self) {
        self.history.start_clock();
        self.tasks.spawn(Arc::clone(&self.upstreams).sample_load());
        let injector = FaultInjector {
            experiment: Arc::clone(&self.experiment),
            seed: self.seed,
            history: Arc::clone(&self.history),
            balancers: Arc::clone(&self.balancers),
            upstreams: Arc::clone(&self.upstreams),
            discovery: Arc::clone(&self.discovery),
            links: Arc::clone(&self.links),
            peer_links: self.peer_links.clone(),
        };
        self.tasks.spawn(injector.run());
    }

    /// Returns the number of datagrams and bytes that the balancers have sent to each other; `None`
    /// if the experiment has no membership.
    pub fn peer_traffic(&self) -> Option<Traffic> {
        self.peer_links
            .as_ref()
            .map(|peer_links| peer_links.traffic())
    }

    /// Stops the background tasks, the balancers and the registry.
    pub async fn stop(&mut self) {
        self.tasks.abort_all();
        shut_down_all(&self.balancers, self.experiment.fleet.balancers).await;
        if let Some(registrations) = self.discovery.registrations() {
            registrations.registry().kill(None).await;
        }
    }
}

fn start_guard(options: &RunOptions) -> Result<Option<Arc<Guard>>, LabError> {
    let Some(program) = &options.guard_and_registry_program else {
        return Ok(None);
    };
    let guard_process = Guard::start(program).map_err(|source| LabError::Start {
        program: program.clone(),
        source,
    })?;
    Ok(Some(Arc::new(guard_process)))
}

/// Starts the real registry; returns `None` if the experiment has none.
async fn start_registry(
    experiment: &Experiment,
    options: &RunOptions,
    guard_process: &Option<Arc<Guard>>,
    history: &Arc<History>,
) -> Result<Option<Arc<Registrations>>, LabError> {
    let Some(settings) = &experiment.registry else {
        return Ok(None);
    };
    let program = options
        .guard_and_registry_program
        .as_ref()
        .ok_or(LabError::NoRegistryProgram)?;
    let registry = RegistryProcess::new(
        program,
        &options.dir,
        guard_process.clone(),
        Arc::clone(history),
    );
    registry.start().await?;
    Ok(Some(Registrations::new(registry, settings.lease())))
}

/// Serves the endpoint list to each balancer at a separate address; returns the addresses by
/// balancer number.
async fn serve_discovery(
    experiment: &Experiment,
    discovery: &Arc<DiscoveryService>,
    tasks: &mut JoinSet<()>,
) -> Result<Vec<SocketAddr>, LabError> {
    let mut addresses = Vec::new();
    for balancer in 0..experiment.fleet.balancers {
        let address = (pair_address(balancer, DISCOVERY_HOST_NUMBER), 0);
        let listener = TcpListener::bind(address)
            .await
            .map_err(LabError::Address)?;
        addresses.push(listener.local_addr().map_err(LabError::Address)?);
        tasks.spawn(Arc::clone(discovery).serve(balancer, listener));
    }
    Ok(addresses)
}

/// Binds the links between the balancers and starts their relays; returns `None` if the experiment
/// has no membership.
async fn bind_peer_links(
    experiment: &Experiment,
    seed: u64,
    tasks: &mut JoinSet<()>,
) -> Result<Option<Arc<PeerLinks>>, LabError> {
    if experiment.membership.is_none() {
        return Ok(None);
    }
    let balancers = experiment.fleet.balancers;
    let peer_links = PeerLinks::bind(balancers, seed, experiment.resends_datagrams()).await;
    let peer_links = peer_links.map_err(LabError::Address)?;
    peer_links.spawn_relays(tasks);
    Ok(Some(peer_links))
}

async fn start_all(balancers: &Arc<BalancerProcesses>, count: u32) -> Result<(), LabError> {
    let mut starting = JoinSet::new();
    for number in 0..count {
        if starting.len() >= MAX_CONCURRENT_STARTS
            && let Some(Ok(started)) = starting.join_next().await
        {
            started?;
        }
        let balancers = Arc::clone(balancers);
        starting.spawn(async move { balancers.start(number).await });
    }
    while let Some(started) = starting.join_next().await {
        if let Ok(started) = started {
            started?;
        }
    }
    Ok(())
}

async fn shut_down_all(balancers: &Arc<BalancerProcesses>, count: u32) {
    let mut stopping = JoinSet::new();
    for number in 0..count {
        let balancers = Arc::clone(balancers);
        stopping.spawn(async move { balancers.shut_down(number).await });
    }
    while stopping.join_next().await.is_some() {}
}

/// Checks that the limit on open file descriptors is high enough for the run.
fn check_descriptor_limit(experiment: &Experiment) -> Result<(), LabError> {
    let needed = needed_descriptors(experiment);
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if needed > limit {
        Err(LabError::Descriptors { needed, limit })
    } else {
        Ok(())
    }
}

/// Estimates the number of file descriptors that the lab needs. Each pair of a balancer and an
/// upstream needs a listener and a connection, and a third descriptor if the experiment replaces
/// upstreams. The connections of clients, the sockets between peers and the descriptors of each
/// balancer process are added.
fn needed_descriptors(experiment: &Experiment) -> u64 {
    let fleet = &experiment.fleet;
    let pairs = u64::from(fleet.balancers) * u64::from(fleet.upstreams);
    let descriptors_per_pair = if experiment.replaces_upstreams() {
        3
    } else {
        2
    };
    let clients = (experiment.load.rate_per_s * CONNECTIONS_PER_REQUEST_RATE) as u64;
    let peers = experiment
        .membership
        .map_or(0, |_| PeerLinks::socket_count(fleet.balancers));
    peers
        + pairs * descriptors_per_pair
        + clients
        + DESCRIPTORS_PER_BALANCER * u64::from(fleet.balancers)
        + OTHER_DESCRIPTORS
}
