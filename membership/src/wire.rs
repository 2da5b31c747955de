//! The form of datagrams: a version, the fleet's name, a checksum and a message.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | version of this form |
//! | 1 | length of the fleet's name |
//! | 1 to 32 | the fleet's name |
//! | 4 | CRC-32 of the fleet's name and all bytes after the checksum, little-endian |
//! | 1 | 0: a payload of the SWIM protocol; otherwise a [`Message`] of this crate |
//! | the rest | the payload or message, in postcard's form |

mod message;

pub use message::Message;

use crate::identity::Identity;
use foca::{Codec, Header, Member, PostcardCodec};
use thiserror::Error;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 256;
/// The version of this form.
const VERSION: u8 = 1;
const CHECKSUM_LEN: usize = 4;
/// The version and the length of the fleet's name.
const PREFIX_LEN: usize = 2;
const SWIM_KIND: u8 = 0;
const MESSAGE_KIND: u8 = 1;
const KIND_LEN: usize = 1;

/// A decoded datagram.
#[derive(Debug)]
pub enum Decoded<'a> {
    /// A payload of the SWIM protocol.
    Swim {
        /// The complete payload.
        payload: &'a [u8],
        /// Its sender.
        from: Identity,
        /// The member updates that it carries.
        updates: Vec<Member<Identity>>,
    },
    /// A message of this crate.
    Message(Message),
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// It is too long, too short, has a wrong checksum, or cannot be decoded.
    #[error("the datagram is malformed")]
    Malformed,
    /// It has another version of the form.
    #[error("the datagram has an unsupported version")]
    UnsupportedVersion,
    /// It belongs to another fleet.
    #[error("the datagram belongs to another fleet")]
    ForeignFleet,
    /// Its source address is not one of the peers'.
    #[error("the datagram's source is not a peer")]
    UnknownSender,
    /// Its sender claims another peer index than its source address has.
    #[error("the sender is not the peer that it claims to be")]
    SenderMismatch,
    /// It mentions more members than can be remembered, peers that do not exist, or incarnations
    /// from the future.
    #[error("the datagram mentions a member that cannot exist")]
    Implausible,
}

/// How many bytes of payload fit into a datagram of a fleet.
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

/// The encoded length of a member update.
pub(crate) fn encoded_len(member: &Member<Identity>) -> usize {
    postcard::to_allocvec(member).map_or(MAX_DATAGRAM_LEN, |bytes| bytes.len())
}

/// Decodes a datagram of a fleet.
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

/// Checks everything in front of the body: length, version, fleet and checksum.
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
