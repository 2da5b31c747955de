//! One upstream: its listed state and its idle connections.

use super::checkout::CheckedOutConnection;
use super::idle_pool::IdlePool;
use frostkeel_policy::Availability;
use std::cell::Cell;
use std::net::SocketAddr;

/// The listed state of an upstream, as far as it matters for connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointState {
    /// The address on which it listens; `None` if the entry has no readable address.
    pub address: Option<SocketAddr>,
    /// Whether it accepts requests.
    pub availability: Availability,
    /// When its process last started, in Unix milliseconds, as listed.
    pub boot_ms: u64,
}

/// One upstream. Attempts that wait for a connection share it, and check its state before they write.
pub(super) struct Upstream {
    state: Cell<EndpointState>,
    pub(super) idle: IdlePool,
}

impl Upstream {
    /// Creates an upstream that accepts no requests until a state is applied.
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

    /// Applies a listed state; a missing address leaves the current one unchanged. Returns whether the upstream became
    /// ready, or stopped being ready.
    pub(super) fn apply(&self, listed: &EndpointState) -> bool {
        let previous = self.state.get();
        let current = EndpointState {
            address: listed.address.or(previous.address),
            ..*listed
        };
        self.state.set(current);
        // Connections to a process that has ended, or no longer accepts requests, are useless.
        let has_restarted = current.boot_ms != previous.boot_ms;
        if has_restarted || current.address != previous.address || !self.is_ready() {
            self.idle.clear();
        }
        (previous.availability == Availability::Ready) != self.is_ready()
    }

    /// Marks the upstream as removed: nothing new is sent to it.
    pub(super) fn retire(&self) {
        self.state.set(EndpointState {
            availability: Availability::Removed,
            ..self.state.get()
        });
        self.idle.clear();
    }

    /// Whether it accepts requests.
    pub(super) fn is_ready(&self) -> bool {
        self.state.get().availability == Availability::Ready
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.state.get().address
    }

    pub(super) fn boot_ms(&self) -> u64 {
        self.state.get().boot_ms
    }

    /// Keeps a connection for reuse if it leads to the currently listed process, and that accepts requests.
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
