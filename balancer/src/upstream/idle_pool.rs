//! The pool of idle connections to one upstream.

use crate::connection::Connection;
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

/// The cooldown of a connection: the time after a response during which it carries no request. An upstream may send a
/// second response some milliseconds late, and HTTP/1.1 does not identify the request to which a response belongs.
const COOLDOWN: Duration = Duration::from_millis(30);

/// An idle connection in the pool.
struct IdleConnection {
    connection: Connection,
    /// When the connection was added to the pool.
    idle_since: Instant,
}

/// A connection taken from the pool, whose cooldown may not be over yet.
pub struct CoolingConnection {
    /// The connection, which must not carry a request before `usable_at`.
    pub connection: Connection,
    /// When the connection's cooldown ends; may be in the past.
    pub usable_at: Instant,
}

/// The idle connections to one upstream, in the order in which they became idle.
#[derive(Default)]
pub struct IdlePool(RefCell<Vec<IdleConnection>>);

impl IdlePool {
    /// Adds a connection that its attempt no longer uses.
    pub fn add(&self, connection: Connection) {
        self.0.borrow_mut().push(IdleConnection {
            connection,
            idle_since: Instant::now(),
        });
    }

    /// Takes the most recently used connection whose cooldown is over. If it has been idle for `max_idle` or longer, it
    /// is closed and the result is `None`.
    pub fn pop_usable(&self, max_idle: Duration) -> Option<Connection> {
        let mut pool = self.0.borrow_mut();
        let usable = pool
            .iter()
            .rposition(|idle| idle.idle_since.elapsed() >= COOLDOWN)?;
        let idle = pool.remove(usable);
        (idle.idle_since.elapsed() < max_idle).then_some(idle.connection)
    }

    /// Takes the connection that has been idle for the longest; `None` if the pool is empty.
    pub fn pop_oldest(&self) -> Option<CoolingConnection> {
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

    /// Removes and closes the connections that have ended or that have been idle for `max_idle` or longer.
    pub fn close_expired(&self, max_idle: Duration) {
        let is_unexpired = |idle: &IdleConnection| {
            !idle.connection.is_closed() && idle.idle_since.elapsed() < max_idle
        };
        self.0.borrow_mut().retain(is_unexpired);
    }

    /// Removes and closes all connections.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}
