//! The configuration of a balancer under test.

use super::{endpoint_json, endpoint_list_json, unreachable_address};
use std::net::SocketAddr;

/// A configuration, to be changed before the start.
pub struct TestConfig {
    pub discovery: SocketAddr,
    /// The endpoint list known from before the start.
    pub cached_list: String,
    /// The descriptors that the balancer may use.
    pub max_sockets: usize,
    /// Balancers of the fleet.
    pub balancers: usize,
    /// The deadline and latency objective of every class.
    pub deadline_ms: u64,
    /// Whether the balancer polls for its endpoints; otherwise they are pushed to a local agent.
    pub polls_endpoints: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// How long an upstream that has started is in slow start.
    pub slow_start_ms: u64,
    /// The variables of the preloaded library that lets system calls fail; see the crate
    /// `frostkeel-syscall-faults`.
    pub syscall_faults: Vec<(&'static str, String)>,
}

impl TestConfig {
    /// A balancer that knows these upstreams, under the names `s-0`, `s-1`, ...
    pub fn with_upstreams(upstreams: &[SocketAddr]) -> Self {
        let upstreams = upstreams.iter().enumerate();
        let entries =
            upstreams.map(|(k, address)| endpoint_json(&format!("s-{k}"), *address, "Ready"));
        Self {
            discovery: unreachable_address(),
            cached_list: endpoint_list_json(1, true, &entries.collect::<Vec<_>>()),
            max_sockets: 256,
            balancers: 1,
            deadline_ms: 8000,
            polls_endpoints: false,
            cancellation: true,
            slow_start_ms: 10_000,
            syscall_faults: Vec::new(),
        }
    }

    /// The text of the configuration file.
    pub fn to_json(&self) -> String {
        let Self {
            discovery,
            cached_list,
            max_sockets,
            balancers,
            cancellation,
            slow_start_ms,
            ..
        } = self;
        let discovery_mode = if self.polls_endpoints {
            "subscribe"
        } else {
            "automatic"
        };
        let classes = [
            self.class_json("look", "idempotent"),
            self.class_json("book", "at_most_once"),
            self.class_json("keyed", "deduplicated"),
        ];
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{max_sockets}}},"known":{cached_list},
            "settings":{{"balancers":{balancers},"me":0,"classes":[{}],"discovery":"{discovery_mode}",
            "guarantees":{{"cold_ms":{slow_start_ms}}},"failure_domains":["a","b"],"skus":["m"],"locality":0,
            "limits":{{"conn_idle_ms":60000,"connect_timeout_ms":2000,"try_limit":5,"retry_after":false,
            "cancelling":{cancellation}}},
            "parties":[{{"name":"acme","allowance_per_s":1000.0}}]}}}}"#,
            classes.join(",")
        )
    }

    fn class_json(&self, name: &str, effect: &str) -> String {
        let deadline_ms = self.deadline_ms;
        format!(
            r#"{{"name":"{name}","aim_ms":{deadline_ms},"hard_limit_ms":{deadline_ms},"late_worth":0.5,"effect":"{effect}","dedup_scope":"all","key_ttl_ms":5000}}"#
        )
    }
}
