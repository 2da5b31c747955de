//! Endpoints, classes and settings for tests.

use frostkeel_policy::{
    Availability, CellId, Class, DedupGroup, Effect, Endpoint, HardwareKindId, LoadField,
    LoadReports, Settings, Tenant, UpstreamId, ZoneId,
};
use std::time::Duration;

pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn class(latency_objective_ms: u64, deadline_ms: u64, effect: Effect) -> Class {
    Class {
        latency_objective: ms(latency_objective_ms),
        deadline: ms(deadline_ms),
        effect,
        ..Class::default()
    }
}

/// Returns a ready endpoint whose process started long ago.
pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: UpstreamId(id),
        zone: ZoneId(0),
        hardware_kind: HardwareKindId(0),
        cell: CellId(0),
        availability: Availability::Ready,
        weight: 1.0,
        started: None,
    }
}

/// Returns ready endpoints with the ids 1 to `count`.
pub fn endpoints(count: u64) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}

/// Returns an endpoint with this availability.
pub fn endpoint_in_state(id: u64, availability: Availability) -> Endpoint {
    Endpoint {
        availability,
        ..endpoint(id)
    }
}

/// Returns settings with a single class, which has this effect.
pub fn single_class_settings(effect: Effect) -> Settings {
    Settings {
        classes: vec![class(400, 1000, effect)],
        ..Settings::default()
    }
}

/// Returns the settings of one of several balancers that share tenants with these quotas.
pub fn settings_with_quotas(balancers: u32, quotas_per_s: &[f64]) -> Settings {
    let tenant = |quota: &f64| Tenant {
        quota_per_s: *quota,
    };
    Settings {
        balancers,
        tenants: quotas_per_s.iter().map(tenant).collect(),
        ..single_class_settings(Effect::Idempotent)
    }
}

/// Returns `settings` changed so that every response carries a load report of these fields.
pub fn with_inline_reports(settings: Settings, fields: &[LoadField]) -> Settings {
    Settings {
        load_reports: LoadReports::Inline,
        report_fields: fields.to_vec(),
        ..settings
    }
}

/// The settings that decide what a balancer may do with a request.
pub struct SiteOptions {
    /// Whether there are many balancers, which poll for their endpoints and get load reports only
    /// from health checks.
    pub many_balancers: bool,
    pub hedging: bool,
    pub cancellation: bool,
    pub max_attempts: u8,
}

/// Returns settings with classes of every effect.
pub fn settings_with_all_effects(options: &SiteOptions) -> Settings {
    let deduplicated = |group, ttl_ms| Effect::Deduplicated {
        group,
        ttl: ms(ttl_ms),
    };
    let streamed = Class {
        streamed: true,
        ..class(300, 900, Effect::Idempotent)
    };
    let load_reports = if options.many_balancers {
        LoadReports::OnHealthCheck
    } else {
        LoadReports::Inline
    };
    Settings {
        balancers: if options.many_balancers { 500 } else { 1 },
        classes: vec![
            class(200, 600, Effect::Idempotent),
            class(300, 1200, Effect::AtMostOnce),
            class(150, 1500, deduplicated(DedupGroup::Cell, 700)),
            class(150, 1500, deduplicated(DedupGroup::Zone, 360)),
            class(150, 1500, deduplicated(DedupGroup::All, 60)),
            streamed,
        ],
        tenants: [900.0, 2000.0, 0.0]
            .map(|quota_per_s| Tenant { quota_per_s })
            .to_vec(),
        polls_endpoints: options.many_balancers,
        hedging: options.hedging,
        cancellation: options.cancellation,
        max_attempts: options.max_attempts,
        health_checks: options.many_balancers,
        load_reports,
        report_fields: vec![LoadField::InFlight],
        ..Settings::default()
    }
}
