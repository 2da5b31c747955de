//! What `foca` wants done, kept until the machine does it.

use crate::identity::Identity;
use foca::{Notification, OwnedNotification, Timer};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

struct Due {
    at: Duration,
    /// Of those due together, the first submitted comes first.
    number: u64,
    timer: Timer<Identity>,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Sends, timers and notifications.
pub struct Io {
    /// What is to be sent, and to whom.
    pub sends: Vec<(Identity, Vec<u8>)>,
    /// What has changed.
    pub notes: Vec<OwnedNotification<Identity>>,
    /// The time that timers count from.
    pub now: Duration,
    /// How many times as long probes take.
    pub stretch: u32,
    timers: BinaryHeap<Reverse<Due>>,
    number: u64,
    timers_most: usize,
}

impl Io {
    /// Nothing yet; at most so many timers.
    pub fn new(now: Duration, timers_most: usize) -> Self {
        Self {
            sends: Vec::new(),
            notes: Vec::new(),
            now,
            stretch: 1,
            timers: BinaryHeap::new(),
            number: 0,
            timers_most,
        }
    }

    /// When the next timer is due.
    pub fn due(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse(due)| due.at)
    }

    /// The next timer, if it is due.
    pub fn take_due(&mut self, now: Duration) -> Option<Timer<Identity>> {
        if self.due()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse(due)| due.timer)
    }

    /// Who stood still for a while gives those it doubts so much longer.
    pub fn put_off_judgements(&mut self, by: Duration) {
        let put_off = |Reverse(mut due): Reverse<Due>| {
            if matches!(due.timer, Timer::ChangeSuspectToDown { .. }) {
                due.at += by;
            }
            Reverse(due)
        };
        self.timers = std::mem::take(&mut self.timers)
            .into_iter()
            .map(put_off)
            .collect();
    }
}

impl foca::Runtime<Identity> for Io {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.notes.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<Identity>, after: Duration) {
        // Only members that come and go without end make that many: those are then forgotten later, when their
        // names come up again.
        if self.timers.len() >= self.timers_most && matches!(timer, Timer::RemoveDown(_)) {
            return;
        }
        let stretch = match timer {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.stretch,
            _ => 1,
        };
        self.number += 1;
        self.timers.push(Reverse(Due {
            at: self.now + after * stretch,
            number: self.number,
            timer,
        }));
    }
}
