//! Captured datagrams and the lines of the committed file.

use crate::simulation::FLEET;
use foca::{Codec, Header, Message, PostcardCodec};
use frostkeel_membership::Identity;
use std::fmt::Write as _;

/// A datagram that was delivered, and what its receiver did about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Captured {
    /// The kind of message, see [`kind_of`].
    pub kind: String,
    /// Its position among all datagrams sent.
    pub send_number: u64,
    /// Sender and receiver.
    pub from: u16,
    pub to: u16,
    /// The bytes.
    pub datagram: Vec<u8>,
    /// What its receiver did.
    pub effect: String,
}

impl Captured {
    /// The line of the committed file that stands for it.
    pub fn line(&self) -> String {
        let Captured {
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

/// The kind of a datagram of [`FLEET`], from its bytes: version, length of the fleet's name, the
/// name, a checksum of four bytes, 0 for the SWIM protocol or 1 for the crate's own messages, and
/// the message.
pub fn kind_of(datagram: &[u8]) -> String {
    let protocol = 2 + FLEET.len() + 4;
    let mut payload = &datagram[protocol + 1..];
    if datagram[protocol] != 0 {
        return format!("own-{}", payload[0]);
    }
    let header: Header<Identity> = PostcardCodec.decode_header(&mut payload).expect("a header");
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

/// The bytes that hexadecimal digits stand for.
pub fn bytes_from_hex(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}
