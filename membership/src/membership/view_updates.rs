//! Processes the outputs of the SWIM implementation: applies its notifications to the view, and
//! sends its payloads to peers.

use super::{Membership, Output};
use crate::identity::{Identity, Name};
use crate::view::{MemberRecord, MemberState};
use crate::wire;
use foca::OwnedNotification;

impl Membership {
    /// Records a member's state in the view. If the number of live members changes, restarts the
    /// backoff of the join schedule, so that peers at which no live member is known are contacted
    /// sooner.
    pub(super) fn record(&mut self, record: MemberRecord) {
        let previous_live_count = self.view.live_count();
        if let Some(change) = self.view.record(record) {
            self.outputs.push_back(Output::ViewChanged(change));
            if self.view.live_count() != previous_live_count {
                self.join_schedule.reset(self.now, &mut self.rng);
            }
        }
    }

    /// Applies the notifications of the SWIM implementation to the view, records this process's own
    /// identity if it has changed, and sends the payloads. `reported_by` is the member whose
    /// datagram reported the changes; `None` if this process detected them itself.
    pub(super) fn process_swim_outputs(&mut self, reported_by: Option<Name>) {
        let own_id = self.identity();
        for notification in self.swim.drain_notifications() {
            if let Some((id, state)) = self.notified_state(&notification)
                && id.name != own_id.name
            {
                self.record_now(id, state, reported_by);
            }
        }
        if self
            .view
            .get(&own_id.name)
            .is_none_or(|record| record.id != own_id)
        {
            let state = if own_id.is_leaving {
                MemberState::Left
            } else {
                MemberState::Alive
            };
            self.record_now(own_id, state, reported_by);
        }
        self.send_swim_payloads(own_id.name);
    }

    fn record_now(&mut self, id: Identity, state: MemberState, reported_by: Option<Name>) {
        self.record(MemberRecord {
            id,
            state,
            since: self.now,
            reported_by,
        });
    }

    /// Returns the member and its new state, if a notification reports one.
    fn notified_state(
        &self,
        notification: &OwnedNotification<Identity>,
    ) -> Option<(Identity, MemberState)> {
        match *notification {
            OwnedNotification::MemberUp(id) => Some((id, state_or_left(&id, MemberState::Alive))),
            OwnedNotification::MemberDown(id) => Some((id, state_or_left(&id, MemberState::Dead))),
            // If the earlier identity was active, `foca` reports the new one by this notification
            // alone. A leaving identity remains active until it is declared down.
            OwnedNotification::Rename(_, id) if self.swim.is_active(&id) => {
                Some((id, state_or_left(&id, MemberState::Alive)))
            }
            OwnedNotification::Rename(_, id) => Some((id, state_or_left(&id, MemberState::Dead))),
            _ => None,
        }
    }

    fn send_swim_payloads(&mut self, own_name: Name) {
        for outgoing in self.swim.drain_payloads() {
            if outgoing.to.name != own_name {
                let datagram = wire::encode_swim(&self.config.fleet, &outgoing.payload);
                self.send(outgoing.to.peer, datagram);
            }
        }
    }
}

/// Returns `Left` for a member that announced its leave, whether or not it still runs, and `state`
/// for any other member.
fn state_or_left(id: &Identity, state: MemberState) -> MemberState {
    if id.is_leaving {
        MemberState::Left
    } else {
        state
    }
}
