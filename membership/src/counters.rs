//! Counters of traffic, dropped datagrams and self-observations.

use crate::wire::DropReason;
use serde::Serialize;

/// Counters since the start. The serialized keys are a published form and differ from some field
/// names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received, dropped ones included.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Dropped: [`DropReason::Malformed`].
    #[serde(rename = "broken")]
    pub malformed: u64,
    /// Dropped: [`DropReason::UnsupportedVersion`].
    #[serde(rename = "other_version")]
    pub unsupported_version: u64,
    /// Dropped: [`DropReason::ForeignFleet`].
    #[serde(rename = "other_fleet")]
    pub foreign_fleet: u64,
    /// Dropped: [`DropReason::UnknownSender`].
    pub unknown_sender: u64,
    /// Dropped: [`DropReason::SenderMismatch`].
    #[serde(rename = "impostor")]
    pub sender_mismatch: u64,
    /// Dropped: [`DropReason::Implausible`].
    #[serde(rename = "beyond")]
    pub implausible: u64,
    /// Datagrams and timers that the SWIM protocol rejected in its current state.
    #[serde(rename = "odd")]
    pub protocol_errors: u64,
    /// Times that this process refuted a suspicion of itself.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// Times that this process ran late enough to distrust its own timeouts.
    pub pauses: u64,
}

impl Counters {
    /// Counts a received datagram.
    pub(crate) fn record_received(&mut self, datagram: &[u8]) {
        self.received += 1;
        self.received_bytes += datagram.len() as u64;
    }

    /// Counts a sent datagram.
    pub(crate) fn record_sent(&mut self, datagram: &[u8]) {
        self.sent += 1;
        self.sent_bytes += datagram.len() as u64;
    }

    /// Counts a dropped datagram.
    pub(crate) fn record_dropped(&mut self, reason: DropReason) {
        let counter = match reason {
            DropReason::Malformed => &mut self.malformed,
            DropReason::UnsupportedVersion => &mut self.unsupported_version,
            DropReason::ForeignFleet => &mut self.foreign_fleet,
            DropReason::UnknownSender => &mut self.unknown_sender,
            DropReason::SenderMismatch => &mut self.sender_mismatch,
            DropReason::Implausible => &mut self.implausible,
        };
        *counter += 1;
    }
}
