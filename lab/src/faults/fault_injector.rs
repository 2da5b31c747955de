//! The faults of a play: whom they meet, and what is done to them when they are due.

use crate::balancers::balancer_process::Balancers;
use crate::experiment::{Act, Experiment, Fault, Target, Way};
use crate::history::{History, What};
use crate::links::connections::{Link, Links, Other};
use crate::links::peer_links::Peers;
use crate::standins::discovery::Discovery;
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
    pub balancers: Arc<Balancers>,
    pub upstreams: Arc<Upstreams>,
    pub discovery: Arc<Discovery>,
    pub links: Arc<Links>,
    pub peers: Option<Arc<Peers>>,
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
            .with
            .as_ref()
            .map_or_else(Met::default, |with| met(experiment, with, &mut draw));
        DrawnFault {
            at: fault.at,
            text: words(&fault),
            lasts: lasts(&fault.act),
            balancers: [target.balancers, with.balancers],
            upstreams: [target.upstreams, with.upstreams],
        }
    };
    occurrences(experiment).into_iter().map(drawn).collect()
}

/// A link, and whose it is.
type Owned = (u32, Other, Arc<Link>);

fn unlinked(history: &History, links: &[Owned]) {
    for (balancer, ..) in links
        .iter()
        .filter(|(_, other, _)| *other == Other::Clients)
    {
        history.note(What::Unlinked {
            balancer: *balancer,
        });
    }
}

