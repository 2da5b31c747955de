//! The metrics of the service, in the text format of Prometheus.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The metrics of the service. Each commit updates the gauges, except `watches`, which is always
/// current.
#[derive(Debug, Default)]
pub struct Metrics {
    /// The number of complete lists that were sent in response to list requests.
    pub snapshots: Counter,
    /// The number of watches that are open.
    pub watches: Gauge,
    /// The number of updates that were sent to watches.
    pub watch_updates: Counter,
    /// The number of watches that were closed because their clients did not read them.
    pub slow_watches: Counter,
    /// The number of requests that were rejected with 503.
    pub overloads: Counter,
    /// The number of writes that succeeded, including those that changed nothing.
    pub writes: Counter,
    /// The number of writes that were rejected, or failed because of the disk.
    pub writes_rejected: Counter,
    /// The number of commits to the disk.
    pub commits: Counter,
    /// The revision of the endpoint list after the last commit.
    pub revision: Gauge,
    /// The number of endpoints in the state `Ready`.
    pub ready: Gauge,
    /// The number of endpoints in the state `Terminating`.
    pub terminating: Gauge,
    /// 1 if self-preservation keeps endpoints with expired leases on the list, otherwise 0.
    pub self_preserving: Gauge,
}

impl Metrics {
    /// Returns the metrics as text for Prometheus. The names of the metrics are part of the
    /// interface and must not change.
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
