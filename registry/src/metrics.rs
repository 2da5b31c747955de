//! The service's metrics, in the text format of Prometheus.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The service's metrics.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Snapshots sent to list requests.
    pub snapshots: Counter,
    /// Open watches.
    pub watches: Gauge,
    /// Updates sent to watches.
    pub watch_updates: Counter,
    /// Watches that were closed as their clients did not read.
    pub slow_watches: Counter,
    /// Requests that were rejected with 503.
    pub overloads: Counter,
    /// Successful writes.
    pub writes: Counter,
    /// Writes that were rejected.
    pub writes_rejected: Counter,
    /// Commits to the disk.
    pub commits: Counter,
    /// The revision of the list.
    pub revision: Gauge,
    /// Endpoints that are ready.
    pub ready: Gauge,
    /// Endpoints that are terminating.
    pub terminating: Gauge,
    /// 1 while self-preservation retains endpoints with expired leases.
    pub self_preserving: Gauge,
}

impl Metrics {
    /// The text for Prometheus. Its names are part of the interface and must not change.
    pub fn page(&self) -> String {
        let mut registry = Registry::with_prefix("frostkeel_registry");
        registry.register("lists", "Whole lists sent", self.snapshots.clone());
        registry.register("watches", "Watches open", self.watches.clone());
        registry.register(
            "lines",
            "Lines of changes given to watches",
            self.watch_updates.clone(),
        );
        registry.register(
            "watches_cut",
            "Watches cut as they did not read",
            self.slow_watches.clone(),
        );
        registry.register(
            "refused",
            "Calls and watches answered with 503",
            self.overloads.clone(),
        );
        registry.register("writes", "Writes carried out", self.writes.clone());
        registry.register(
            "writes_refused",
            "Writes refused",
            self.writes_rejected.clone(),
        );
        registry.register("commits", "Commits to the disk", self.commits.clone());
        registry.register("version", "Version of the list", self.revision.clone());
        registry.register("ready", "Entries ready", self.ready.clone());
        registry.register(
            "terminating",
            "Entries terminating",
            self.terminating.clone(),
        );
        registry.register(
            "holds",
            "1 while lapsed entries are held",
            self.self_preserving.clone(),
        );
        let mut page = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut page, &registry);
        page
    }
}