impl Stage {
    /// Plays the faults of the experiment when they are due.
    pub async fn faults(self, seed: u64) {
        let mut running = JoinSet::new();
        for (k, fault) in occurrences(&self.experiment) {
            sleep_until(self.history.at(fault.at.as_secs_f64())).await;
            self.history.note(What::Fault {
                text: words(&fault),
                lasts: lasts(&fault.act),
            });
            let mut draw = ChaCha8Rng::seed_from_u64(seed ^ (k + 1) << 40);
            let met = self.met(&fault.target, &mut draw);
            match &fault.act {
                Act::Links(ways, lasts) if matches!(&fault.with, Some(with) if of_balancers(with)) => {
                    if let (Some(peers), Some(with)) = (&self.peers, &fault.with) {
                        let others = match with {
                            Target::Others => {
                                let all = 0..self.experiment.fleet.balancers;
                                all.filter(|n| !met.balancers.contains(n)).collect()
                            }
                            with => self.met(with, &mut draw).balancers,
                        };
                        let (peers, some, lasts) = (Arc::clone(peers), met.balancers, *lasts);
                        peers.set(&some, &others, *ways);
                        running.spawn(async move {
                            sleep(lasts).await;
                            peers.set(&some, &others, [Way::default(); 2]);
                        });
                    }
                }
                Act::Replay => {
                    if let Some(peers) = &self.peers {
                        peers.replay(&met.balancers);
                    }
                }
                Act::Storm { rate, lasts } => {
                    if let Some(peers) = &self.peers {
                        let storm = Arc::clone(peers).storm(met.balancers, *rate, *lasts, seed ^ k);
                        running.spawn(storm);
                    }
                }
                Act::Links(ways, lasts) => {
                    let links = self.between(met, fault.with.as_ref(), &mut draw);
                    let (ways, lasts, history) = (*ways, *lasts, Arc::clone(&self.history));
                    links.iter().for_each(|(_, _, link)| link.set(ways));
                    running.spawn(async move {
                        sleep(lasts).await;
                        links
                            .iter()
                            .for_each(|(_, _, link)| link.set(Default::default()));
                        // What came up while the way was cut is reset now.
                        if ways.iter().any(|way| way.cut) {
                            unlinked(&history, &links);
                        }
                    });
                }
                Act::Reset => {
                    let links = self.between(met, fault.with.as_ref(), &mut draw);
                    unlinked(&self.history, &links);
                    links.iter().for_each(|(_, _, link)| link.reset());
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
        let others = met.upstreams.iter().map(|n| Other::Upstream(*n));
        let others = others.chain(met.discovery.then_some(Other::Discovery));
        let others: Vec<Other> = others
            .chain(met.clients.then_some(Other::Clients))
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
    fn strike(&self, act: &Act, met: Met, running: &mut JoinSet<()>) {
        if let (true, Act::Kill { back, .. }) = (met.discovery, act) {
            let (discovery, back) = (Arc::clone(&self.discovery), *back);
            running.spawn(async move {
                if let Some(registrar) = discovery.registrar() {
                    registrar.kill(back).await;
                    return;
                }
                discovery.set_up(false);
                if let Some(back) = back {
                    sleep(back).await;
                    discovery.set_up(true);
                }
            });
        }
        if let (true, Act::Stop(lasts), Some(registrar)) =
            (met.discovery, act, self.discovery.registrar())
        {
            let (registrar, lasts) = (Arc::clone(registrar), *lasts);
            running.spawn(async move { registrar.hold(lasts).await });
        }
        for number in met.balancers {
            let balancers = Arc::clone(&self.balancers);
            match act {
                Act::Kill { back, name } => {
                    running.spawn(balancers.kill(number, *back, name.clone()))
                }
                Act::Term => running.spawn(balancers.replace(number)),
                Act::Stop(lasts) => running.spawn(balancers.hold(number, *lasts)),
                _ => continue,
            };
        }
        for (rank, number) in (0u32..).zip(met.upstreams) {
            let upstreams = Arc::clone(&self.upstreams);
            match *act {
                Act::Kill { back, .. } => running.spawn(upstreams.crash(number, back)),
                Act::Slow(factor, lasts) => running.spawn(upstreams.slow(number, factor, lasts)),
                Act::Silent(lasts) => running.spawn(upstreams.silence(number, lasts)),
                Act::Replace {
                    batch,
                    every,
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
        Target::Range(first, last) => format!("b{first} to b{last}"),
        Target::Others => "the other balancers".into(),
        Target::Balancers(share) => format!("{:.0}% of balancers", share * 100.0),
        Target::Upstreams(share) => format!("{:.0}% of upstreams", share * 100.0),
        Target::Discovery => "discovery".into(),
        Target::Clients => "clients".into(),
    };
    let what = match &fault.act {
        Act::Kill { back: None, .. } => "killed".into(),
        Act::Kill {
            back: Some(back),
            name: None,
        } => format!("killed, back after {back:?}"),
        Act::Kill {
            back: Some(back),
            name: Some(name),
        } => {
            format!("killed, back after {back:?} by the name of {name}")
        }
        Act::Term => "asked to leave, started again".into(),
        Act::Stop(lasts) => format!("stopped for {lasts:?}"),
        Act::Slow(factor, lasts) => format!("{factor} times slower for {lasts:?}"),
        Act::Silent(lasts) => format!("silent for {lasts:?}"),
        Act::Replace { batch, every, .. } => format!("replaced, {batch} every {every:?}"),
        Act::Links([to, back], lasts) => {
            let slow = |way: &Way| match way {
                Way { cut: true, .. } => "cut".into(),
                way if *way == Way::default() => "open".into(),
                way if way.loss + way.duplicate > 0.0 => format!(
                    "{:.0}% lost, {:.0}% twice, up to {:?} late",
                    way.loss * 100.0,
                    way.duplicate * 100.0,
                    way.delay + way.jitter
                ),
                way => format!("{:?} later, up to {:?} more", way.delay, way.jitter),
            };
            format!(
                "links from balancers {}, back {}, for {lasts:?}",
                slow(to),
                slow(back)
            )
        }
        Act::Reset => "all connections reset".into(),
        Act::Replay => "old datagrams come once more".into(),
        Act::Storm { rate, lasts } => format!("{rate} bad datagrams a second for {lasts:?}"),
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
        Target::Range(first, last) => Met {
            balancers: (*first..=*last).collect(),
            ..Met::default()
        },
        // Whom it does not mean is said by the fault's target.
        Target::Others => Met::default(),
        Target::Balancers(share) => Met {
            balancers: some(*share, fleet.balancers),
            ..Met::default()
        },
        Target::Upstreams(share) => Met {
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
        Target::Balancer(_) | Target::Balancers(_) | Target::Range(..) | Target::Others
    )
}

/// The faults as often as they happen, each with a number of its own, in the order of time.
fn occurrences(experiment: &Experiment) -> Vec<(u64, Fault)> {
    let mut all = Vec::new();
    for fault in &experiment.faults {
        let until = fault.until.unwrap_or(experiment.length);
        let mut at = fault.at;
        loop {
            all.push(Fault {
                at,
                ..fault.clone()
            });
            match fault.every {
                Some(every) if at + every < until => at += every,
                _ => break,
            }
        }
    }
    all.sort_by_key(|fault| fault.at);
    (0u64..).zip(all).collect()
}

/// Seconds for which it goes on, as far as that is known before.
fn lasts(act: &Act) -> Option<f64> {
    let lasts = match act {
        Act::Kill { back, .. } => *back,
        Act::Stop(lasts) | Act::Slow(_, lasts) | Act::Silent(lasts) | Act::Links(_, lasts) => {
            Some(*lasts)
        }
        Act::Storm { lasts, .. } => Some(*lasts),
        Act::Term | Act::Replace { .. } | Act::Reset | Act::Replay => None,
    };
    lasts.map(|lasts| lasts.as_secs_f64())
}
