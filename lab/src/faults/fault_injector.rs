//! The faults of a play: whom they meet, and what is done to them when they are due.

use crate::balancers::BalancerProcesses;
use crate::experiment::{Experiment, Fault, FaultKind, LinkCondition, LinkConditions, Target};
use crate::history::{EventKind, History};
use crate::links::PeerLinks;
use crate::links::{Link, LinkPeer, Links};
use crate::standins::discovery::DiscoveryService;
use crate::standins::upstreams::Upstreams;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// What faults can meet.
pub struct Stage {
    pub experiment: Arc<Experiment>,
    pub history: Arc<History>,
    pub balancers: Arc<BalancerProcesses>,
    pub upstreams: Arc<Upstreams>,
    pub discovery: Arc<DiscoveryService>,
    pub links: Arc<Links>,
    pub peers: Option<Arc<PeerLinks>>,
}

/// Who a target is, by number.
#[derive(Default)]
struct Met {
    balancers: Vec<u32>,
    upstreams: Vec<u32>,
    discovery: bool,
    clients: bool,
}

/// A fault as it happens in a play, with whom it meets.
#[derive(Clone, Debug, PartialEq)]
pub struct DrawnFault {
    /// When, from the start of the load.
    pub at: Duration,
    /// In words.
    pub text: String,
    /// Seconds until it ends, where it lasts.
    pub lasts: Option<f64>,
    /// By number, the balancers of its target, then those at the other ends.
    pub balancers: [Vec<u32>; 2],
    /// The same of upstreams.
    pub upstreams: [Vec<u32>; 2],
}

/// Every fault of an experiment as it happens on a seed, in the order of time.
pub fn drawn_faults(experiment: &Experiment, seed: u64) -> Vec<DrawnFault> {
    let drawn = |(k, fault): (u64, Fault)| {
        let mut draw = ChaCha8Rng::seed_from_u64(seed ^ (k + 1) << 40);
        let target = met(experiment, &fault.target, &mut draw);
        let with = fault
            .peer
            .as_ref()
            .map_or_else(Met::default, |with| met(experiment, with, &mut draw));
        DrawnFault {
            at: fault.start,
            text: words(&fault),
            lasts: lasts(&fault.kind),
            balancers: [target.balancers, with.balancers],
            upstreams: [target.upstreams, with.upstreams],
        }
    };
    occurrences(experiment).into_iter().map(drawn).collect()
}

/// A link, and whose it is.
type Owned = (u32, LinkPeer, Arc<Link>);

fn unlinked(history: &History, links: &[Owned]) {
    for (balancer, ..) in links
        .iter()
        .filter(|(_, other, _)| *other == LinkPeer::Clients)
    {
        history.record(EventKind::ClientConnectionsReset {
            balancer: *balancer,
        });
    }
}

impl Stage {
    /// Plays the faults of the experiment when they are due.
    pub async fn faults(self, seed: u64) {
        let mut running = JoinSet::new();
        for (k, fault) in occurrences(&self.experiment) {
            sleep_until(self.history.instant_at(fault.start.as_secs_f64())).await;
            self.history.record(EventKind::FaultStarted {
                description: words(&fault),
                duration_s: lasts(&fault.kind),
            });
            let mut draw = ChaCha8Rng::seed_from_u64(seed ^ (k + 1) << 40);
            let met = self.met(&fault.target, &mut draw);
            match &fault.kind {
                FaultKind::ImpairLinks {
                    conditions: ways,
                    duration: lasts,
                } if matches!(&fault.peer, Some(with) if of_balancers(with)) => {
                    if let (Some(peers), Some(with)) = (&self.peers, &fault.peer) {
                        let others = match with {
                            Target::OtherBalancers => {
                                let all = 0..self.experiment.fleet.balancers;
                                all.filter(|n| !met.balancers.contains(n)).collect()
                            }
                            with => self.met(with, &mut draw).balancers,
                        };
                        let (peers, some, lasts) = (Arc::clone(peers), met.balancers, *lasts);
                        peers.set_conditions(&some, &others, *ways);
                        running.spawn(async move {
                            sleep(lasts).await;
                            peers.set_conditions(&some, &others, LinkConditions::default());
                        });
                    }
                }
                FaultKind::ReplayDatagrams => {
                    if let Some(peers) = &self.peers {
                        peers.replay(&met.balancers);
                    }
                }
                FaultKind::InjectDatagrams {
                    rate_per_s: rate,
                    duration: lasts,
                } => {
                    if let Some(peers) = &self.peers {
                        let storm = Arc::clone(peers).inject_corrupted(
                            met.balancers,
                            *rate,
                            *lasts,
                            seed ^ k,
                        );
                        running.spawn(storm);
                    }
                }
                FaultKind::ImpairLinks {
                    conditions: ways,
                    duration: lasts,
                } => {
                    let links = self.between(met, fault.peer.as_ref(), &mut draw);
                    let (ways, lasts, history) = (*ways, *lasts, Arc::clone(&self.history));
                    links
                        .iter()
                        .for_each(|(_, _, link)| link.set_conditions(ways));
                    running.spawn(async move {
                        sleep(lasts).await;
                        links
                            .iter()
                            .for_each(|(_, _, link)| link.set_conditions(Default::default()));
                        // What came up while the way was cut is reset now.
                        if ways.has_cut() {
                            unlinked(&history, &links);
                        }
                    });
                }
                FaultKind::ResetConnections => {
                    let links = self.between(met, fault.peer.as_ref(), &mut draw);
                    unlinked(&self.history, &links);
                    links
                        .iter()
                        .for_each(|(_, _, link)| link.reset_connections());
                }
                act => self.strike(act, met, &mut running),
            }
        }
        while running.join_next().await.is_some() {}
    }

