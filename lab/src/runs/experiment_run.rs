//! One play of an experiment, from the first process to the last.

use crate::balancers::balancer_process::{Balancers, Round};
use crate::checks::balancer_rules::{self, Broken, Rule};
use crate::checks::membership_checks::{self, Presence};
use crate::error::LabError;
use crate::experiment::{Act, Experiment, Fault};
use crate::faults::fault_injector::Stage;
use crate::history::{Event, History};
use crate::links::connections::Links;
use crate::links::peer_links::Peers;
use crate::measurements::figures::{self, Figures};
use crate::processes::guard::Guard;
use crate::standins::clients::{Clients, Front, schedule};
use crate::standins::discovery::Discovery;
use crate::standins::registration::Registrar;
use crate::standins::upstreams::{Row, Upstreams, pair_address};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Balancers started at a time.
const START_AT_ONCE: usize = 16;
/// A play whose requests were sent later than this, at the 99th percentile, measured the lab, in ms.
const LATE_MOST_MS: f64 = 20.0;
/// Share of what was served before that is served again where service is back.
const BACK: f64 = 0.9;
/// Events that one play may have: some 100 bytes each are held in memory.
const EVENTS_MOST: usize = 20_000_000;
/// Descriptors that the lab takes besides those it counts.
const DESCRIPTORS_BESIDES: u64 = 200;
/// How often progress is told.
const PROGRESS_EVERY: Duration = Duration::from_secs(1);

/// How a play is made.
pub struct Options {
    /// The balancers' program.
    pub balancer: PathBuf,
    /// The program that guards the children, with `guard` as its first argument, and is the list service.
    pub guard: Option<PathBuf>,
    /// In place of the experiment's own.
    pub seed: u64,
    /// Where logs and configurations go.
    pub dir: PathBuf,
    /// Set to `true`, it ends the play early.
    pub stop: watch::Receiver<bool>,
}

/// How a running play stands.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Time since the load began.
    pub at: Duration,
    /// How each balancer stands, in a word, and how many tries it has answered.
    pub balancers: Vec<(&'static str, u64)>,
    /// How each upstream stands.
    pub upstreams: Vec<Row>,
}

/// What the lab itself was like.
#[derive(Clone, Debug, Serialize)]
pub struct LabItself {
    /// Percentiles and maximum of how late requests were sent, in ms.
    pub late_p50_ms: f64,
    /// See `late_p50_ms`.
    pub late_p99_ms: f64,
    /// See `late_p50_ms`.
    pub late_max_ms: f64,
    /// Share of one core that it took.
    pub cores: f64,
    /// Events not kept for want of room.
    pub dropped: u64,
}

/// What balancers knew of each other, and what that cost.
#[derive(Clone, Debug, Serialize)]
pub struct Members {
    /// How soon deaths were known, and what was wrongly taken for one.
    #[serde(flatten)]
    pub figures: membership_checks::Figures,
    /// Datagrams that each sent in a second.
    pub datagrams: f64,
    /// Bytes that each sent in a second.
    pub bytes: f64,
}

/// A play that has ended.
#[derive(Serialize)]
pub struct Played {
    /// The experiment's name.
    pub experiment: String,
    /// The seed.
    pub seed: u64,
    /// The balancers' program.
    pub balancer: PathBuf,
    /// Seconds of load that were played.
    pub seconds: f64,
    /// It was ended before its time.
    pub cut_short: bool,
    /// Why it counts for nothing, where it does.
    pub void: Option<String>,
    /// The rules that were broken.
    pub broken: Vec<Broken>,
    /// What of the expectations was missed.
    pub missed: Vec<String>,
    /// The figures.
    pub figures: Figures,
    /// The most memory that any balancer took, in MB.
    pub memory_mb: f64,
    /// The share of a core that balancers took: mean, and of the one that took most.
    pub balancer_cores: (f64, f64),
    /// What balancers knew of each other, where they did.
    pub members: Option<Members>,
    /// The lab.
    pub lab: LabItself,
    /// The whole history.
    #[serde(skip)]
    pub events: Vec<Event>,
}

impl Played {
    /// Whether it counts, and all rules and expectations were kept.
    pub fn is_good(&self) -> bool {
        self.void.is_none() && self.broken.is_empty() && self.missed.is_empty()
    }
}

