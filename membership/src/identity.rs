//! Names, peer indexes and incarnations of processes.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;
use thiserror::Error;

/// The maximum length of a name, in bytes. Names are short because most datagrams contain names and
/// because they are compared often.
const MAX_NAME_BYTES: usize = 16;

/// The name of a process, which a restart does not change: 1 to 16 ASCII letters, digits, `.`, `_`
/// or `-`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name([u8; MAX_NAME_BYTES]);

/// The error for a text that is not a valid name. It contains at most the first 32 characters of
/// the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a name must have 1 to {MAX_NAME_BYTES} ASCII letters, digits, '.', '_' or '-', got {0:?}")]
pub struct NameError(String);

impl Name {
    /// Parses a name; fails if its length or a character is not permitted.
    pub fn new(text: &str) -> Result<Self, NameError> {
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(is_name_byte) {
            return Err(NameError(text.chars().take(2 * MAX_NAME_BYTES).collect()));
        }
        let mut bytes = [0; MAX_NAME_BYTES];
        bytes[..text.len()].copy_from_slice(text.as_bytes());
        Ok(Self(bytes))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        let length = self.0.iter().position(|byte| *byte == 0);
        let bytes = &self.0[..length.unwrap_or(MAX_NAME_BYTES)];
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
        f.write_str("a process name as a string")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Name, E> {
        Name::new(text).map_err(E::custom)
    }
}

/// A position in the configured list of peers, from 0. The entry at this position is the address at
/// which a process is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerIndex(pub u16);

/// The identity of one incarnation of a process. The order of the fields is part of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The name of the process, which identifies it across restarts.
    pub name: Name,
    /// The peer at whose address the process is reached.
    pub peer: PeerIndex,
    /// The Unix time of the process's start, in milliseconds. If a previous start had the same or a
    /// later incarnation, for example because the clock was set back, the process takes that
    /// incarnation plus one.
    pub incarnation: u64,
    /// The number of times that the process has rejoined since its start because others had
    /// declared it dead.
    pub rejoin_count: u16,
    /// Whether the process is leaving. The end of such a process is reported as a leave, not as a
    /// failure.
    pub is_leaving: bool,
}

impl Identity {
    /// Returns whether this identity takes precedence over another identity with the same name. The
    /// identity with the later incarnation takes precedence. If the incarnations are equal, the
    /// following decide in this order: the higher rejoin count, the leaving identity, the higher
    /// peer index.
    pub fn takes_precedence_over(&self, other: &Self) -> bool {
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
        self.takes_precedence_over(adversary)
    }
}
