//! Datagrams: the fleet's name and a version in front, a checksum, and what is said.

use crate::identity::{Identity, Place};
use crate::sync::{Part, WAYS};
use foca::{Codec, Header, Member, PostcardCodec};
use serde::{Deserialize, Serialize};

/// The most bytes of a datagram.
pub const DATAGRAM_MOST: usize = 256;
/// The version of this form.
const VERSION: u8 = 1;
/// Bytes in front of what is said, besides the fleet's name: version, length of the name, checksum.
const FRONT: usize = 1 + 1 + 4;
/// What stands before the payload of the protocol itself.
const SWIM: u8 = 0;

/// What this crate adds to the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Own {
    /// The sender has nobody's view at this place: whoever is there may announce itself.
    Hello {
        /// The sender.
        from: Identity,
    },
    /// Are you there?
    Check {
        /// To tell answers apart.
        nonce: u32,
    },
    /// Yes.
    Checked {
        /// The check's.
        nonce: u32,
        /// Who answers.
        from: Identity,
        /// The digest of its view.
        digest: u64,
    },
    /// I hear nothing from there: ask it in my place.
    PassCheck {
        /// To tell answers apart.
        nonce: u32,
        /// Whom.
        to: Place,
    },
    /// Are you there? Somebody else wants to know.
    CheckVia {
        /// The check's.
        nonce: u32,
        /// Who.
        back: Place,
    },
    /// Yes.
    CheckedVia {
        /// The check's.
        nonce: u32,
        /// Who wants to know.
        back: Place,
        /// Who answers.
        from: Identity,
    },
    /// It has answered me.
    Passed {
        /// The check's.
        nonce: u32,
        /// Who has.
        from: Identity,
    },
    /// Our views differ: these are the hashes of a part of mine.
    Compare {
        /// The sender.
        from: Identity,
        /// Which part.
        part: Part,
        /// Of its parts, over who is there.
        hashes: [u32; WAYS],
    },
    /// This is what I know of a part.
    Tell {
        /// The sender.
        from: Identity,
        /// The part that the other is to tell of in turn, if it is.
        back: Option<Part>,
        /// Who is in it, as far as it fits.
        about: Vec<Member<Identity>>,
    },
}

/// A datagram that can be read.
#[derive(Debug)]
pub enum Said<'a> {
    /// The protocol's, with what it tells about whom.
    Swim {
        payload: &'a [u8],
        from: Identity,
        about: Vec<Member<Identity>>,
    },
    /// One of this crate's.
    Own(Own),
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// It is too long, too short, has a wrong checksum, or cannot be decoded.
    Broken,
    /// It is of another version.
    Version,
    /// It is of another fleet.
    Fleet,
    /// It came from an address that is none of the peers'.
    UnknownSender,
    /// It says that it comes from another place than it does.
    Impostor,
    /// It tells of more members than are kept, of places that there are not, or of incarnations yet to come.
    Beyond,
}

/// How many bytes of a payload fit.
pub fn room(fleet: &str) -> usize {
    DATAGRAM_MOST - FRONT - fleet.len() - 1
}

fn framed(fleet: &str, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(FRONT + fleet.len() + 1 + payload.len());
    datagram.extend([VERSION, fleet.len() as u8]);
    datagram.extend(fleet.as_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(fleet.as_bytes());
    sum.update(&[kind]);
    sum.update(payload);
    datagram.extend(sum.finalize().to_le_bytes());
    datagram.push(kind);
    datagram.extend(payload);
    datagram
}

/// Makes the checksum of a datagram good, whatever else is wrong with it.
#[cfg(test)]
pub fn sign(fleet: &str, datagram: &mut [u8]) {
    let said = FRONT + fleet.len();
    if datagram.len() >= said {
        let mut sum = crc32fast::Hasher::new();
        sum.update(&datagram[2..said - 4]);
        sum.update(&datagram[said..]);
        datagram[said - 4..said].copy_from_slice(&sum.finalize().to_le_bytes());
    }
}

/// A datagram of the protocol.
pub fn swim(fleet: &str, payload: &[u8]) -> Vec<u8> {
    framed(fleet, SWIM, payload)
}

/// A datagram of this crate's.
pub fn own(fleet: &str, said: &Own) -> Vec<u8> {
    let payload = postcard::to_allocvec(said).unwrap_or_default();
    framed(fleet, SWIM + 1, &payload)
}

/// What one member takes of a datagram.
pub fn size(member: &Member<Identity>) -> usize {
    postcard::to_allocvec(member).map_or(DATAGRAM_MOST, |bytes| bytes.len())
}

/// Reads a datagram.
pub fn read<'a>(fleet: &str, datagram: &'a [u8]) -> Result<Said<'a>, Dropped> {
    if datagram.len() > DATAGRAM_MOST {
        return Err(Dropped::Broken);
    }
    let (&[version, length], rest) = datagram.split_first_chunk().ok_or(Dropped::Broken)?;
    if version != VERSION {
        return Err(Dropped::Version);
    }
    let (name, rest) = rest
        .split_at_checked(length.into())
        .ok_or(Dropped::Broken)?;
    if name != fleet.as_bytes() {
        return Err(Dropped::Fleet);
    }
    let (sum, said) = rest.split_first_chunk().ok_or(Dropped::Broken)?;
    let mut found = crc32fast::Hasher::new();
    found.update(name);
    found.update(said);
    if found.finalize().to_le_bytes() != *sum {
        return Err(Dropped::Broken);
    }
    match said.split_first() {
        Some((&SWIM, payload)) => read_swim(payload).ok_or(Dropped::Broken),
        Some((_, payload)) => match postcard::take_from_bytes(payload) {
            Ok((said, [])) => Ok(Said::Own(said)),
            _ => Err(Dropped::Broken),
        },
        None => Err(Dropped::Broken),
    }
}

fn read_swim(payload: &[u8]) -> Option<Said<'_>> {
    let mut rest = payload;
    let Header { src: from, .. } = PostcardCodec.decode_header(&mut rest).ok()?;
    let mut about = Vec::new();
    if let Some((count, mut members)) = rest.split_first_chunk() {
        for _ in 0..u16::from_be_bytes(*count) {
            about.push(PostcardCodec.decode_member(&mut members).ok()?);
        }
    }
    Some(Said::Swim {
        payload,
        from,
        about,
    })
}
