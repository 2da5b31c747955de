//! The state of one upstream: its entry in the endpoint list and its idle connections.

use super::checkout::CheckedOutConnection;
use super::idle_pool::IdlePool;
use frostkeel_policy::Availability;
use std::cell::Cell;
use std::net::SocketAddr;

/// The part of an upstream's entry in the endpoint list that matters for connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointState {
    /// The address on which the upstream listens; `None` if the entry has no readable address.
    pub address: Option<SocketAddr>,
    /// Whether the upstream accepts requests.
    pub availability: Availability,
    /// When the upstream's process last started, in Unix milliseconds, as listed; 0 if that is not listed.
    pub boot_ms: u64,
}

/// One upstream. It is shared with the attempts that wait for a connection, which check its state before they write.
pub(super) struct Upstream {
    state: Cell<EndpointState>,
    pub(super) idle: IdlePool,
}

impl Upstream {
    /// Creates an upstream that is treated as draining until a listed state is applied.
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

    /// Applies a listed state; a missing address leaves the current address unchanged. Returns whether the upstream
    /// became ready or stopped being ready.
    pub(super) fn apply(&self, listed: &EndpointState) -> bool {
        let previous = self.state.get();
        let current = EndpointState {
            address: listed.address.or(previous.address),
            ..*listed
        };
        self.state.set(current);
        // Idle connections to a process that has ended or no longer accepts requests cannot be reused.
        let has_restarted = current.boot_ms != previous.boot_ms;
        if has_restarted || current.address != previous.address || !self.is_ready() {
            self.idle.clear();
        }
        (previous.availability == Availability::Ready) != self.is_ready()
    }

    /// Marks the upstream as removed, so that waiting attempts are not sent, and closes its idle connections.
    pub(super) fn mark_removed(&self) {
        self.state.set(EndpointState {
            availability: Availability::Removed,
            ..self.state.get()
        });
        self.idle.clear();
    }

    /// Returns whether the upstream accepts requests.
    pub(super) fn is_ready(&self) -> bool {
        self.state.get().availability == Availability::Ready
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.state.get().address
    }

    pub(super) fn boot_ms(&self) -> u64 {
        self.state.get().boot_ms
    }

    /// Returns a connection to the idle pool if it is open, leads to the currently listed process, and the upstream
    /// accepts requests; closes it otherwise.
    pub(super) fn check_in(&self, checked_out: CheckedOutConnection) {
        let CheckedOutConnection {
            connection,
            boot_ms,
            ..
        } = checked_out;
        let same_process = self.boot_ms() == boot_ms && self.address() == Some(connection.peer());
        let is_reusable = !connection.is_closed() && !connection.has_grown();
        if self.is_ready() && same_process && is_reusable {
            self.idle.add(connection);
        }
    }
}
