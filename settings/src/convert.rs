//! Converts the values of the settings object into the policy crate's types.

use crate::document::{
    AT_MOST_ONCE, ClassDocument, GoalDocument, GuaranteesDocument, LimitsDocument, PricesDocument,
    SiteDocument, TenantDocument,
};
use crate::{Names, SettingsParseError};
use frostkeel_policy::{
    Class, DedupGroup, Effect, EndpointWeights, LoadField, LoadReports, Prices, Settings, Tenant,
    ZoneId,
};
use std::time::Duration;

/// The maximum number of attempts per request that the settings can allow. A higher `try_limit` is reduced to this
/// number, because the policy crate numbers the attempts of a request in one byte.
const MAX_ATTEMPT_LIMIT: u32 = 250;
const MICROS_PER_MILLI: f64 = 1e3;
const MILLIS_PER_SECOND: f64 = 1e3;

/// Converts a time in milliseconds into a [`Duration`]. A negative value or NaN becomes zero, and a value too large for
/// a [`Duration`] becomes the maximum.
pub fn duration_from_ms(ms: f64) -> Duration {
    if ms.is_nan() || ms <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(ms / MILLIS_PER_SECOND).unwrap_or(Duration::MAX)
}

/// Returns the meaning of a load report's value, given the name of the value in the settings or in a report. An unknown
/// name has the meaning [`LoadField::Other`].
pub fn parse_load_field(name: &str) -> LoadField {
    match name {
        "concurrent" | "inflight" => LoadField::InFlight,
        "depth" | "queue" => LoadField::Queue,
        "load_share" | "util" => LoadField::Utilization,
        "mean_ms" | "latency_ms" => LoadField::ServiceMs,
        "tps" | "qps" => LoadField::RequestRate,
        "err_ps" | "eps" => LoadField::ErrorRate,
        _ => LoadField::Other,
    }
}

/// Converts the parsed settings object into the policy crate's [`Settings`]. A missing key has its default value.
pub(crate) fn settings(document: &SiteDocument) -> Result<Settings, SettingsParseError> {
    let report_fields = &document.load_reports.fields;
    let mut settings = Settings {
        index: document.index,
        zone: ZoneId(document.zone),
        classes: classes(&document.classes)?,
        tenants: document.tenants.iter().map(tenant).collect(),
        scales_priority_weight_by_work: document.priority_weight_basis.as_deref() == Some("work"),
        polls_endpoints: document.discovery.as_deref() == Some("subscribe"),
        tolerated_late_fraction: tolerated_late_fraction(&document.goal),
        endpoint_weights: endpoint_weights(document.endpoint_weights.as_deref()),
        load_reports: load_reports(document.load_reports.source.as_deref()),
        report_fields: report_fields
            .iter()
            .map(|name| parse_load_field(name))
            .collect(),
        prices: prices(&document.prices),
        ..Settings::default()
    };
    let over_quota_weight_fraction = document.over_quota_weight_fraction;
    set_value(&mut settings.balancers, document.balancers);
    set_value(
        &mut settings.over_quota_weight_fraction,
        over_quota_weight_fraction,
    );
    set_value(
        &mut settings.retries_marked,
        document.clients.retries_marked,
    );
    set_guarantees(&mut settings, &document.guarantees);
    set_limits(&mut settings, &document.limits);
    Ok(settings)
}

fn set_guarantees(settings: &mut Settings, guarantees: &GuaranteesDocument) {
    let initial_fraction = guarantees.slow_start_initial_fraction;
    set_duration(&mut settings.poll_interval, guarantees.poll_interval_ms);
    set_duration(&mut settings.drain_grace, guarantees.drain_grace_ms);
    set_value(&mut settings.slow_start_initial_fraction, initial_fraction);
    set_duration(
        &mut settings.slow_start_duration,
        guarantees.slow_start_duration_ms,
    );
    set_value(
        &mut settings.overload_multiple,
        guarantees.overload_multiple,
    );
    set_duration(&mut settings.overload_window, guarantees.overload_window_ms);
}

fn set_limits(settings: &mut Settings, limits: &LimitsDocument) {
    let idle_timeout_ms = limits.connection_idle_timeout_ms;
    set_value(
        &mut settings.max_attempts,
        limits.max_attempts.map(attempt_limit),
    );
    set_value(&mut settings.hedging, limits.hedging);
    set_value(&mut settings.cancellation, limits.cancellation);
    set_value(&mut settings.health_checks, limits.health_checks);
    set_duration(&mut settings.max_retry_after, limits.max_retry_after_ms);
    set_duration(&mut settings.connect_timeout, limits.connect_timeout_ms);
    set_duration(&mut settings.connection_idle_timeout, idle_timeout_ms);
    set_value(&mut settings.max_streams, limits.max_streams);
    settings.cpu_per_request = duration_from_ms(limits.cpu_us_per_request / MICROS_PER_MILLI);
}

