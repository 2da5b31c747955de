//! The watch over the next one: a check every period, repeated where no answer comes.

use crate::health::Health;
use crate::identity::{Identity, Name};
use std::time::Duration;

/// Between the beginnings of two checks.
const PERIOD: Duration = Duration::from_secs(1);
/// How long an answer may take before the check is repeated, or has failed.
const ANSWER: Duration = Duration::from_millis(190);
/// Times that one is asked.
const TRIES: u32 = 4;

/// What the watch wants.
#[derive(Debug, PartialEq, Eq)]
pub enum Want {
    /// To choose whom to check.
    Choose,
    /// To ask again.
    Ask(Identity, u32),
    /// To say that it did not answer.
    Doubt(Identity),
}

#[derive(Debug)]
struct Under {
    target: Identity,
    nonce: u32,
    asked: u32,
    until: Duration,
}

/// The watch over the next one.
#[derive(Debug)]
pub struct Watch {
    next: Duration,
    under: Option<Under>,
    nonce: u32,
}

impl Watch {
    /// One that begins a period from now; nonces begin somewhere.
    pub fn new(now: Duration, nonce: u32) -> Self {
        Self {
            next: now + PERIOD,
            under: None,
            nonce,
        }
    }

    /// When it wants something next.
    pub fn due(&self) -> Duration {
        self.under.as_ref().map_or(self.next, |under| under.until)
    }

    /// What it wants now that its time has come.
    pub fn timeout(&mut self, now: Duration, health: &Health) -> Want {
        match self.under.take() {
            None => {
                self.next = now + health.stretched(PERIOD);
                Want::Choose
            }
            Some(under) if under.asked >= TRIES => Want::Doubt(under.target),
            Some(under) => {
                let (target, nonce) = (under.target, under.nonce);
                let until = now + health.stretched(ANSWER);
                self.under = Some(Under {
                    asked: under.asked + 1,
                    until,
                    ..under
                });
                Want::Ask(target, nonce)
            }
        }
    }

    /// Begins a check of one; its number.
    pub fn begin(&mut self, target: Identity, now: Duration, health: &Health) -> u32 {
        self.nonce = self.nonce.wrapping_add(1);
        let until = now + health.stretched(ANSWER);
        self.under = Some(Under {
            target,
            nonce: self.nonce,
            asked: 1,
            until,
        });
        self.nonce
    }

    /// An answer; whether it was the one waited for.
    pub fn answered(&mut self, nonce: u32, from: Name) -> bool {
        let meant = self
            .under
            .take_if(|under| under.nonce == nonce && under.target.name == from);
        meant.is_some()
    }

    /// What was under way says nothing: this process was stopped meanwhile.
    pub fn drop_check(&mut self) {
        self.under = None;
    }
}
