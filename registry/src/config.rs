//! The configuration of a registry service, in TOML. Its keys are fixed: a field is bound to its
//! key by a serde rename.

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
    /// The name of the fleet.
    pub fleet: String,
    /// The name of this process, which stays the same over restarts.
    pub name: String,
    /// The address of the interface for reads and watches.
    #[serde(rename = "read")]
    pub read_address: SocketAddr,
    /// The address of the interface for writes, status and metrics.
    #[serde(rename = "write")]
    pub write_address: SocketAddr,
    /// The folder of the store.
    pub folder: PathBuf,
    /// The limits on concurrent work and on the size of the list.
    #[serde(default)]
    pub limits: Limits,
    /// How the expiry of leases is enforced.
    #[serde(default)]
    pub leases: Leases,
}

/// The limits on concurrent work and on the size of the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// List requests that are served at the same time. More are rejected with 503.
    #[serde(rename = "calls")]
    pub max_concurrent_list_requests: usize,
    /// Watches that are open at the same time. More are rejected with 503.
    #[serde(rename = "watches")]
    pub max_watches: usize,
    /// Writes that wait for the disk. More are rejected with 503.
    #[serde(rename = "writes")]
    pub max_pending_writes: usize,
    /// Endpoints on the list.
    #[serde(rename = "entries")]
    pub max_endpoints: usize,
    /// Changes that are retained for watches to resume from.
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

/// How the expiry of leases is enforced.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Leases {
    /// The share of the leases that may expire together. If more do, none is enforced.
    #[serde(rename = "lapse_share")]
    pub max_expired_fraction: f64,
    /// The seconds after a start or a pause of the service in which no lease is enforced.
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

/// Why a configuration is invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not TOML, or a key or a type is wrong.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// A limit is out of range.
    #[error("{key} is {value}: 1 to 1000000 are possible")]
    Limit {
        /// The limit's key.
        key: &'static str,
        /// Its value.
        value: usize,
    },
    /// The share of expired leases is out of range.
    #[error("leases.lapse_share is {0}: 0 to 1 are possible")]
    ExpiredFraction(f64),
    /// The grace period is out of range.
    #[error("leases.grace_s is {0}: 0 to 3600 are possible")]
    GracePeriod(f64),
    /// A name is empty.
    #[error("fleet and name: neither may be empty")]
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
