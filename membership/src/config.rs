//! What a process is told about its fleet.

use crate::identity::{Name, Place};
use std::time::Duration;
use thiserror::Error;

/// The most bytes of a fleet's name.
const FLEET_MOST: usize = 32;
/// The most peers.
const PEERS_MOST: usize = 8192;

/// What a process is told about its fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet's name: datagrams of another one are dropped.
    pub fleet: String,
    /// What this process is called.
    pub name: Name,
    /// Its own place among the peers.
    pub place: Place,
    /// How many places there are, its own included; a place is where a datagram can be sent to and come from.
    pub places: u16,
    /// Unix time of its start, in milliseconds: its incarnation.
    pub boot: u64,
    /// The most members that are kept, gone ones included.
    pub members_most: usize,
    /// How long one that has left or is gone is remembered.
    pub forget_after: Duration,
    /// The seed of all chance.
    pub seed: u64,
}

/// Why a configuration cannot be meant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The fleet's name.
    #[error("fleet {0:?}: a name of 1 to {FLEET_MOST} bytes is needed")]
    Fleet(String),
    /// The places.
    #[error("{0} peers: 1 to {PEERS_MOST} are possible")]
    Places(u16),
    /// The own place.
    #[error("place {0} of {1} peers: the own one has to be among them")]
    Own(u16, u16),
    /// The bound on members.
    #[error("members_most {0}: at least as many as there are peers ({1}) are needed")]
    Members(usize, u16),
    /// The time to forget.
    #[error("forget_after {0:?}: 60 s to 7 days are possible")]
    Forget(Duration),
}

impl Config {
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        if self.fleet.is_empty() || self.fleet.len() > FLEET_MOST {
            return Err(ConfigError::Fleet(
                self.fleet.chars().take(FLEET_MOST).collect(),
            ));
        }
        if self.places == 0 || usize::from(self.places) > PEERS_MOST {
            return Err(ConfigError::Places(self.places));
        }
        if self.place.0 >= self.places {
            return Err(ConfigError::Own(self.place.0, self.places));
        }
        if self.members_most < usize::from(self.places) {
            return Err(ConfigError::Members(self.members_most, self.places));
        }
        if !(Duration::from_secs(60)..=Duration::from_secs(7 * 86_400)).contains(&self.forget_after)
        {
            return Err(ConfigError::Forget(self.forget_after));
        }
        Ok(())
    }
}
