//! Injects the faults of a run at their scheduled times.

use super::{FaultOccurrence, ResolvedTargets, fault_schedule};
use crate::balancers::BalancerProcesses;
use crate::experiment::{Experiment, FaultKind, LinkConditions};
use crate::history::{EventKind, History};
use crate::links::{Link, LinkPeer, Links, PeerLinks};
use crate::standins::discovery::DiscoveryService;
use crate::standins::upstreams::Upstreams;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// Injects the faults of a run, with access to everything that faults can affect.
pub struct FaultInjector {
    /// The experiment whose faults are injected.
    pub experiment: Arc<Experiment>,
    /// The seed from which random targets and injected datagrams are drawn.
    pub seed: u64,
    /// The history in which the start of each fault and each reset of client connections are
    /// recorded.
    pub history: Arc<History>,
    /// The balancers of the run, as child processes.
    pub balancers: Arc<BalancerProcesses>,
    /// The stand-in upstreams of the run.
    pub upstreams: Arc<Upstreams>,
    /// The discovery service: a stand-in, or a real registry.
    pub discovery: Arc<DiscoveryService>,
    /// The links that carry connections between balancers and other parties.
    pub links: Arc<Links>,
    /// The links that carry datagrams between balancers; `None` without membership.
    pub peer_links: Option<Arc<PeerLinks>>,
}

/// A link that a fault affects, with the number of the balancer at one end and the party at the
/// other end.
struct AffectedLink {
    balancer: u32,
    peer: LinkPeer,
    link: Arc<Link>,
}

impl FaultInjector {
    /// Injects each fault of the experiment at its scheduled times, and waits until all faults have
    /// ended.
    pub async fn run(self) {
        let mut running = JoinSet::new();
        for occurrence in fault_schedule(&self.experiment, self.seed) {
            sleep_until(
                self.history
                    .instant_at(occurrence.fault.start.as_secs_f64()),
            )
            .await;
            self.history.record(EventKind::FaultStarted {
                description: occurrence.description(),
                duration_s: occurrence.duration_s(),
            });
            self.inject(&occurrence, &mut running);
        }
        while running.join_next().await.is_some() {}
    }

    fn inject(&self, occurrence: &FaultOccurrence, running: &mut JoinSet<()>) {
        let targets = &occurrence.targets;
        match &occurrence.fault.kind {
            FaultKind::ImpairLinks {
                conditions,
                duration,
            } => {
                if occurrence.fault.has_balancer_peers() {
                    self.impair_peer_links(occurrence, *conditions, *duration, running);
                } else {
                    self.impair_connections(occurrence, *conditions, *duration, running);
                }
            }
            FaultKind::ResetConnections => {
                let links = self.affected_links(occurrence);
                record_client_resets(&self.history, &links);
                links
                    .iter()
                    .for_each(|affected| affected.link.reset_connections());
            }
            FaultKind::ReplayDatagrams => {
                if let Some(peer_links) = &self.peer_links {
                    peer_links.replay(&targets.balancers);
                }
            }
            FaultKind::InjectDatagrams {
                rate_per_s,
                duration,
            } => {
                if let Some(peer_links) = &self.peer_links {
                    let senders = targets.balancers.clone();
                    let seed = self.seed ^ occurrence.number;
                    let peer_links = Arc::clone(peer_links);
                    running.spawn(peer_links.inject_corrupted(
                        senders,
                        *rate_per_s,
                        *duration,
                        seed,
                    ));
                }
            }
            FaultKind::Kill {
                restart_after,
                new_name,
            } => {
                self.kill(targets, *restart_after, new_name.as_ref(), running);
            }
            FaultKind::Terminate => {
                for number in &targets.balancers {
                    running.spawn(Arc::clone(&self.balancers).restart(*number));
                }
            }
            FaultKind::Pause { duration } => self.pause(targets, *duration, running),
            FaultKind::SlowDown { .. }
            | FaultKind::Unresponsive { .. }
            | FaultKind::RollingReplacement { .. } => {
                self.inject_upstream_fault(occurrence, running)
            }
        }
    }

    fn inject_upstream_fault(&self, occurrence: &FaultOccurrence, running: &mut JoinSet<()>) {
        for (position, number) in (0u32..).zip(occurrence.targets.upstreams.iter().copied()) {
            let upstreams = Arc::clone(&self.upstreams);
            match occurrence.fault.kind {
                FaultKind::SlowDown { factor, duration } => {
                    running.spawn(upstreams.slow_down(number, factor, duration));
                }
                FaultKind::Unresponsive { duration } => {
                    running.spawn(upstreams.make_unresponsive(number, duration));
                }
                FaultKind::RollingReplacement {
                    batch_size,
                    interval,
                    drain,
                } => {
                    running.spawn(async move {
                        sleep(interval * (position / batch_size)).await;
                        upstreams.replace(number, drain).await;
                    });
                }
                _ => {}
            }
        }
    }

