//! Names, peer indexes and incarnations of processes.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;
use thiserror::Error;

/// The maximum length of a name, in bytes. Each datagram contains names, and they are compared
/// often.
const MAX_NAME_LEN: usize = 16;

/// The name of a process, which lasts over restarts: 1 to 16 letters, digits, `.`, `_` or `-`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name([u8; MAX_NAME_LEN]);

/// A text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is no name: 1 to {MAX_NAME_LEN} letters, digits, '.', '_' or '-' are one")]
pub struct NameError(String);

impl Name {
    /// Parses a name.
    pub fn new(text: &str) -> Result<Self, NameError> {
        if text.is_empty() || text.len() > MAX_NAME_LEN || !text.bytes().all(is_name_byte) {
            return Err(NameError(text.chars().take(2 * MAX_NAME_LEN).collect()));
        }
        let mut bytes = [0; MAX_NAME_LEN];
        bytes[..text.len()].copy_from_slice(text.as_bytes());
        Ok(Self(bytes))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        let length = self.0.iter().position(|byte| *byte == 0);
        let bytes = &self.0[..length.unwrap_or(MAX_NAME_LEN)];
        std::str::from_utf8(bytes).unwrap_or_default()
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-')
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(NameVisitor)
    }
}

struct NameVisitor;

impl de::Visitor<'_> for NameVisitor {
    type Value = Name;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Name, E> {
        Name::new(text).map_err(E::custom)
    }
}

/// A position in the configuration's list of peers: the address at which a process is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerIndex(pub u16);

/// One incarnation of a process. The order of the fields is the wire form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The name of the process.
    pub name: Name,
    /// Where it is reached.
    pub peer: PeerIndex,
    /// Unix time of its start in milliseconds, or one more than the incarnation that its name had
    /// before.
    pub incarnation: u64,
    /// How often it has rejoined, since its start, after others had declared it dead.
    pub rejoin_count: u16,
    /// It is about to leave: its end is reported as a leave, not as a failure.
    pub is_leaving: bool,
}

impl Identity {
    /// Whether this identity retains the name against another claim to it.
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |id: &Self| (id.incarnation, id.rejoin_count, id.is_leaving, id.peer);
        rank(self) > rank(other)
    }
}

impl foca::Identity for Identity {
    type Addr = Name;

    fn renew(&self) -> Option<Self> {
        if self.is_leaving {
            return None;
        }
        let rejoin_count = self.rejoin_count.checked_add(1)?;
        Some(Self {
            rejoin_count,
            ..*self
        })
    }

    fn addr(&self) -> Name {
        self.name
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.supersedes(adversary)
    }
}
