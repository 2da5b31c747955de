//! The budget of the memory that peers can make the balancer hold.
//!
//! What a peer can make the balancer keep is reserved here before it is allocated: connections with their buffers, the
//! heads and bodies of requests, requests that wait behind another one on their connection, and responses until they
//! have been written. A reservation is released when it is dropped, so it is kept beside the memory that it stands for.
//! `docs/memory.md` lists what each state of a connection costs.
//!
//! When the budget is spent, whoever needs memory asks for a reclaim: client connections without a complete request are
//! then closed, the oldest request first. A use for which no memory becomes available in time is given up.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// The number of bytes in a megabyte of `limits.memory_mb`.
const MEGABYTE: f64 = 1e6;
/// The memory that is not available to peers: the program, its libraries, the decision module and the endpoint list.
const PROCESS_BYTES: usize = 7_000_000;
/// The fraction of the remaining memory that can be reserved. The allocator needs the rest, for the gaps between blocks
/// and for blocks that are briefly held twice while they grow.
const USABLE_FRACTION: f64 = 0.85;
/// The fraction of the descriptors that clients use for their requests. The budget guarantees memory for this number of
/// client connections.
const GUARANTEED_CLIENT_FRACTION: f64 = 1.0 / 3.0;
/// The fraction of the memory beside client connections that requests can use. The rest is for the exchanges with
/// upstreams, without which requests could not be completed and their memory would not be released.
const REQUEST_FRACTION: f64 = 0.75;
/// The interval at which a reservation that waits asks for a further reclaim.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(25);

/// The memory of a client connection without a request: the buffers and the state of its task.
pub const CLIENT_CONNECTION_BYTES: usize = 20 * 1024;
/// The memory of a connection to an upstream: the buffers and the state of its task.
pub const UPSTREAM_CONNECTION_BYTES: usize = 20 * 1024;

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// A client connection, whatever it is doing.
    ClientConnection,
    /// What a client has sent: a long head, a request, or what follows a request.
    Request,
    /// A connection to an upstream, or a response of an upstream.
    Exchange,
}

/// The budget. All connections of the process share it.
#[derive(Debug)]
pub struct MemoryBudget {
    total_bytes: usize,
    /// The memory that only client connections can use.
    guaranteed_client_bytes: usize,
    /// The reserved memory of client connections.
    client_bytes: AtomicUsize,
    /// The reserved memory of all other uses.
    shared_bytes: AtomicUsize,
    /// The memory for which a reclaim has been requested and has not begun.
    wanted_bytes: AtomicUsize,
    reclaim_requested: Notify,
    released: Notify,
}

