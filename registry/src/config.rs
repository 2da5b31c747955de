//! The configuration of a registry service, in TOML. The keys of the file are an interface to
//! operators and must not change: a field whose name differs from its key has a serde `rename` that
//! states the key.

use crate::policy::RegistryPolicy;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

const LIMIT_RANGE: RangeInclusive<usize> = 1..=1_000_000;
const EXPIRED_FRACTION_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const GRACE_PERIOD_RANGE_S: RangeInclusive<f64> = 0.0..=3600.0;

/// The configuration of a registry service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the fleet, which must not be empty.
    pub fleet: String,
    /// The name of this process, which must not be empty and stays the same over restarts.
    pub name: String,
    /// The address of the interface for reads and watches.
    #[serde(rename = "read")]
    pub read_address: SocketAddr,
    /// The address of the interface for writes, status and metrics.
    #[serde(rename = "write")]
    pub write_address: SocketAddr,
    /// The folder of the store, which is created if it does not exist.
    pub folder: PathBuf,
    /// The limits on concurrent work and on the size of the list.
    #[serde(default)]
    pub limits: Limits,
    /// The conditions under which an endpoint with an expired lease is removed.
    #[serde(default)]
    pub leases: Leases,
}

/// The limits on concurrent work and on the size of the list. Each is from 1 to 1,000,000.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of list requests that are served at the same time. Further ones are
    /// rejected with 503.
    #[serde(rename = "calls")]
    pub max_concurrent_list_requests: usize,
    /// The maximum number of open watches. Further ones are rejected with 503.
    #[serde(rename = "watches")]
    pub max_watches: usize,
    /// The maximum number of writes that wait for the disk. Further ones are rejected with 503.
    #[serde(rename = "writes")]
    pub max_pending_writes: usize,
    /// The maximum number of endpoints on the list. Registrations of further ones are rejected with
    /// 507.
    #[serde(rename = "entries")]
    pub max_endpoints: usize,
    /// The maximum number of changes that are retained for watches to resume from.
    #[serde(rename = "changes")]
    pub max_retained_changes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        let RegistryPolicy {
            max_endpoints,
            max_retained_changes,
            ..
        } = RegistryPolicy::default();
        Self {
            max_concurrent_list_requests: 64,
            max_watches: 4096,
            max_pending_writes: 1024,
            max_endpoints,
            max_retained_changes,
        }
    }
}

/// The conditions under which an endpoint with an expired lease is removed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Leases {
    /// The threshold for the fraction of all leases that are expired at the same time, from 0 to 1.
    /// Above it, no endpoint is removed because of its lease. A single expired lease always counts
    /// as within the threshold, even if it is a larger fraction of all leases.
    #[serde(rename = "lapse_share")]
    pub max_expired_fraction: f64,
    /// The time after a start or a pause of the service during which no endpoint is removed because
    /// of its lease, from 0 to 3600 s.
    #[serde(rename = "grace_s")]
    pub grace_period_s: f64,
}

impl Default for Leases {
    fn default() -> Self {
        let RegistryPolicy {
            max_expired_fraction,
            grace_period,
            ..
        } = RegistryPolicy::default();
        Self {
            max_expired_fraction,
            grace_period_s: grace_period.as_secs_f64(),
        }
    }
}

/// The reason why a configuration is invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not TOML, a key is missing or unknown, or a value has the wrong type.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// A limit is out of range.
    #[error("{key} must be between 1 and 1000000, got {value}")]
    Limit {
        /// The key of the limit, with that of its table.
        key: &'static str,
        /// The rejected value, as it is in the configuration.
        value: usize,
    },
    /// The maximum fraction of expired leases is out of range.
    #[error("leases.lapse_share must be between 0 and 1, got {0}")]
    ExpiredFraction(f64),
    /// The grace period is out of range.
    #[error("leases.grace_s must be between 0 and 3600 s, got {0}")]
    GracePeriod(f64),
    /// The name of the fleet or of the process is empty.
    #[error("fleet and name must not be empty")]
    EmptyName,
}

impl Config {
    /// Parses and validates a configuration.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = toml::from_str(text)?;
        config.limits.validate()?;
        config.leases.validate()?;
        if config.fleet.is_empty() || config.name.is_empty() {
            return Err(ConfigError::EmptyName);
        }
        Ok(config)
    }

    pub(crate) fn policy(&self) -> RegistryPolicy {
        RegistryPolicy {
            max_endpoints: self.limits.max_endpoints,
            max_retained_changes: self.limits.max_retained_changes,
            max_expired_fraction: self.leases.max_expired_fraction,
            grace_period: Duration::from_secs_f64(self.leases.grace_period_s),
            ..RegistryPolicy::default()
        }
    }
}

impl Limits {
    fn validate(&self) -> Result<(), ConfigError> {
        for (key, value) in [
            ("limits.calls", self.max_concurrent_list_requests),
            ("limits.watches", self.max_watches),
            ("limits.writes", self.max_pending_writes),
            ("limits.entries", self.max_endpoints),
            ("limits.changes", self.max_retained_changes),
        ] {
            if !LIMIT_RANGE.contains(&value) {
                return Err(ConfigError::Limit { key, value });
            }
        }
        Ok(())
    }
}

impl Leases {
    fn validate(&self) -> Result<(), ConfigError> {
        if !EXPIRED_FRACTION_RANGE.contains(&self.max_expired_fraction) {
            return Err(ConfigError::ExpiredFraction(self.max_expired_fraction));
        }
        if !GRACE_PERIOD_RANGE_S.contains(&self.grace_period_s) {
            return Err(ConfigError::GracePeriod(self.grace_period_s));
        }
        Ok(())
    }
}
