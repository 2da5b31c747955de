//! Experiment files: what is played, read from TOML and refused with line and reason where it cannot be meant.

pub(crate) mod faults;
mod parsing;

pub use crate::experiment::faults::{Act, Fault, Target, Way};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// The most of either kind that addresses are kept for.
pub const BALANCERS_MOST: u32 = 300;
/// See [`BALANCERS_MOST`].
pub const UPSTREAMS_MOST: u32 = 200;
/// The longest play, in seconds: the history of one is held in memory.
pub const SECONDS_MOST: f64 = 3600.0;

/// Why a text is no experiment.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused {
    /// The line it lies in, from 1.
    pub line: usize,
    /// What is wrong, and what would be right.
    pub reason: String,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for Refused {}

/// What is played.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name, for the report.
    pub name: String,
    /// How long clients send.
    pub length: Duration,
    /// The seed of load, faults and draws, where the command line names no other.
    pub seed: u64,
    /// How many of each.
    pub fleet: Fleet,
    /// What clients do.
    pub load: Load,
    /// What upstreams are like.
    pub upstream: Model,
    /// The list service.
    pub discovery: ListService,
    /// Balancers know of each other, where this is there.
    pub membership: Option<Peers>,
    /// The list service is the real one, where this is there.
    pub registry: Option<Registry>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants, as shares of the load.
    pub tenants: Vec<Tenant>,
    /// What goes wrong, by time.
    pub faults: Vec<Fault>,
    /// What must hold besides the rules.
    pub expect: Expect,
}

/// How many of each.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Real balancers, 1 to 300.
    pub balancers: u32,
    /// Stand-in upstreams, 1 to 200.
    pub upstreams: u32,
    /// Memory that a balancer may take, in MB.
    #[serde(default = "Fleet::memory_mb")]
    pub memory_mb: u64,
}

impl Fleet {
    fn memory_mb() -> u64 {
        192
    }
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// First tries a second, over all balancers.
    pub rate: f64,
    /// Part by which that wanders, as a sine.
    pub swing: f64,
    /// Seconds of one such wave.
    pub period_s: f64,
    /// Further tries of one client.
    pub retries: u8,
    /// Share of the clients that heed `Retry-After`.
    pub honour: f64,
    /// Share of a class's give-up time after which one try is given up.
    pub try_share: f64,
    /// Milliseconds before the first retry of who heeds nothing; doubled for each further one.
    pub backoff_ms: f64,
    /// Whether a client marks its further tries.
    pub marks: bool,
    /// Distinct keys that requests concern.
    pub keys: u32,
    /// Seconds for which a dead balancer is still sent to.
    pub notice_s: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            rate: 100.0,
            swing: 0.2,
            period_s: 10.0,
            retries: 2,
            honour: 0.85,
            try_share: 0.6,
            backoff_ms: 200.0,
            marks: true,
            keys: 250,
            notice_s: 1.5,
        }
    }
}

/// What upstreams are like.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Cores of each.
    pub cores: u32,
    /// Speed of a core; work is stated for 1.
    pub speed: f64,
    /// Requests that may wait, for each core; more are turned away.
    pub queue_per_core: u32,
    /// What a cold one can do, as a share of the whole, at its start.
    pub cold_from: f64,
    /// Seconds from cold to warm.
    pub cold_s: f64,
    /// Sent more than this multiple of what it can do just then, a cold one falls over ...
    pub fall_multiple: f64,
    /// ... if for so long, in seconds.
    pub fall_s: f64,
    /// Requests waiting for each core from which it chokes; 0: it never does.
    pub choke_at: f64,
    /// Seconds of that before it does.
    pub choke_over_s: f64,
    /// How many times slower it then is.
    pub choke_slower: f64,
    /// Share of its cores in use under which it recovers ...
    pub choke_below: f64,
    /// ... after so many seconds.
    pub choke_rest_s: f64,
    /// Milliseconds between two load reports.
    pub report_ms: f64,
    /// Milliseconds by which a report is old when it is first told.
    pub report_delay_ms: f64,
    /// Part by which a report is off, either way.
    pub report_noise: f64,
    /// A request may have two attempts out at the same time.
    pub second_copies: bool,
    /// Seconds after which an idle connection is closed.
    pub idle_s: f64,
    /// Connections it accepts for each core.
    pub connections_per_core: u32,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            cores: 2,
            speed: 1.8,
            queue_per_core: 300,
            cold_from: 0.25,
            cold_s: 12.0,
            fall_multiple: 3.0,
            fall_s: 2.0,
            choke_at: 5.0,
            choke_over_s: 2.0,
            choke_slower: 3.0,
            choke_below: 0.3,
            choke_rest_s: 3.0,
            report_ms: 700.0,
            report_delay_ms: 250.0,
            report_noise: 0.03,
            second_copies: true,
            idle_s: 5.0,
            connections_per_core: 700,
        }
    }
}

/// The stand-in of the list service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListService {
    /// Seconds until a change is on the list.
    pub notice_s: f64,
    /// Seconds until a crash is.
    pub crash_notice_s: f64,
}

impl Default for ListService {
    fn default() -> Self {
        Self {
            notice_s: 0.5,
            crash_notice_s: 2.0,
        }
    }
}

/// A real list service.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registry {
    /// Seconds of an upstream's lease; it renews after a third.
    pub lease_s: f64,
}

impl Default for Registry {
    fn default() -> Self {
        Self { lease_s: 6.0 }
    }
}

impl Registry {
    /// See `lease_s`.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s.clamp(1.0, 3600.0))
    }
}

/// Membership among the balancers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peers {
    /// Seconds for which one that is gone is remembered.
    pub forget_s: f64,
}

impl Default for Peers {
    fn default() -> Self {
        Self { forget_s: 600.0 }
    }
}

impl Peers {
    /// See `forget_s`.
    pub fn forget_after(&self) -> Duration {
        Duration::from_secs_f64(self.forget_s.clamp(60.0, 86_400.0))
    }
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// It carries a key; repeats of it are dropped for a while.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Mean work on a core of speed 1.
    pub work_ms: f64,
    /// Mean wait on others.
    pub io_ms: f64,
    /// Wanted within.
    pub aim_ms: f64,
    /// Given up after.
    pub deadline_ms: f64,
    /// What one answer in time is worth.
    pub worth: f64,
    /// What a repeat may do.
    pub effect: Effect,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the load, and of what is guaranteed.
    pub share: f64,
}

/// What must hold besides the rules, as shares of the whole play.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Least worth served in time, as a share of what was asked for.
    pub served: f64,
    /// So many seconds after the last fault's end, and from then on, requests are served in time to 0.9 of what they
    /// were before the first.
    pub back_s: Option<f64>,
    /// Seconds within which 99% of the other balancers know that one was killed.
    pub known_s: Option<f64>,
    /// Seconds after the last fault within which all balancers' views are the same.
    pub equal_s: Option<f64>,
    /// No living balancer is taken for gone.
    pub none_taken_for_gone: bool,
    /// Nor one that is stopped.
    pub none_stopped_taken_for_gone: bool,
}
