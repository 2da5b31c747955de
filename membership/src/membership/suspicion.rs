//! Suspicions: a member that did not acknowledge a probe or check is suspected until it refutes the
//! suspicion or is declared dead.

use super::Membership;
use crate::identity::{Identity, Name};
use crate::swim::SuspectId;
use crate::view::{MemberRecord, MemberState};
use crate::wire::Message;
use foca::{Member, State, Timer};
use std::time::Duration;

/// The interval at which a suspect is notified of the suspicion, so that a suspect that was paused
/// can refute it as soon as it runs again.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(250);

/// A suspicion that this process raised itself; suspicions that other members report are not stored
/// here.
#[derive(Debug)]
struct Suspicion {
    suspect: SuspectId,
    notify_at: Duration,
    expires_at: Duration,
}

/// The suspicions that this process raised itself.
#[derive(Debug)]
pub(super) struct Suspicions {
    entries: Vec<Suspicion>,
    max_entries: usize,
}

impl Suspicions {
    /// Creates an empty set of at most `max_entries` suspicions.
    pub(super) fn new(max_entries: usize) -> Self {
        Self {
            entries: Vec::new(),
            max_entries,
        }
    }

    /// Returns the time at which the next suspect is to be notified or the next suspicion expires;
    /// `None` if there is no suspicion.
    pub(super) fn next_timeout(&self) -> Option<Duration> {
        let timeouts = self
            .entries
            .iter()
            .map(|entry| entry.expires_at.min(entry.notify_at));
        timeouts.min()
    }

    /// Postpones the expiry of all suspicions by a duration.
    pub(super) fn postpone(&mut self, by: Duration) {
        for entry in &mut self.entries {
            entry.expires_at += by;
        }
    }

    fn add(&mut self, suspect: SuspectId, now: Duration, timeout: Duration) {
        let is_known = self.entries.iter().any(|entry| entry.suspect == suspect);
        if !is_known && self.entries.len() < self.max_entries {
            self.entries.push(Suspicion {
                suspect,
                notify_at: now,
                expires_at: now + timeout,
            });
        }
    }

    /// Returns the suspects whose notification is due, and schedules the next notification of each.
    fn reschedule_due_notifications(&mut self, now: Duration) -> Vec<SuspectId> {
        let mut due = Vec::new();
        for entry in self
            .entries
            .iter_mut()
            .filter(|entry| entry.notify_at <= now)
        {
            entry.notify_at = now + NOTIFY_INTERVAL;
            due.push(entry.suspect);
        }
        due
    }

    /// Removes the suspicions that have expired, and returns their suspects.
    fn drain_expired(&mut self, now: Duration) -> Vec<SuspectId> {
        let expired = self.entries.extract_if(.., |entry| entry.expires_at <= now);
        expired.map(|entry| entry.suspect).collect()
    }
}

impl Membership {
    /// Suspects a member that did not acknowledge a check, and disseminates the suspicion. Has no
    /// effect if the SWIM implementation no longer considers the member alive or suspect.
    pub(super) fn suspect(&mut self, id: Identity) {
        let Some(member) = self.swim.active_members().find(|member| *member.id() == id) else {
            return;
        };
        let suspect = SuspectId::of(member);
        self.swim.disseminate(suspect.update(State::Suspect));
        self.process_swim_outputs(None);
        self.refresh_suspicions(None, |member| *member.id() == id);
        self.track(suspect);
    }

    /// Adds a suspicion for each member that the SWIM implementation newly suspects after a random
    /// probe failed.
    pub(super) fn track_new_suspects(&mut self) {
        let suspects = self.refresh_suspicions(None, |member| member.state() == State::Suspect);
        for suspect in suspects {
            self.track(suspect);
        }
    }

    /// Adds a suspicion that this process raised itself, so that its suspect is notified of it
    /// and declared dead when it expires.
    fn track(&mut self, suspect: SuspectId) {
        let timeout = self.swim.suspicion_timeout();
        self.suspicions.add(suspect, self.now, timeout);
    }

    /// Notifies each suspect that is due for a notification, so that a suspect that was only paused
    /// can refute the suspicion immediately.
    pub(super) fn notify_suspects(&mut self) {
        for suspect in self.suspicions.reschedule_due_notifications(self.now) {
            let notification = Message::ViewMembers {
                from: self.identity(),
                requested_in_return: None,
                members: vec![suspect.update(State::Suspect)],
            };
            self.send_message(suspect.id.peer, &notification);
        }
    }

    /// Declares dead each suspect that has not refuted the suspicion before it expired.
    pub(super) fn expire_suspicions(&mut self) {
        for suspect in self.suspicions.drain_expired(self.now) {
            if self.swim.is_suspect(&suspect) {
                self.swim.disseminate(suspect.update(State::Down));
                self.process_swim_outputs(None);
            }
        }
    }

    /// Returns whether a timer is to declare a suspect dead although the suspicion no longer
    /// applies, for example because the member refuted it. If `foca` handled this timer, it would
    /// not change the member's state, but would notify the member that it is dead and so cause a
    /// needless rejoin.
    pub(super) fn is_refuted_suspicion(&self, timer: &Timer<Identity>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let suspect = SuspectId {
            id: *member_id,
            refutation_number: *incarnation,
        };
        !self.swim.is_suspect(&suspect)
    }

    /// Updates the view for the members that a received datagram may have made suspect or cleared
    /// of a suspicion: the members in `updates`, and the sender `from`.
    pub(super) fn refresh_suspicions_among(&mut self, updates: &[Member<Identity>], from: Name) {
        let is_suspect = |name: &Name| {
            let member = self.view.get(name);
            member.is_some_and(|member| member.state == MemberState::Suspect)
        };
        let affected = updates
            .iter()
            .filter(|update| update.state() == State::Suspect || is_suspect(&update.id().name));
        let mut names: Vec<Name> = affected.map(|update| update.id().name).collect();
        names.extend(Some(from).filter(is_suspect));
        if !names.is_empty() {
            self.refresh_suspicions(Some(from), |member| names.contains(&member.id().name));
        }
    }

    /// Copies the states of the selected members from the SWIM implementation to the view, and
    /// returns the new suspects. This is necessary because `foca` sends no notification when a
    /// suspicion begins or is refuted.
    fn refresh_suspicions(
        &mut self,
        reported_by: Option<Name>,
        is_selected: impl Fn(&Member<Identity>) -> bool,
    ) -> Vec<SuspectId> {
        let mut changes = Vec::new();
        let mut suspects = Vec::new();
        for member in self
            .swim
            .active_members()
            .filter(|member| is_selected(member))
        {
            let state = active_state(member);
            let known = self.view.get(&member.id().name);
            if known.is_some_and(|known| known.state.is_live() && known.state != state) {
                changes.push(MemberRecord {
                    id: *member.id(),
                    state,
                    since: self.now,
                    reported_by,
                });
                if state == MemberState::Suspect {
                    suspects.push(SuspectId::of(member));
                }
            }
        }
        for record in changes {
            self.record(record);
        }
        suspects
    }
}

/// Returns the view's state for a member that the SWIM implementation considers active.
fn active_state(member: &Member<Identity>) -> MemberState {
    if member.state() == State::Suspect {
        MemberState::Suspect
    } else if member.id().is_leaving {
        MemberState::Left
    } else {
        MemberState::Alive
    }
}
