//! The upstreams: their addresses and connections, attempts and health checks.

mod attempt;
mod checkout;
mod connection_limit;
mod endpoint_state;
mod exchange;
mod health_check;
mod idle_pool;

pub use attempt::{AttemptResult, AttemptState, UpstreamResponse};
pub use endpoint_state::EndpointState;
pub use exchange::ForwardedRequest;

use crate::rate_limited_log::RateLimitedLog;
use connection_limit::ConnectionLimit;
use endpoint_state::Upstream;
use frostkeel_policy::{Availability, LoadField, LoadReports, Settings, UpstreamId};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Fraction of the upstreams' idle timeout after which a connection is closed or no longer reused. A request sent
/// while the upstream closes the connection ends as a reset; if it is not idempotent, it cannot be retried.
const MAX_IDLE_SHARE: f64 = 0.8;
/// How often idle connections are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// All listed upstreams.
pub struct Upstreams {
    upstreams: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    connection_limit: Rc<ConnectionLimit>,
    connect_timeout: Duration,
    max_idle: Duration,
    load_reports: LoadReports,
    report_fields: Vec<LoadField>,
    /// When sends are paused because the endpoint list may be stale.
    send_pause: RefCell<Option<Range<Instant>>>,
    report_log: RateLimitedLog,
    response_log: RateLimitedLog,
}

impl Upstreams {
    /// Creates an empty set of upstreams; at most `max_connections` to them are open in total.
    pub fn new(settings: &Settings, max_connections: usize) -> Self {
        Self {
            upstreams: RefCell::default(),
            connection_limit: ConnectionLimit::new(max_connections),
            connect_timeout: settings.connect_timeout,
            max_idle: settings.connection_idle_timeout.mul_f64(MAX_IDLE_SHARE),
            load_reports: settings.load_reports,
            report_fields: settings.report_fields.clone(),
            send_pause: RefCell::default(),
            report_log: RateLimitedLog::default(),
            response_log: RateLimitedLog::default(),
        }
    }

    /// Applies the listed state of one upstream.
    pub fn apply_endpoint(&self, id: UpstreamId, listed: &EndpointState) {
        let mut upstreams = self.upstreams.borrow_mut();
        if listed.availability == Availability::Removed {
            if let Some(upstream) = upstreams.remove(&id) {
                tracing::debug!(
                    upstream = id.0,
                    reason = "listed-as-removed",
                    "upstream removed"
                );
                upstream.retire();
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
                upstream.retire();
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

    /// Closes connections that have been idle for too long, until the task is aborted.
    pub async fn close_expired_periodically(&self) {
        loop {
            sleep(IDLE_CHECK_INTERVAL).await;
            for upstream in self.upstreams.borrow().values() {
                upstream.idle.close_expired(self.max_idle);
            }
        }
    }

    /// Sets when attempts must not be written.
    pub fn pause_sends(&self, pause: Option<Range<Instant>>) {
        self.send_pause.replace(pause);
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.send_pause
            .borrow()
            .as_ref()
            .is_some_and(|pause| pause.contains(&now))
    }

    /// The number of open connections to all upstreams.
    pub fn open_connections(&self) -> usize {
        self.connection_limit.open_count()
    }
}
