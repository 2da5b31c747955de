//! The configuration of a member.

use crate::identity::{Name, PeerIndex};
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// The maximum length of a fleet's name, in bytes.
const MAX_FLEET_NAME_LEN: usize = 32;
/// The maximum number of peers.
const MAX_PEERS: usize = 8192;
/// How long members that left or died may be remembered.
const FORGET_AFTER_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(60)..=Duration::from_secs(7 * 86_400);

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet's name; datagrams of another fleet are dropped.
    pub fleet: String,
    /// The name of this process.
    pub name: Name,
    /// Its own index among the peers.
    pub peer: PeerIndex,
    /// The number of peers, this process included.
    pub peer_count: u16,
    /// The incarnation of this process: Unix time of its start, in milliseconds.
    pub incarnation: u64,
    /// The maximum number of members that are remembered, including those that left or died.
    pub max_members: usize,
    /// How long a member that left or died is remembered.
    pub forget_after: Duration,
    /// The seed of the random number generators.
    pub seed: u64,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The fleet's name is empty or too long.
    #[error("fleet {0:?}: a name of 1 to {MAX_FLEET_NAME_LEN} bytes is needed")]
    FleetName(String),
    /// There are no peers, or too many.
    #[error("{0} peers: 1 to {MAX_PEERS} are possible")]
    PeerCount(u16),
    /// The process is not one of the peers.
    #[error("place {peer} of {peer_count} peers: the own one has to be among them")]
    OwnPeer {
        /// Its index.
        peer: u16,
        /// The number of peers.
        peer_count: u16,
    },
    /// Fewer members may be remembered than there are peers.
    #[error(
        "members_most {max_members}: at least as many as there are peers ({peer_count}) are needed"
    )]
    MaxMembers {
        /// The configured maximum.
        max_members: usize,
        /// The number of peers.
        peer_count: u16,
    },
    /// The time to remember members that left or died is out of range.
    #[error("forget_after {0:?}: 60 s to 7 days are possible")]
    ForgetAfter(Duration),
}

impl Config {
    /// Checks that the values are in range and agree with each other.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        if self.fleet.is_empty() || self.fleet.len() > MAX_FLEET_NAME_LEN {
            let shortened = self.fleet.chars().take(MAX_FLEET_NAME_LEN).collect();
            return Err(ConfigError::FleetName(shortened));
        }
        let peer_count = self.peer_count;
        if peer_count == 0 || usize::from(peer_count) > MAX_PEERS {
            return Err(ConfigError::PeerCount(peer_count));
        }
        if self.peer.0 >= peer_count {
            return Err(ConfigError::OwnPeer {
                peer: self.peer.0,
                peer_count,
            });
        }
        if self.max_members < usize::from(peer_count) {
            return Err(ConfigError::MaxMembers {
                max_members: self.max_members,
                peer_count,
            });
        }
        if !FORGET_AFTER_RANGE.contains(&self.forget_after) {
            return Err(ConfigError::ForgetAfter(self.forget_after));
        }
        Ok(())
    }
}
