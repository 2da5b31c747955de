//! Experiment files: the form of what is run, read from TOML and rejected with line and reason
//! where it is not valid. The serde names are the keys of the files.

mod class_defaults;
mod fault_error;
mod fault_parsing;
mod faults;
mod parsing;
mod target_parsing;
mod value_range;

pub use fault_error::InvalidFault;
pub use faults::{Fault, FaultKind, LinkCondition, LinkConditions, Target};
pub use parsing::{InvalidExperiment, ParseError};
pub use value_range::ValueOutOfRange;

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The largest number of balancers: addresses are reserved for so many.
pub const MAX_BALANCERS: u32 = 300;
/// The largest number of upstreams: addresses are reserved for so many.
pub const MAX_UPSTREAMS: u32 = 200;
/// The longest run, in seconds: its history is in memory.
pub const MAX_SECONDS: f64 = 3600.0;

/// What is run.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name, for the report.
    pub name: String,
    /// How long clients send.
    pub length: Duration,
    /// The seed of load, faults and draws, where the command line names no other.
    pub seed: u64,
    /// The processes.
    pub fleet: Fleet,
    /// The behaviour of the clients.
    pub load: Load,
    /// The behaviour of the upstreams.
    pub upstream: UpstreamSettings,
    /// The stand-in of the discovery service.
    pub discovery: DiscoverySettings,
    /// Membership among the balancers; off where it is absent.
    pub membership: Option<MembershipSettings>,
    /// The real registry in place of the stand-in, where it is present.
    pub registry: Option<RegistrySettings>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants, as shares of the load.
    pub tenants: Vec<Tenant>,
    /// The faults, by time.
    pub faults: Vec<Fault>,
    /// The expectations besides the rules.
    pub expect: Expectations,
}

impl Experiment {
    /// Whether a fault affects links that carry connections or datagrams.
    pub fn impairs_links(&self) -> bool {
        self.faults.iter().any(|fault| {
            matches!(
                fault.kind,
                FaultKind::ImpairLinks { .. } | FaultKind::ResetConnections
            )
        })
    }

    /// Whether a fault sends earlier datagrams again, unchanged or corrupted.
    pub fn resends_datagrams(&self) -> bool {
        self.faults.iter().any(|fault| {
            matches!(
                fault.kind,
                FaultKind::ReplayDatagrams | FaultKind::InjectDatagrams { .. }
            )
        })
    }

    /// Whether a fault replaces upstreams by new ones.
    pub fn replaces_upstreams(&self) -> bool {
        self.faults
            .iter()
            .any(|fault| matches!(fault.kind, FaultKind::RollingReplacement { .. }))
    }
}

/// The processes of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Real balancers, 1 to 300.
    pub balancers: u32,
    /// Stand-in upstreams, 1 to 200.
    pub upstreams: u32,
    /// The memory limit of a balancer, in MB.
    #[serde(default = "Fleet::default_memory_mb")]
    pub memory_mb: u64,
}

impl Fleet {
    fn default_memory_mb() -> u64 {
        192
    }
}

/// The behaviour of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second, over all balancers, without their retries.
    #[serde(rename = "rate")]
    pub rate_per_s: f64,
    /// Amplitude of the sine by which the rate varies, as a share of it.
    #[serde(rename = "swing")]
    pub rate_amplitude: f64,
    /// Period of that sine, in seconds.
    pub period_s: f64,
    /// Retries of one request.
    pub retries: u8,
    /// Share of the clients that comply with `Retry-After`.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
    /// Timeout of an attempt, as a share of the class's deadline.
    #[serde(rename = "try_share")]
    pub attempt_timeout_share: f64,
    /// Milliseconds before the first retry without `Retry-After`; doubled for each further one.
    pub backoff_ms: f64,
    /// Whether a client marks its retries.
    #[serde(rename = "marks")]
    pub marks_retries: bool,
    /// Distinct keys that requests concern.
    #[serde(rename = "keys")]
    pub key_count: u32,
    /// Seconds for which clients still send to a dead balancer.
    #[serde(rename = "notice_s")]
    pub failover_delay_s: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            rate_per_s: 100.0,
            rate_amplitude: 0.2,
            period_s: 10.0,
            retries: 2,
            retry_after_compliance: 0.85,
            attempt_timeout_share: 0.6,
            backoff_ms: 200.0,
            marks_retries: true,
            key_count: 250,
            failover_delay_s: 1.5,
        }
    }
}

