//! Conflicts over this process's name: the latest incarnation retains it, and the others yield.

use super::{Membership, Output, Phase};
use crate::identity::Identity;
use crate::wire::Message;
use std::time::Duration;

/// For how long after its start a process may supersede a later incarnation of its name. Its clock
/// may have been set back since its previous start.
const JOIN_PERIOD: Duration = Duration::from_secs(5);
/// How often it may do so.
const MAX_SUPERSEDED: u32 = 3;

/// How this process learned of another claim to its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimSource {
    /// From the claimant itself.
    Claimant,
    /// From another member's report.
    Report,
}

/// This process's claim to its name.
#[derive(Debug)]
pub(super) struct NameClaim {
    started_at: Duration,
    superseded_count: u32,
}

impl NameClaim {
    /// The claim of a process that starts now.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            superseded_count: 0,
        }
    }

    fn may_supersede(&self, now: Duration) -> bool {
        now < self.started_at + JOIN_PERIOD && self.superseded_count < MAX_SUPERSEDED
    }
}

impl Membership {
    /// Resolves another claim to this process's name, or recognizes this process itself.
    pub(super) fn on_name_conflict(&mut self, claimant: Identity, source: ClaimSource) {
        let own_id = self.identity();
        if !claimant.supersedes(&own_id) {
            if source == ClaimSource::Claimant && own_id.supersedes(&claimant) {
                self.inform_superseded_claimant(&claimant);
            }
        } else if self.name_claim.may_supersede(self.now) {
            self.supersede(claimant);
        } else {
            self.phase = Phase::Yielded;
            self.outputs.push_back(Output::Yielded(claimant));
        }
    }

    /// A claimant that is still running learns from the message who has the name.
    fn inform_superseded_claimant(&mut self, claimant: &Identity) {
        if self.response_limiter.allows(self.now) {
            let from = self.identity();
            self.send_message(claimant.peer, &Message::Join { from });
        }
    }

    fn supersede(&mut self, claimant: Identity) {
        self.name_claim.superseded_count += 1;
        self.swim.change_identity(Identity {
            incarnation: claimant.incarnation + 1,
            rejoin_count: 0,
            ..self.identity()
        });
        self.outputs.push_back(Output::Superseded(claimant));
        self.apply_protocol_changes(None);
    }
}
