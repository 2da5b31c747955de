//! Limits on the number of open connections: of those to all upstreams, and of those to clients.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A limit on open connections, which counts the permits that are in use.
pub struct ConnectionLimit {
    max_open: usize,
    open_count: Cell<usize>,
    /// Notified when a permit is released.
    released: Notify,
}

/// A permit for one connection. The connection owns it until its descriptor is closed; dropping it releases it.
pub struct ConnectionPermit(Rc<ConnectionLimit>);

impl ConnectionLimit {
    /// Creates a limit of `max_open` connections at a time.
    pub fn new(max_open: usize) -> Rc<Self> {
        Rc::new(Self {
            max_open,
            open_count: Cell::new(0),
            released: Notify::new(),
        })
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Returns whether the limit is reached.
    pub fn is_reached(&self) -> bool {
        self.open_count.get() >= self.max_open
    }

    /// Waits for a permit. Whenever none is available, calls `close_idle` to close an idle connection.
    pub async fn acquire(self: &Rc<Self>, close_idle: impl Fn()) -> ConnectionPermit {
        while self.is_reached() {
            close_idle();
            self.released.notified().await;
        }
        self.open_count.set(self.open_count.get() + 1);
        ConnectionPermit(Rc::clone(self))
    }

    /// Waits until no permit is in use.
    pub async fn all_released(&self) {
        while self.open_count.get() > 0 {
            self.released.notified().await;
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open_count.set(self.0.open_count.get() - 1);
        self.0.released.notify_one();
    }
}