    fn met(&self, target: &Target, draw: &mut ChaCha8Rng) -> Met {
        met(&self.experiment, target, draw)
    }

    /// The links between whom a fault meets and those of `with`, or all others; clients' only where they are named.
    fn between(&self, mut met: Met, with: Option<&Target>, draw: &mut ChaCha8Rng) -> Vec<Owned> {
        match with {
            Some(with) => {
                let other = self.met(with, draw);
                met.balancers.extend(other.balancers);
                met.upstreams.extend(other.upstreams);
                met.discovery |= other.discovery;
                met.clients |= other.clients;
            }
            None if met.balancers.is_empty() => {
                met.balancers.extend(0..self.experiment.fleet.balancers)
            }
            None => {
                met.upstreams.extend(0..self.upstreams.count());
                met.discovery = true;
            }
        }
        let others = met.upstreams.iter().map(|n| LinkPeer::Upstream(*n));
        let others = others.chain(met.discovery.then_some(LinkPeer::Discovery));
        let others: Vec<LinkPeer> = others
            .chain(met.clients.then_some(LinkPeer::Clients))
            .collect();
        let pairs = met
            .balancers
            .iter()
            .flat_map(|b| others.iter().map(|other| (*b, *other)));
        pairs
            .map(|(balancer, other)| (balancer, other, self.links.between(balancer, other)))
            .collect()
    }

    /// What happens to processes and stand-ins themselves.
    fn strike(&self, act: &FaultKind, met: Met, running: &mut JoinSet<()>) {
        if let (
            true,
            FaultKind::Kill {
                restart_after: back,
                ..
            },
        ) = (met.discovery, act)
        {
            let (discovery, back) = (Arc::clone(&self.discovery), *back);
            running.spawn(async move {
                if let Some(registrar) = discovery.registrations() {
                    registrar.registry().kill(back).await;
                    return;
                }
                discovery.set_available(false);
                if let Some(back) = back {
                    sleep(back).await;
                    discovery.set_available(true);
                }
            });
        }
        if let (true, FaultKind::Pause { duration: lasts }, Some(registrar)) =
            (met.discovery, act, self.discovery.registrations())
        {
            let (registrar, lasts) = (Arc::clone(registrar.registry()), *lasts);
            running.spawn(async move { registrar.pause(lasts).await });
        }
        for number in met.balancers {
            let balancers = Arc::clone(&self.balancers);
            match act {
                FaultKind::Kill {
                    restart_after: back,
                    new_name: name,
                } => running.spawn(balancers.kill(number, *back, name.clone())),
                FaultKind::Terminate => running.spawn(balancers.restart(number)),
                FaultKind::Pause { duration: lasts } => {
                    running.spawn(balancers.pause(number, *lasts))
                }
                _ => continue,
            };
        }
        for (rank, number) in (0u32..).zip(met.upstreams) {
            let upstreams = Arc::clone(&self.upstreams);
            match *act {
                FaultKind::Kill {
                    restart_after: back,
                    ..
                } => running.spawn(upstreams.crash(number, back)),
                FaultKind::SlowDown {
                    factor,
                    duration: lasts,
                } => running.spawn(upstreams.slow_down(number, factor, lasts)),
                FaultKind::Unresponsive { duration: lasts } => {
                    running.spawn(upstreams.make_unresponsive(number, lasts))
                }
                FaultKind::RollingReplacement {
                    batch_size: batch,
                    interval: every,
                    drain,
                } => running.spawn(async move {
                    sleep(every * (rank / batch)).await;
                    upstreams.replace(number, drain).await;
                }),
                _ => continue,
            };
        }
    }
}

