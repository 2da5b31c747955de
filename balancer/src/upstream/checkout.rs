//! The checkout of connections for attempts: an idle connection if there is one, otherwise a new connection.

use super::Upstreams;
use super::endpoint_state::Upstream;
use crate::connection::Connection;
use crate::error_origin::ErrorOrigin;
use crate::memory_budget::{MemoryReservation, MemoryUse, UPSTREAM_CONNECTION_BYTES};
use frostkeel_policy::Outcome;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The longest time for which an attempt waits for the memory of a new connection.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(100);

/// A connection in use by an attempt.
pub(super) struct CheckedOutConnection {
    pub(super) connection: Connection,
    /// Whether the connection has carried a request before.
    pub(super) is_reused: bool,
    /// When the upstream's process started, in Unix milliseconds, as listed at the time of the checkout.
    pub(super) boot_ms: u64,
}

impl Upstreams {
    /// Checks out an idle connection if there is one, otherwise a new connection. If neither is available by
    /// `expires_at`, the error is the attempt's outcome.
    pub(super) async fn check_out(
        &self,
        upstream: &Upstream,
        expires_at: Instant,
    ) -> Result<CheckedOutConnection, Outcome> {
        let boot_ms = upstream.boot_ms();
        if let Some(connection) = self.idle_connection(upstream, expires_at).await {
            return Ok(CheckedOutConnection {
                connection,
                is_reused: true,
                boot_ms,
            });
        }
        let connection = self.connect(upstream, expires_at).await?;
        Ok(CheckedOutConnection {
            connection,
            is_reused: false,
            boot_ms,
        })
    }

    /// Returns an idle connection that is still open. If the connection limit is reached, waits for the end of a
    /// connection's cooldown.
    async fn idle_connection(
        &self,
        upstream: &Upstream,
        expires_at: Instant,
    ) -> Option<Connection> {
        while let Some(mut connection) = upstream.idle.pop_usable(self.max_idle) {
            if is_usable(&mut connection, expires_at).await {
                return Some(connection);
            }
        }
        if !self.connection_limit.is_reached() {
            return None;
        }
        let mut oldest = upstream.idle.pop_oldest()?;
        sleep_until(oldest.usable_at.min(expires_at)).await;
        is_usable(&mut oldest.connection, expires_at)
            .await
            .then_some(oldest.connection)
    }

    /// Opens a new connection by `expires_at`; the error is the attempt's outcome.
    async fn connect(
        &self,
        upstream: &Upstream,
        expires_at: Instant,
    ) -> Result<Connection, Outcome> {
        let Some(address) = upstream.address() else {
            return Err(Outcome::NotSent);
        };
        // A timeout beyond the range of the clock never applies.
        let times_out_at = Instant::now().checked_add(self.connect_timeout);
        let deadline = times_out_at.map_or(expires_at, |at| at.min(expires_at));
        // A permit that is not available in time is due to the connection limit, not to a fault of the upstream.
        let permit = self.connection_limit.acquire(|| {
            self.close_any_idle();
        });
        let Ok(permit) = timeout_at(deadline, permit).await else {
            return Err(Outcome::NotSent);
        };
        let Some(reservation) = self.reserve_connection(deadline).await else {
            return Err(Outcome::NotSent);
        };
        let opened = Connection::open_within(address, (permit, reservation), &self.memory);
        match timeout_at(deadline, opened).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => {
                let origin = ErrorOrigin::of(&error);
                tracing::debug!(%address, ?origin, %error, "connect failed");
                Err(match origin {
                    ErrorOrigin::Peer => Outcome::ConnectFailed,
                    ErrorOrigin::Local | ErrorOrigin::Transient => Outcome::NotSent,
                })
            }
            Err(_) if deadline == expires_at => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Closes one idle connection to any upstream; `false` if there is none.
    pub(super) fn close_any_idle(&self) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams
            .values()
            .any(|upstream| upstream.idle.pop_oldest().is_some())
    }

    /// Reserves the memory of a new connection, which may take until `deadline`. Idle connections are closed for it.
    async fn reserve_connection(&self, deadline: Instant) -> Option<MemoryReservation> {
        let (memory_use, bytes) = (MemoryUse::Exchange, UPSTREAM_CONNECTION_BYTES);
        while self.memory.try_reserve(memory_use, bytes).is_none() && self.close_any_idle() {}
        let until = deadline.min(Instant::now() + MAX_MEMORY_WAIT);
        self.memory.reserve(memory_use, bytes, until).await
    }
}

/// Waits until a connection is ready for a request; `false` if it is closed or is not ready by `expires_at`.
async fn is_usable(connection: &mut Connection, expires_at: Instant) -> bool {
    timeout_at(expires_at, connection.is_usable()).await == Ok(true)
}
