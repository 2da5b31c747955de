//! The leases of endpoints, and self-preservation: endpoints stay on the list when their leases
//! probably expired because of a fault of the service or the network.

use crate::policy::RegistryPolicy;
use std::time::Duration;

/// The lease of an endpoint. Times are monotonic, and count from the start of the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) duration: Duration,
    expires_at: Duration,
}

impl Lease {
    pub(crate) fn new(duration: Duration, now: Duration) -> Self {
        Self {
            duration,
            expires_at: now + duration,
        }
    }

    pub(crate) fn renew(&mut self, now: Duration) {
        self.expires_at = now + self.duration;
    }

    pub(crate) fn has_expired(&self, now: Duration) -> bool {
        self.expires_at <= now
    }
}

/// Decides whether expired leases are enforced, that is, their endpoints are removed. When many
/// leases are expired at the same time, or when the service could not process renewals, a fault of
/// the service or the network is more likely than a fault of the endpoints.
#[derive(Debug)]
pub(crate) struct SelfPreservation {
    last_tick: Duration,
    /// The time before which no expired lease is enforced.
    grace_until: Duration,
    is_self_preserving: bool,
}

impl SelfPreservation {
    /// Starts a grace period, in which endpoints can renew their leases after a restart of the
    /// service.
    pub(crate) fn new(policy: &RegistryPolicy, now: Duration) -> Self {
        Self {
            last_tick: now,
            grace_until: now + policy.grace_period,
            is_self_preserving: false,
        }
    }

    /// Returns whether there are expired leases that are not enforced.
    pub(crate) fn is_active(&self) -> bool {
        self.is_self_preserving
    }

    /// Records the time of a tick. Starts a grace period if the service was paused, because it may
    /// not have read renewals that arrived meanwhile.
    pub(crate) fn on_tick(&mut self, policy: &RegistryPolicy, now: Duration) {
        if now.saturating_sub(self.last_tick) > policy.pause_threshold {
            self.grace_until = self.grace_until.max(now + policy.grace_period);
        }
        self.last_tick = now;
    }

    /// Returns whether the `expired_count` expired leases, out of `lease_count`, are to be
    /// enforced. One expired lease never exceeds the limit.
    pub(crate) fn permits_expiry(
        &mut self,
        policy: &RegistryPolicy,
        expired_count: usize,
        lease_count: usize,
    ) -> bool {
        let max_expired = (lease_count as f64 * policy.max_expired_fraction).max(1.0);
        let in_grace_period = self.last_tick < self.grace_until;
        self.is_self_preserving =
            expired_count > 0 && (in_grace_period || expired_count as f64 > max_expired);
        !self.is_self_preserving
    }
}
