//! The configuration file of a balancer.

use crate::experiment::{Class, Experiment, Idempotence};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The time for which an upstream remembers an idempotency key, in milliseconds.
const KEY_RETENTION_MS: f64 = 12_000.0;
/// The share of the upstreams' capacity that is guaranteed to the tenants.
const GUARANTEED_CAPACITY_SHARE: f64 = 0.85;
/// The largest number of sockets that a balancer may open.
const MAX_SOCKETS: u32 = 1024;

/// The values from which the configuration of a balancer is made.
pub struct ConfigInputs<'a> {
    /// The experiment, which sets fleet, load, classes, tenants and upstreams.
    pub experiment: &'a Experiment,
    /// The seed of the run, from which each start of a balancer gets its own seed.
    pub seed: u64,
    /// The number of the balancer, from 0.
    pub number: u32,
    /// The name under which the balancer is started.
    pub name: String,
    /// The number of times that the balancer has been started, this start included.
    pub start_count: u64,
    /// The endpoint list that the balancer knows at its start, as JSON.
    pub known_endpoints: String,
    /// The address at which the balancer reaches the discovery service.
    pub discovery: SocketAddr,
    /// The addresses at which this balancer reaches each balancer of the run, by number. The entry
    /// for this balancer itself is an address where no socket listens. `None` without membership.
    pub peers: Option<Vec<String>>,
}

/// Returns the configuration of a balancer as JSON.
pub fn balancer_config(inputs: ConfigInputs<'_>) -> Value {
    let experiment = inputs.experiment;
    let known: Value = serde_json::from_str(&inputs.known_endpoints).unwrap_or_default();
    let seed = balancer_seed(&inputs);
    let mut config = json!({
        "name": inputs.name, "listen": "127.0.0.1:0", "discovery": inputs.discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {
            "cores": 1.0, "memory_mb": experiment.fleet.memory_mb, "sockets": MAX_SOCKETS,
        },
        "known": known,
        "settings": settings(experiment, inputs.number),
    });
    if let (Some(membership), Some(peers)) = (&experiment.membership, inputs.peers) {
        config["peer_listen"] = "127.0.0.1:0".into();
        config["peers"] = peers.into();
        config["membership"] = json!({
            "fleet": "lab", "page": "127.0.0.1:0", "forget_s": membership.retention().as_secs(),
        });
    }
    config
}

/// Derives a separate seed for each start of each balancer.
fn balancer_seed(inputs: &ConfigInputs<'_>) -> u64 {
    let start_seed = inputs.seed ^ (u64::from(inputs.number) << 24) ^ (inputs.start_count << 48);
    ChaCha8Rng::seed_from_u64(start_seed).random()
}

/// Returns the value of the key `settings` in the configuration of the balancer `number`.
fn settings(experiment: &Experiment, number: u32) -> Value {
    let upstream = &experiment.upstream;
    let classes: Vec<Value> = experiment.classes.iter().map(class_settings).collect();
    json!({
        "balancers": experiment.fleet.balancers, "me": number, "classes": classes,
        "parties": tenant_settings(experiment),
        "clients": {"marks_retry": experiment.load.marks_retries},
        "over_share_worth": 0.2, "discovery": "subscribe", "locality": 0,
        "failure_domains": ["a"], "skus": ["m"], "weight_kind": "nominal",
        "telemetry": {"how": "inline", "fields": ["util", "inflight"]},
        "guarantees": {
            "ask_every_ms": 6000.0, "cold_from": upstream.slow_start_initial_fraction,
            "cold_ms": upstream.slow_start_s * 1e3, "fall_multiple": upstream.overload_multiple,
            "overload_for_ms": upstream.overload_window_s * 1e3,
        },
        "limits": {
            "cancelling": true, "second_copies": upstream.allows_hedging, "try_limit": 3,
            "max_streams": 1, "conn_idle_ms": upstream.idle_timeout_s * 1e3,
            "connect_timeout_ms": 250.0, "max_retry_after_ms": 2000.0, "may_probe": false,
        },
        "prices": {"connection": 0.03, "handshake": 0.03, "late_fail": 0.08, "waste": 0.02},
    })
}

fn class_settings(class: &Class) -> Value {
    let effect = match class.idempotence {
        Idempotence::Idempotent => "idempotent",
        Idempotence::WithIdempotencyKey => "deduplicated",
        Idempotence::AtMostOnce => "at_most_once",
    };
    json!({
        "name": class.name, "aim_ms": class.latency_objective_ms,
        "hard_limit_ms": class.deadline_ms, "worth": class.priority_weight, "effect": effect,
        "dedup_scope": "all", "key_ttl_ms": KEY_RETENTION_MS,
    })
}

/// Returns the tenants, each with its share of the guaranteed capacity in requests per second.
fn tenant_settings(experiment: &Experiment) -> Vec<Value> {
    let upstream = &experiment.upstream;
    let mean_work_s: f64 = experiment
        .classes
        .iter()
        .map(|class| class.share * class.work_ms / 1e3)
        .sum();
    let cores = experiment.fleet.upstreams * upstream.cores;
    let capacity_per_s = f64::from(cores) * upstream.speed / mean_work_s.max(1e-6);
    experiment
        .tenants
        .iter()
        .map(|tenant| {
            let quota_per_s = GUARANTEED_CAPACITY_SHARE * capacity_per_s * tenant.share;
            json!({"name": tenant.name, "allowance_per_s": quota_per_s})
        })
        .collect()
}
