//! The configuration of a balancer: classes, tenants, limits, costs.

use crate::interface::ZoneId;
use std::time::Duration;

/// What a second execution of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running it again is harmless.
    Idempotent,
    /// It carries an idempotency key: the upstreams of one group ignore a second send within `ttl`
    /// of the first one that may have been processed.
    Deduplicated {
        /// Which upstreams share the memory of a key.
        group: DedupGroup,
        /// How long they remember it.
        ttl: Duration,
    },
    /// It must never be processed twice.
    AtMostOnce,
}

/// The upstreams that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time earns the full weight.
    pub latency_objective: Duration,
    /// The objective grows by this multiple of the request's own CPU time, where that is known.
    pub objective_work_multiple: f64,
    /// The longest a client waits.
    pub deadline: Duration,
    /// What a response within the objective counts for.
    pub priority_weight: f64,
    /// The share of that weight which a response after the objective still earns.
    pub late_weight_share: f64,
    /// What a second execution may do.
    pub effect: Effect,
    /// The response is a stream, announced by
    /// [`Event::StreamStarted`](crate::Event::StreamStarted).
    pub streamed: bool,
}

/// A customer that shares the upstreams with others.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second over all balancers that count as within its quota; 0: not stated.
    pub quota_per_s: f64,
}

impl Default for Class {
    /// A class that may not be processed twice, with an objective of a second.
    fn default() -> Self {
        Self {
            latency_objective: Duration::from_secs(1),
            objective_work_multiple: 0.0,
            deadline: Duration::from_secs(3),
            priority_weight: 1.0,
            late_weight_share: 0.0,
            effect: Effect::AtMostOnce,
            streamed: false,
        }
    }
}

/// What the weight of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointWeights {
    /// Nothing.
    Off,
    /// Its registered size, or about that.
    Size,
    /// Its size divided by 1 + the requests in flight on each core, from an older report.
    Live,
}

/// The source of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// There are none.
    Off,
    /// With every outcome and health check.
    Inline,
    /// With health checks only.
    OnHealthCheck,
}

/// The meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in flight in the upstream.
    InFlight,
    /// Requests waiting in it.
    Queue,
    /// The share of its CPU in use.
    Utilization,
    /// Its recent service time in milliseconds.
    ServiceMs,
    /// Requests served a second.
    RequestRate,
    /// Errors a second.
    ErrorRate,
    /// Something this version does not know.
    Other,
}

/// The cost of each operation, in units of the priority weight of an average request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// A hundred connections to an upstream, open for the whole time.
    pub connection: f64,
    /// A new connection.
    pub handshake: f64,
    /// A request that fails only after its objective.
    pub late_failure: f64,
    /// A health check.
    pub health_check: f64,
    /// Wasted upstream work, for each mean request's amount of it.
    pub waste: f64,
}

