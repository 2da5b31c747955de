//! The upstreams: their addresses, their connections, and the attempts and health checks that are sent to them.

mod attempt;
mod checkout;
mod endpoint_state;
mod exchange;
mod health_check;
mod idle_pool;

pub use attempt::{AttemptResult, AttemptState, UpstreamResponse};
pub use endpoint_state::EndpointState;
pub use exchange::ForwardedRequest;

use crate::connection_limit::ConnectionLimit;
use crate::memory_budget::MemoryBudget;
use crate::rate_limited_log::RateLimitedLog;
use endpoint_state::Upstream;
use frostkeel_policy::{Availability, LoadField, LoadReports, Settings, UpstreamId};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The fraction of the upstreams' idle timeout after which a connection is closed or no longer reused. It is below 1
/// because a request that is sent while the upstream closes the connection ends with a reset, and can then be retried
/// only if it is idempotent.
const MAX_IDLE_FRACTION: f64 = 0.8;
/// The interval between two checks for expired idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// All listed upstreams.
pub struct Upstreams {
    upstreams: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    connection_limit: Rc<ConnectionLimit>,
    memory: Arc<MemoryBudget>,
    connect_timeout: Duration,
    /// The time after which an idle connection has expired.
    max_idle: Duration,
    load_reports: LoadReports,
    /// The fields of a load report that are read, in the order of the settings.
    report_fields: Vec<LoadField>,
    /// The time during which no attempt may be written because the endpoint list may be stale; `None` while the list is
    /// confirmed.
    send_pause: RefCell<Option<Range<Instant>>>,
    report_log: RateLimitedLog,
    response_log: RateLimitedLog,
}

impl Upstreams {
    /// Creates an empty set of upstreams, with a limit of `max_connections` open connections in total. The memory of
    /// connections and responses is reserved in `memory`.
    pub fn new(settings: &Settings, max_connections: usize, memory: &Arc<MemoryBudget>) -> Self {
        Self {
            upstreams: RefCell::default(),
            connection_limit: ConnectionLimit::new(max_connections),
            memory: Arc::clone(memory),
            connect_timeout: settings.connect_timeout,
            max_idle: settings.connection_idle_timeout.mul_f64(MAX_IDLE_FRACTION),
            load_reports: settings.load_reports,
            report_fields: settings.report_fields.clone(),
            send_pause: RefCell::default(),
            report_log: RateLimitedLog::default(),
            response_log: RateLimitedLog::default(),
        }
    }

    /// Applies the listed state of one upstream, which is added or removed if necessary.
    pub fn apply_endpoint(&self, id: UpstreamId, listed: &EndpointState) {
        let mut upstreams = self.upstreams.borrow_mut();
        if listed.availability == Availability::Removed {
            if let Some(upstream) = upstreams.remove(&id) {
                tracing::debug!(
                    upstream = id.0,
                    reason = "listed-as-removed",
                    "upstream removed"
                );
                upstream.mark_removed();
            }
            return;
        }
        let upstream = upstreams
            .entry(id)
            .or_insert_with(|| Rc::new(Upstream::new(listed.boot_ms)));
        if upstream.apply(listed) {
            let EndpointState {
                address,
                availability,
                ..
            } = listed;
            tracing::debug!(upstream = id.0, ?availability, ?address, "upstream changed");
        }
    }

    /// Removes all upstreams for which `is_listed` returns `false`.
    pub fn remove_unlisted(&self, is_listed: impl Fn(UpstreamId) -> bool) {
        self.upstreams.borrow_mut().retain(|id, upstream| {
            let retained = is_listed(*id);
            if !retained {
                tracing::debug!(upstream = id.0, reason = "not-listed", "upstream removed");
                upstream.mark_removed();
            }
            retained
        });
    }

    /// Closes the idle connections to one upstream.
    pub fn close_idle(&self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.borrow().get(&id) {
            upstream.idle.clear();
        }
    }

    /// Closes up to `count` idle connections, each the one of its upstream that has been idle for the longest.
    pub fn close_oldest_idle(&self, count: usize) {
        for _ in 0..count {
            if !self.close_any_idle() {
                return;
            }
        }
    }

    /// Closes expired idle connections at regular intervals; never returns.
    pub async fn close_expired_periodically(&self) {
        loop {
            sleep(IDLE_CHECK_INTERVAL).await;
            for upstream in self.upstreams.borrow().values() {
                upstream.idle.close_expired(self.max_idle);
            }
        }
    }

    /// Sets the time during which no attempt may be written; `None` for no pause.
    pub fn pause_sends(&self, pause: Option<Range<Instant>>) {
        self.send_pause.replace(pause);
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.send_pause
            .borrow()
            .as_ref()
            .is_some_and(|pause| pause.contains(&now))
    }

    /// Returns the total number of open connections to all upstreams.
    pub fn open_connections(&self) -> usize {
        self.connection_limit.open_count()
    }
}
