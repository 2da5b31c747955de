//! What is counted, as a page for Prometheus.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// What is counted.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Whole lists that were sent.
    pub lists: Counter,
    /// Watches that are open.
    pub watches: Gauge,
    /// Lines of changes that were given to watches.
    pub lines: Counter,
    /// Watches that were cut, as they did not read.
    pub cut: Counter,
    /// Calls and watches answered with 503.
    pub refused: Counter,
    /// Writes that were carried out, or changed nothing.
    pub writes: Counter,
    /// Writes that were refused.
    pub writes_refused: Counter,
    /// Commits to the disk.
    pub commits: Counter,
    /// The list's version.
    pub version: Gauge,
    /// Entries that are ready.
    pub ready: Gauge,
    /// Entries that are terminating.
    pub terminating: Gauge,
    /// 1 while entries are held whose leases have ended.
    pub holds: Gauge,
}

impl Metrics {
    /// The page.
    pub fn page(&self) -> String {
        let mut registry = Registry::with_prefix("frostkeel_registry");
        registry.register("lists", "Whole lists sent", self.lists.clone());
        registry.register("watches", "Watches open", self.watches.clone());
        registry.register(
            "lines",
            "Lines of changes given to watches",
            self.lines.clone(),
        );
        registry.register(
            "watches_cut",
            "Watches cut as they did not read",
            self.cut.clone(),
        );
        registry.register(
            "refused",
            "Calls and watches answered with 503",
            self.refused.clone(),
        );
        registry.register("writes", "Writes carried out", self.writes.clone());
        registry.register(
            "writes_refused",
            "Writes refused",
            self.writes_refused.clone(),
        );
        registry.register("commits", "Commits to the disk", self.commits.clone());
        registry.register("version", "Version of the list", self.version.clone());
        registry.register("ready", "Entries ready", self.ready.clone());
        registry.register(
            "terminating",
            "Entries terminating",
            self.terminating.clone(),
        );
        registry.register(
            "holds",
            "1 while lapsed entries are held",
            self.holds.clone(),
        );
        let mut page = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut page, &registry);
        page
    }
}