    fn impair_peer_links(
        &self,
        occurrence: &FaultOccurrence,
        conditions: LinkConditions,
        duration: Duration,
        running: &mut JoinSet<()>,
    ) {
        let Some(peer_links) = &self.peer_links else {
            return;
        };
        let targets = occurrence.targets.balancers.clone();
        let peers = occurrence.peer_balancers(self.experiment.fleet.balancers);
        peer_links.set_conditions(&targets, &peers, conditions);
        let peer_links = Arc::clone(peer_links);
        running.spawn(async move {
            sleep(duration).await;
            peer_links.set_conditions(&targets, &peers, LinkConditions::default());
        });
    }

    fn impair_connections(
        &self,
        occurrence: &FaultOccurrence,
        conditions: LinkConditions,
        duration: Duration,
        running: &mut JoinSet<()>,
    ) {
        let links = self.affected_links(occurrence);
        links
            .iter()
            .for_each(|affected| affected.link.set_conditions(conditions));
        let history = Arc::clone(&self.history);
        running.spawn(async move {
            sleep(duration).await;
            for affected in &links {
                affected.link.set_conditions(LinkConditions::default());
            }
            // The end of a cut resets the connections that were opened during the cut.
            if conditions.has_cut() {
                record_client_resets(&history, &links);
            }
        });
    }

    fn kill(
        &self,
        targets: &ResolvedTargets,
        restart_after: Option<Duration>,
        new_name: Option<&String>,
        running: &mut JoinSet<()>,
    ) {
        if targets.has_discovery {
            running.spawn(stop_discovery(Arc::clone(&self.discovery), restart_after));
        }
        for number in &targets.balancers {
            let balancers = Arc::clone(&self.balancers);
            running.spawn(balancers.kill(*number, restart_after, new_name.cloned()));
        }
        for number in &targets.upstreams {
            running.spawn(Arc::clone(&self.upstreams).crash(*number, restart_after));
        }
    }

    fn pause(&self, targets: &ResolvedTargets, duration: Duration, running: &mut JoinSet<()>) {
        if let (true, Some(registrations)) = (targets.has_discovery, self.discovery.registrations())
        {
            let registry = Arc::clone(registrations.registry());
            running.spawn(async move { registry.pause(duration).await });
        }
        for number in &targets.balancers {
            running.spawn(Arc::clone(&self.balancers).pause(*number, duration));
        }
    }

    /// Returns the links that carry connections between the targets and the peers of a fault. If
    /// the fault names no peers, the peers of balancers are all upstreams and discovery, and the
    /// peers of any other target are all balancers. Links with clients are included only if the
    /// fault names clients as target or peer.
    fn affected_links(&self, occurrence: &FaultOccurrence) -> Vec<AffectedLink> {
        let mut ends = occurrence.targets.clone();
        match &occurrence.peers {
            Some(peers) => {
                ends.balancers.extend(&peers.balancers);
                ends.upstreams.extend(&peers.upstreams);
                ends.has_discovery |= peers.has_discovery;
                ends.has_clients |= peers.has_clients;
            }
            None if ends.balancers.is_empty() => {
                ends.balancers.extend(0..self.experiment.fleet.balancers);
            }
            None => {
                ends.upstreams.extend(0..self.upstreams.count());
                ends.has_discovery = true;
            }
        }
        let upstreams = ends
            .upstreams
            .iter()
            .map(|number| LinkPeer::Upstream(*number));
        let peers: Vec<LinkPeer> = upstreams
            .chain(ends.has_discovery.then_some(LinkPeer::Discovery))
            .chain(ends.has_clients.then_some(LinkPeer::Clients))
            .collect();
        let mut links = Vec::new();
        for balancer in ends.balancers {
            for peer in peers.iter().copied() {
                let link = self.links.between(balancer, peer);
                links.push(AffectedLink {
                    balancer,
                    peer,
                    link,
                });
            }
        }
        links
    }
}

/// Stops the discovery service, and restarts it after `restart_after` unless that is `None`.
async fn stop_discovery(discovery: Arc<DiscoveryService>, restart_after: Option<Duration>) {
    if let Some(registrations) = discovery.registrations() {
        registrations.registry().kill(restart_after).await;
        return;
    }
    discovery.set_available(false);
    if let Some(restart_after) = restart_after {
        sleep(restart_after).await;
        discovery.set_available(true);
    }
}

/// Records a reset of the client connections for each affected link with clients.
fn record_client_resets(history: &History, links: &[AffectedLink]) {
    for affected in links
        .iter()
        .filter(|affected| affected.peer == LinkPeer::Clients)
    {
        history.record(EventKind::ClientConnectionsReset {
            balancer: affected.balancer,
        });
    }
}
