//! The memory of message heads while they are received.
//!
//! The HTTP library keeps an incomplete head in the read buffer of its connection, which grows with the head. It also keeps
//! the write buffer and the table of headers of the last head that it has sent. Short heads fit into the memory that is
//! reserved for every connection; a longer one needs a reservation of its own.

use crate::memory_budget::{MemoryBudget, MemoryReservation, MemoryUse};
use hyper::header::HeaderMap;
use std::cell::{Cell, RefCell};
use std::sync::Arc;

/// The maximum length of a head that needs no reservation of its own.
pub const MAX_SHORT_HEAD_BYTES: usize = 8 * 1024;
/// The maximum number of headers of a head that needs no reservation of its own.
const MAX_SHORT_HEAD_FIELDS: usize = 32;
/// The memory of a longer head, at most four times the maximum length of a head: the read buffer, which doubles as it
/// grows, the write buffer of the connection on which the head is forwarded, and the parsed headers.
pub const LONG_HEAD_BYTES: usize = 128 * 1024;
/// The maximum number of bytes in one read of the HTTP library. Its read buffer starts with one more byte, and grows
/// only if a read fills it or if a message head needs more space.
pub const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Returns whether a head of this length and with these headers makes the buffers of a connection grow on which it is sent.
pub fn is_long_head(length: usize, headers: &HeaderMap) -> bool {
    length > MAX_SHORT_HEAD_BYTES || headers.len() > MAX_SHORT_HEAD_FIELDS
}

/// The memory of the head that a connection is receiving.
pub struct HeadMemory {
    budget: Arc<MemoryBudget>,
    memory_use: MemoryUse,
    /// The number of bytes received of the current head; `None` while no head is awaited.
    received_bytes: Cell<Option<usize>>,
    /// The reservation for a long head. It is kept until the connection closes, because the HTTP library keeps its
    /// buffers for as long.
    reservation: RefCell<Option<MemoryReservation>>,
    is_refused: Cell<bool>,
}

impl HeadMemory {
    /// Creates the memory of the heads on a connection that awaits none yet.
    pub fn new(budget: &Arc<MemoryBudget>, memory_use: MemoryUse) -> Self {
        Self {
            budget: Arc::clone(budget),
            memory_use,
            received_bytes: Cell::new(None),
            reservation: RefCell::default(),
            is_refused: Cell::new(false),
        }
    }

    /// Records that a head is awaited from now on.
    pub fn begin(&self) {
        self.received_bytes.set(Some(0));
    }

    /// Records that the head has been received completely.
    pub fn complete(&self) {
        self.received_bytes.set(None);
    }

    /// Records that bytes have been received. Returns `false` if they belong to a head that has become too long for the
    /// memory that is available.
    pub fn receive(&self, bytes: usize) -> bool {
        let Some(received) = self.received_bytes.get() else {
            return true;
        };
        self.received_bytes.set(Some(received + bytes));
        if received + bytes <= MAX_SHORT_HEAD_BYTES || self.is_long() {
            return true;
        }
        let reservation = self.budget.try_reserve(self.memory_use, LONG_HEAD_BYTES);
        self.is_refused.set(reservation.is_none());
        *self.reservation.borrow_mut() = reservation;
        if self.is_refused.get() {
            self.budget.request_reclaim(LONG_HEAD_BYTES);
        }
        !self.is_refused.get()
    }

    /// Records that a long head of this length is sent on the connection.
    pub fn send_long(&self, length: usize) {
        // The head is already in memory, so it is sent even if the budget is spent. The write buffer doubles as it grows.
        let reserve = || self.budget.force_reserve(self.memory_use, 2 * length);
        self.reservation.borrow_mut().get_or_insert_with(reserve);
    }

    /// Returns whether a long head has been received or sent on the connection, which must then be closed after the exchange.
    pub fn is_long(&self) -> bool {
        self.reservation.borrow().is_some()
    }

    /// Returns whether there was no memory for a head.
    pub fn is_refused(&self) -> bool {
        self.is_refused.get()
    }
}
