//! The log of all outputs of the simulated members.

use frostkeel_membership::{DropReason, Identity, MemberState, Membership, Output, Phase};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::time::Duration;

/// A digest of the outputs, timeouts, phases, health scores and counters of all members. Enum
/// variants are recorded by position, so that renaming a variant does not change the digest.
#[derive(Default)]
pub struct OutputLog {
    hasher: SipHasher13,
    output_count: u64,
    /// The number of outputs that report that a process superseded another claimant to its name.
    pub superseded_count: u64,
    /// The number of outputs that report that a process yielded its name.
    pub yielded_count: u64,
}

/// The state of the log before the section that is currently recorded. A section is a sequence of
/// records with a digest of its own: [`OutputLog::begin_section`] saves the log's hasher here and
/// starts an empty one for the section; [`OutputLog::end_section`] restores the saved hasher and
/// records the section's digest in it.
pub struct StateBeforeSection {
    /// The hasher of all records before the section.
    hasher: SipHasher13,
    /// The number of outputs before the section.
    output_count: u64,
}

/// The digest of a section, and the number of outputs in the section.
pub struct SectionDigest {
    /// The number of outputs in the section.
    pub output_count: u64,
    /// The digest of all records in the section.
    pub digest: u64,
}

impl OutputLog {
    /// Returns the digest of all records since the start of the simulation.
    pub fn digest(&self) -> u64 {
        self.hasher.finish()
    }

    /// Returns the number of outputs since the start of the simulation.
    pub fn output_count(&self) -> u64 {
        self.output_count
    }

    /// Begins a section. No other section may be open.
    pub fn begin_section(&mut self) -> StateBeforeSection {
        StateBeforeSection {
            hasher: std::mem::take(&mut self.hasher),
            output_count: self.output_count,
        }
    }

    /// Ends the section that began in the state `before`, and records its digest in the log.
    pub fn end_section(&mut self, before: StateBeforeSection) -> SectionDigest {
        let digest = std::mem::replace(&mut self.hasher, before.hasher).finish();
        self.record(&digest.to_le_bytes());
        SectionDigest {
            output_count: self.output_count - before.output_count,
            digest,
        }
    }

    /// Adds bytes to the digest.
    pub fn record(&mut self, bytes: &[u8]) {
        self.hasher.write(bytes);
    }

    /// Records the next timeout, phase, health score and counters of a member.
    pub fn record_status(&mut self, membership: &Membership) {
        let due_ns = membership.next_timeout().map_or(u64::MAX, nanoseconds);
        self.record(&due_ns.to_le_bytes());
        let phase = phase_position(membership.phase());
        self.record(&[phase, membership.health_score() as u8]);
        let counters = membership.counters();
        for count in [
            counters.sent,
            counters.sent_bytes,
            counters.received,
            counters.received_bytes,
            counters.protocol_errors,
            counters.refutations,
            counters.pauses,
        ] {
            self.record(&count.to_le_bytes());
        }
    }

    /// Records an output of the member at a peer.
    pub fn record_output(&mut self, now: Duration, peer: u16, output: &Output) {
        self.output_count += 1;
        self.record(&nanoseconds(now).to_le_bytes());
        self.record(&peer.to_le_bytes());
        match output {
            Output::Send { to, datagram } => {
                self.record(&[0]);
                self.record(&to.0.to_le_bytes());
                self.record(&[datagram.len() as u8]);
                self.record(datagram);
            }
            Output::ViewChanged(change) => {
                let member = &change.member;
                let reported_by = member.reported_by.map(|name| name.to_string());
                self.record(&[1, state_position(member.state)]);
                self.record(&change.version.to_le_bytes());
                self.record_identity(&member.id);
                self.record(&nanoseconds(member.since).to_le_bytes());
                self.record(reported_by.unwrap_or_default().as_bytes());
            }
            Output::SupersededClaimant(id) => {
                self.superseded_count += 1;
                self.record(&[2]);
                self.record_identity(id);
            }
            Output::YieldedTo(id) => {
                self.yielded_count += 1;
                self.record(&[3]);
                self.record_identity(id);
            }
        }
    }

    fn record_identity(&mut self, id: &Identity) {
        self.record(&postcard::to_allocvec(id).expect("an identity can be encoded"));
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    duration.as_nanos() as u64
}

fn state_position(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Left => 2,
        MemberState::Dead => 3,
    }
}

fn phase_position(phase: Phase) -> u8 {
    match phase {
        Phase::Member => 0,
        Phase::Yielded => 1,
        Phase::Left => 2,
    }
}

/// Returns the position of a reason among the variants of [`DropReason`], from 1.
pub fn drop_position(reason: DropReason) -> u8 {
    match reason {
        DropReason::Malformed => 1,
        DropReason::UnsupportedVersion => 2,
        DropReason::ForeignFleet => 3,
        DropReason::UnknownSender => 4,
        DropReason::SenderMismatch => 5,
        DropReason::Implausible => 6,
    }
}