/// The configuration of a balancer; it stays the same while it runs.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a choice of its own in a site's settings"
)]
pub struct Settings {
    /// How many balancers share the upstreams, this one included.
    pub balancers: u32,
    /// This one's number among them, from 0.
    pub index: u32,
    /// The zone this balancer runs in.
    pub zone: ZoneId,
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request over its tenant's quota counts for, as a share of its class's weight.
    pub over_quota_weight_share: f64,
    /// A request's weight is in proportion to its work.
    pub weight_by_work: bool,
    /// The endpoint list has to be polled for:
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    pub polls_endpoints: bool,
    /// Polls go to this balancer's own agent, which no other balancer uses.
    pub has_local_agent: bool,
    /// A balancer that has not polled for this long counts as notified of all changes up to then.
    pub poll_interval: Duration,
    /// Sends to an upstream that drains or is gone must have stopped so long after the balancer was
    /// notified.
    pub drain_grace: Duration,
    /// A starting upstream has at least this share of its capacity ...
    pub slow_start_initial_share: f64,
    /// ... and all of it after this long.
    pub slow_start_duration: Duration,
    /// An upstream in slow start is overloaded by more than this multiple of its present capacity
    /// ...
    pub overload_multiple: f64,
    /// ... over this time.
    pub overload_window: Duration,
    /// The maximum number of attempts of a request.
    pub max_attempts: u8,
    /// Two attempts of a request may be in flight together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Health checks are allowed.
    pub health_checks: bool,
    /// The longest Retry-After that clients respect.
    pub max_retry_after: Duration,
    /// Clients mark their retries: a request without the mark is a first attempt.
    pub retries_marked: bool,
    /// A connection not made in this time counts as failed.
    pub connect_timeout: Duration,
    /// A connection not used for this long closes.
    pub connection_idle_timeout: Duration,
    /// Attempts that one connection carries at once.
    pub max_streams: u32,
    /// The share of responses after the objective, by class, that is tolerated; `None` where the
    /// tail does not count.
    pub tail_miss: Option<f64>,
    /// CPU that a request and its outcomes may cost; zero: no limit.
    pub cpu_per_request: Duration,
    /// What the weights of endpoints mean.
    pub endpoint_weights: EndpointWeights,
    /// The source of load reports.
    pub load_reports: LoadReports,
    /// The values in a load report, in order.
    pub report_fields: Vec<LoadField>,
    /// What operations cost.
    pub prices: Prices,
}

impl Default for Settings {
    /// One balancer that does not poll for endpoints, with no classes yet.
    fn default() -> Self {
        Self {
            balancers: 1,
            index: 0,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight_share: 0.1,
            weight_by_work: false,
            polls_endpoints: false,
            has_local_agent: false,
            poll_interval: Duration::from_secs(10),
            drain_grace: Duration::from_secs(1),
            slow_start_initial_share: 0.3,
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
            tail_miss: None,
            cpu_per_request: Duration::ZERO,
            endpoint_weights: EndpointWeights::Size,
            load_reports: LoadReports::Off,
            report_fields: Vec::new(),
            prices: Prices::default(),
        }
    }
}

/// Why [`Settings`] are not usable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no classes.
    NoClasses,
    /// No balancer: not even this one.
    NoBalancers,
    /// The named value is negative, not a number, or zero where zero is not valid.
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks all values; the error names the first invalid one by its documented name.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_counts()?;
        self.check_figures()?;
        self.classes.iter().try_for_each(Class::check)?;
        self.tenants
            .iter()
            .try_for_each(|tenant| check_figure(tenant.quota_per_s, "tenant allowance_per_s"))
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

    fn check_figures(&self) -> Result<(), SettingsError> {
        check_figure(self.over_quota_weight_share, "over_share_worth")?;
        check_figure(self.slow_start_initial_share, "cold_from")?;
        check_figure(self.overload_multiple, "fall_multiple")?;
        check_figure(self.prices.cross_zone, "prices.cross_zone")?;
        check_figure(self.prices.connection, "prices.connection")?;
        check_figure(self.prices.handshake, "prices.handshake")?;
        check_figure(self.prices.late_failure, "prices.late_fail")?;
        check_figure(self.tail_miss.unwrap_or(0.0), "tail_miss")?;
        check_figure(self.prices.health_check, "prices.probe")?;
        check_figure(self.prices.waste, "prices.waste")
    }
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        if self.latency_objective.is_zero() {
            return Err(SettingsError::OutOfRange("class aim"));
        }
        check_figure(self.priority_weight, "class worth")?;
        check_figure(self.late_weight_share, "class late_worth")?;
        check_figure(self.objective_work_multiple, "class aim_stretch")
    }
}

/// Checks that a value is a number that is not negative; `name` is its documented name.
fn check_figure(figure: f64, name: &'static str) -> Result<(), SettingsError> {
    if figure >= 0.0 && figure.is_finite() {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange(name))
    }
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings name no request class"),
            Self::NoBalancers => write!(f, "settings count no balancers"),
            Self::OutOfRange(what) => write!(f, "settings: {what} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}