/// Plays an experiment; `progress` is told of it every second.
pub async fn play(
    experiment: Experiment,
    options: Options,
    mut progress: impl FnMut(Progress),
) -> Result<Played, LabError> {
    descriptors(&experiment)?;
    let file = |path: &Path, source| LabError::File {
        path: path.to_owned(),
        source,
    };
    tokio::fs::create_dir_all(&options.dir)
        .await
        .map_err(|e| file(&options.dir, e))?;
    let experiment = Arc::new(experiment);
    let history = Arc::new(History::new(EVENTS_MOST));
    let on_links = |f: &Fault| matches!(f.act, Act::Links(..) | Act::Reset);
    let links = Links::new(options.seed, !experiment.faults.iter().any(on_links));
    let guard = options.guard.as_deref().map(Guard::start).transpose();
    let guard = guard
        .map_err(|source| LabError::Start {
            program: options.guard.clone().unwrap_or_default(),
            source,
        })?
        .map(Arc::new);
    let registrar = match (&experiment.registry, &options.guard) {
        (None, _) => None,
        (Some(_), None) => return Err(LabError::NoProgram),
        (Some(registry), Some(program)) => {
            let (guard, history) = (guard.clone(), Arc::clone(&history));
            let registrar = Registrar::new(program, &options.dir, guard, history, registry.lease());
            registrar.start().await?;
            Some(registrar)
        }
    };
    let discovery = Discovery::new(Arc::clone(&history), Arc::clone(&links), registrar.clone());
    let upstreams = Upstreams::new(
        Arc::clone(&experiment),
        options.seed,
        Arc::clone(&history),
        Arc::clone(&discovery),
        Arc::clone(&links),
    );
    let mut tasks = JoinSet::new();
    let mut addresses = Vec::new();
    for balancer in 0..experiment.fleet.balancers {
        let listener = TcpListener::bind((pair_address(balancer, 249), 0))
            .await
            .map_err(LabError::Address)?;
        addresses.push(listener.local_addr().map_err(LabError::Address)?);
        tasks.spawn(Arc::clone(&discovery).serve(balancer, listener));
    }
    for _ in 0..experiment.fleet.upstreams {
        upstreams.add(false).await.map_err(LabError::Address)?;
    }
    let peers = match experiment.membership {
        None => None,
        Some(_) => {
            let keeps = experiment
                .faults
                .iter()
                .any(|f| matches!(f.act, Act::Replay | Act::Storm { .. }));
            let bound = Peers::bind(experiment.fleet.balancers, options.seed, keeps).await;
            Some(bound.map_err(LabError::Address)?)
        }
    };
    if let Some(peers) = &peers {
        peers.carry(&mut tasks);
    }
    if let Some(registrar) = &registrar {
        registrar.lists(experiment.fleet.upstreams as usize).await?;
    }
    let front = Arc::new(Front::new(experiment.fleet.balancers));
    let known = Arc::clone(&discovery);
    let round = Round {
        experiment: Arc::clone(&experiment),
        seed: options.seed,
        history: Arc::clone(&history),
        front: Arc::clone(&front),
        peers: peers.clone(),
    };
    let balancers = Balancers::new(
        round,
        &options.balancer,
        guard,
        &options.dir,
        addresses,
        move |balancer| known.text(balancer, None).1,
    );
    start_all(&balancers, experiment.fleet.balancers).await?;
    if peers.is_some() {
        let pages = options.dir.join("pages");
        tokio::fs::write(&pages, balancers.pages())
            .await
            .map_err(|e| file(&pages, e))?;
    }

    let clients = Clients::new(
        Arc::clone(&experiment),
        Arc::clone(&history),
        Arc::clone(&front),
        Arc::clone(&links),
    );
    let arrivals = schedule(&experiment, options.seed);
    let processor = processor_seconds();
    let sent = peers.as_ref().map_or((0, 0), |peers| peers.sent());
    history.begin();
    tasks.spawn(Arc::clone(&upstreams).watch_load());
    let stage = Stage {
        experiment: Arc::clone(&experiment),
        history: Arc::clone(&history),
        balancers: Arc::clone(&balancers),
        upstreams: Arc::clone(&upstreams),
        discovery,
        links,
        peers: peers.clone(),
    };
    tasks.spawn(stage.faults(options.seed));
    let mut stop = options.stop.clone();
    let load = Arc::clone(&clients).run(arrivals);
    tokio::pin!(load);
    let mut next = Instant::now() + PROGRESS_EVERY;
    let cut_short = loop {
        tokio::select! {
            () = &mut load => break false,
            _ = stop.wait_for(|stop| *stop) => break true,
            () = sleep_until(next) => {
                next += PROGRESS_EVERY;
                let states = (0..).zip(balancers.standing());
                let states = states.map(|(b, state)| (state, front.answered(b))).collect();
                progress(Progress { at: history.now(), balancers: states, upstreams: upstreams.standing() });
            }
        }
    };
    let seconds = history.now().min(experiment.length).as_secs_f64();
    let sent = peers
        .as_ref()
        .map(|peers| (peers.sent().0 - sent.0, peers.sent().1 - sent.1));
    let (elapsed, spent) = (history.now().as_secs_f64(), processor_seconds() - processor);
    tasks.abort_all();
    end_all(&balancers, experiment.fleet.balancers).await;
    if let Some(registrar) = &registrar {
        registrar.kill(None).await;
    }

    let (events, dropped) = history.take();
    let late = clients.lateness();
    let lab = LabItself {
        late_p50_ms: figures::ms(&late, 0.5),
        late_p99_ms: figures::ms(&late, 0.99),
        late_max_ms: late.max() as f64 / 1e3,
        cores: spent / elapsed.max(1e-9),
        dropped,
    };
    let figures = figures::figures(&experiment, &events);
    let void = if lab.late_p99_ms > LATE_MOST_MS {
        Some(format!(
            "the lab was late: p99 {:.1} ms of {LATE_MOST_MS} allowed",
            lab.late_p99_ms
        ))
    } else {
        (dropped > 0).then(|| format!("{dropped} events were not kept"))
    };
    let (members, mut wrong) = match sent {
        None => (None, Vec::new()),
        Some((datagrams, bytes)) => {
            let mut presence = Presence::default();
            // What the end of the play does is no part of it.
            let until = events.iter().take_while(|e| e.at as f64 <= elapsed * 1e6);
            until.for_each(|event| presence.feed(event.at, &event.what));
            let (figures, wrong) = presence.end();
            let of_each = elapsed * f64::from(experiment.fleet.balancers);
            let (datagrams, bytes) = (datagrams as f64 / of_each, bytes as f64 / of_each);
            (
                Some(Members {
                    figures,
                    datagrams,
                    bytes,
                }),
                wrong,
            )
        }
    };
    let mut missed = Vec::new();
    if let Some(members) = &members {
        missed = membership_checks::missed(&experiment, &members.figures);
    }
    if figures.served < experiment.expect.served {
        missed.push(format!(
            "served {:.3} of {:.3} expected",
            figures.served, experiment.expect.served
        ));
    }
    if let Some(within) = experiment.expect.back_s {
        match figures::before_and_after(&experiment, &figures, within) {
            Some((before, after)) if after >= BACK * before => {}
            Some((before, after)) => missed.push(format!(
                "{within} s after the last fault {after:.3} is served, {:.3} expected of {before:.3} before the first",
                BACK * before
            )),
            None => missed.push(format!("nothing is asked for {within} s after the last fault, or before the first")),
        }
    }
    Ok(Played {
        experiment: experiment.name.clone(),
        seed: options.seed,
        balancer: options.balancer,
        seconds,
        cut_short,
        void,
        broken: {
            let mut broken = balancer_rules::broken(&experiment, &events);
            if experiment.expect.none_taken_for_gone {
                broken.extend(wrong.drain(..).map(|(at, text)| Broken {
                    rule: Rule::Present,
                    at,
                    text,
                }));
            }
            broken
        },
        missed,
        figures,
        balancer_cores: balancers.cores(),
        members,
        memory_mb: balancers.most_memory_kb() as f64 / 1024.0,
        lab,
        events,
    })
}

