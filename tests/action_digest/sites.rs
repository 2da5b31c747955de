//! The settings of the test, in names of the crate.

use frostkeel_policy::{
    Class, DedupGroup, Effect, EndpointWeights, LoadField, LoadReports, Prices, Settings, Tenant,
    ZoneId,
};
use std::time::Duration;

fn class(objective_ms: u64, deadline_ms: u64, effect: Effect) -> Class {
    let (latency_objective, deadline) = (
        Duration::from_millis(objective_ms),
        Duration::from_millis(deadline_ms),
    );
    Class {
        latency_objective,
        deadline,
        effect,
        ..Class::default()
    }
}

fn deduplicated(group: DedupGroup, ttl_ms: u64) -> Effect {
    Effect::Deduplicated {
        group,
        ttl: Duration::from_millis(ttl_ms),
    }
}

fn tenants(quotas: &[f64]) -> Vec<Tenant> {
    quotas
        .iter()
        .map(|quota| Tenant {
            quota_per_s: *quota,
        })
        .collect()
}

/// Returns one of three settings, which differ in everything that decisions depend on.
pub fn settings(number: usize) -> Settings {
    match number {
        0 => many_balancers(),
        1 => local_agent(),
        _ => pushed_endpoints(),
    }
}

/// Returns the settings of a large fleet that polls for its endpoints, with load reports in every
/// response.
fn many_balancers() -> Settings {
    let streamed = Class {
        streamed: true,
        ..class(300, 900, Effect::Idempotent)
    };
    Settings {
        balancers: 40,
        index: 7,
        zone: ZoneId(1),
        classes: vec![
            class(200, 600, Effect::Idempotent),
            class(300, 1200, Effect::AtMostOnce),
            Class {
                priority_weight: 4.0,
                ..class(150, 1500, deduplicated(DedupGroup::Cell, 700))
            },
            class(250, 1500, deduplicated(DedupGroup::Zone, 360)),
            Class {
                priority_weight: 0.3,
                late_weight_fraction: 0.5,
                ..class(150, 1500, deduplicated(DedupGroup::All, 600))
            },
            streamed,
        ],
        tenants: tenants(&[500.0, 700.0, 0.0, 90.0]),
        polls_endpoints: true,
        hedging: true,
        cancellation: true,
        max_attempts: 3,
        drain_grace: Duration::from_millis(1000),
        load_reports: LoadReports::Inline,
        report_fields: vec![
            LoadField::InFlight,
            LoadField::Utilization,
            LoadField::Queue,
        ],
        endpoint_weights: EndpointWeights::Size,
        prices: Prices {
            cross_zone: 0.02,
            ..Prices::default()
        },
        ..Settings::default()
    }
}

/// Returns the settings of a few balancers, each with a local agent, with live weights and without
/// hedging, cancellation and tenants.
fn local_agent() -> Settings {
    Settings {
        balancers: 6,
        index: 2,
        classes: vec![
            class(200, 800, Effect::Idempotent),
            Class {
                priority_weight: 2.0,
                objective_extension_per_cpu_time: 2.0,
                ..class(400, 1500, Effect::AtMostOnce)
            },
            class(250, 1200, deduplicated(DedupGroup::All, 900)),
        ],
        scales_priority_weight_by_work: true,
        polls_endpoints: true,
        has_local_agent: true,
        poll_interval: Duration::from_secs(6),
        hedging: false,
        cancellation: false,
        retries_marked: false,
        max_attempts: 2,
        load_reports: LoadReports::OnHealthCheck,
        health_checks: true,
        report_fields: vec![LoadField::Queue, LoadField::ErrorRate, LoadField::InFlight],
        endpoint_weights: EndpointWeights::Live,
        prices: Prices {
            cross_zone: 0.2,
            ..Prices::default()
        },
        ..Settings::default()
    }
}

/// Returns the settings of one of two balancers to which the endpoint list is pushed, without
/// weights and with load reports of five fields.
fn pushed_endpoints() -> Settings {
    let streamed = Class {
        streamed: true,
        ..class(300, 900, Effect::Idempotent)
    };
    Settings {
        balancers: 2,
        index: 1,
        classes: vec![
            Class {
                late_weight_fraction: 0.2,
                ..class(100, 500, Effect::Idempotent)
            },
            Class {
                priority_weight: 3.0,
                ..class(300, 900, deduplicated(DedupGroup::Zone, 500))
            },
            streamed,
        ],
        tenants: tenants(&[120.0, 60.0]),
        over_quota_weight_fraction: 0.4,
        max_attempts: 4,
        slow_start_initial_fraction: 0.1,
        slow_start_duration: Duration::from_secs(4),
        overload_multiple: 2.0,
        load_reports: LoadReports::Inline,
        report_fields: vec![
            LoadField::Utilization,
            LoadField::ServiceMs,
            LoadField::InFlight,
            LoadField::RequestRate,
            LoadField::Other,
        ],
        endpoint_weights: EndpointWeights::Off,
        ..Settings::default()
    }
}
