//! Leases, and the self-preservation that protects them from faults of the service itself.

use crate::policy::RegistryPolicy;
use std::time::Duration;

/// The lease of an endpoint. Times are those of the monotonic clock since the service started.
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

/// Decides whether expired leases are enforced. When many expire together, or when the service
/// could not process renewals, the fault is more likely to be its own or the network's than that of
/// the endpoints.
#[derive(Debug)]
pub(crate) struct SelfPreservation {
    last_tick: Duration,
    /// No lease is enforced before.
    grace_until: Duration,
    is_self_preserving: bool,
}

impl SelfPreservation {
    /// Begins with a grace period, in which endpoints can renew after a restart of the service.
    pub(crate) fn new(policy: &RegistryPolicy, now: Duration) -> Self {
        Self {
            last_tick: now,
            grace_until: now + policy.grace_period,
            is_self_preserving: false,
        }
    }

    /// Whether leases have expired that are not enforced.
    pub(crate) fn is_active(&self) -> bool {
        self.is_self_preserving
    }

    /// Records the time, and begins a grace period if the service was paused: renewals may be
    /// waiting to be read.
    pub(crate) fn on_tick(&mut self, policy: &RegistryPolicy, now: Duration) {
        if now.saturating_sub(self.last_tick) > policy.pause_threshold {
            self.grace_until = self.grace_until.max(now + policy.grace_period);
        }
        self.last_tick = now;
    }

    /// Decides on the leases that have expired, of all `lease_count`. A single one is enforced
    /// whatever its share.
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
