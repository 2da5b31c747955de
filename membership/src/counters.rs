//! Counters of traffic, dropped datagrams, and what a process observes about itself: refutations
//! and pauses.

use crate::wire::DropReason;
use serde::Serialize;

/// The counters of one process since its start. The serialized keys are a published format and
/// differ from some field names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// The number of datagrams sent to peers.
    pub sent: u64,
    /// The number of bytes in the datagrams sent.
    pub sent_bytes: u64,
    /// The number of datagrams received, dropped ones included.
    pub received: u64,
    /// The number of bytes received, those of dropped datagrams included.
    pub received_bytes: u64,
    /// The number of datagrams dropped as [`DropReason::Malformed`].
    #[serde(rename = "broken")]
    pub malformed: u64,
    /// The number of datagrams dropped as [`DropReason::UnsupportedVersion`].
    #[serde(rename = "other_version")]
    pub unsupported_version: u64,
    /// The number of datagrams dropped as [`DropReason::ForeignFleet`].
    #[serde(rename = "other_fleet")]
    pub foreign_fleet: u64,
    /// The number of datagrams dropped as [`DropReason::UnknownSender`].
    pub unknown_sender: u64,
    /// The number of datagrams dropped as [`DropReason::SenderMismatch`].
    #[serde(rename = "impostor")]
    pub sender_mismatch: u64,
    /// The number of datagrams dropped as [`DropReason::Implausible`].
    #[serde(rename = "beyond")]
    pub implausible: u64,
    /// The number of payloads, timers and requests that the SWIM implementation rejected with an
    /// error.
    #[serde(rename = "odd")]
    pub protocol_errors: u64,
    /// The number of times that this process refuted a suspicion of itself.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// The number of timeouts that this process handled more than 500 ms after they were due. It
    /// concludes from each of them that it was paused.
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
