//! What a balancer of a play is told at its start.

use crate::experiment::{Effect, Experiment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::net::SocketAddr;

/// What a balancer is told.
pub struct Told<'a> {
    /// The play.
    pub experiment: &'a Experiment,
    /// The seed of its draws.
    pub seed: u64,
    /// Its number and name.
    pub number: u32,
    /// See `number`.
    pub name: String,
    /// How often it has been started before.
    pub starts: u64,
    /// The list of upstreams as it last had it.
    pub known: String,
    /// Where it reaches the list service.
    pub discovery: SocketAddr,
    /// Where it reaches the other balancers, if it does.
    pub peers: Option<Vec<String>>,
}

/// The same by the platform's form.
pub fn config(told: Told<'_>) -> serde_json::Value {
    let (e, number, starts) = (told.experiment, told.number, told.starts);
    let seed = told.seed ^ (u64::from(number) << 24) ^ (starts << 48);
    let seed: u64 = ChaCha8Rng::seed_from_u64(seed).random();
    let classes = e.classes.iter().map(|class| {
        let effect = match class.effect {
            Effect::Safe => "idempotent",
            Effect::Keyed => "deduplicated",
            Effect::Unsafe => "at_most_once",
        };
        json!({"name": class.name, "aim_ms": class.aim_ms, "hard_limit_ms": class.deadline_ms,
            "worth": class.worth, "effect": effect, "dedup_scope": "all", "key_ttl_ms": 12_000.0})
    });
    let classes: Vec<_> = classes.collect();
    let m = &e.upstream;
    let work: f64 = e.classes.iter().map(|c| c.share * c.work_ms / 1e3).sum();
    let able = f64::from(e.fleet.upstreams * m.cores) * m.speed / work.max(1e-6);
    let parties: Vec<_> = e
        .tenants
        .iter()
        .map(|t| json!({"name": t.name, "allowance_per_s": 0.85 * able * t.share}))
        .collect();
    let known: serde_json::Value = serde_json::from_str(&told.known).unwrap_or_default();
    let mut config = json!({
        "name": told.name, "listen": "127.0.0.1:0", "discovery": told.discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": e.fleet.memory_mb, "sockets": 1024},
        "known": known,
        "settings": {
            "balancers": e.fleet.balancers, "me": number, "classes": classes, "parties": parties,
            "clients": {"marks_retry": e.load.marks}, "over_share_worth": 0.2, "discovery": "subscribe", "locality": 0,
            "failure_domains": ["a"], "skus": ["m"], "weight_kind": "nominal",
            "telemetry": {"how": "inline", "fields": ["util", "inflight"]},
            "guarantees": {"ask_every_ms": 6000.0, "cold_from": m.cold_from, "cold_ms": m.cold_s * 1e3,
                "fall_multiple": m.fall_multiple, "overload_for_ms": m.fall_s * 1e3},
            "limits": {"cancelling": true, "second_copies": m.second_copies, "try_limit": 3, "max_streams": 1,
                "conn_idle_ms": m.idle_s * 1e3, "connect_timeout_ms": 250.0,
                "max_retry_after_ms": 2000.0, "may_probe": false},
            "prices": {"connection": 0.03, "handshake": 0.03, "late_fail": 0.08, "waste": 0.02}
        }
    });
    if let (Some(membership), Some(peers)) = (&e.membership, told.peers) {
        config["peer_listen"] = "127.0.0.1:0".into();
        config["peers"] = peers.into();
        config["membership"] = json!({"fleet": "lab", "page": "127.0.0.1:0", "forget_s": membership.forget_after().as_secs()});
    }
    config
}