fn words(fault: &Fault) -> String {
    let whom = match &fault.target {
        Target::Balancer(n) => format!("b{n}"),
        Target::Upstream(n) => format!("u{n}"),
        Target::BalancerRange { first, last } => format!("b{first} to b{last}"),
        Target::OtherBalancers => "the other balancers".into(),
        Target::BalancerShare(share) => format!("{:.0}% of balancers", share * 100.0),
        Target::UpstreamShare(share) => format!("{:.0}% of upstreams", share * 100.0),
        Target::Discovery => "discovery".into(),
        Target::Clients => "clients".into(),
    };
    let what = match &fault.kind {
        FaultKind::Kill {
            restart_after: None,
            ..
        } => "killed".into(),
        FaultKind::Kill {
            restart_after: Some(back),
            new_name: None,
        } => format!("killed, back after {back:?}"),
        FaultKind::Kill {
            restart_after: Some(back),
            new_name: Some(name),
        } => {
            format!("killed, back after {back:?} by the name of {name}")
        }
        FaultKind::Terminate => "asked to leave, started again".into(),
        FaultKind::Pause { duration: lasts } => format!("stopped for {lasts:?}"),
        FaultKind::SlowDown {
            factor,
            duration: lasts,
        } => format!("{factor} times slower for {lasts:?}"),
        FaultKind::Unresponsive { duration: lasts } => format!("silent for {lasts:?}"),
        FaultKind::RollingReplacement {
            batch_size: batch,
            interval: every,
            ..
        } => format!("replaced, {batch} every {every:?}"),
        FaultKind::ImpairLinks {
            conditions,
            duration: lasts,
        } => {
            let slow = |way: &LinkCondition| match way {
                LinkCondition { is_cut: true, .. } => "cut".into(),
                way if *way == LinkCondition::default() => "open".into(),
                way if way.loss_share + way.duplicate_share > 0.0 => format!(
                    "{:.0}% lost, {:.0}% twice, up to {:?} late",
                    way.loss_share * 100.0,
                    way.duplicate_share * 100.0,
                    way.delay + way.jitter
                ),
                way => format!("{:?} later, up to {:?} more", way.delay, way.jitter),
            };
            format!(
                "links from balancers {}, back {}, for {lasts:?}",
                slow(&conditions.outbound),
                slow(&conditions.inbound)
            )
        }
        FaultKind::ResetConnections => "all connections reset".into(),
        FaultKind::ReplayDatagrams => "old datagrams come once more".into(),
        FaultKind::InjectDatagrams {
            rate_per_s: rate,
            duration: lasts,
        } => format!("{rate} bad datagrams a second for {lasts:?}"),
    };
    format!("{whom}: {what}")
}

fn met(experiment: &Experiment, target: &Target, draw: &mut ChaCha8Rng) -> Met {
    let mut some = |share: f64, of: u32| {
        let mut all: Vec<u32> = (0..of).collect();
        all.shuffle(draw);
        all.truncate((share * f64::from(of)).round() as usize);
        all
    };
    let fleet = &experiment.fleet;
    match target {
        Target::Balancer(n) => Met {
            balancers: vec![*n],
            ..Met::default()
        },
        Target::Upstream(n) => Met {
            upstreams: vec![*n],
            ..Met::default()
        },
        Target::BalancerRange { first, last } => Met {
            balancers: (*first..=*last).collect(),
            ..Met::default()
        },
        // Whom it does not mean is said by the fault's target.
        Target::OtherBalancers => Met::default(),
        Target::BalancerShare(share) => Met {
            balancers: some(*share, fleet.balancers),
            ..Met::default()
        },
        Target::UpstreamShare(share) => Met {
            upstreams: some(*share, fleet.upstreams),
            ..Met::default()
        },
        Target::Discovery => Met {
            discovery: true,
            ..Met::default()
        },
        Target::Clients => Met {
            clients: true,
            ..Met::default()
        },
    }
}

fn of_balancers(target: &Target) -> bool {
    matches!(
        target,
        Target::Balancer(_)
            | Target::BalancerShare(_)
            | Target::BalancerRange { .. }
            | Target::OtherBalancers
    )
}

/// The faults as often as they happen, each with a number of its own, in the order of time.
fn occurrences(experiment: &Experiment) -> Vec<(u64, Fault)> {
    let mut all = Vec::new();
    for fault in &experiment.faults {
        let until = fault.repeat_until.unwrap_or(experiment.length);
        let mut at = fault.start;
        loop {
            all.push(Fault {
                start: at,
                ..fault.clone()
            });
            match fault.repeat_interval {
                Some(every) if at + every < until => at += every,
                _ => break,
            }
        }
    }
    all.sort_by_key(|fault| fault.start);
    (0u64..).zip(all).collect()
}

/// Seconds for which it goes on, as far as that is known before.
fn lasts(act: &FaultKind) -> Option<f64> {
    act.duration().map(|lasts| lasts.as_secs_f64())
}
