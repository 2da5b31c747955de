//! The configuration of a balancer: the JSON file that `NODE_CONFIG` names.

use frostkeel_membership::{Name, NameError, PeerIndex};
use frostkeel_settings::{SettingsParseError, Site};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::time::Duration;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// Descriptors reserved for uses other than clients and upstreams: standard streams, the poller, the listener,
/// signals, calls to discovery.
pub const RESERVED_SOCKETS: usize = 24;
/// The fewest descriptors with which a balancer starts.
const MIN_SOCKETS: usize = 2 * RESERVED_SOCKETS;
/// Fraction of the remaining descriptors that connections to upstreams may use.
const UPSTREAM_SHARE: f64 = 0.45;
/// Default for `limits.sockets`.
const DEFAULT_SOCKETS: usize = 1024;
/// Default for `membership.forget_s`.
const DEFAULT_FORGET_S: u64 = 600;
/// Default for `membership.members_most`: this many for each peer, with a minimum number of peers.
const DEFAULT_MEMBERS_PER_PEER: usize = 2;
const MIN_PEERS_FOR_DEFAULT: usize = 64;

/// A balancer's configuration.
#[derive(Debug)]
pub struct Config {
    /// The address on which it accepts clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of all random choices.
    pub seed: u64,
    /// The maximum number of open descriptors of the process.
    pub sockets: usize,
    /// The last known endpoint list, in discovery's format; empty if there is none.
    pub cached_list: String,
    /// The settings of the site.
    pub site: Site,
    /// The membership, if it is configured.
    pub membership: Option<MembershipConfig>,
}

/// The configuration of a balancer's participation in the membership.
#[derive(Debug)]
pub struct MembershipConfig {
    /// The fleet's name.
    pub fleet: String,
    /// This balancer's name.
    pub name: Name,
    /// Its position among the peers.
    pub peer: PeerIndex,
    /// The address on which it receives datagrams.
    pub listen: SocketAddr,
    /// The address of each peer, by position: the destination of datagrams to it, and the source of those from it.
    pub peers: Vec<SocketAddr>,
    /// The address of the page with the view of the members.
    pub page: Option<SocketAddr>,
    /// The maximum number of members in the view.
    pub max_members: usize,
    /// How long a member that has left or failed is retained.
    pub forget_after: Duration,
}

/// Why a configuration is invalid. A balancer does not start with it; a running one keeps its current configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable is not set.
    #[error("{CONFIG_VARIABLE} names no configuration file")]
    NoFile,
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The read error.
        source: io::Error,
    },
    /// The file's content is not a valid configuration.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error in the content.
        source: Box<ConfigError>,
    },
    /// The text is not JSON of the expected form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number.
    #[error("seed: {0}")]
    Seed(#[source] ParseIntError),
    /// The settings of the site are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsParseError),
    /// Too few descriptors to serve clients.
    #[error("limits.sockets: {0} are too few")]
    TooFewSockets(usize),
    /// The membership is invalid.
    #[error("membership: {0}")]
    Membership(#[from] MembershipConfigError),
}

/// Why a membership configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum MembershipConfigError {
    /// The position of this balancer is unreadable.
    #[error("settings.me: {0}")]
    Position(#[source] serde_json::Error),
    /// The address for datagrams is missing.
    #[error("peer_listen is missing")]
    MissingListen,
    /// This balancer's position is outside the list of peers.
    #[error("settings.me is {position}, and peers names {peer_count} addresses")]
    PositionOutOfRange {
        /// The position.
        position: u16,
        /// The number of peers.
        peer_count: usize,
    },
    /// The page would be reachable from other machines.
    #[error("page {0}: it is shown on a loopback address only")]
    PageNotLoopback(SocketAddr),
    /// The balancer's name is invalid.
    #[error("{0}")]
    Name(#[from] NameError),
}

#[derive(Deserialize)]
struct RawConfig<'a> {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(rename = "known", borrow, default)]
    cached_list: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
    #[serde(default)]
    name: String,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    membership: Option<RawMembership>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMembership {
    fleet: String,
    page: Option<SocketAddr>,
    #[serde(rename = "members_most")]
    max_members: Option<usize>,
    #[serde(default = "RawMembership::default_forget_s")]
    forget_s: u64,
}

impl RawMembership {
    fn default_forget_s() -> u64 {
        DEFAULT_FORGET_S
    }
}

/// The position of this balancer, read from the site's settings.
#[derive(Deserialize)]
struct RawPosition {
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
        Self {
            sockets: DEFAULT_SOCKETS,
        }
    }
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = PathBuf::from(std::env::var_os(CONFIG_VARIABLE).ok_or(ConfigError::NoFile)?);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        Self::parse(&text).map_err(|error| ConfigError::Invalid {
            path,
            source: Box::new(error),
        })
    }

    /// Reads the text of a configuration.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: RawConfig<'_> = serde_json::from_str(text)?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(ConfigError::Seed)?;
        let mut site = frostkeel_settings::parse(raw.settings.get())?;
        // In push mode a local agent receives the lists; on real sockets, the balancer watches that agent.
        site.settings.has_local_agent = !site.settings.polls_endpoints;
        site.settings.polls_endpoints = true;
        if raw.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets(raw.limits.sockets));
        }
        Ok(Self {
            listen: raw.listen,
            discovery: raw.discovery,
            seed,
            sockets: raw.limits.sockets,
            cached_list: raw
                .cached_list
                .map_or_else(String::new, |list| list.get().to_owned()),
            site,
            membership: raw.membership()?,
        })
    }

    /// The maximum number of open connections to upstreams.
    pub fn max_upstream_connections(&self) -> usize {
        ((self.sockets - RESERVED_SOCKETS) as f64 * UPSTREAM_SHARE) as usize
    }

    /// The maximum number of open client connections.
    pub fn max_client_connections(&self) -> usize {
        self.sockets - RESERVED_SOCKETS - self.max_upstream_connections()
    }
}

impl RawConfig<'_> {
    fn membership(&self) -> Result<Option<MembershipConfig>, MembershipConfigError> {
        let Some(raw) = &self.membership else {
            return Ok(None);
        };
        let position: RawPosition =
            serde_json::from_str(self.settings.get()).map_err(MembershipConfigError::Position)?;
        let listen = self
            .peer_listen
            .ok_or(MembershipConfigError::MissingListen)?;
        let (position, peer_count) = (position.me, self.peers.len());
        if usize::from(position) >= peer_count {
            return Err(MembershipConfigError::PositionOutOfRange {
                position,
                peer_count,
            });
        }
        if let Some(page) = raw.page.filter(|page| !page.ip().is_loopback()) {
            return Err(MembershipConfigError::PageNotLoopback(page));
        }
        let default_members = DEFAULT_MEMBERS_PER_PEER * peer_count.max(MIN_PEERS_FOR_DEFAULT);
        Ok(Some(MembershipConfig {
            fleet: raw.fleet.clone(),
            name: Name::new(&self.name)?,
            peer: PeerIndex(position),
            listen,
            peers: self.peers.clone(),
            page: raw.page,
            max_members: raw.max_members.unwrap_or(default_members),
            forget_after: Duration::from_secs(raw.forget_s),
        }))
    }
}
