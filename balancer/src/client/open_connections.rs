//! The open client connections, the limit on their number, and which of them are closed to admit others.
//!
//! A request on a connection that is not accepted in time is lost, and clients that send nothing, or only part of a
//! request, may hold as many connections as they like. The balancer therefore closes inactive connections before the
//! limit is reached, and it never lets a connection wait for long in the accept queue.

use super::connection::ClientConnection;
use crate::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::memory_budget::{CLIENT_CONNECTION_BYTES, MemoryBudget, MemoryReservation, MemoryUse};
use crate::rate_limited_log::RateLimitedLog;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The fraction of the connection limit that is kept free for new connections by closing inactive ones.
const RESERVED_FRACTION: f64 = 0.125;
/// The interval at which a server at its connection limit closes further inactive connections, while a new connection
/// waits. It is shorter than the time in which a connection closes.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// The factor by which the number of connections to close grows with each search.
const SEARCH_GROWTH: usize = 2;

/// The memory that is expected to be released when a connection without a complete request is closed: that of a long
/// body and its headers.
const REQUEST_BODY_BYTES: usize = 64 * 1024;
/// The memory of a connection on which no request is read.
const REJECTED_CONNECTION_BYTES: usize = 4 * 1024;
/// The time for which a client may send nothing of an incomplete request, and the time that the request may take in
/// total, until its connection can be closed to reclaim memory.
const MIN_REQUEST_STALL: Duration = Duration::from_millis(100);
const MIN_REQUEST_TIME: Duration = Duration::from_millis(250);
/// The time for which a connection may have no request until it can be closed to reclaim memory. Closed earlier, it could
/// cross the next request of its client too often.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// The time for which a client may read nothing of its response until the connection can be closed to reclaim memory.
const MIN_RECLAIM_STALL: Duration = Duration::from_secs(1);

/// The permit and the memory of one open connection.
pub(super) struct AdmissionPermit {
    _connection: ConnectionPermit,
    _memory: MemoryReservation,
}

/// Whether a new connection can be served.
pub(super) enum Admission {
    Admitted(AdmissionPermit),
    /// The connection has its permit, but there is no memory to read a request on it.
    NoMemory(AdmissionPermit),
    /// The limit on connections is reached.
    NoPermit,
}

/// The open client connections.
pub(super) struct OpenConnections {
    limit: Rc<ConnectionLimit>,
    max_open: usize,
    /// The number of permits to keep free by closing inactive connections.
    reserved: usize,
    clients: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    memory: Arc<MemoryBudget>,
    limit_log: RateLimitedLog,
    memory_log: RateLimitedLog,
}

impl OpenConnections {
    /// Creates an empty set, with a limit of `max_open` connections, whose memory is reserved in `memory`.
    pub(super) fn new(max_open: usize, memory: &Arc<MemoryBudget>) -> Self {
        Self {
            limit: ConnectionLimit::new(max_open),
            max_open,
            reserved: (max_open as f64 * RESERVED_FRACTION).ceil() as usize,
            clients: RefCell::default(),
            next_number: Cell::new(0),
            memory: Arc::clone(memory),
            limit_log: RateLimitedLog::default(),
            memory_log: RateLimitedLog::default(),
        }
    }

    /// Returns the number of open connections.
    pub(super) fn count(&self) -> usize {
        self.limit.open_count()
    }

    /// Waits for a permit and the memory for a new connection, until `has_expired` returns true, and closes inactive
    /// connections if few permits are left.
    pub(super) async fn admit(&self, has_expired: impl Fn() -> bool) -> Admission {
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
                return self.admit_with_permit(permit, has_expired).await;
            }
            if has_expired() {
                return Admission::NoPermit;
            }
            wanted = wanted.saturating_mul(SEARCH_GROWTH).min(self.max_open);
        }
    }

    /// Waits for the memory of a connection that has its permit, until `has_expired` returns true.
    async fn admit_with_permit(
        &self,
        connection: ConnectionPermit,
        has_expired: impl Fn() -> bool,
    ) -> Admission {
        let memory_use = MemoryUse::ClientConnection;
        loop {
            let max_wait = if has_expired() {
                Duration::ZERO
            } else {
                SEARCH_INTERVAL
            };
            let until = Instant::now() + max_wait;
            let reserved = self
                .memory
                .reserve(memory_use, CLIENT_CONNECTION_BYTES, until);
            if let Some(memory) = reserved.await {
                return Admission::Admitted(AdmissionPermit {
                    _connection: connection,
                    _memory: memory,
                });
            }
            if has_expired() {
                return Admission::NoMemory(AdmissionPermit {
                    _connection: connection,
                    _memory: self
                        .memory
                        .force_reserve(memory_use, REJECTED_CONNECTION_BYTES),
                });
            }
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

    /// Closes connections until `wanted` bytes of memory are expected to be released: first those in the middle of a
    /// request, beginning with the one whose request began first; then idle ones; then those whose clients do not read
    /// their responses. Returns how many bytes are still missing.
    pub(super) fn reclaim_memory(&self, wanted: usize) -> usize {
        let clients = self.clients.borrow();
        let is_closing = |client: &&Rc<ClientConnection>| client.is_about_to_close();
        let expected: usize = clients.values().filter(is_closing).map(held_bytes).sum();
        let mut missing = wanted.saturating_sub(expected);
        if missing == 0 {
            return 0;
        }
        let mut closing = 0;
        let mut count = |client: &Rc<ClientConnection>| {
            missing = missing.saturating_sub(held_bytes(client));
            closing += 1;
            missing > 0
        };
        let mut closable: Vec<_> = clients
            .values()
            .filter(|client| client.may_be_closed() && is_reclaimable(client))
            .collect();
        closable.sort_by_key(|client| {
            let incomplete_since = client.incomplete_since();
            let since = incomplete_since.or(client.idle_since());
            (incomplete_since.is_none(), since)
        });
        let is_wanted = closable.into_iter().all(|client| {
            client.request_close();
            count(client)
        });
        let is_stalled = |client: &&Rc<ClientConnection>| {
            client.write_blocked_for() >= MIN_RECLAIM_STALL && !client.is_aborted()
        };
        let mut stalled = clients.values().filter(is_stalled);
        while is_wanted && let Some(client) = stalled.next() {
            client.abort();
            if !count(client) {
                break;
            }
        }
        let reserved = self.memory.reserved_bytes();
        self.memory_log.warn(|suppressed| {
            tracing::warn!(suppressed, reserved, closing, "memory budget spent");
        });
        missing
    }
}

/// Returns whether a connection can be closed to reclaim memory: no response is pending, and if a request is incomplete,
/// its client has been given time to send it. Requests that arrive at full speed are not closed, since then none of many
/// would ever be complete.
fn is_reclaimable(client: &ClientConnection) -> bool {
    let Some(inactive_since) = client.inactive_since() else {
        return false;
    };
    match client.incomplete_since() {
        Some(since) => {
            inactive_since.elapsed() >= MIN_REQUEST_STALL || since.elapsed() >= MIN_REQUEST_TIME
        }
        None => inactive_since.elapsed() >= MIN_IDLE_TIME,
    }
}

/// Returns the memory that is expected to be released when a connection is closed.
fn held_bytes(client: &Rc<ClientConnection>) -> usize {
    let request_bytes =
        if client.incomplete_since().is_some() || client.write_blocked_for() > Duration::ZERO {
            REQUEST_BODY_BYTES
        } else {
            0
        };
    CLIENT_CONNECTION_BYTES + request_bytes
}
