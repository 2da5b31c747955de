//! `frostkeel demo` and `frostkeel lab`.

use crate::lab_output::{Shown, table};
use clap::{Args, Subcommand};
use frostkeel_lab::checks::membership_figures::missed_expectations;
use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::reports::{size_plot, write_report};
use frostkeel_lab::runs::registry_run::{RegistryRunOptions, run_registry};
use frostkeel_lab::runs::simulation;
use frostkeel_lab::{RunOptions, run as run_experiment};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::sync::watch;

const DEMO: &str = include_str!("../../lab/experiments/demo.toml");
/// The balancer's program, beside this one.
const BALANCER: &str = "frostkeel-balancer";

/// Where a play's programs and files are.
#[derive(Args)]
pub struct Place {
    /// The balancer's program; beside this one unless named.
    #[arg(long)]
    balancer: Option<PathBuf>,
    /// Folder for the report, the events and the children's logs; a new one in the temporary folder unless named.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Seed in place of the experiment's own.
    #[arg(long)]
    seed: Option<u64>,
}

/// What the lab does.
#[derive(Subcommand)]
pub enum Lab {
    /// Play an experiment, check every rule over its whole history, and write a report.
    Run {
        /// The experiment.
        file: PathBuf,
        #[command(flatten)]
        place: Place,
    },
    /// Say whether an experiment can be meant.
    Check {
        /// The experiment.
        file: PathBuf,
    },
    /// Play what an experiment does to balancers with the membership's state machines alone, in simulated time.
    Simulate {
        /// The experiment.
        file: PathBuf,
        /// Sizes of the fleet, in place of the experiment's own.
        #[arg(long, value_delimiter = ',')]
        members: Vec<u32>,
        /// Seed in place of the experiment's own.
        #[arg(long)]
        seed: Option<u64>,
        /// Plays of each size, on as many seeds.
        #[arg(long, default_value_t = 1)]
        plays: u64,
        /// Seconds in place of the experiment's own.
        #[arg(long)]
        seconds: Option<f64>,
        /// All know each other from the start on; unless said, they have to find each other.
        #[arg(long)]
        known: bool,
        /// A plot over the sizes, as SVG.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Put many watchers and writers on a list service, kill it now and then, and check all that they saw.
    Registry {
        /// Watchers.
        #[arg(long, default_value_t = 1000)]
        watchers: u32,
        /// Upstreams on the list.
        #[arg(long, default_value_t = 200)]
        upstreams: u32,
        /// Changes a second.
        #[arg(long, default_value_t = 50.0)]
        changes: f64,
        /// Writers that send them.
        #[arg(long, default_value_t = 10)]
        writers: u32,
        /// For so long.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Times that the service is killed meanwhile.
        #[arg(long, default_value_t = 0)]
        kills: u32,
        #[command(flatten)]
        place: Place,
    },
    /// Play two programs, or two experiments, in turn on the same seeds, and compare their figures.
    Compare {
        /// The experiment.
        file: PathBuf,
        /// The experiment that is compared with it; the same unless named.
        other: Option<PathBuf>,
        /// The balancer's program that is compared with; beside this one unless named.
        #[arg(long)]
        before: Option<PathBuf>,
        /// The balancer's program that is compared; beside this one unless named.
        #[arg(long)]
        after: Option<PathBuf>,
        /// Plays of each, on as many seeds.
        #[arg(long, default_value_t = 3)]
        plays: u32,
        #[command(flatten)]
        place: Place,
    },
}

type Done = Result<ExitCode, Box<dyn Error>>;

/// Plays the embedded experiment.
pub fn demo(place: Place) -> Done {
    runtime()?.block_on(one(Experiment::parse(DEMO)?, place))
}

/// Carries out one of the lab's commands.
pub fn run(command: Lab) -> Done {
    match command {
        Lab::Check { file } => {
            let experiment = read(&file)?;
            let fleet = &experiment.fleet;
            println!(
                "{}: {} balancers, {} upstreams, {} faults in {:?}: it can be played",
                experiment.name,
                fleet.balancers,
                fleet.upstreams,
                experiment.faults.len(),
                experiment.length
            );
            Ok(ExitCode::SUCCESS)
        }
        Lab::Run { file, place } => runtime()?.block_on(one(read(&file)?, place)),
        Lab::Simulate {
            file,
            members,
            seed,
            plays,
            seconds,
            known,
            plot,
        } => {
            let mut experiment = read(&file)?;
            if let Some(seconds) = seconds {
                let length = std::time::Duration::try_from_secs_f64(seconds);
                experiment.length = length.map_err(|e| format!("--seconds {seconds}: {e}"))?;
            }
            simulate(&experiment, &members, seed, plays, known, plot.as_deref())
        }
        Lab::Registry {
            watchers,
            upstreams,
            changes,
            writers,
            seconds,
            kills,
            place,
        } => {
            let lasts = std::time::Duration::try_from_secs_f64(seconds)
                .map_err(|e| format!("--seconds {seconds}: {e}"))?;
            if !(0.1..=100_000.0).contains(&changes)
                || writers == 0
                || upstreams == 0
                || watchers == 0
            {
                return Err(
                    "one watcher, writer and upstream at least, and 0.1 to 100000 changes a second"
                        .into(),
                );
            }
            let seed = place.seed.unwrap_or(1);
            let plan = RegistryRunOptions {
                watchers,
                upstreams,
                changes_per_s: changes,
                writers,
                duration: lasts,
                kills,
                seed,
            };
            let dir = folder(&place, "registry");
            let program = std::env::current_exe()?;
            let watched = runtime()?.block_on(run_registry(program, &dir, plan))?;
            println!(
                "{} changes acknowledged after {:.1} ms (median), {:.1} ms (99th percentile), {} without an answer; \
                 99% of the watchers had them after {:.1} ms (median), {:.1} ms (99th percentile), {:.1} ms \
                 at worst; {} lines",
                watched.acknowledged_count,
                watched.acknowledgement.p50_ms,
                watched.acknowledgement.p99_ms,
                watched.failed_count,
                watched.delivery.p50_ms,
                watched.delivery.p99_ms,
                watched.delivery.max_ms,
                watched.line_count
            );
            watched
                .violations
                .iter()
                .for_each(|text| println!("  BROKEN: {text}"));
            Ok(if watched.violations.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Lab::Compare {
            file,
            other,
            before,
            after,
            plays,
            place,
        } => {
            if other.is_none() && before == after {
                return Err(
                    "nothing to compare: name a second experiment, or --before and --after".into(),
                );
            }
            let first = read(&file)?;
            let second = other.as_deref().map_or_else(|| Ok(first.clone()), read)?;
            let own = balancer(&place)?;
            let sides = [
                (first, before.unwrap_or_else(|| own.clone())),
                (second, after.unwrap_or(own)),
            ];
            runtime()?.block_on(compare(sides, plays, place))
        }
    }
}

/// Simulates each size on each seed, at once on as many threads; one line for each.
fn simulate(
    experiment: &Experiment,
    sizes: &[u32],
    seed: Option<u64>,
    plays: u64,
    known: bool,
    plot: Option<&Path>,
) -> Done {
    let first = seed.unwrap_or(experiment.seed);
    let own = [experiment.fleet.balancers];
    let sizes = if sizes.is_empty() { &own } else { sizes };
    println!(
        "{:>7} {:>5} {:>9} {:>6} {:>7} {:>5} {:>6} {:>6} {:>6} {:>6} {:>6} {:>8} {:>8}",
        "members",
        "seed",
        "seconds",
        "dgrams",
        "bytes",
        "kills",
        "p50 s",
        "p99 s",
        "worst",
        "false",
        "held",
        "equal s",
        "unequal"
    );
    let mut sound = true;
    let mut all = Vec::new();
    for size in sizes {
        let play = |seed| {
            let mut experiment = experiment.clone();
            experiment.fleet.balancers = *size;
            simulation::simulate(&experiment, seed, known).map(|played| {
                let missed = missed_expectations(&experiment, &played.figures);
                (played, missed)
            })
        };
        let played: Vec<_> = std::thread::scope(|scope| {
            let running: Vec<_> = (first..first + plays)
                .map(|seed| scope.spawn(move || play(seed)))
                .collect();
            running
                .into_iter()
                .filter_map(|one| one.join().ok())
                .collect()
        });
        for one in played {
            let (played, missed) = one?;
            let f = &played.figures;
            let equal = f
                .converged_since_s
                .map_or_else(|| "never".into(), |s| format!("{s:.1}"));
            println!(
                "{:>7} {:>5} {:>9.0} {:>6.2} {:>7.1} {:>5} {:>6.2} {:>6.2} {:>6.2} {:>6} {:>6} {equal:>8} {:>8}",
                played.members,
                played.seed,
                played.seconds,
                played.datagrams_per_s,
                played.bytes_per_s,
                f.kill_count,
                f.detection_p50_s,
                f.detection_p99_s,
                f.detection_max_s,
                f.false_failure_count,
                f.paused_failure_count,
                f.divergent_view_count
            );
            let wrong = if experiment.expect.no_false_failures {
                &played.violations[..]
            } else {
                &[]
            };
            for what in missed.iter().chain(wrong).chain(&f.differences).take(6) {
                println!("        missed: {what}");
            }
            sound &= missed.is_empty();
            all.push(played);
        }
    }
    if let Some(path) = plot {
        std::fs::write(path, size_plot(&all))?;
    }
    Ok(if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    // Four threads: beside a hundred balancers the stand-ins must not wait for a core.
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
}

fn read(file: &Path) -> Result<Experiment, Box<dyn Error>> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Experiment::parse(&text).map_err(|e| format!("{}: {e}", file.display()).into())
}

fn balancer(place: &Place) -> std::io::Result<PathBuf> {
    let beside = || Ok(std::env::current_exe()?.with_file_name(BALANCER));
    place.balancer.clone().map_or_else(beside, Ok)
}

fn folder(place: &Place, name: &str) -> PathBuf {
    let own = || std::env::temp_dir().join(format!("frostkeel-{name}-{}", std::process::id()));
    place.out.clone().unwrap_or_else(own)
}

/// Becomes `true` at the first Ctrl-C.
fn interrupted() -> watch::Receiver<bool> {
    let (tell, told) = watch::channel(false);
    tokio::spawn(async move {
        if tokio::signal::ctrl_c().await.is_ok() {
            tell.send_replace(true);
        }
        // Kept, so that who waits is not told of its end.
        tell.closed().await;
    });
    told
}

async fn one(experiment: Experiment, place: Place) -> Done {
    let dir = folder(&place, &experiment.name);
    let options = RunOptions {
        balancer: balancer(&place)?,
        guard: Some(std::env::current_exe()?),
        seed: place.seed.unwrap_or(experiment.seed),
        dir: dir.clone(),
        stop: interrupted(),
    };
    let mut shown = Shown::new(&experiment);
    let played = run_experiment(experiment, options, |progress| shown.show(&progress)).await?;
    let page = write_report(&played, &dir)?;
    table(&played);
    println!("report: {}", page.display());
    Ok(if played.is_good() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn compare(sides: [(Experiment, PathBuf); 2], plays: u32, place: Place) -> Done {
    let (dir, stop) = (folder(&place, &sides[0].0.name), interrupted());
    let first = place.seed.unwrap_or(sides[0].0.seed);
    let mut served: [Vec<f64>; 2] = Default::default();
    let mut sound = true;
    for round in 0..u64::from(plays.max(1)) {
        for (k, (experiment, program)) in sides.iter().enumerate() {
            let options = RunOptions {
                balancer: program.clone(),
                guard: Some(std::env::current_exe()?),
                seed: first + round,
                dir: dir.join(format!("{}-{round}", ["before", "after"][k])),
                stop: stop.clone(),
            };
            let played = run_experiment(experiment.clone(), options, |_| ()).await?;
            if *stop.borrow() {
                return Err("interrupted: nothing is compared".into());
            }
            let (seed, f) = (first + round, &played.figures);
            let name = ["before", "after"][k];
            println!(
                "{name:6} seed {seed}: served {:.3}, worst class {:.3}, p99 {:.0} ms, {} breaches{}",
                f.served_share,
                f.worst_class_share,
                f.p99_ms,
                played.violations.len(),
                played
                    .void_reason
                    .as_ref()
                    .map(|why| format!(", VOID: {why}"))
                    .unwrap_or_default()
            );
            sound &= played.void_reason.is_none();
            if played.void_reason.is_none() {
                served[k].push(f.served_share);
            }
        }
    }
    for (name, figures) in ["before", "after"].iter().zip(&mut served) {
        figures.sort_by(f64::total_cmp);
        match figures.as_slice() {
            [] => println!("{name:6} no play counts"),
            all => println!(
                "{name:6} served: median {:.3}, worst {:.3}, best {:.3} of {} plays",
                all[all.len() / 2],
                all[0],
                all[all.len() - 1],
                all.len()
            ),
        }
    }
    Ok(if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
