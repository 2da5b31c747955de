//! The policy of the endpoint list: its limits, and when the expiry of leases is enforced.

use std::time::Duration;

/// The limits of the list, and when the expiry of leases is enforced.
#[derive(Clone, Debug)]
pub struct RegistryPolicy {
    /// The maximum number of endpoints.
    pub max_endpoints: usize,
    /// The number of changes that are retained for watches to resume from.
    pub max_retained_changes: usize,
    /// The share of the leases that may expire together. If more do, none is enforced.
    pub max_expired_fraction: f64,
    /// The time after a start or a pause of the service in which no lease is enforced.
    pub grace_period: Duration,
    /// The time between two ticks from which on the service counts as paused.
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
