//! The settings object as it is in JSON. The platform defines the keys; a field has another name than its key where
//! the code uses another term. The fields of [`Settings`](frostkeel_policy::Settings) document the values.

use serde::Deserialize;

/// The complete settings object.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct SiteDocument {
    pub(crate) balancers: Option<u32>,
    #[serde(rename = "me")]
    pub(crate) index: u32,
    pub(crate) goal: GoalDocument,
    #[serde(rename = "locality")]
    pub(crate) zone: u8,
    pub(crate) classes: Vec<ClassDocument>,
    pub(crate) clients: ClientsDocument,
    #[serde(rename = "parties")]
    pub(crate) tenants: Vec<TenantDocument>,
    pub(crate) discovery: Option<String>,
    #[serde(rename = "failure_domains")]
    pub(crate) zones: Vec<String>,
    pub(crate) guarantees: GuaranteesDocument,
    pub(crate) limits: LimitsDocument,
    #[serde(rename = "over_share_worth")]
    pub(crate) over_quota_weight_share: Option<f64>,
    pub(crate) prices: PricesDocument,
    #[serde(rename = "skus")]
    pub(crate) hardware_kinds: Vec<String>,
    #[serde(rename = "telemetry")]
    pub(crate) load_reports: LoadReportsDocument,
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
    pub(crate) name: String,
    #[serde(rename = "aim_ms")]
    pub(crate) latency_objective_ms: f64,
    #[serde(rename = "aim_stretch")]
    pub(crate) objective_extension_per_cpu_time: f64,
    #[serde(rename = "hard_limit_ms")]
    pub(crate) deadline_ms: f64,
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "late_worth")]
    pub(crate) late_weight_share: f64,
    pub(crate) effect: String,
    #[serde(rename = "dedup_scope")]
    pub(crate) dedup_group: Option<String>,
    #[serde(rename = "key_ttl_ms")]
    pub(crate) dedup_ttl_ms: f64,
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
            late_weight_share: 0.0,
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
    pub(crate) name: String,
    #[serde(rename = "allowance_per_s")]
    pub(crate) quota_per_s: f64,
}

/// The `limits` object: what a balancer may do and use at the site.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct LimitsDocument {
    #[serde(rename = "cancelling")]
    pub(crate) cancellation: Option<bool>,
    #[serde(rename = "conn_idle_ms")]
    pub(crate) connection_idle_timeout_ms: Option<f64>,
    pub(crate) connect_timeout_ms: Option<f64>,
    pub(crate) cpu_us_per_request: f64,
    pub(crate) max_streams: Option<u32>,
    #[serde(rename = "try_limit")]
    pub(crate) max_attempts: Option<u32>,
    pub(crate) max_retry_after_ms: Option<f64>,
    #[serde(rename = "may_probe")]
    pub(crate) health_checks: Option<bool>,
    #[serde(rename = "second_copies")]
    pub(crate) hedging: Option<bool>,
}

/// The `guarantees` object: the numbers in the platform's rules on polling, draining, slow start and overload.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct GuaranteesDocument {
    #[serde(rename = "ask_every_ms")]
    pub(crate) poll_interval_ms: Option<f64>,
    #[serde(rename = "cold_from")]
    pub(crate) slow_start_initial_share: Option<f64>,
    #[serde(rename = "cold_ms")]
    pub(crate) slow_start_duration_ms: Option<f64>,
    pub(crate) drain_grace_ms: Option<f64>,
    #[serde(rename = "fall_multiple")]
    pub(crate) overload_multiple: Option<f64>,
    #[serde(rename = "overload_for_ms")]
    pub(crate) overload_window_ms: Option<f64>,
}

/// The `prices` object: the costs of operations.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct PricesDocument {
    #[serde(rename = "connection")]
    pub(crate) hundred_connections: f64,
    pub(crate) cross_zone: f64,
    pub(crate) handshake: f64,
    #[serde(rename = "late_fail")]
    pub(crate) failure_after_objective: f64,
    #[serde(rename = "probe")]
    pub(crate) health_check: f64,
    #[serde(rename = "waste")]
    pub(crate) wasted_work: f64,
}

/// The `goal` object. Only its two keys for late responses, which take longer than their latency objective,
/// are read.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct GoalDocument {
    /// The weight of the fraction of late responses in the goal. If it is `None` or not above 0, that fraction does not
    /// count.
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
    #[serde(rename = "marks_retry")]
    pub(crate) retries_marked: Option<bool>,
}

/// The `telemetry` object: the source of load reports, and the names of the values in a report.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct LoadReportsDocument {
    #[serde(rename = "how")]
    pub(crate) source: Option<String>,
    pub(crate) fields: Vec<String>,
}
