//! The settings of an experiment, parsed from a TOML file. An invalid file is rejected with the
//! line and the reason. A field with a serde `rename` has that name as its key in the file.

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

/// The largest number of balancers in a run. Loopback addresses are reserved for this number.
pub const MAX_BALANCERS: u32 = 300;
/// The largest number of upstreams in a run. Loopback addresses are reserved for this number.
pub const MAX_UPSTREAMS: u32 = 200;
/// The length of the longest run, in seconds. The limit exists because the history of a run is
/// kept in memory.
pub const MAX_RUN_S: f64 = 3600.0;

/// The settings of a run, as parsed from an experiment file.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The name of the experiment, for the report.
    pub name: String,
    /// The time for which clients send requests, 1 s to 1 hour.
    pub length: Duration,
    /// The seed of the load, the faults and all random draws, unless the command line sets another.
    pub seed: u64,
    /// The number of balancers, the number of upstreams, and the memory limit of each balancer.
    pub fleet: Fleet,
    /// The load that the clients generate, and how they retry.
    pub load: Load,
    /// The capacity of the upstreams, and their behaviour under load.
    pub upstream: UpstreamSettings,
    /// The behaviour of the stand-in for the discovery service.
    pub discovery: DiscoverySettings,
    /// The membership of the balancers; `None` switches membership off.
    pub membership: Option<MembershipSettings>,
    /// The settings of the real registry that serves as discovery; `None` if the stand-in does.
    pub registry: Option<RegistrySettings>,
    /// The classes of requests, with their shares of the load.
    pub classes: Vec<Class>,
    /// The tenants, with their shares of the load.
    pub tenants: Vec<Tenant>,
    /// The faults, ordered by the start of their first occurrence.
    pub faults: Vec<Fault>,
    /// The expectations that are checked in addition to the rules.
    pub expect: Expectations,
}

impl Experiment {
    /// Returns whether a fault impairs links or resets connections.
    pub fn impairs_links(&self) -> bool {
        self.faults.iter().any(|fault| {
            matches!(
                fault.kind,
                FaultKind::ImpairLinks { .. } | FaultKind::ResetConnections
            )
        })
    }

    /// Returns whether a fault sends earlier datagrams again, unchanged or corrupted.
    pub fn resends_datagrams(&self) -> bool {
        self.faults.iter().any(|fault| {
            matches!(
                fault.kind,
                FaultKind::ReplayDatagrams | FaultKind::InjectDatagrams { .. }
            )
        })
    }

    /// Returns whether a fault replaces upstreams by new ones.
    pub fn replaces_upstreams(&self) -> bool {
        self.faults
            .iter()
            .any(|fault| matches!(fault.kind, FaultKind::RollingReplacement { .. }))
    }
}

/// The number of balancers and the number of upstreams of a run, and the memory limit of each
/// balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The number of real balancers, 1 to 300.
    pub balancers: u32,
    /// The number of stand-in upstreams, 1 to 200.
    pub upstreams: u32,
    /// The memory limit of each balancer, in MB.
    #[serde(default = "Fleet::default_memory_mb")]
    pub memory_mb: u64,
}

impl Fleet {
    fn default_memory_mb() -> u64 {
        192
    }
}

/// The load that the clients generate, and how they retry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// The mean number of requests per second, over all balancers and without retries.
    #[serde(rename = "rate")]
    pub rate_per_s: f64,
    /// The amplitude of the sine wave by which the rate varies, as a share of the mean rate, 0 to
    /// 0.95.
    #[serde(rename = "swing")]
    pub rate_amplitude: f64,
    /// The period of the sine wave of the rate, in seconds.
    pub period_s: f64,
    /// The largest number of retries that a client sends for one request, 0 to 6.
    pub retries: u8,
    /// The share of the requests, 0 to 1, whose client waits for the time in `Retry-After` before a
    /// retry.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
    /// The timeout of an attempt, as a share of the deadline of the request's class, 0.05 to 1.
    #[serde(rename = "try_share")]
    pub attempt_timeout_share: f64,
    /// The mean backoff before the first retry, in milliseconds; the mean doubles with each further
    /// retry. A client that waits for `Retry-After` uses that time instead of the backoff.
    pub backoff_ms: f64,
    /// Whether clients mark retries with the header `x-repeat`.
    #[serde(rename = "marks")]
    pub marks_retries: bool,
    /// The number of distinct users. Each request names one of them in its `cookie` header.
    #[serde(rename = "keys")]
    pub key_count: u32,
    /// The time for which clients continue to send to a dead balancer, in seconds.
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

