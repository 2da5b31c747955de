//! The runtime for `foca`, which collects its payloads, timers and notifications.

use crate::identity::Identity;
use foca::{Notification, OwnedNotification, Timer};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// A timer of `foca`. Timers are ordered by due time; timers that are due at the same time are in
/// the order in which `foca` submitted them.
struct ScheduledTimer {
    due_at: Duration,
    sequence: u64,
    timer: Timer<Identity>,
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledTimer {}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due_at, self.sequence).cmp(&(other.due_at, other.sequence))
    }
}

/// A payload of the SWIM protocol that is to be sent, and its receiver.
pub(crate) struct OutgoingPayload {
    pub(crate) to: Identity,
    pub(crate) payload: Vec<u8>,
}

/// Collects the payloads and notifications of `foca`, and stores its timers.
pub(crate) struct FocaRuntime {
    payloads: Vec<OutgoingPayload>,
    notifications: Vec<OwnedNotification<Identity>>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    next_sequence: u64,
    max_timers: usize,
    /// The current time, to which the delays of new timers are added.
    now: Duration,
    /// The factor by which the intervals and timeouts of probes are lengthened.
    probe_time_factor: u32,
}

impl FocaRuntime {
    /// Creates a runtime without timers. Once it stores `max_timers` timers, it drops new timers
    /// that remove members that left or died.
    pub(crate) fn new(now: Duration, max_timers: usize) -> Self {
        Self {
            payloads: Vec::new(),
            notifications: Vec::new(),
            timers: BinaryHeap::new(),
            next_sequence: 0,
            max_timers,
            now,
            probe_time_factor: 1,
        }
    }

    /// Sets the current time, to which the delays of new timers are added.
    pub(crate) fn set_now(&mut self, now: Duration) {
        self.now = now;
    }

    /// Sets the factor by which the intervals and timeouts of probes are lengthened.
    pub(crate) fn set_probe_time_factor(&mut self, factor: u32) {
        self.probe_time_factor = factor;
    }

    /// Returns the time at which the next timer is due; `None` if there is no timer.
    pub(crate) fn next_timer_at(&self) -> Option<Duration> {
        self.timers
            .peek()
            .map(|Reverse(scheduled)| scheduled.due_at)
    }

    /// Removes and returns the next timer if it is due.
    pub(crate) fn pop_due_timer(&mut self, now: Duration) -> Option<Timer<Identity>> {
        if self.next_timer_at()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse(scheduled)| scheduled.timer)
    }

    /// Postpones, by a duration, the timers that declare suspects dead.
    pub(crate) fn postpone_suspicion_timers(&mut self, by: Duration) {
        let timers = std::mem::take(&mut self.timers).into_iter();
        let postponed = timers.map(|Reverse(mut scheduled)| {
            if matches!(scheduled.timer, Timer::ChangeSuspectToDown { .. }) {
                scheduled.due_at += by;
            }
            Reverse(scheduled)
        });
        self.timers = postponed.collect();
    }

    /// Removes and returns the collected payloads.
    pub(crate) fn drain_payloads(&mut self) -> Vec<OutgoingPayload> {
        std::mem::take(&mut self.payloads)
    }

    /// Removes and returns the collected notifications.
    pub(crate) fn drain_notifications(&mut self) -> Vec<OwnedNotification<Identity>> {
        std::mem::take(&mut self.notifications)
    }
}

impl foca::Runtime<Identity> for FocaRuntime {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.notifications.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        let payload = data.to_vec();
        self.payloads.push(OutgoingPayload { to, payload });
    }

    fn submit_after(&mut self, timer: Timer<Identity>, after: Duration) {
        // Only constant churn creates this many timers. A member whose timer is dropped is
        // forgotten later, after its name has been reported again.
        if self.timers.len() >= self.max_timers && matches!(timer, Timer::RemoveDown(_)) {
            return;
        }
        let factor = match timer {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.probe_time_factor,
            _ => 1,
        };
        self.next_sequence += 1;
        self.timers.push(Reverse(ScheduledTimer {
            due_at: self.now + after * factor,
            sequence: self.next_sequence,
            timer,
        }));
    }
}
