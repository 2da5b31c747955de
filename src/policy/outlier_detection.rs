//! Outlier detection: compares an upstream's outcomes with those of the others, ejects it for one
//! class, schedules the trials that end such an ejection, and decides which upstreams a class may
//! be sent to.

use super::clock::JitteredClock;
use super::requests::EndedAttempt;
use super::upstream_health::{FIRST_EJECTION_S, Fault};
use super::upstreams::{Upstream, Upstreams};
use crate::interface::Outcome;

/// Doublings of the span between trials of upstreams that are ejected for a class, at the most.
const MAX_TRIAL_DOUBLINGS: u32 = 4;
/// Fraction of the ready upstreams that may be ejected: when more seem unhealthy, the cause is
/// common.
const MAX_EJECTED_FRACTION: f64 = 0.6;
/// Faults in a row after which an upstream is ejected for the class that met them.
const MAX_CLASS_FAULTS: u32 = 2;
/// Fraction of the other upstreams with errors from which on the cause is common, such as the
/// network. Then an error counts for this part of itself at the least, and so many times as many in
/// a row make a fault.
const COMMON_ERROR_FRACTION: f64 = 0.5;
const MIN_ERROR_WEIGHT: f64 = 0.3;
const COMMON_ERROR_FAULTS: u32 = 4;

/// Trials of upstreams that are ejected for one class.
#[derive(Clone, Default)]
struct ClassTrials {
    /// Since the last one that got a response.
    unsuccessful: u32,
    next_at_s: f64,
}

/// Which upstreams the turns of a class may go to.
pub(super) struct ClassEligibility {
    class: usize,
    /// The class may not run twice, and others could show how a suspected upstream is.
    needs_proven: bool,
    /// None is healthy for the class: all are taken.
    ignores_health: bool,
}

impl ClassEligibility {
    pub(super) fn accepts(&self, upstream: &Upstream) -> bool {
        self.ignores_health
            || !(upstream.health.is_ejected_for(self.class) || self.avoids_suspected(upstream))
    }

    fn avoids_suspected(&self, upstream: &Upstream) -> bool {
        upstream.health.is_on_probation() && (self.needs_proven || upstream.load.in_flight() > 0)
    }
}

/// Whether so many of all upstreams may be ejected: when more seem unhealthy, the cause is common.
pub(super) fn may_be_ejected(ejected: usize, all: usize) -> bool {
    ejected as f64 <= MAX_EJECTED_FRACTION * all as f64
}

/// Fraction of the other upstreams of the rotation that have responded with an error recently.
fn common_error_fraction(upstreams: &Upstreams, rotation: &[usize], but: usize, now_s: f64) -> f64 {
    let others = || rotation.iter().filter(|slot| **slot != but);
    let erring = others()
        .filter(|slot| upstreams[**slot].health.has_erred_recently(now_s))
        .count();
    erring as f64 / others().count().max(1) as f64
}

/// The fault that the end of an attempt is, for all classes.
fn fault_of(outcome: Outcome, common_errors: f64) -> Option<Fault> {
    match outcome {
        Outcome::Error => {
            let weight = (1.0 - common_errors).max(MIN_ERROR_WEIGHT);
            Some(Fault::Error { weight })
        }
        Outcome::Rejected => Some(Fault::Rejected),
        Outcome::ConnectFailed | Outcome::Reset => Some(Fault::ConnectionFailure),
        Outcome::Ok | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => None,
    }
}

/// The trials of upstreams that are ejected for a class, by class.
pub(super) struct OutlierDetection {
    trials: Vec<ClassTrials>,
}

impl OutlierDetection {
    pub(super) fn new(class_count: usize) -> Self {
        Self {
            trials: vec![ClassTrials::default(); class_count],
        }
    }

    /// Records the end of an attempt in the health of its upstream for the attempt's class. Returns
    /// the fault that it is for all classes.
    pub(super) fn record_outcome(
        &mut self,
        upstreams: &mut Upstreams,
        rotation: &[usize],
        slot: usize,
        attempt: &EndedAttempt,
        clock: &mut JitteredClock<'_>,
    ) -> Option<Fault> {
        let now_s = clock.now_s;
        let common_errors = common_error_fraction(upstreams, rotation, slot, now_s);
        let is_ejected = |slot: &&usize| upstreams[**slot].health.is_ejected_for(attempt.class);
        let ejected = rotation.iter().filter(is_ejected).count() + 1;
        let may_eject = may_be_ejected(ejected, rotation.len());
        let health = &mut upstreams[slot].health;
        let trials = &mut self.trials[attempt.class];
        health.record_response(attempt.outcome, now_s);
        if attempt.outcome == Outcome::Ok {
            if health.record_class_answer(attempt.class, attempt.was_overdue) {
                // The cause may have been common: the others are tried at once.
                trials.unsuccessful = 0;
                trials.next_at_s = now_s;
            }
        } else if attempt.is_fault(!health.is_ejected(now_s)) {
            health.record_class_fault(attempt.class);
        }
        let is_common = common_errors > COMMON_ERROR_FRACTION;
        let max_faults = MAX_CLASS_FAULTS * if is_common { COMMON_ERROR_FAULTS } else { 1 };
        if may_eject && health.is_faulty_for(attempt.class, max_faults) {
            health.eject_for(attempt.class, now_s);
            if trials.next_at_s <= now_s {
                trials.unsuccessful = 0;
                trials.next_at_s = clock.after_s(FIRST_EJECTION_S);
            }
        }
        fault_of(attempt.outcome, common_errors)
    }

    /// Which upstreams the turns of a class may go to.
    pub(super) fn eligibility(
        &self,
        upstreams: &Upstreams,
        rotation: &[usize],
        class: usize,
        needs_proven: bool,
    ) -> ClassEligibility {
        let mut eligibility = ClassEligibility {
            class,
            needs_proven,
            ignores_health: false,
        };
        eligibility.ignores_health = rotation.iter().all(|slot| {
            let upstream = &upstreams[*slot];
            is_out_for(upstream, class) || eligibility.avoids_suspected(upstream)
        });
        eligibility
    }

    /// The upstream that gets a trial for a class it was ejected for, if one is due: one at a time
    /// with a backoff, as each may cost a request that can't be retried.
    pub(super) fn due_trial(
        &mut self,
        upstreams: &mut Upstreams,
        rotation: &[usize],
        class: usize,
        clock: &mut JitteredClock<'_>,
    ) -> Option<usize> {
        let trials = &mut self.trials[class];
        if clock.now_s < trials.next_at_s {
            return None;
        }
        let last_trial_at_s = |slot: &usize| upstreams[*slot].health.last_trial_at_s(class);
        let oldest = rotation
            .iter()
            .copied()
            .filter(|slot| is_out_for(&upstreams[*slot], class))
            .min_by(|a, b| last_trial_at_s(a).total_cmp(&last_trial_at_s(b)))?;
        trials.unsuccessful += 1;
        let doublings = trials.unsuccessful.min(MAX_TRIAL_DOUBLINGS);
        trials.next_at_s = clock.after_s(FIRST_EJECTION_S * f64::from(1 << doublings));
        upstreams[oldest].health.record_trial(class, clock.now_s);
        Some(oldest)
    }
}

/// Whether an upstream that could take turns is ejected for a class.
fn is_out_for(upstream: &Upstream, class: usize) -> bool {
    upstream.health.is_ejected_for(class) && upstream.weight.weight() > 0.0
}
