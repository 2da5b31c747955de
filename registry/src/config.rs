//! The configuration of a list service, in TOML.

use crate::endpoint_registry::RegistryPolicy;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What a list service is told.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The fleet's name.
    pub fleet: String,
    /// This process's name; it lasts over restarts.
    pub name: String,
    /// Where balancers read.
    pub read: SocketAddr,
    /// Where upstreams and people write, and status and metrics are.
    pub write: SocketAddr,
    /// Where the list is kept.
    pub folder: PathBuf,
    /// See [`Limits`].
    #[serde(default)]
    pub limits: Limits,
    /// See [`Leases`].
    #[serde(default)]
    pub leases: Leases,
}

/// How much is done at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Calls for the whole list that are answered at once; more get 503.
    pub calls: usize,
    /// Watches; more get 503.
    pub watches: usize,
    /// Writes that wait for the disk; more get 503.
    pub writes: usize,
    /// Entries.
    pub entries: usize,
    /// Changes that a watch can go on from.
    pub changes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        let RegistryPolicy {
            max_endpoints,
            max_retained_changes,
            ..
        } = RegistryPolicy::default();
        Self {
            calls: 64,
            watches: 4096,
            writes: 1024,
            entries: max_endpoints,
            changes: max_retained_changes,
        }
    }
}

/// How leases are judged.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Leases {
    /// Share of the entries that may lapse together; if more do, all are held.
    pub lapse_share: f64,
    /// Seconds after a start, or a pause of the service's own, in which none is ended.
    pub grace_s: f64,
}

impl Default for Leases {
    fn default() -> Self {
        let RegistryPolicy {
            max_expired_share,
            grace_period,
            ..
        } = RegistryPolicy::default();
        Self {
            lapse_share: max_expired_share,
            grace_s: grace_period.as_secs_f64(),
        }
    }
}

impl Config {
    /// Reads a configuration's text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let config: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        let Self { limits, leases, .. } = &config;
        for (what, value) in [
            ("limits.calls", limits.calls),
            ("limits.watches", limits.watches),
            ("limits.writes", limits.writes),
            ("limits.entries", limits.entries),
            ("limits.changes", limits.changes),
        ] {
            if !(1..=1_000_000).contains(&value) {
                return Err(format!("{what} is {value}: 1 to 1000000 are possible"));
            }
        }
        if !(0.0..=1.0).contains(&leases.lapse_share) {
            return Err(format!(
                "leases.lapse_share is {}: 0 to 1 are possible",
                leases.lapse_share
            ));
        }
        if !(0.0..=3600.0).contains(&leases.grace_s) {
            return Err(format!(
                "leases.grace_s is {}: 0 to 3600 are possible",
                leases.grace_s
            ));
        }
        if config.fleet.is_empty() || config.name.is_empty() {
            return Err("fleet and name: neither may be empty".into());
        }
        Ok(config)
    }

    pub(crate) fn rules(&self) -> RegistryPolicy {
        RegistryPolicy {
            max_endpoints: self.limits.entries,
            max_retained_changes: self.limits.changes,
            max_expired_share: self.leases.lapse_share,
            grace_period: Duration::from_secs_f64(self.leases.grace_s),
            ..RegistryPolicy::default()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "fleet = \"f\"\nname = \"r0\"\nread = \"127.0.0.1:0\"\nwrite = \"127.0.0.1:0\"\nfolder = \"x\"\n";

    #[test]
    fn what_cannot_be_meant_is_refused_with_what_would_be() {
        assert_eq!(Config::parse(GOOD).expect("it can").limits.calls, 64);
        for (more, named) in [
            ("[limits]\ncalls = 0\n", "limits.calls is 0"),
            ("[leases]\nlapse_share = 2.0\n", "lapse_share is 2"),
            ("[leases]\ngrace_s = -1.0\n", "grace_s"),
            ("lease = 3\n", "lease"),
        ] {
            let refused = Config::parse(&format!("{GOOD}{more}")).expect_err(more);
            assert!(refused.contains(named), "{refused}");
        }
        assert!(
            Config::parse(&GOOD.replace("\"f\"", "\"\""))
                .expect_err("empty")
                .contains("fleet")
        );
    }
}
