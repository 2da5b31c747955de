//! The pool of idle connections to one upstream.

use crate::connection::Connection;
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

/// The cooldown of a connection after a response: an upstream may send a second response some milliseconds late, and
/// HTTP/1.1 does not identify the request to which a response belongs.
const COOLDOWN: Duration = Duration::from_millis(30);

/// An idle connection.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// A connection that is usable once its cooldown is over.
pub struct CoolingConnection {
    /// The idle connection.
    pub connection: Connection,
    /// When its cooldown ends.
    pub usable_at: Instant,
}

/// The idle connections to one upstream, the most recently used last.
#[derive(Default)]
pub struct IdlePool(RefCell<Vec<IdleConnection>>);

impl IdlePool {
    /// Adds a connection that has completed a request.
    pub fn put(&self, connection: Connection) {
        self.0.borrow_mut().push(IdleConnection {
            connection,
            idle_since: Instant::now(),
        });
    }

    /// Takes the most recently used connection whose cooldown is over, unless it has been idle for `max_idle` or
    /// longer.
    pub fn take_usable(&self, max_idle: Duration) -> Option<Connection> {
        let mut pool = self.0.borrow_mut();
        let usable = pool
            .iter()
            .rposition(|idle| idle.idle_since.elapsed() >= COOLDOWN)?;
        let idle = pool.remove(usable);
        (idle.idle_since.elapsed() < max_idle).then_some(idle.connection)
    }

    /// Takes the connection that has been idle for the longest.
    pub fn take_oldest(&self) -> Option<CoolingConnection> {
        let mut pool = self.0.borrow_mut();
        if pool.is_empty() {
            return None;
        }
        let oldest = pool.remove(0);
        Some(CoolingConnection {
            connection: oldest.connection,
            usable_at: oldest.idle_since + COOLDOWN,
        })
    }

    /// Closes the connections that have ended, or have been idle for `max_idle` or longer.
    pub fn close_expired(&self, max_idle: Duration) {
        let in_use = |idle: &IdleConnection| {
            !idle.connection.is_closed() && idle.idle_since.elapsed() < max_idle
        };
        self.0.borrow_mut().retain(in_use);
    }

    /// Closes all connections.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}
