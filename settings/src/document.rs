//! The settings object in the structure of its JSON text. The platform defines the keys. Where the code uses another
//! term than the key, a `rename` attribute states the key.
//!
//! A field of the type `Option` is `None` if its key is missing. The default value then applies.

use serde::Deserialize;

/// The complete settings object.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct SiteDocument {
    /// The number of balancers that share the upstreams, this balancer included; at least 1.
    pub(crate) balancers: Option<u32>,
    /// The number of this balancer among those balancers, from 0 to `balancers` - 1.
    #[serde(rename = "me")]
    pub(crate) index: u32,
    /// The part of the goal that concerns late responses.
    pub(crate) goal: GoalDocument,
    /// The id of the zone that this balancer runs in.
    #[serde(rename = "locality")]
    pub(crate) zone: u8,
    /// The classes of requests; at least one.
    pub(crate) classes: Vec<ClassDocument>,
    /// The behaviour of the clients.
    pub(crate) clients: ClientsDocument,
    /// The tenants. If the list is empty, all requests share one token bucket.
    #[serde(rename = "parties")]
    pub(crate) tenants: Vec<TenantDocument>,
    /// The text `subscribe` if the balancer polls discovery for the endpoint list. With any other value, or `None`, the
    /// list is pushed to the balancer.
    pub(crate) discovery: Option<String>,
    /// The names of the zones. The id of a zone is the position of its name.
    #[serde(rename = "failure_domains")]
    pub(crate) zones: Vec<String>,
    /// The values of the platform's rules on polling, draining, slow start and overload.
    pub(crate) guarantees: GuaranteesDocument,
    /// The limits on attempts, connections and CPU time, and the operations that the balancer may use.
    pub(crate) limits: LimitsDocument,
    /// The fraction of its class's priority weight that a request over its tenant's quota has; 0 or more.
    #[serde(rename = "over_share_worth")]
    pub(crate) over_quota_weight_fraction: Option<f64>,
    /// The costs of operations.
    pub(crate) prices: PricesDocument,
    /// The names of the hardware kinds of upstreams. The id of a hardware kind is the position of its name.
    #[serde(rename = "skus")]
    pub(crate) hardware_kinds: Vec<String>,
    /// The source and the content of load reports.
    #[serde(rename = "telemetry")]
    pub(crate) load_reports: LoadReportsDocument,
    /// The meaning of the weights in the endpoint list. `nominal` and `rough` stand for the size of the upstream, and
    /// `live` for that size reduced by the load of the upstream. With any other value, or `None`, the weights are
    /// ignored.
    #[serde(rename = "weight_kind")]
    pub(crate) endpoint_weights: Option<String>,
    /// The text `work` if the priority weight of a request is in proportion to its work. With any other value, or
    /// `None`, the priority weight does not depend on the work.
    #[serde(rename = "worth_by")]
    pub(crate) priority_weight_basis: Option<String>,
}

/// An element of `classes`: a class of requests.
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct ClassDocument {
    /// The name of the class.
    pub(crate) name: String,
    /// The time in milliseconds, counted from a request's arrival, within which a response counts with its full
    /// priority weight; above 0.
    #[serde(rename = "aim_ms")]
    pub(crate) latency_objective_ms: f64,
    /// The extension of the latency objective, as a multiple of the request's own CPU time; 0 or more.
    #[serde(rename = "aim_stretch")]
    pub(crate) objective_extension_per_cpu_time: f64,
    /// The longest time that a client waits for a response, in milliseconds.
    #[serde(rename = "hard_limit_ms")]
    pub(crate) deadline_ms: f64,
    /// The value of a response within the latency objective, compared with other classes; 0 or more.
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
    /// The fraction of the priority weight that a response after the latency objective still has; 0 or more.
    #[serde(rename = "late_worth")]
    pub(crate) late_weight_fraction: f64,
    /// The effect that a second execution of a request may have: `idempotent`, `deduplicated` or `at_most_once`.
    pub(crate) effect: String,
    /// The upstreams that share a record of the idempotency keys that they have received: `all`, or those of one `zone`
    /// or `cell`. Required if the effect is `deduplicated`, ignored otherwise.
    #[serde(rename = "dedup_scope")]
    pub(crate) dedup_group: Option<String>,
    /// The time in milliseconds for which those upstreams remember an idempotency key. Ignored unless the effect is
    /// `deduplicated`.
    #[serde(rename = "key_ttl_ms")]
    pub(crate) dedup_ttl_ms: f64,
    /// Whether the response is a stream.
    pub(crate) streamed: bool,
}

impl Default for ClassDocument {
    fn default() -> Self {
        Self {
            name: String::new(),
            latency_objective_ms: 1000.0,
            objective_extension_per_cpu_time: 0.0,
            deadline_ms: 3000.0,
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
            effect: AT_MOST_ONCE.to_owned(),
            dedup_group: None,
            dedup_ttl_ms: 0.0,
            streamed: false,
        }
    }
}

/// The value of `effect` for a class whose requests must never be processed twice.
pub(crate) const AT_MOST_ONCE: &str = "at_most_once";

