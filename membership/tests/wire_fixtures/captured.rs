//! Captured datagrams, and their lines in the committed file `tests/data/datagrams.txt`.

use crate::simulation::FLEET;
use foca::{Codec, Header, Message, PostcardCodec};
use frostkeel_membership::Identity;
use std::fmt::Write as _;

/// A delivered datagram and its effect on the receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapturedDatagram {
    /// The kind of message, see [`kind_of`].
    pub kind: String,
    /// The position of this datagram among all datagrams sent, from 0.
    pub send_number: u64,
    /// The peer index of the sender.
    pub from: u16,
    /// The peer index of the receiver.
    pub to: u16,
    /// The bytes of the datagram as delivered.
    pub datagram: Vec<u8>,
    /// The receiver's outputs, and the version and digest of its view afterwards.
    pub effect: String,
}

impl CapturedDatagram {
    /// Returns the line of the committed file for this datagram.
    pub fn line(&self) -> String {
        let CapturedDatagram {
            kind,
            send_number,
            from,
            to,
            datagram,
            effect,
        } = self;
        format!(
            "{kind} {send_number} {from} {to} {} {effect}\n",
            hex(datagram)
        )
    }
}

/// Returns the kind of a datagram of [`FLEET`]: `swim-` and the name of a message of the SWIM
/// protocol, or `own-` and the position of a message among the variants of the crate's messages.
///
/// A datagram consists of one byte for the version, one for the length of the fleet's name, the
/// name, a checksum of four bytes, one byte that is 0 for the SWIM protocol or 1 for the crate's
/// own messages, and the message.
pub fn kind_of(datagram: &[u8]) -> String {
    let kind_at = 2 + FLEET.len() + 4;
    let mut payload = &datagram[kind_at + 1..];
    if datagram[kind_at] != 0 {
        return format!("own-{}", payload[0]);
    }
    let header: Header<Identity> = PostcardCodec
        .decode_header(&mut payload)
        .expect("a valid SWIM header");
    let kind = match header.message {
        Message::Ping(_) => "ping",
        Message::Ack(_) => "ack",
        Message::PingReq { .. } => "ping-req",
        Message::IndirectPing { .. } => "indirect-ping",
        Message::IndirectAck { .. } => "indirect-ack",
        Message::ForwardedAck { .. } => "forwarded-ack",
        Message::Announce => "announce",
        Message::Feed => "feed",
        Message::Gossip => "gossip",
        Message::Broadcast => "broadcast",
        Message::TurnUndead => "turn-undead",
    };
    format!("swim-{kind}")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
        text
    })
}

/// Parses hexadecimal digits into bytes.
pub fn bytes_from_hex(hex: &str) -> Vec<u8> {
    let digits =
        |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}
