//! The policy of the endpoint list: its size limits, and the conditions under which an endpoint
//! with an expired lease is removed.

use std::time::Duration;

/// The size limits of the endpoint list, and the conditions under which an expired lease is
/// enforced, that is, its endpoint is removed.
#[derive(Clone, Debug)]
pub struct RegistryPolicy {
    /// The maximum number of endpoints on the list. Registrations of further ones are rejected.
    pub max_endpoints: usize,
    /// The maximum number of changes that are retained for watches to resume from.
    pub max_retained_changes: usize,
    /// The maximum fraction of all leases that may be expired at the same time, from 0 to 1. If
    /// more are, none is enforced. One expired lease never exceeds this limit.
    pub max_expired_fraction: f64,
    /// The time after a start or a pause of the service during which no expired lease is enforced.
    pub grace_period: Duration,
    /// The time between two ticks above which the service is considered to have been paused.
    pub pause_threshold: Duration,
}

impl Default for RegistryPolicy {
    fn default() -> Self {
        Self {
            max_endpoints: 20_000,
            max_retained_changes: 10_000,
            max_expired_fraction: 0.2,
            grace_period: Duration::from_secs(15),
            pause_threshold: Duration::from_secs(2),
        }
    }
}