fn set_value<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

fn set_duration(field: &mut Duration, ms: Option<f64>) {
    set_value(field, ms.map(duration_from_ms));
}

pub(crate) fn names(document: SiteDocument) -> Names {
    Names {
        classes: document
            .classes
            .into_iter()
            .map(|class| class.name)
            .collect(),
        tenants: document
            .tenants
            .into_iter()
            .map(|tenant| tenant.name)
            .collect(),
        zones: document.zones,
        hardware_kinds: document.hardware_kinds,
    }
}

fn tenant(document: &TenantDocument) -> Tenant {
    Tenant {
        quota_per_s: document.quota_per_s,
    }
}

fn attempt_limit(limit: u32) -> u8 {
    limit.min(MAX_ATTEMPT_LIMIT) as u8
}

/// Returns the fraction of each class's responses that may take longer than the class's latency objective. Returns
/// `None` if the key of that fraction (`tail_miss`) is missing, or if the weight of late responses (`slow_end`) is
/// missing or not above 0.
fn tolerated_late_fraction(goal: &GoalDocument) -> Option<f64> {
    let has_weight = goal.late_fraction_weight.is_some_and(|weight| weight > 0.0);
    goal.tolerated_late_fraction.filter(|_| has_weight)
}

fn endpoint_weights(value: Option<&str>) -> EndpointWeights {
    match value {
        Some("live") => EndpointWeights::Live,
        Some("nominal" | "rough") => EndpointWeights::Size,
        _ => EndpointWeights::Off,
    }
}

fn load_reports(value: Option<&str>) -> LoadReports {
    match value {
        Some("inline") => LoadReports::Inline,
        Some("on_probe") => LoadReports::OnHealthCheck,
        _ => LoadReports::Off,
    }
}

fn prices(document: &PricesDocument) -> Prices {
    Prices {
        cross_zone: document.cross_zone,
        hundred_connections: document.hundred_connections,
        handshake: document.handshake,
        failure_after_objective: document.failure_after_objective,
        health_check: document.health_check,
        wasted_work: document.wasted_work,
    }
}

fn classes(documents: &[ClassDocument]) -> Result<Vec<Class>, SettingsParseError> {
    documents
        .iter()
        .enumerate()
        .map(|(position, document)| class(position, document))
        .collect()
}

fn class(position: usize, document: &ClassDocument) -> Result<Class, SettingsParseError> {
    Ok(Class {
        latency_objective: duration_from_ms(document.latency_objective_ms),
        objective_extension_per_cpu_time: document.objective_extension_per_cpu_time,
        deadline: duration_from_ms(document.deadline_ms),
        priority_weight: document.priority_weight,
        late_weight_fraction: document.late_weight_fraction,
        effect: effect(position, document)?,
        streamed: document.streamed,
    })
}

fn effect(position: usize, document: &ClassDocument) -> Result<Effect, SettingsParseError> {
    match document.effect.as_str() {
        "idempotent" => Ok(Effect::Idempotent),
        AT_MOST_ONCE => Ok(Effect::AtMostOnce),
        "deduplicated" => Ok(Effect::Deduplicated {
            group: dedup_group(position, document.dedup_group.as_deref())?,
            ttl: duration_from_ms(document.dedup_ttl_ms),
        }),
        other => Err(SettingsParseError::UnknownValue {
            key: format!("classes[{position}].effect"),
            value: other.to_owned(),
            accepted_values: "idempotent, deduplicated, at_most_once",
        }),
    }
}

fn dedup_group(position: usize, value: Option<&str>) -> Result<DedupGroup, SettingsParseError> {
    let key = || format!("classes[{position}].dedup_scope");
    match value {
        Some("all") => Ok(DedupGroup::All),
        Some("zone") => Ok(DedupGroup::Zone),
        Some("cell") => Ok(DedupGroup::Cell),
        Some(other) => Err(SettingsParseError::UnknownValue {
            key: key(),
            value: other.to_owned(),
            accepted_values: "all, zone, cell",
        }),
        None => Err(SettingsParseError::MissingKey {
            key: key(),
            requirement: "the effect \"deduplicated\" requires one of all, zone, cell",
        }),
    }
}