/// The behaviour of the upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamSettings {
    /// Cores of each.
    pub cores: u32,
    /// Speed of a core; work is stated for speed 1.
    pub speed: f64,
    /// Requests that may be queued, for each core; more are rejected.
    pub queue_per_core: u32,
    /// Share of the full capacity at the beginning of slow start.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_share: f64,
    /// Seconds of slow start.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// Work above this multiple of the present capacity overloads one in slow start ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... if it lasts so long, in seconds.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
    /// Queued requests for each core that congest it; 0: it is never congested.
    #[serde(rename = "choke_at")]
    pub congestion_queue_per_core: f64,
    /// Seconds of such a queue before it is congested.
    #[serde(rename = "choke_over_s")]
    pub congestion_onset_s: f64,
    /// How many times slower it is while congested.
    #[serde(rename = "choke_slower")]
    pub congestion_slowdown: f64,
    /// Utilization below which it recovers ...
    #[serde(rename = "choke_below")]
    pub recovery_utilization: f64,
    /// ... after so many seconds.
    #[serde(rename = "choke_rest_s")]
    pub recovery_s: f64,
    /// Milliseconds between two load reports.
    #[serde(rename = "report_ms")]
    pub report_interval_ms: f64,
    /// Age of a load report when it is first sent, in milliseconds.
    pub report_delay_ms: f64,
    /// Largest relative error of a load report, either way.
    pub report_noise: f64,
    /// Whether a request may be hedged.
    #[serde(rename = "second_copies")]
    pub allows_hedging: bool,
    /// Seconds after which an idle connection is closed.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// Connections that are accepted for each core.
    pub connections_per_core: u32,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            cores: 2,
            speed: 1.8,
            queue_per_core: 300,
            slow_start_initial_share: 0.25,
            slow_start_s: 12.0,
            overload_multiple: 3.0,
            overload_window_s: 2.0,
            congestion_queue_per_core: 5.0,
            congestion_onset_s: 2.0,
            congestion_slowdown: 3.0,
            recovery_utilization: 0.3,
            recovery_s: 3.0,
            report_interval_ms: 700.0,
            report_delay_ms: 250.0,
            report_noise: 0.03,
            allows_hedging: true,
            idle_timeout_s: 5.0,
            connections_per_core: 700,
        }
    }
}

/// The stand-in of the discovery service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySettings {
    /// Seconds until a change is on the list.
    #[serde(rename = "notice_s")]
    pub update_delay_s: f64,
    /// Seconds until a crash is.
    #[serde(rename = "crash_notice_s")]
    pub crash_detection_s: f64,
}

impl Default for DiscoverySettings {
    fn default() -> Self {
        Self {
            update_delay_s: 0.5,
            crash_detection_s: 2.0,
        }
    }
}

/// The real registry.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegistrySettings {
    /// Seconds of an upstream's lease; it renews after a third.
    pub lease_s: f64,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self { lease_s: 6.0 }
    }
}

impl RegistrySettings {
    /// The lease, 1 s to 1 hour.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s.clamp(1.0, 3600.0))
    }
}

/// Membership among the balancers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Seconds for which a member that has left or failed is remembered.
    #[serde(rename = "forget_s")]
    pub retention_s: f64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self { retention_s: 600.0 }
    }
}

impl MembershipSettings {
    /// The retention, 1 minute to 1 day.
    pub fn retention(&self) -> Duration {
        Duration::from_secs_f64(self.retention_s.clamp(60.0, 86_400.0))
    }
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Idempotence {
    /// It is idempotent.
    #[serde(rename = "safe")]
    Idempotent,
    /// It carries an idempotency key; duplicates are dropped for a while.
    #[serde(rename = "keyed")]
    WithIdempotencyKey,
    /// It must not run twice.
    #[serde(rename = "unsafe")]
    AtMostOnce,
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
    /// Mean wait on other systems.
    pub io_ms: f64,
    /// The latency objective.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// The client's deadline.
    pub deadline_ms: f64,
    /// The weight of a response within the latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether a request may be repeated.
    #[serde(rename = "effect")]
    pub idempotence: Idempotence,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the load, and of the guaranteed capacity.
    pub share: f64,
}

/// The expectations in addition to the rules, over the complete run.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// The least weight served within the latency objective, as a share of what was requested.
    #[serde(rename = "served")]
    pub min_served: f64,
    /// So many seconds after the end of the last fault, and from then on, requests are served
    /// within their objective to 0.9 of what they were before the first fault.
    #[serde(rename = "back_s")]
    pub recovered_within_s: Option<f64>,
    /// Seconds within which 99% of the other balancers know that one was killed.
    #[serde(rename = "known_s")]
    pub detected_within_s: Option<f64>,
    /// Seconds after the last fault within which the views of all balancers are equal.
    #[serde(rename = "equal_s")]
    pub converged_within_s: Option<f64>,
    /// No live balancer is considered failed.
    #[serde(rename = "none_taken_for_gone")]
    pub no_false_failures: bool,
    /// Nor is one that is paused.
    #[serde(rename = "none_stopped_taken_for_gone")]
    pub no_paused_failures: bool,
}
