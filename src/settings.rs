//! The configuration of a balancer: request classes, tenants, limits and costs.

use crate::interface::ZoneId;
use std::time::Duration;

/// Maximum of each number in the settings that decisions count with. Sums and products of a few such
/// numbers stay finite.
const MAX_COUNTED_NUMBER: f64 = 1e12;

/// The effect that a second execution of a request may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A second execution is harmless.
    Idempotent,
    /// The request carries an idempotency key. The upstreams of one group ignore a second attempt
    /// that is sent within `ttl` of the first one that may have been processed.
    Deduplicated {
        /// Which upstreams share a record of the keys that they have received.
        group: DedupGroup,
        /// How long these upstreams remember a key.
        ttl: Duration,
    },
    /// The request must never be processed twice.
    AtMostOnce,
}

/// The upstreams that share a record of the idempotency keys that they have received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All upstreams.
    All,
    /// The upstreams that are in the same zone.
    Zone,
    /// The upstreams that are in the same cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Time from a request's arrival within which a response counts with its full priority weight;
    /// above 0.
    pub latency_objective: Duration,
    /// Multiple of the request's own CPU time by which the latency objective is extended, where
    /// that time is known; 0 or more. Decisions depend only on whether it is above 0: a response
    /// after `latency_objective` is then still useful.
    pub objective_extension_per_cpu_time: f64,
    /// Longest time that a client waits for a response.
    pub deadline: Duration,
    /// Value of a response within the objective, compared with other classes; 0 or more.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the objective still has; 0 or more.
    pub late_weight_fraction: f64,
    /// The effect that a second execution of a request may have.
    pub effect: Effect,
    /// Whether the response is a stream, whose start the embedder reports by
    /// [`Event::StreamStarted`](crate::Event::StreamStarted).
    pub streamed: bool,
}

/// A customer that shares the upstreams with others.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's quota at all balancers together, in requests per second; 0: not stated.
    pub quota_per_s: f64,
}

impl Default for Class {
    /// Returns an at-most-once class with a latency objective of 1 s and a deadline of 3 s.
    fn default() -> Self {
        Self {
            latency_objective: Duration::from_secs(1),
            objective_extension_per_cpu_time: 0.0,
            deadline: Duration::from_secs(3),
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
            effect: Effect::AtMostOnce,
            streamed: false,
        }
    }
}

/// The meaning of [`Endpoint::weight`](crate::Endpoint::weight).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointWeights {
    /// The weight has no meaning: all upstreams count as equally large.
    Off,
    /// The registered size of the upstream, exact or approximate.
    Size,
    /// The size of the upstream divided by 1 + its requests in flight per core, from an older load
    /// report.
    Live,
}

/// The responses in which upstreams send load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// No response contains a load report.
    Off,
    /// Responses to attempts and to health checks contain one.
    Inline,
    /// Only responses to health checks contain one.
    OnHealthCheck,
}

/// The meaning of one value in a load report. Decisions depend on `InFlight`, `Queue` and
/// `Utilization`; other values are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Number of requests in flight at the upstream.
    InFlight,
    /// Number of requests waiting in the upstream's queue.
    Queue,
    /// Fraction of the upstream's CPU in use, 0 to 1.
    Utilization,
    /// Recent service time of the upstream in milliseconds.
    ServiceMs,
    /// Requests that the upstream serves per second.
    RequestRate,
    /// Errors of the upstream per second.
    ErrorRate,
    /// A value whose meaning this version does not know.
    Other,
}

/// The cost of each operation, in units of the priority weight of an average request; each is 0 or
/// more. Decisions depend only on `cross_zone`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt at an upstream in another zone.
    pub cross_zone: f64,
    /// A hundred connections to an upstream that stay open all the time.
    pub hundred_connections: f64,
    /// The establishment of a new connection.
    pub handshake: f64,
    /// A request that fails only after its latency objective.
    pub failure_after_objective: f64,
    /// A health check.
    pub health_check: f64,
    /// Wasted upstream work, as much as one request needs on average.
    pub wasted_work: f64,
}

