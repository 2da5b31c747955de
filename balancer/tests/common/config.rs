//! The configuration of a balancer under test.

use super::{endpoint_json, endpoint_list_json, unreachable_address};
use std::net::SocketAddr;

/// A configuration whose fields a test can change before it starts the balancer.
pub struct TestConfig {
    /// The address of discovery, or of the local agent.
    pub discovery: SocketAddr,
    /// The endpoint list in the configuration file, as JSON. The balancer uses it until it receives
    /// a newer list.
    pub cached_list: String,
    /// The number of descriptors that the balancer may use, reserved ones included.
    pub max_sockets: usize,
    /// The memory that the balancer may use, in megabytes.
    pub memory_mb: u64,
    /// The number of balancers in the fleet.
    pub balancers: usize,
    /// The deadline and the latency objective of every class, in milliseconds.
    pub deadline_and_objective_ms: u64,
    /// Whether the balancer watches its endpoint list at discovery itself. If not, the discovery
    /// mode is `automatic`: discovery pushes the list to a local agent, and the balancer watches
    /// the list there.
    pub watches_discovery_directly: bool,
    /// Whether the balancer may cancel attempts that are in flight.
    pub cancellation: bool,
    /// The duration of an upstream's slow start, in milliseconds.
    pub slow_start_ms: u64,
    /// The environment variables for the preloaded library that makes system calls fail; see the
    /// crate `frostkeel-syscall-faults`. If empty, the library is not loaded.
    pub syscall_faults: Vec<(&'static str, String)>,
}

impl TestConfig {
    /// Returns a configuration whose endpoint list contains these upstreams as ready, with the
    /// names `s-0`, `s-1`, ... Discovery is unreachable.
    pub fn with_upstreams(upstreams: &[SocketAddr]) -> Self {
        let upstreams = upstreams.iter().enumerate();
        let entries =
            upstreams.map(|(k, address)| endpoint_json(&format!("s-{k}"), *address, "Ready"));
        Self {
            discovery: unreachable_address(),
            cached_list: endpoint_list_json(1, true, &entries.collect::<Vec<_>>()),
            max_sockets: 256,
            memory_mb: 192,
            balancers: 1,
            deadline_and_objective_ms: 8000,
            watches_discovery_directly: false,
            cancellation: true,
            slow_start_ms: 10_000,
            syscall_faults: Vec::new(),
        }
    }

    /// Returns the content of the configuration file.
    pub fn to_json(&self) -> String {
        let Self {
            discovery,
            cached_list,
            max_sockets,
            memory_mb,
            balancers,
            cancellation,
            slow_start_ms,
            ..
        } = self;
        let discovery_mode = if self.watches_discovery_directly {
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
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{max_sockets}}},"known":{cached_list},
            "settings":{{"balancers":{balancers},"me":0,"classes":[{}],"discovery":"{discovery_mode}",
            "guarantees":{{"cold_ms":{slow_start_ms}}},"failure_domains":["a","b"],"skus":["m"],"locality":0,
            "limits":{{"conn_idle_ms":60000,"connect_timeout_ms":2000,"try_limit":5,"retry_after":false,
            "cancelling":{cancellation}}},
            "parties":[{{"name":"acme","allowance_per_s":1000.0}}]}}}}"#,
            classes.join(",")
        )
    }

    fn class_json(&self, name: &str, effect: &str) -> String {
        let deadline_and_objective_ms = self.deadline_and_objective_ms;
        format!(
            r#"{{"name":"{name}","aim_ms":{deadline_and_objective_ms},"hard_limit_ms":{deadline_and_objective_ms},"late_worth":0.5,"effect":"{effect}","dedup_scope":"all","key_ttl_ms":5000}}"#
        )
    }
}