async fn start_all(balancers: &Arc<Balancers>, count: u32) -> Result<(), LabError> {
    let mut starting = JoinSet::new();
    for number in 0..count {
        if starting.len() >= START_AT_ONCE
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

async fn end_all(balancers: &Arc<Balancers>, count: u32) {
    let mut leaving = JoinSet::new();
    for number in 0..count {
        let balancers = Arc::clone(balancers);
        leaving.spawn(async move { balancers.leave(number).await });
    }
    while leaving.join_next().await.is_some() {}
}

/// Whether so many files may be open.
fn descriptors(experiment: &Experiment) -> Result<(), LabError> {
    let replaced = experiment
        .faults
        .iter()
        .any(|f| matches!(f.act, Act::Replace { .. }));
    let pairs = u64::from(experiment.fleet.balancers) * u64::from(experiment.fleet.upstreams);
    // A listener and a connection for each pair, the clients' connections, pipes and logs.
    let clients = (experiment.load.rate * 2.0) as u64;
    let peers = experiment
        .membership
        .map_or(0, |_| Peers::needs(experiment.fleet.balancers));
    let need = peers
        + pairs * if replaced { 3 } else { 2 }
        + clients
        + 4 * u64::from(experiment.fleet.balancers)
        + DESCRIPTORS_BESIDES;
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .unwrap_or(u64::MAX);
    if need > limit {
        Err(LabError::Descriptors { need, limit })
    } else {
        Ok(())
    }
}

/// Processor time that this process has taken, in seconds.
fn processor_seconds() -> f64 {
    figures::processor_seconds(&std::fs::read_to_string("/proc/self/stat").unwrap_or_default())
}