/// The configuration of a balancer, which stays constant while the balancer runs.
///
/// Decisions do not depend on `overload_window`, `health_checks`, `connection_idle_timeout`,
/// `max_streams`, `tolerated_late_fraction` and `cpu_per_request`.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent choice in a site's settings"
)]
pub struct Settings {
    /// Number of balancers that share the upstreams, this one included; at least 1.
    pub balancers: u32,
    /// Number of this balancer among them, from 0 to `balancers` - 1.
    pub index: u32,
    /// The zone that this balancer runs in.
    pub zone: ZoneId,
    /// The request classes; at least one.
    pub classes: Vec<Class>,
    /// The tenants. If there are none, all requests share one token bucket.
    pub tenants: Vec<Tenant>,
    /// Fraction of its class's priority weight that a request over its tenant's quota has; 0 or
    /// more.
    pub over_quota_weight_fraction: f64,
    /// Whether the priority weight of a request is in proportion to its work.
    pub scales_priority_weight_by_work: bool,
    /// Whether the balancer polls discovery for the endpoint list, by
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints). Otherwise the list is pushed.
    pub polls_endpoints: bool,
    /// Whether polls go to a local agent that serves this balancer alone.
    pub has_local_agent: bool,
    /// Longest time between polls: a balancer that has not polled for this long counts as notified
    /// of all changes made until then.
    pub poll_interval: Duration,
    /// Time within which sends to a draining or removed upstream must stop, counted from the
    /// notification of the balancer.
    pub drain_grace: Duration,
    /// Fraction of its full capacity that an upstream has at least when it starts; 0 or more.
    pub slow_start_initial_fraction: f64,
    /// Time after its start until an upstream has its full capacity.
    pub slow_start_duration: Duration,
    /// Multiple of its present capacity above which the load of `overload_window` overloads an
    /// upstream in slow start; 0 or more.
    pub overload_multiple: f64,
    /// Time over which the load of an upstream in slow start is compared with its capacity.
    pub overload_window: Duration,
    /// Maximum number of attempts of a request, hedged attempts included; at least 1.
    pub max_attempts: u8,
    /// Whether a hedged attempt may be sent while another attempt of the request is in flight.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Whether upstreams may be sent health checks.
    pub health_checks: bool,
    /// Longest Retry-After that clients respect.
    pub max_retry_after: Duration,
    /// Whether clients mark their retries, so that a request without the mark is a first attempt.
    pub retries_marked: bool,
    /// Time within which a connection to an upstream must be established; otherwise it counts as
    /// failed.
    pub connect_timeout: Duration,
    /// Time after which an unused connection to an upstream closes.
    pub connection_idle_timeout: Duration,
    /// Maximum number of attempts that one connection carries at a time; at least 1.
    pub max_streams: u32,
    /// Fraction of each class's responses that may arrive after the latency objective; 0 or more.
    /// `None`: the tail of the latencies does not count.
    pub tolerated_late_fraction: Option<f64>,
    /// CPU time that a request and its outcomes may cost; zero: no limit.
    pub cpu_per_request: Duration,
    /// The meaning of the weights in the endpoint list.
    pub endpoint_weights: EndpointWeights,
    /// The responses in which upstreams send load reports.
    pub load_reports: LoadReports,
    /// The meanings of the values in a load report, in the order of the values.
    pub report_fields: Vec<LoadField>,
    /// The costs of attempts, connections and other operations.
    pub prices: Prices,
}

impl Default for Settings {
    /// Returns the settings of a single balancer that does not poll for endpoints. They contain no
    /// class yet, and [`Settings::check`] requires one.
    fn default() -> Self {
        Self {
            balancers: 1,
            index: 0,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight_fraction: 0.1,
            scales_priority_weight_by_work: false,
            polls_endpoints: false,
            has_local_agent: false,
            poll_interval: Duration::from_secs(10),
            drain_grace: Duration::from_secs(1),
            slow_start_initial_fraction: 0.3,
            slow_start_duration: Duration::from_secs(10),
            overload_multiple: 3.0,
            overload_window: Duration::from_secs(2),
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_checks: false,
            max_retry_after: Duration::from_secs(1),
            retries_marked: true,
            connect_timeout: Duration::from_millis(250),
            connection_idle_timeout: Duration::from_secs(60),
            max_streams: 100,
            tolerated_late_fraction: None,
            cpu_per_request: Duration::ZERO,
            endpoint_weights: EndpointWeights::Size,
            load_reports: LoadReports::Off,
            report_fields: Vec::new(),
            prices: Prices::default(),
        }
    }
}