/// The capacity of the stand-in upstreams, and their behaviour under load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamSettings {
    /// The number of cores of each upstream.
    pub cores: u32,
    /// The speed of each core. At speed 1, the mean processor time of a request is the `work_ms` of
    /// its class.
    pub speed: f64,
    /// The largest number of queued requests per core; further requests are rejected.
    pub queue_per_core: u32,
    /// The fraction of its full capacity that an upstream has at the beginning of slow start, 0.01
    /// to 1.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_fraction: f64,
    /// The length of slow start, in seconds, over which the capacity rises linearly.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// The limit on the load of an upstream in slow start, as a multiple of its current capacity.
    /// The upstream crashes if the work of the requests accepted within `overload_window_s` exceeds
    /// this multiple of the work that its current capacity can do in that time.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The window over which the work of accepted requests is summed to detect overload, in
    /// seconds.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
    /// The number of queued requests per core at or above which an upstream becomes congested.
    /// Requests to a congested upstream take longer. The value 0 switches congestion off.
    #[serde(rename = "choke_at")]
    pub congestion_queue_per_core: f64,
    /// The time for which the queue must stay at `congestion_queue_per_core` or above to cause
    /// congestion, in seconds.
    #[serde(rename = "choke_over_s")]
    pub congestion_onset_s: f64,
    /// The factor by which service times grow during congestion.
    #[serde(rename = "choke_slower")]
    pub congestion_slowdown: f64,
    /// The highest share of busy cores, 0 to 1, at which a congested upstream recovers.
    #[serde(rename = "choke_below")]
    pub recovery_utilization: f64,
    /// The time, in seconds, for which the utilization must stay at `recovery_utilization` or below
    /// to end congestion.
    #[serde(rename = "choke_rest_s")]
    pub recovery_s: f64,
    /// The shortest time between two load reports, in milliseconds.
    #[serde(rename = "report_ms")]
    pub report_interval_ms: f64,
    /// The age of a load report when responses first carry it, in milliseconds.
    pub report_delay_ms: f64,
    /// The largest relative error of the values in a load report, upwards or downwards; 0.03 is 3%.
    pub report_noise: f64,
    /// Whether balancers may send hedged attempts.
    #[serde(rename = "second_copies")]
    pub allows_hedging: bool,
    /// The time after which an upstream closes an idle connection, in seconds.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// The largest number of open connections per core of an upstream.
    pub connections_per_core: u32,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            cores: 2,
            speed: 1.8,
            queue_per_core: 300,
            slow_start_initial_fraction: 0.25,
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

/// The behaviour of the stand-in for the discovery service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySettings {
    /// The time after which the endpoint list shows the restart or the replacement of an upstream,
    /// in seconds.
    #[serde(rename = "notice_s")]
    pub update_delay_s: f64,
    /// The time after which a crashed upstream is removed from the endpoint list, in seconds.
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

/// The settings of the real registry.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegistrySettings {
    /// The lease of an upstream, in seconds; the upstream renews it after a third of this time.
    pub lease_s: f64,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self { lease_s: 6.0 }
    }
}

impl RegistrySettings {
    /// Returns the lease, limited to the range from 1 s to 1 hour.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s.clamp(1.0, 3600.0))
    }
}

/// The settings of the membership of the balancers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// The time for which balancers remember a member that has left or died, in seconds.
    #[serde(rename = "forget_s")]
    pub retention_s: f64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self { retention_s: 600.0 }
    }
}

impl MembershipSettings {
    /// Returns the retention time, limited to the range from 1 minute to 1 day.
    pub fn retention(&self) -> Duration {
        Duration::from_secs_f64(self.retention_s.clamp(60.0, 86_400.0))
    }
}

/// Whether a request of a class may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Idempotence {
    /// The request is idempotent and may be sent any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// The request carries an idempotency key, by which upstreams recognize duplicates for a
    /// limited time.
    #[serde(rename = "keyed")]
    WithIdempotencyKey,
    /// The request must not be executed twice.
    #[serde(rename = "unsafe")]
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the class, which is the first part of the request path.
    pub name: String,
    /// The share of the requests that belong to the class, 0 to 1.
    pub share: f64,
    /// The mean processor time of a request on a core of speed 1, in milliseconds.
    pub work_ms: f64,
    /// The mean time that a request waits for other systems, in milliseconds.
    pub io_ms: f64,
    /// The latency objective of a request, in milliseconds, 1 to 600000.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// The client's deadline for a request, in milliseconds; not below the latency objective.
    pub deadline_ms: f64,
    /// The weight of a response within the latency objective, relative to the weights of the other
    /// classes.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether a request may be sent more than once.
    #[serde(rename = "effect")]
    pub idempotence: Idempotence,
}

/// A tenant, whose clients send a share of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name of the tenant, which its requests carry.
    pub name: String,
    /// The share of the load and of the guaranteed capacity, 0 to 1.
    pub share: f64,
}

/// Expectations that are checked over the complete run, in addition to the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// The smallest expected share, 0 to 1, of the requests that are served within their latency
    /// objective, where each request counts with the priority weight of its class.
    #[serde(rename = "served")]
    pub min_served: f64,
    /// The time for recovery after the end of the last fault, in seconds. Afterwards, the share of
    /// requests served within their objective must be at least 0.9 times the share before the first
    /// fault. `None` for no check.
    #[serde(rename = "back_s")]
    pub recovered_within_s: Option<f64>,
    /// The time within which 99% of the other balancers must detect that a balancer was killed, in
    /// seconds; `None` for no check.
    #[serde(rename = "known_s")]
    pub detected_within_s: Option<f64>,
    /// The time after the last fault within which the views of all balancers must become equal, in
    /// seconds; `None` for no check.
    #[serde(rename = "equal_s")]
    pub converged_within_s: Option<f64>,
    /// Whether the run fails if a running balancer is declared left or dead.
    #[serde(rename = "none_taken_for_gone")]
    pub no_running_declared_down: bool,
    /// Whether the run fails if a paused balancer is declared left or dead.
    #[serde(rename = "none_stopped_taken_for_gone")]
    pub no_paused_declared_down: bool,
}
