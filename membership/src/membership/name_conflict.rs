//! Conflicts over this process's name: the process with the latest incarnation retains the name,
//! and the others yield.

use super::{Membership, Output, Phase};
use crate::identity::Identity;
use crate::wire::Message;
use std::time::Duration;

/// The time after its start during which a process supersedes a claimant that takes precedence, by
/// taking a later incarnation. This covers a restart after the clock was set back.
const SUPERSEDE_WINDOW: Duration = Duration::from_secs(5);
/// The maximum number of claimants that a process may supersede within `SUPERSEDE_WINDOW`.
const MAX_SUPERSEDED_COUNT: u32 = 3;

/// The way in which this process learned of another claim to its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimSource {
    /// The claimant sent a datagram itself.
    Claimant,
    /// Another member reported the claimant.
    Report,
}

/// This process's claim to its name: when the process started, and how many claimants it has
/// superseded since.
#[derive(Debug)]
pub(super) struct NameClaim {
    started_at: Duration,
    superseded_count: u32,
}

impl NameClaim {
    /// Creates the claim of a process that starts at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            superseded_count: 0,
        }
    }

    fn may_supersede(&self, now: Duration) -> bool {
        now < self.started_at + SUPERSEDE_WINDOW && self.superseded_count < MAX_SUPERSEDED_COUNT
    }
}

impl Membership {
    /// Resolves a claim to this process's name.
    ///
    /// If the claimant's identity takes precedence, this process supersedes the claimant by taking
    /// the incarnation after the claimant's, but only within [`SUPERSEDE_WINDOW`] after its start
    /// and at most [`MAX_SUPERSEDED_COUNT`] times; otherwise it yields the name. If this process's
    /// identity takes precedence and the claimant sent the claim itself, this process informs the
    /// claimant. A claim by this process's own identity has no effect.
    pub(super) fn on_name_conflict(&mut self, claimant: Identity, source: ClaimSource) {
        let own_id = self.identity();
        if !claimant.takes_precedence_over(&own_id) {
            if source == ClaimSource::Claimant && own_id.takes_precedence_over(&claimant) {
                self.inform_claimant(&claimant);
            }
        } else if self.name_claim.may_supersede(self.now) {
            self.supersede(claimant);
        } else {
            self.phase = Phase::Yielded;
            self.outputs.push_back(Output::YieldedTo(claimant));
        }
    }

    /// Sends a join message, from which the claimant learns which process has the name.
    fn inform_claimant(&mut self, claimant: &Identity) {
        if self.response_limiter.allows(self.now) {
            let from = self.identity();
            self.send_message(claimant.peer, &Message::Join { from });
        }
    }

    /// Takes the incarnation after the claimant's, so that this process takes precedence.
    fn supersede(&mut self, claimant: Identity) {
        self.name_claim.superseded_count += 1;
        self.swim.change_identity(Identity {
            incarnation: claimant.incarnation + 1,
            rejoin_count: 0,
            ..self.identity()
        });
        self.outputs.push_back(Output::SupersededClaimant(claimant));
        self.process_swim_outputs(None);
    }
}
