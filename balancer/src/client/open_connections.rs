//! The open client connections, the limit on their number, and which of them are closed to admit others.
//!
//! A request on a connection that is not accepted in time is lost, and clients that send nothing, or only part of a
//! request, may hold as many connections as they like. The balancer therefore closes inactive connections before the
//! limit is reached, and it never lets a connection wait for long in the accept queue.

use super::connection::ClientConnection;
use crate::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::rate_limited_log::RateLimitedLog;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The fraction of the connection limit that is kept free for new connections by closing inactive ones.
const RESERVED_FRACTION: f64 = 0.125;
/// The interval at which a server at its connection limit closes further inactive connections, while a new connection
/// waits. It is shorter than the time in which a connection closes.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// The factor by which the number of connections to close grows with each search.
const SEARCH_GROWTH: usize = 2;

/// The open client connections.
pub(super) struct OpenConnections {
    limit: Rc<ConnectionLimit>,
    max_open: usize,
    /// The number of permits to keep free by closing inactive connections.
    reserved: usize,
    clients: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    limit_log: RateLimitedLog,
}

impl OpenConnections {
    /// Creates an empty set, with a limit of `max_open` connections.
    pub(super) fn new(max_open: usize) -> Self {
        Self {
            limit: ConnectionLimit::new(max_open),
            max_open,
            reserved: (max_open as f64 * RESERVED_FRACTION).ceil() as usize,
            clients: RefCell::default(),
            next_number: Cell::new(0),
            limit_log: RateLimitedLog::default(),
        }
    }

    /// Returns the number of open connections.
    pub(super) fn count(&self) -> usize {
        self.limit.open_count()
    }

    /// Waits for a permit for a new connection, and closes inactive connections if few permits are left. Returns `None`
    /// if no permit is available although `has_expired` returns true.
    pub(super) async fn admit(&self, has_expired: impl Fn() -> bool) -> Option<ConnectionPermit> {
        let mut wanted = self.reserved;
        loop {
            self.close_inactive(wanted);
            let max_wait = if has_expired() {
                Duration::ZERO
            } else {
                SEARCH_INTERVAL
            };
            let permit = self.limit.acquire(|| ());
            if let Ok(permit) = timeout(max_wait, permit).await {
                return Some(permit);
            }
            if has_expired() {
                return None;
            }
            wanted = wanted.saturating_mul(SEARCH_GROWTH).min(self.max_open);
        }
    }

    /// Adds a connection that has a permit, and returns its number.
    pub(super) fn add(&self, client: Rc<ClientConnection>) -> u64 {
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.clients.borrow_mut().insert(number, client);
        number
    }

    /// Removes a connection that is no longer served.
    pub(super) fn remove(&self, number: u64) {
        self.clients.borrow_mut().remove(&number);
    }

    /// Waits until all connections have been closed.
    pub(super) async fn all_closed(&self) {
        self.limit.all_released().await;
    }

    /// Closes inactive connections, beginning with the one that has been inactive for the longest, until `wanted` permits
    /// besides the one for a new connection are free or about to be released. A connection whose response is pending is
    /// never closed.
    fn close_inactive(&self, wanted: usize) {
        let open = self.count();
        let needed = (open + 1).saturating_add(wanted);
        if needed <= self.max_open {
            return;
        }
        let clients = self.clients.borrow();
        let about_to_close = clients.values().filter(|client| client.is_about_to_close());
        let excess = needed.saturating_sub(self.max_open + about_to_close.count());
        if excess == 0 {
            return;
        }
        let candidates = clients.values().filter(|client| client.may_be_closed());
        let mut inactive: Vec<_> = candidates
            .filter_map(|client| client.inactive_since().map(|since| (since, client)))
            .collect();
        inactive.sort_by_key(|(since, _)| *since);
        for (_, client) in inactive.iter().take(excess) {
            client.request_close();
        }
        let closing = excess.min(inactive.len());
        self.limit_log.warn(|suppressed| {
            tracing::warn!(
                suppressed,
                open,
                closing,
                "client connections near the limit"
            );
        });
    }
}
