//! The configuration of a member, and its validation.

use crate::identity::{Name, PeerIndex};
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// The maximum length of a fleet's name, in bytes.
const MAX_FLEET_NAME_BYTES: usize = 32;
/// The maximum of [`Config::peer_count`].
const MAX_PEERS: usize = 8192;
/// The permitted values of [`Config::down_member_retention`]: 60 s to 7 days.
const DOWN_MEMBER_RETENTION_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(60)..=Duration::from_secs(7 * 86_400);

/// The configuration of one member, which the embedder provides.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the fleet, 1 to 32 bytes. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// The name of this process, which a restart does not change.
    pub name: Name,
    /// The index of this process among the peers, less than `peer_count`.
    pub peer: PeerIndex,
    /// The number of peers, this process included: 1 to 8192.
    pub peer_count: u16,
    /// The incarnation of this process: the Unix time of its start, in milliseconds.
    pub incarnation: u64,
    /// The maximum number of members that are remembered, including those that left or died; at
    /// least `peer_count`.
    pub max_members: usize,
    /// The time for which a member is remembered after this process learned that the member left or
    /// died: 60 s to 7 days.
    pub down_member_retention: Duration,
    /// The seed of the random number generators.
    pub seed: u64,
}

/// The reason why a [`Config`] is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The fleet's name is empty or too long. The field contains at most its first 32 characters.
    #[error(
        "fleet must be a name of 1 to {MAX_FLEET_NAME_BYTES} bytes, got {0:?} \
         (at most {MAX_FLEET_NAME_BYTES} characters shown)"
    )]
    FleetName(String),
    /// The number of peers is zero or too large.
    #[error("the number of peers must be between 1 and {MAX_PEERS}, got {0}")]
    PeerCount(u16),
    /// The index of this process is not that of a peer.
    #[error("the peer index must be less than the number of peers ({peer_count}), got {peer}")]
    OwnPeer {
        /// The configured index of this process.
        peer: u16,
        /// The number of peers; the index must be less.
        peer_count: u16,
    },
    /// The maximum number of members is less than the number of peers.
    #[error("members_most must be at least the number of peers ({peer_count}), got {max_members}")]
    MaxMembers {
        /// The configured maximum number of members.
        max_members: usize,
        /// The number of peers, which is the minimum.
        peer_count: u16,
    },
    /// [`Config::down_member_retention`] is not between 60 s and 7 days.
    #[error("forget_s must be between 60 s and 7 days, got {0:?}")]
    DownMemberRetention(Duration),
}

impl Config {
    /// Checks that the values are in range and agree with each other.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        if self.fleet.is_empty() || self.fleet.len() > MAX_FLEET_NAME_BYTES {
            let shortened = self.fleet.chars().take(MAX_FLEET_NAME_BYTES).collect();
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
        if !DOWN_MEMBER_RETENTION_RANGE.contains(&self.down_member_retention) {
            return Err(ConfigError::DownMemberRetention(self.down_member_retention));
        }
        Ok(())
    }
}