/// Why [`Settings`] are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// `classes` is empty.
    NoClasses,
    /// `balancers` is 0, although the number includes this balancer.
    NoBalancers,
    /// The named value is outside its range: it is negative, not finite, 0 where it must be above
    /// 0, or an `index` that is not below `balancers`. The name is the documented one of the site's
    /// settings.
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks all values.
    ///
    /// The error names the first invalid value, by its documented name in the site's settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_counts()?;
        self.check_numbers()?;
        self.classes.iter().try_for_each(Class::check)?;
        self.tenants
            .iter()
            .try_for_each(|tenant| check_not_negative(tenant.quota_per_s, "tenant allowance_per_s"))
    }

    /// Returns the settings that decisions count with: each number is limited to
    /// [`MAX_COUNTED_NUMBER`].
    pub(crate) fn with_limited_numbers(mut self) -> Self {
        for class in &mut self.classes {
            limit(&mut class.priority_weight);
            limit(&mut class.late_weight_fraction);
            limit(&mut class.objective_extension_per_cpu_time);
        }
        for tenant in &mut self.tenants {
            limit(&mut tenant.quota_per_s);
        }
        limit(&mut self.over_quota_weight_fraction);
        limit(&mut self.slow_start_initial_fraction);
        limit(&mut self.overload_multiple);
        limit(&mut self.prices.cross_zone);
        self
    }

    fn check_counts(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.balancers == 0 {
            return Err(SettingsError::NoBalancers);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::OutOfRange("max_attempts"));
        }
        if self.index >= self.balancers {
            return Err(SettingsError::OutOfRange("index"));
        }
        if self.max_streams == 0 {
            return Err(SettingsError::OutOfRange("max_streams"));
        }
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), SettingsError> {
        check_not_negative(self.over_quota_weight_fraction, "over_share_worth")?;
        check_not_negative(self.slow_start_initial_fraction, "cold_from")?;
        check_not_negative(self.overload_multiple, "fall_multiple")?;
        check_not_negative(self.prices.cross_zone, "prices.cross_zone")?;
        check_not_negative(self.prices.hundred_connections, "prices.connection")?;
        check_not_negative(self.prices.handshake, "prices.handshake")?;
        check_not_negative(self.prices.failure_after_objective, "prices.late_fail")?;
        check_not_negative(self.tolerated_late_fraction.unwrap_or(0.0), "tail_miss")?;
        check_not_negative(self.prices.health_check, "prices.probe")?;
        check_not_negative(self.prices.wasted_work, "prices.waste")
    }
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        if self.latency_objective.is_zero() {
            return Err(SettingsError::OutOfRange("class aim"));
        }
        check_not_negative(self.priority_weight, "class worth")?;
        check_not_negative(self.late_weight_fraction, "class late_worth")?;
        check_not_negative(self.objective_extension_per_cpu_time, "class aim_stretch")
    }
}

fn limit(value: &mut f64) {
    *value = value.min(MAX_COUNTED_NUMBER);
}

/// Checks that a value is finite and not negative. `name` is the key of the value in the site's
/// settings file; a key of a class has the prefix "class", as in "class worth".
fn check_not_negative(value: f64, name: &'static str) -> Result<(), SettingsError> {
    if value >= 0.0 && value.is_finite() {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange(name))
    }
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => write!(
                f,
                "settings: classes must contain at least one class, got none"
            ),
            Self::NoBalancers => write!(f, "settings: balancers must be at least 1, got 0"),
            Self::OutOfRange(name) => write!(
                f,
                "settings: {name} is out of range: it must be finite and at least 0, a count or a \
                 latency objective above 0, and an index below the number of balancers"
            ),
        }
    }
}

impl std::error::Error for SettingsError {}
