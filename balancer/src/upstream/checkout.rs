//! Connection checkout for attempts: an idle connection, or else a new one.

use super::Upstreams;
use super::endpoint_state::Upstream;
use crate::connection::Connection;
use crate::error_origin::ErrorOrigin;
use frostkeel_policy::Outcome;
use tokio::time::{Instant, sleep_until, timeout_at};

/// A connection in use by an attempt.
pub(super) struct CheckedOutConnection {
    pub(super) connection: Connection,
    /// Whether it has carried a request before.
    pub(super) is_reused: bool,
    /// When the upstream's process started, as listed at checkout.
    pub(super) boot_ms: u64,
}

impl Upstreams {
    /// Checks out an idle connection, or else a new one; the error is the attempt's outcome.
    pub(super) async fn check_out(
        &self,
        upstream: &Upstream,
        give_up_at: Instant,
    ) -> Result<CheckedOutConnection, Outcome> {
        let boot_ms = upstream.boot_ms();
        if let Some(connection) = self.idle_connection(upstream, give_up_at).await {
            return Ok(CheckedOutConnection {
                connection,
                is_reused: true,
                boot_ms,
            });
        }
        let connection = self.connect(upstream, give_up_at).await?;
        Ok(CheckedOutConnection {
            connection,
            is_reused: false,
            boot_ms,
        })
    }

    /// An idle connection that is still open. At the connection limit, one in its cooldown is awaited.
    async fn idle_connection(
        &self,
        upstream: &Upstream,
        give_up_at: Instant,
    ) -> Option<Connection> {
        while let Some(mut connection) = upstream.idle.take_usable(self.max_idle) {
            if is_usable(&mut connection, give_up_at).await {
                return Some(connection);
            }
        }
        if !self.connection_limit.is_reached() {
            return None;
        }
        let mut oldest = upstream.idle.take_oldest()?;
        sleep_until(oldest.usable_at.min(give_up_at)).await;
        is_usable(&mut oldest.connection, give_up_at)
            .await
            .then_some(oldest.connection)
    }

    async fn connect(
        &self,
        upstream: &Upstream,
        give_up_at: Instant,
    ) -> Result<Connection, Outcome> {
        let Some(address) = upstream.address() else {
            return Err(Outcome::NotSent);
        };
        let deadline = give_up_at.min(Instant::now() + self.connect_timeout);
        // A shortage of descriptors or time on this machine is no evidence of a fault of the upstream.
        let permit = self.connection_limit.acquire(|| self.close_any_idle());
        let Ok(permit) = timeout_at(deadline, permit).await else {
            return Err(Outcome::NotSent);
        };
        match timeout_at(deadline, Connection::open(address, permit)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => {
                let origin = ErrorOrigin::of(&error);
                tracing::debug!(%address, ?origin, %error, "connect failed");
                Err(match origin {
                    ErrorOrigin::Peer => Outcome::ConnectFailed,
                    ErrorOrigin::Local | ErrorOrigin::Transient => Outcome::NotSent,
                })
            }
            Err(_) if deadline == give_up_at => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    fn close_any_idle(&self) {
        let upstreams = self.upstreams.borrow();
        upstreams
            .values()
            .find_map(|upstream| upstream.idle.take_oldest());
    }
}

async fn is_usable(connection: &mut Connection, give_up_at: Instant) -> bool {
    timeout_at(give_up_at, connection.is_usable()).await == Ok(true)
}
