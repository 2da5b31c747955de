//! The configuration of a balancer, a JSON file whose path is in the environment variable `NODE_CONFIG`.

use frostkeel_membership::{Name, NameError, PeerIndex};
use frostkeel_settings::{SettingsParseError, Site};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::time::Duration;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// The number of descriptors reserved for uses other than connections to clients and upstreams: standard streams, the
/// I/O driver, the listener, signals, calls to discovery.
pub const RESERVED_SOCKETS: usize = 24;
/// The minimum of `limits.sockets`.
const MIN_SOCKETS: usize = 2 * RESERVED_SOCKETS;
/// The fraction of the unreserved descriptors for connections to upstreams. Connections to clients get the rest.
const UPSTREAM_FRACTION: f64 = 0.45;
/// The default of `limits.sockets`.
const DEFAULT_SOCKETS: usize = 1024;
/// The default of `limits.memory_mb`, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// The minimum of `limits.memory_mb`, in megabytes: the program itself needs a third of it.
const MIN_MEMORY_MB: f64 = 16.0;
/// The default of `membership.forget_s`, in seconds.
const DEFAULT_FORGET_S: u64 = 600;
/// The default of `membership.members_most`, per peer.
const DEFAULT_MEMBERS_PER_PEER: usize = 2;
/// The minimum number of peers from which the default of `membership.members_most` is computed.
const MIN_PEERS_FOR_DEFAULT: usize = 64;

/// A balancer's configuration.
#[derive(Debug)]
pub struct Config {
    /// The address on which the balancer accepts clients.
    pub listen: SocketAddr,
    /// The address of discovery, which serves the endpoint list.
    pub discovery: SocketAddr,
    /// The seed of the balancer's pseudorandom choices.
    pub seed: u64,
    /// The maximum number of open descriptors of the process.
    pub sockets: usize,
    /// The memory that the process may use, in megabytes.
    pub memory_mb: f64,
    /// The last known endpoint list in discovery's JSON format, used until discovery sends a list; empty if there is
    /// none.
    pub cached_list: String,
    /// The settings of the site, and the names of its classes, tenants, zones and kinds.
    pub site: Site,
    /// The configuration of the membership; `None` if the balancer does not participate.
    pub membership: Option<MembershipConfig>,
}

/// The configuration of a balancer's participation in the membership.
#[derive(Debug)]
pub struct MembershipConfig {
    /// The name of the fleet, which is the same for all its members.
    pub fleet: String,
    /// The name of this balancer among the members.
    pub name: Name,
    /// The index of this balancer in `peers`.
    pub peer: PeerIndex,
    /// The address on which this balancer receives datagrams.
    pub listen: SocketAddr,
    /// The address of each peer, by peer index: the destination of datagrams to the peer, and the source of datagrams
    /// from it.
    pub peers: Vec<SocketAddr>,
    /// The address of the status page with the view of the members; `None` for no page.
    pub page: Option<SocketAddr>,
    /// The maximum number of members in the view.
    pub max_members: usize,
    /// The time for which a member that has left or failed stays in the view.
    pub forget_after: Duration,
}

/// The reason why a configuration is unavailable or invalid. A balancer does not start with it; a running balancer
/// keeps its current configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable `NODE_CONFIG` is not set.
    #[error("{CONFIG_VARIABLE} is not set: set it to the path of the configuration file")]
    NoFile,
    /// The configuration file cannot be read.
    #[error("cannot read configuration file {}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of reading the file.
        source: io::Error,
    },
    /// The content of the configuration file is invalid.
    #[error("invalid configuration file {}: {source}", path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The reason why the content is invalid.
        source: Box<ConfigError>,
    },
    /// The content is not JSON, or does not have the form of a configuration.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed must be a hexadecimal number of at most 64 bits: {0}")]
    Seed(#[source] ParseIntError),
    /// The settings of the site are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsParseError),
    /// The limit of descriptors is too low to serve clients.
    #[error("limits.sockets must be at least {MIN_SOCKETS}, got {0}")]
    TooFewSockets(usize),
    /// The limit of memory is too low to serve clients.
    #[error("limits.memory_mb must be at least {MIN_MEMORY_MB}, got {0}")]
    TooLittleMemory(f64),
    /// The configuration of the membership is invalid.
    #[error("membership: {0}")]
    Membership(#[from] MembershipConfigError),
}

/// The reason why the configuration of the membership is invalid.
#[derive(Debug, thiserror::Error)]
pub enum MembershipConfigError {
    /// The position of this balancer is not a 16-bit number.
    #[error("settings.me must be an integer from 0 to 65535: {0}")]
    Position(#[source] serde_json::Error),
    /// The address for datagrams is missing.
    #[error("peer_listen is missing: set it to the address for datagrams")]
    MissingListen,
    /// This balancer's position is outside the list of peers.
    #[error(
        "settings.me must be an index into peers, which has {peer_count} addresses, got {position}"
    )]
    PositionOutOfRange {
        /// The configured value of `settings.me`.
        position: u16,
        /// The number of addresses in `peers`.
        peer_count: usize,
    },
    /// The address of the status page is not a loopback address, so other machines could reach the page.
    #[error("page must be a loopback address, got {0}")]
    PageNotLoopback(SocketAddr),
    /// The name of this balancer is not valid for a member.
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

/// The position of this balancer among the peers, which is part of the site's settings.
#[derive(Deserialize)]
struct RawPosition {
    #[serde(default)]
    me: u16,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawLimits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            sockets: DEFAULT_SOCKETS,
            memory_mb: DEFAULT_MEMORY_MB,
        }
    }
}

impl Config {
    /// Reads the configuration file whose path is in `NODE_CONFIG`.
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

    /// Parses the text of a configuration file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: RawConfig<'_> = serde_json::from_str(text)?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(ConfigError::Seed)?;
        let mut site = frostkeel_settings::parse(raw.settings.get())?;
        // Where the settings say that lists are pushed, a local agent receives them and this program watches the agent.
        site.settings.has_local_agent = !site.settings.polls_endpoints;
        site.settings.polls_endpoints = true;
        if raw.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets(raw.limits.sockets));
        }
        let memory_mb = raw.limits.memory_mb;
        if memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::TooLittleMemory(memory_mb));
        }
        Ok(Self {
            listen: raw.listen,
            discovery: raw.discovery,
            seed,
            sockets: raw.limits.sockets,
            memory_mb,
            cached_list: raw
                .cached_list
                .map_or_else(String::new, |list| list.get().to_owned()),
            site,
            membership: raw.membership()?,
        })
    }

    /// Returns the maximum number of open connections to upstreams.
    pub fn max_upstream_connections(&self) -> usize {
        ((self.sockets - RESERVED_SOCKETS) as f64 * UPSTREAM_FRACTION) as usize
    }

    /// Returns the maximum number of open client connections.
    pub fn max_client_connections(&self) -> usize {
        self.sockets - RESERVED_SOCKETS - self.max_upstream_connections()
    }
}

impl RawConfig<'_> {
    /// Validates the configuration of the membership; `None` if there is none.
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
