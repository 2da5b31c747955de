//! The balancers as clients reach them: their addresses, and idle connections to them.

use crate::sync::lock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// A client's connection to a balancer.
pub type ClientConnection = SendRequest<Full<Bytes>>;

/// A balancer that clients can send to.
#[derive(Clone, Copy, Debug)]
pub struct Destination {
    /// Its number.
    pub balancer: u32,
    /// Its address.
    pub address: SocketAddr,
}

#[derive(Default)]
struct PoolEntry {
    /// Its address, as far as clients know: a dead balancer is still sent to for a while.
    address: Option<SocketAddr>,
    idle: Vec<ClientConnection>,
    response_count: u64,
}

/// Distributes clients' requests among the balancers, and pools the connections to them.
pub struct BalancerPool {
    entries: Vec<Mutex<PoolEntry>>,
}

impl BalancerPool {
    /// A pool of so many balancers, none of which has an address yet.
    pub fn new(balancers: u32) -> Self {
        Self {
            entries: (0..balancers).map(|_| Mutex::default()).collect(),
        }
    }

    fn entry(&self, balancer: u32) -> Option<MutexGuard<'_, PoolEntry>> {
        let entry = self.entries.get(balancer as usize)?;
        Some(lock(entry))
    }

    /// Sets a balancer's address; with `None` it is not sent to any more.
    pub fn set_address(&self, balancer: u32, address: Option<SocketAddr>) {
        if let Some(mut entry) = self.entry(balancer)
            && entry.address != address
        {
            entry.address = address;
            entry.idle.clear();
        }
    }

    /// Removes a balancer, unless it has another address by now.
    pub fn remove_address(&self, balancer: u32, address: Option<SocketAddr>) {
        if self.address(balancer) == address {
            self.set_address(balancer, None);
        }
    }

    /// A balancer's address.
    pub fn address(&self, balancer: u32) -> Option<SocketAddr> {
        self.entry(balancer)?.address
    }

    /// How many responses clients have had from a balancer.
    pub fn response_count(&self, balancer: u32) -> u64 {
        self.entry(balancer).map_or(0, |entry| entry.response_count)
    }

    /// The balancer that a random number falls on, or the next one that has an address.
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

    /// An idle connection to a balancer.
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

    /// Returns a connection to the pool after a response.
    pub(super) fn return_idle(&self, to: Destination, connection: ClientConnection) {
        if let Some(mut entry) = self.entry(to.balancer) {
            entry.response_count += 1;
            if entry.address == Some(to.address) {
                entry.idle.push(connection);
            }
        }
    }
}
