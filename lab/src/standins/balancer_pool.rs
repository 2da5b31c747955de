//! The clients' view of the balancers: their addresses, and a pool of idle connections to them.

use crate::sync::lock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// A client's connection to a balancer.
pub type ClientConnection = SendRequest<Full<Bytes>>;

/// A balancer to which clients can send requests.
#[derive(Clone, Copy, Debug)]
pub struct Destination {
    /// Number of the balancer.
    pub balancer: u32,
    /// Address on which the balancer accepts client connections.
    pub address: SocketAddr,
}

#[derive(Default)]
struct PoolEntry {
    /// Address that clients use; `None` if they send the balancer no requests. A dead balancer
    /// keeps its address until clients have noticed its failure.
    address: Option<SocketAddr>,
    idle: Vec<ClientConnection>,
    response_count: u64,
}

/// A pool of the clients' connections to the balancers; it also chooses the balancer for each
/// attempt.
pub struct BalancerPool {
    entries: Vec<Mutex<PoolEntry>>,
}

impl BalancerPool {
    /// Creates a pool for `balancers` balancers, none of which has an address yet.
    pub fn new(balancers: u32) -> Self {
        Self {
            entries: (0..balancers).map(|_| Mutex::default()).collect(),
        }
    }

    fn entry(&self, balancer: u32) -> Option<MutexGuard<'_, PoolEntry>> {
        let entry = self.entries.get(balancer as usize)?;
        Some(lock(entry))
    }

    /// Sets a balancer's address; with `None`, clients stop sending to it. Closes its idle
    /// connections if the address changes.
    pub fn set_address(&self, balancer: u32, address: Option<SocketAddr>) {
        if let Some(mut entry) = self.entry(balancer)
            && entry.address != address
        {
            entry.address = address;
            entry.idle.clear();
        }
    }

    /// Removes a balancer's address if it is still `address`. The address of a balancer that has
    /// been restarted in the meantime stays, because it differs from `address`.
    pub fn remove_address(&self, balancer: u32, address: Option<SocketAddr>) {
        if self.address(balancer) == address {
            self.set_address(balancer, None);
        }
    }

    /// Returns the address that clients use for a balancer; `None` if they do not send to it.
    pub fn address(&self, balancer: u32) -> Option<SocketAddr> {
        self.entry(balancer)?.address
    }

    /// Returns the number of responses that clients have received from a balancer.
    pub fn response_count(&self, balancer: u32) -> u64 {
        self.entry(balancer).map_or(0, |entry| entry.response_count)
    }

    /// Chooses the balancer at index `random` modulo the number of balancers, or the next one that
    /// has an address; returns `None` if none has.
    pub(super) fn choose(&self, random: u64) -> Option<Destination> {
        let count = self.entries.len() as u64;
        (0..count)
            .map(|offset| (random.wrapping_add(offset) % count) as u32)
            .find_map(|balancer| {
                Some(Destination {
                    balancer,
                    address: self.address(balancer)?,
                })
            })
    }

    /// Takes an idle connection to a balancer out of the pool; returns `None` if there is none.
    pub(super) fn take_idle(&self, to: Destination) -> Option<ClientConnection> {
        let mut entry = self.entry(to.balancer)?;
        if entry.address != Some(to.address) {
            return None;
        }
        while let Some(connection) = entry.idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Counts a response, and returns the connection that carried it to the pool unless the
    /// balancer's address has changed.
    pub(super) fn return_idle(&self, to: Destination, connection: ClientConnection) {
        if let Some(mut entry) = self.entry(to.balancer) {
            entry.response_count += 1;
            if entry.address == Some(to.address) {
                entry.idle.push(connection);
            }
        }
    }
}
