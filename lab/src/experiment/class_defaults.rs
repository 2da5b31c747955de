//! The request classes and tenants of an experiment whose file lists none.

use super::{Class, Idempotence, Tenant};

pub(super) fn default_classes() -> Vec<Class> {
    vec![
        Class {
            name: "station-status".into(),
            share: 0.37,
            work_ms: 100.0,
            io_ms: 230.0,
            latency_objective_ms: 1200.0,
            deadline_ms: 3000.0,
            priority_weight: 1.0,
            idempotence: Idempotence::Idempotent,
        },
        Class {
            name: "session-meter".into(),
            share: 0.36,
            work_ms: 130.0,
            io_ms: 440.0,
            latency_objective_ms: 1500.0,
            deadline_ms: 6000.0,
            priority_weight: 2.0,
            idempotence: Idempotence::Idempotent,
        },
        Class {
            name: "session-start".into(),
            share: 0.18,
            work_ms: 180.0,
            io_ms: 600.0,
            latency_objective_ms: 2500.0,
            deadline_ms: 6000.0,
            priority_weight: 10.0,
            idempotence: Idempotence::WithIdempotencyKey,
        },
        Class {
            name: "session-settle".into(),
            share: 0.09,
            work_ms: 190.0,
            io_ms: 420.0,
            latency_objective_ms: 2000.0,
            deadline_ms: 6000.0,
            priority_weight: 10.0,
            idempotence: Idempotence::AtMostOnce,
        },
    ]
}

pub(super) fn default_tenants() -> Vec<Tenant> {
    let tenant = |name: &str, share| Tenant {
        name: name.into(),
        share,
    };
    vec![
        tenant("gyeonggi", 0.3),
        tenant("seoul", 0.3),
        tenant("busan", 0.2),
        tenant("incheon", 0.12),
        tenant("jeju", 0.08),
    ]
}
