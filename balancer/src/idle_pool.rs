//! Connections to upstreams that are kept for reuse, and the bound on all that are open.

use crate::connection::Connection;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a connection rests after an answer before it carries another request: an upstream may send a second
/// answer some milliseconds late, and nothing on the wire tells whose it is.
const REST: Duration = Duration::from_millis(30);

/// The idle connections to one upstream.
#[derive(Default)]
pub struct IdlePool {
    /// The most recently used last, and since when each is idle.
    idle: RefCell<Vec<(Connection, Instant)>>,
}

impl IdlePool {
    /// Keeps a connection that is between requests.
    pub fn put(&self, connection: Connection) {
        self.idle.borrow_mut().push((connection, Instant::now()));
    }

    /// The most recently used of those that have rested, unless it has been idle for `idle_most` or longer.
    pub fn take_rested(&self, idle_most: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let rested = idle
            .iter()
            .rposition(|(_, since)| since.elapsed() >= REST)?;
        let (connection, since) = idle.remove(rested);
        (since.elapsed() < idle_most).then_some(connection)
    }

    /// The one that has rested for the longest, and when it may be used.
    pub fn take_oldest(&self) -> Option<(Connection, Instant)> {
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return None;
        }
        let (connection, since) = idle.remove(0);
        Some((connection, since + REST))
    }

    /// Closes those that have ended, or have been idle for `idle_most` or longer.
    pub fn sweep(&self, idle_most: Duration) {
        self.idle
            .borrow_mut()
            .retain(|(connection, since)| !connection.is_closed() && since.elapsed() < idle_most);
    }

    /// Closes all.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// The bound on connections open to all upstreams together.
pub struct ConnectionLimit {
    most: usize,
    open: Cell<usize>,
    freed: Notify,
}

/// A permit for one of them, given back when its descriptor is closed.
pub struct ConnectionPermit(Rc<ConnectionLimit>);

impl ConnectionLimit {
    /// At most `most` at a time.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self {
            most,
            open: Cell::new(0),
            freed: Notify::new(),
        })
    }

    /// Connections open now.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether no further one may be opened now.
    pub fn is_full(&self) -> bool {
        self.open.get() >= self.most
    }

    /// A permit for one more, as soon as there is one; `make_room` is asked to close an idle one until then.
    pub async fn permit(self: &Rc<Self>, make_room: impl Fn()) -> ConnectionPermit {
        while self.is_full() {
            make_room();
            self.freed.notified().await;
        }
        self.open.set(self.open.get() + 1);
        ConnectionPermit(Rc::clone(self))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.freed.notify_one();
    }
}
