//! What the platform tells a balancer at its start: the JSON file that `NODE_CONFIG` names.

use frostkeel_membership::{Name, PeerIndex};
use frostkeel_settings::Site;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors kept for what is neither a client nor an upstream: standard streams, the poller, the
/// listener, signals, discovery's calls.
pub const RESERVED_SOCKETS: usize = 24;
/// Part of the rest that connections to upstreams may take.
const UPSTREAM_PART: f64 = 0.45;

/// A balancer's configuration.
#[derive(Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed of all chance.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub sockets: usize,
    /// The upstreams last known, in discovery's form; empty if none are.
    pub known: String,
    /// The settings of the site.
    pub site: Site,
    /// Who else there is, where the configuration names that.
    pub members: Option<Members>,
}

/// What a balancer is told about the others of its fleet.
#[derive(Debug)]
pub struct Members {
    /// The fleet's name.
    pub fleet: String,
    /// This balancer's name.
    pub name: Name,
    /// Its position among the peers.
    pub place: PeerIndex,
    /// Where datagrams land.
    pub listen: SocketAddr,
    /// By position, where the others are reached, and where what they send comes from.
    pub peers: Vec<SocketAddr>,
    /// Where the view of the others can be read.
    pub page: Option<SocketAddr>,
    /// The most members that are kept.
    pub members_most: usize,
    /// How long one that has gone is remembered.
    pub forget_after: Duration,
}

/// Why no balancer can start.
#[derive(Debug)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct Raw<'a> {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(borrow, default)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
    #[serde(default)]
    name: String,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    membership: Option<RawMembers>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMembers {
    fleet: String,
    page: Option<SocketAddr>,
    members_most: Option<usize>,
    #[serde(default = "RawMembers::forget_s")]
    forget_s: u64,
}

impl RawMembers {
    fn forget_s() -> u64 {
        600
    }
}

/// The position of this balancer, which the settings know as well.
#[derive(Deserialize)]
struct Position {
    #[serde(default)]
    me: u16,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawLimits {
    sockets: usize,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self { sockets: 1024 }
    }
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var_os("NODE_CONFIG")
            .ok_or_else(|| ConfigError("NODE_CONFIG names no configuration file".into()))?;
        let shown = path.to_string_lossy();
        let text =
            std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("{shown}: {e}")))?;
        Self::parse(&text).map_err(|e| ConfigError(format!("{shown}: {e}")))
    }

    /// Reads a configuration's text.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: Raw<'_> = serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        let seed =
            u64::from_str_radix(&raw.seed, 16).map_err(|e| ConfigError(format!("seed: {e}")))?;
        let mut site = frostkeel_settings::parse(raw.settings.get())
            .map_err(|error| ConfigError(error.to_string()))?;
        // Where lists are pushed, an agent of this balancer's own has them: on sockets they come over its watch.
        site.settings.has_local_agent = !site.settings.polls_endpoints;
        site.settings.polls_endpoints = true;
        if raw.limits.sockets < 2 * RESERVED_SOCKETS {
            return Err(ConfigError(format!(
                "limits.sockets: {} are too few",
                raw.limits.sockets
            )));
        }
        Ok(Self {
            listen: raw.listen,
            discovery: raw.discovery,
            seed,
            sockets: raw.limits.sockets,
            known: raw.known.map_or_else(String::new, |k| k.get().to_owned()),
            site,
            members: raw.members()?,
        })
    }

    /// How many connections to upstreams may be open.
    pub fn upstream_connections(&self) -> usize {
        ((self.sockets - RESERVED_SOCKETS) as f64 * UPSTREAM_PART) as usize
    }

    /// How many clients' connections may be open.
    pub fn client_connections(&self) -> usize {
        self.sockets - RESERVED_SOCKETS - self.upstream_connections()
    }
}

impl Raw<'_> {
    fn members(&self) -> Result<Option<Members>, ConfigError> {
        let Some(raw) = &self.membership else {
            return Ok(None);
        };
        let wrong = |text: String| ConfigError(format!("membership: {text}"));
        let position: Position = serde_json::from_str(self.settings.get())
            .map_err(|e| wrong(format!("settings.me: {e}")))?;
        let listen = self
            .peer_listen
            .ok_or_else(|| wrong("peer_listen is missing".into()))?;
        if usize::from(position.me) >= self.peers.len() {
            let count = self.peers.len();
            return Err(wrong(format!(
                "settings.me is {}, and peers names {count} addresses",
                position.me
            )));
        }
        if let Some(page) = raw.page.filter(|page| !page.ip().is_loopback()) {
            return Err(wrong(format!(
                "page {page}: it is shown on a loopback address only"
            )));
        }
        Ok(Some(Members {
            fleet: raw.fleet.clone(),
            name: Name::new(&self.name).map_err(|e| wrong(e.to_string()))?,
            place: PeerIndex(position.me),
            listen,
            peers: self.peers.clone(),
            page: raw.page,
            members_most: raw.members_most.unwrap_or(2 * self.peers.len().max(64)),
            forget_after: Duration::from_secs(raw.forget_s),
        }))
    }
}