/// Reserved memory, which is released when this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    memory_use: MemoryUse,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_mb` megabytes and `sockets` descriptors.
    pub fn for_process(memory_mb: f64, sockets: usize) -> Arc<Self> {
        let available = (memory_mb * MEGABYTE) as usize;
        let usable = available.saturating_sub(PROCESS_BYTES) as f64 * USABLE_FRACTION;
        let guaranteed_clients = (sockets as f64 * GUARANTEED_CLIENT_FRACTION).ceil() as usize;
        Self::new(usable as usize, guaranteed_clients)
    }

    /// Creates a budget of `total_bytes`, which guarantees memory for `guaranteed_clients` client connections. At most
    /// half of the budget is guaranteed.
    pub fn new(total_bytes: usize, guaranteed_clients: usize) -> Arc<Self> {
        let guaranteed = guaranteed_clients.saturating_mul(CLIENT_CONNECTION_BYTES);
        Arc::new(Self {
            total_bytes,
            guaranteed_client_bytes: guaranteed.min(total_bytes / 2),
            client_bytes: AtomicUsize::new(0),
            shared_bytes: AtomicUsize::new(0),
            wanted_bytes: AtomicUsize::new(0),
            reclaim_requested: Notify::new(),
            released: Notify::new(),
        })
    }

    /// Creates a budget that is never spent.
    pub fn unlimited() -> Arc<Self> {
        Self::new(usize::MAX / 2, 0)
    }

    /// Returns the number of reserved bytes.
    pub fn reserved_bytes(&self) -> usize {
        let client_bytes = self.client_bytes.load(Ordering::Relaxed);
        client_bytes.saturating_add(self.shared_bytes.load(Ordering::Relaxed))
    }

    /// Reserves memory if it is available.
    pub fn try_reserve(
        self: &Arc<Self>,
        memory_use: MemoryUse,
        bytes: usize,
    ) -> Option<MemoryReservation> {
        (bytes <= self.available_bytes(memory_use)).then(|| self.force_reserve(memory_use, bytes))
    }

    /// Reserves memory even if the budget is spent: for what the balancer cannot do without. Others then have less.
    pub fn force_reserve(
        self: &Arc<Self>,
        memory_use: MemoryUse,
        bytes: usize,
    ) -> MemoryReservation {
        self.counter(memory_use).fetch_add(bytes, Ordering::Relaxed);
        MemoryReservation {
            budget: Arc::clone(self),
            memory_use,
            bytes,
        }
    }

    /// Reserves memory, and requests reclaims while it is not available; `None` if it is not available by `until`.
    pub async fn reserve(
        self: &Arc<Self>,
        memory_use: MemoryUse,
        bytes: usize,
        until: Instant,
    ) -> Option<MemoryReservation> {
        if let Some(reservation) = self.try_reserve(memory_use, bytes) {
            return Some(reservation);
        }
        loop {
            let released = self.released.notified();
            if let Some(reservation) = self.try_reserve(memory_use, bytes) {
                return Some(reservation);
            }
            let now = Instant::now();
            if now >= until {
                return None;
            }
            self.request_reclaim(bytes);
            // After a timeout the loop asks for a further reclaim, or ends.
            let _ = timeout_at(until.min(now + RECLAIM_INTERVAL), released).await;
        }
    }

    /// Waits until a reclaim is requested, and returns the number of bytes that are wanted.
    pub async fn reclaim_requested(&self) -> usize {
        self.reclaim_requested.notified().await;
        self.wanted_bytes.swap(0, Ordering::Relaxed)
    }

    /// Requests that memory be reclaimed.
    pub fn request_reclaim(&self, bytes: usize) {
        self.wanted_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.reclaim_requested.notify_one();
    }

    /// Returns how many bytes can be reserved for a use now.
    fn available_bytes(&self, memory_use: MemoryUse) -> usize {
        let client_bytes = self.client_bytes.load(Ordering::Relaxed);
        let shared_bytes = self.shared_bytes.load(Ordering::Relaxed);
        let max_shared = self
            .total_bytes
            .saturating_sub(client_bytes.max(self.guaranteed_client_bytes));
        match memory_use {
            MemoryUse::ClientConnection => self
                .total_bytes
                .saturating_sub(client_bytes)
                .saturating_sub(shared_bytes),
            MemoryUse::Request => {
                let max_requests = (max_shared as f64 * REQUEST_FRACTION) as usize;
                max_requests.saturating_sub(shared_bytes)
            }
            MemoryUse::Exchange => max_shared.saturating_sub(shared_bytes),
        }
    }

    fn counter(&self, memory_use: MemoryUse) -> &AtomicUsize {
        match memory_use {
            MemoryUse::ClientConnection => &self.client_bytes,
            MemoryUse::Request | MemoryUse::Exchange => &self.shared_bytes,
        }
    }
}

impl MemoryReservation {
    /// Changes the size of the reservation, even if the budget is spent.
    pub fn resize(&mut self, bytes: usize) {
        let counter = self.budget.counter(self.memory_use);
        counter.fetch_add(bytes, Ordering::Relaxed);
        counter.fetch_sub(self.bytes, Ordering::Relaxed);
        let has_shrunk = bytes < self.bytes;
        self.bytes = bytes;
        if has_shrunk {
            self.budget.released.notify_waiters();
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