/// An element of `parties`: a tenant.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct TenantDocument {
    /// The name of the tenant.
    pub(crate) name: String,
    /// The tenant's quota at all balancers together, in requests per second; 0 if no quota is stated.
    #[serde(rename = "allowance_per_s")]
    pub(crate) quota_per_s: f64,
}

/// The `limits` object: the limits on attempts, connections and CPU time, and the operations that a balancer may use.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct LimitsDocument {
    /// Whether attempts in flight may be cancelled.
    #[serde(rename = "cancelling")]
    pub(crate) cancellation: Option<bool>,
    /// The time in milliseconds after which an unused connection to an upstream closes.
    #[serde(rename = "conn_idle_ms")]
    pub(crate) connection_idle_timeout_ms: Option<f64>,
    /// The time in milliseconds within which a connection to an upstream must be established.
    pub(crate) connect_timeout_ms: Option<f64>,
    /// The CPU time in microseconds that a request and its outcomes may cost; 0 means no limit.
    pub(crate) cpu_us_per_request: f64,
    /// The maximum number of attempts that one connection carries at a time; at least 1.
    pub(crate) max_streams: Option<u32>,
    /// The maximum number of attempts of a request, hedged attempts included; at least 1.
    #[serde(rename = "try_limit")]
    pub(crate) max_attempts: Option<u32>,
    /// The longest Retry-After that clients respect, in milliseconds.
    pub(crate) max_retry_after_ms: Option<f64>,
    /// Whether upstreams may be sent health checks.
    #[serde(rename = "may_probe")]
    pub(crate) health_checks: Option<bool>,
    /// Whether a hedged attempt may be sent while another attempt of the request is in flight.
    #[serde(rename = "second_copies")]
    pub(crate) hedging: Option<bool>,
}

/// The `guarantees` object: the values of the platform's rules on polling, draining, slow start and overload.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct GuaranteesDocument {
    /// The longest time between polls of discovery, in milliseconds.
    #[serde(rename = "ask_every_ms")]
    pub(crate) poll_interval_ms: Option<f64>,
    /// The fraction of its full capacity that an upstream has at least when it starts; 0 or more.
    #[serde(rename = "cold_from")]
    pub(crate) slow_start_initial_fraction: Option<f64>,
    /// The time in milliseconds from the start of an upstream until it has its full capacity.
    #[serde(rename = "cold_ms")]
    pub(crate) slow_start_duration_ms: Option<f64>,
    /// The time in milliseconds within which sends to a draining or removed upstream must stop, counted from the
    /// notification of the balancer.
    pub(crate) drain_grace_ms: Option<f64>,
    /// The load above which an upstream in slow start is overloaded, as a multiple of the present capacity of the
    /// upstream; 0 or more.
    #[serde(rename = "fall_multiple")]
    pub(crate) overload_multiple: Option<f64>,
    /// The time in milliseconds over which the load of an upstream in slow start is compared with its capacity.
    #[serde(rename = "overload_for_ms")]
    pub(crate) overload_window_ms: Option<f64>,
}

/// The `prices` object: the costs of operations, in units of the priority weight of an average request; each is 0 or
/// more. A missing price is 0.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct PricesDocument {
    /// The cost of a hundred connections to an upstream that stay open all the time.
    #[serde(rename = "connection")]
    pub(crate) hundred_connections: f64,
    /// The cost of an attempt at an upstream in another zone.
    pub(crate) cross_zone: f64,
    /// The cost of establishing a new connection.
    pub(crate) handshake: f64,
    /// The cost of a request that fails only after its latency objective.
    #[serde(rename = "late_fail")]
    pub(crate) failure_after_objective: f64,
    /// The cost of a health check.
    #[serde(rename = "probe")]
    pub(crate) health_check: f64,
    /// The cost of as much wasted upstream work as one request needs on average.
    #[serde(rename = "waste")]
    pub(crate) wasted_work: f64,
}

/// The `goal` object, of which only the two keys about late responses are read. A response is late if it takes longer
/// than the latency objective of its class.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct GoalDocument {
    /// The weight of late responses in the goal. If the weight is `None` or not above 0, `tolerated_late_fraction` is
    /// ignored.
    #[serde(rename = "slow_end")]
    pub(crate) late_fraction_weight: Option<f64>,
    /// The fraction of each class's responses that may be late; 0 or more.
    #[serde(rename = "tail_miss")]
    pub(crate) tolerated_late_fraction: Option<f64>,
}

/// The `clients` object: the behaviour of the clients.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct ClientsDocument {
    /// Whether clients mark their retries. If they do, a request without the mark is a first attempt.
    #[serde(rename = "marks_retry")]
    pub(crate) retries_marked: Option<bool>,
}

/// The `telemetry` object: the source of load reports, and the names of the values in a report.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct LoadReportsDocument {
    /// The responses in which upstreams send load reports: `inline` for responses to attempts and to health checks,
    /// `on_probe` for responses to health checks only. With any other value, or `None`, no response contains a report.
    #[serde(rename = "how")]
    pub(crate) source: Option<String>,
    /// The names of the values in a load report, in the order of the values.
    pub(crate) fields: Vec<String>,
}
