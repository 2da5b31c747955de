//! When places at which nobody is present are called.

use rand::RngExt;
use std::time::Duration;

/// Between two calls, at first and at most; each is drawn from half to one and a half of that.
const FIRST: Duration = Duration::from_secs(1);
const MOST: Duration = Duration::from_secs(8);
/// Answers to calls that are given at once, and how soon another one can be: a storm of calls is not answered by one.
const ANSWERS: f64 = 20.0;
const ANSWERS_PER_S: f64 = 20.0;

/// When places at which nobody is present are called.
#[derive(Debug)]
pub struct Hello {
    due: Duration,
    every: Duration,
    answers: f64,
    answered: Duration,
}

impl Hello {
    /// The first call is due at once.
    pub fn new(now: Duration) -> Self {
        Self {
            due: now,
            every: FIRST,
            answers: ANSWERS,
            answered: now,
        }
    }

    /// When the next one is due.
    pub fn due(&self) -> Duration {
        self.due
    }

    /// One was made: the next one comes later, up to a bound.
    pub fn made(&mut self, now: Duration, rng: &mut impl RngExt) {
        self.due = now + self.every.mul_f64(rng.random_range(0.5..1.5));
        self.every = (self.every * 2).min(MOST);
    }

    /// The view has changed: there may be others to be found.
    pub fn again(&mut self, now: Duration, rng: &mut impl RngExt) {
        self.every = FIRST;
        self.due = self
            .due
            .min(now + FIRST.mul_f64(rng.random_range(0.5..1.5)));
    }

    /// Whether a call that came is to be answered.
    pub fn may_answer(&mut self, now: Duration) -> bool {
        let since = now.saturating_sub(self.answered).as_secs_f64();
        self.answers = (self.answers + since * ANSWERS_PER_S).min(ANSWERS);
        self.answered = now;
        let may = self.answers >= 1.0;
        self.answers -= f64::from(u8::from(may));
        may
    }
}
