//! One upstream: what the endpoint list says of it, and its idle connections.

use super::checkout::CheckedOutConnection;
use super::idle_pool::IdlePool;
use frostkeel_policy::Availability;
use std::cell::Cell;
use std::net::SocketAddr;

/// What the endpoint list says of an upstream, as far as connections go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointState {
    /// Where it listens; `None` if the list does not say so in a readable way.
    pub address: Option<SocketAddr>,
    /// Whether it takes requests.
    pub availability: Availability,
    /// When its process last started, in Unix milliseconds by the list.
    pub boot_ms: u64,
}

/// One upstream. Attempts that wait for a connection hold it, and look at its state before they write.
pub(super) struct Upstream {
    state: Cell<EndpointState>,
    pub(super) idle: IdlePool,
}

impl Upstream {
    /// An upstream that takes no requests before a state is applied.
    pub(super) fn new(boot_ms: u64) -> Self {
        let state = EndpointState {
            address: None,
            availability: Availability::Draining,
            boot_ms,
        };
        Self {
            state: Cell::new(state),
            idle: IdlePool::default(),
        }
    }

    /// Applies a listed state; an address that is not stated stays as it was. Returns whether the upstream has become
    /// ready, or is ready no more.
    pub(super) fn apply(&self, listed: &EndpointState) -> bool {
        let before = self.state.get();
        let now = EndpointState {
            address: listed.address.or(before.address),
            ..*listed
        };
        self.state.set(now);
        // Connections to a process that has ended, or that takes no more requests, are of no use.
        let restarted = now.boot_ms != before.boot_ms;
        if restarted || now.address != before.address || !self.is_ready() {
            self.idle.clear();
        }
        (before.availability == Availability::Ready) != self.is_ready()
    }

    /// Sends nothing new there any more.
    pub(super) fn retire(&self) {
        self.state.set(EndpointState {
            availability: Availability::Removed,
            ..self.state.get()
        });
        self.idle.clear();
    }

    /// Whether it takes requests.
    pub(super) fn is_ready(&self) -> bool {
        self.state.get().availability == Availability::Ready
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.state.get().address
    }

    pub(super) fn boot_ms(&self) -> u64 {
        self.state.get().boot_ms
    }

    /// Keeps a connection for reuse if it still leads to the listed process, and that takes requests.
    pub(super) fn check_in(&self, checked_out: CheckedOutConnection) {
        let CheckedOutConnection {
            connection,
            boot_ms,
            ..
        } = checked_out;
        let same_process = self.boot_ms() == boot_ms && self.address() == Some(connection.peer());
        if self.is_ready() && same_process && !connection.is_closed() {
            self.idle.put(connection);
        }
    }
}
