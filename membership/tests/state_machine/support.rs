//! Members and datagrams for the tests of the state machine.

use foca::{Codec, Header, Member, Message, PostcardCodec};
use frostkeel_membership::{Config, Identity, Membership, Name, PeerIndex, wire};
use std::time::Duration;

/// The name of the fleet in all configurations and datagrams.
pub const FLEET: &str = "tests";
/// The number of peers in each configuration.
pub const PEER_COUNT: u16 = 8;
/// The maximum number of remembered members in each configuration.
pub const MAX_MEMBERS: usize = 16;
/// The incarnation in each configuration, as a Unix time in milliseconds.
pub const BASE_INCARNATION: u64 = 1_700_000_000_000;

/// Returns the name of the member with a number.
pub fn name(number: u16) -> Name {
    Name::new(&format!("m{number}")).expect("a valid name")
}

/// Returns the identity of the member with a number, at the peer with the same index. Its
/// incarnation is `incarnation_offset_ms` after [`BASE_INCARNATION`].
pub fn identity(number: u16, incarnation_offset_ms: u64) -> Identity {
    Identity {
        name: name(number),
        peer: PeerIndex(number),
        incarnation: BASE_INCARNATION + incarnation_offset_ms,
        rejoin_count: 0,
        is_leaving: false,
    }
}

/// Creates the state machine of the member with a number, which starts at time zero.
pub fn new_membership(number: u16) -> Membership {
    let config = Config {
        fleet: FLEET.into(),
        name: name(number),
        peer: PeerIndex(number),
        peer_count: PEER_COUNT,
        incarnation: BASE_INCARNATION,
        max_members: MAX_MEMBERS,
        down_member_retention: Duration::from_secs(600),
        seed: 7 + u64::from(number),
    };
    Membership::new(config, Duration::ZERO).expect("a valid configuration")
}

/// Encodes a gossip datagram with updates.
pub fn encode_gossip(from: Identity, to: Identity, updates: &[Member<Identity>]) -> Vec<u8> {
    let mut payload = Vec::new();
    let header = Header {
        src: from,
        src_incarnation: 0,
        dst: to,
        message: Message::Gossip,
    };
    PostcardCodec
        .encode_header(&header, &mut payload)
        .expect("the header can be encoded");
    payload.extend((updates.len() as u16).to_be_bytes());
    for update in updates {
        PostcardCodec
            .encode_member(update, &mut payload)
            .expect("the update can be encoded");
    }
    wire::encode_swim(FLEET, &payload)
}

/// Corrects the checksum of a datagram and leaves all other bytes unchanged.
pub fn correct_checksum(datagram: &mut [u8]) {
    let checksum_at = 2 + FLEET.len();
    let body_at = checksum_at + 4;
    if datagram.len() < body_at {
        return;
    }
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&datagram[2..checksum_at]);
    hasher.update(&datagram[body_at..]);
    datagram[checksum_at..body_at].copy_from_slice(&hasher.finalize().to_le_bytes());
}
