//! The format of datagrams: a version, the fleet's name, a checksum and a message.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | version of this format |
//! | 1 | length of the fleet's name |
//! | 1 to 32 | the fleet's name |
//! | 4 | CRC-32 of the fleet's name and all bytes after the checksum, little-endian |
//! | 1 | kind: 0 for a payload of the SWIM protocol, otherwise a [`Message`] of this crate |
//! | remaining | the payload or message, in postcard's format |

mod message;

pub use message::Message;

use crate::identity::Identity;
use foca::{Codec, Header, Member, PostcardCodec};
use thiserror::Error;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 256;
/// The version of this format, in the first byte of each datagram.
const VERSION: u8 = 1;
const CHECKSUM_LEN: usize = 4;
/// The number of bytes before the fleet's name: one for the version and one for the name's length.
const PREFIX_LEN: usize = 2;
const SWIM_KIND: u8 = 0;
const MESSAGE_KIND: u8 = 1;
const KIND_LEN: usize = 1;

/// A decoded datagram.
#[derive(Debug)]
pub enum Decoded<'a> {
    /// A payload of the SWIM protocol.
    Swim {
        /// The payload, with its header and updates.
        payload: &'a [u8],
        /// The identity of the sender, from the payload's header.
        from: Identity,
        /// The member updates in the payload.
        updates: Vec<Member<Identity>>,
    },
    /// A message of this crate.
    Message(Message),
}

/// The reason why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// The datagram is too long or too short, has a wrong checksum, or cannot be decoded.
    #[error("the datagram has a wrong length or checksum, or cannot be decoded")]
    Malformed,
    /// The datagram has another version of the format.
    #[error("the datagram's format version must be {VERSION}")]
    UnsupportedVersion,
    /// The datagram belongs to another fleet.
    #[error("the datagram belongs to another fleet")]
    ForeignFleet,
    /// The source address of the datagram is not that of a peer.
    #[error("the datagram's source address is not that of a peer")]
    UnknownSender,
    /// The sender claims another peer index than that of its source address.
    #[error("the sender's peer index is not that of the datagram's source address")]
    SenderMismatch,
    /// The datagram contains a new member although the maximum number of members is already
    /// remembered, a peer index that does not exist, an incarnation more than a day in the future,
    /// or an invalid node of the hash tree.
    #[error(
        "the datagram contains a new member beyond the maximum number of members, a peer index \
         that does not exist, an incarnation more than a day in the future, or an invalid hash \
         tree node"
    )]
    Implausible,
}

/// Returns the maximum length of a payload in a datagram of the given fleet, in bytes.
pub fn payload_capacity(fleet: &str) -> usize {
    MAX_DATAGRAM_LEN - PREFIX_LEN - fleet.len() - CHECKSUM_LEN - KIND_LEN
}

/// Encodes a datagram with a payload of the SWIM protocol.
pub fn encode_swim(fleet: &str, payload: &[u8]) -> Vec<u8> {
    encode(fleet, SWIM_KIND, payload)
}

/// Encodes a datagram with a message of this crate.
pub fn encode_message(fleet: &str, message: &Message) -> Vec<u8> {
    let payload = postcard::to_allocvec(message).unwrap_or_default();
    encode(fleet, MESSAGE_KIND, &payload)
}

fn encode(fleet: &str, kind: u8, payload: &[u8]) -> Vec<u8> {
    let body = [&[kind], payload].concat();
    let mut datagram = Vec::with_capacity(PREFIX_LEN + fleet.len() + CHECKSUM_LEN + body.len());
    datagram.extend([VERSION, fleet.len() as u8]);
    datagram.extend(fleet.as_bytes());
    datagram.extend(checksum(fleet.as_bytes(), &body));
    datagram.extend(body);
    datagram
}

fn checksum(fleet: &[u8], body: &[u8]) -> [u8; CHECKSUM_LEN] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(fleet);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}

/// Returns the encoded length of a member update, in bytes.
pub(crate) fn encoded_len(member: &Member<Identity>) -> usize {
    postcard::to_allocvec(member).map_or(MAX_DATAGRAM_LEN, |bytes| bytes.len())
}

/// Decodes a datagram; fails if it is malformed, has another version, or belongs to another fleet.
pub fn decode<'a>(fleet: &str, datagram: &'a [u8]) -> Result<Decoded<'a>, DropReason> {
    let body = validated_body(fleet, datagram)?;
    let (&kind, payload) = body.split_first().ok_or(DropReason::Malformed)?;
    if kind == SWIM_KIND {
        return decode_swim(payload).ok_or(DropReason::Malformed);
    }
    match postcard::take_from_bytes(payload) {
        Ok((message, [])) => Ok(Decoded::Message(message)),
        _ => Err(DropReason::Malformed),
    }
}

/// Validates the length, version, fleet and checksum of a datagram, and returns its body: the kind
/// and the payload or message.
fn validated_body<'a>(fleet: &str, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
    if datagram.len() > MAX_DATAGRAM_LEN {
        return Err(DropReason::Malformed);
    }
    let prefix = datagram.split_first_chunk::<PREFIX_LEN>();
    let (&[version, fleet_len], rest) = prefix.ok_or(DropReason::Malformed)?;
    if version != VERSION {
        return Err(DropReason::UnsupportedVersion);
    }
    let (fleet_name, rest) = rest
        .split_at_checked(fleet_len.into())
        .ok_or(DropReason::Malformed)?;
    if fleet_name != fleet.as_bytes() {
        return Err(DropReason::ForeignFleet);
    }
    let (expected, body) = rest.split_first_chunk().ok_or(DropReason::Malformed)?;
    if checksum(fleet_name, body) != *expected {
        return Err(DropReason::Malformed);
    }
    Ok(body)
}

fn decode_swim(payload: &[u8]) -> Option<Decoded<'_>> {
    let mut rest = payload;
    let Header { src: from, .. } = PostcardCodec.decode_header(&mut rest).ok()?;
    let mut updates = Vec::new();
    if let Some((count, mut members)) = rest.split_first_chunk() {
        for _ in 0..u16::from_be_bytes(*count) {
            updates.push(PostcardCodec.decode_member(&mut members).ok()?);
        }
    }
    Some(Decoded::Swim {
        payload,
        from,
        updates,
    })
}
