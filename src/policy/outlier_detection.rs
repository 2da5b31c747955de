//! Outlier detection: compares the outcomes of an upstream with those of the others, ejects it for
//! single classes, and decides which upstreams a request of a class may be sent to. An ejection for
//! a class ends after a successful trial. A trial is a request of the class that is sent to the
//! upstream although the upstream is ejected for the class.

use super::clock::JitteredClock;
use super::requests::EndedAttempt;
use super::upstream_health::{BASE_EJECTION_S, Fault};
use super::upstreams::{Upstream, Upstreams};
use crate::interface::Outcome;

/// Upper limit of the number of times that the time between trials is doubled.
const MAX_TRIAL_DOUBLINGS: u32 = 4;
/// Fraction of the ready upstreams that may be ejected: if more seem unhealthy, the cause is common
/// to them.
const MAX_EJECTED_FRACTION: f64 = 0.6;
/// Consecutive faults after which an upstream is ejected for the class that they occurred in.
const CLASS_EJECTION_FAULTS: u32 = 2;
/// Fraction of the other upstreams with recent errors above which the errors have a common cause,
/// such as the network.
const COMMON_ERROR_FRACTION: f64 = 0.5;
/// Lowest weight of an error. The weight falls as the fraction of the other upstreams with recent
/// errors rises.
const MIN_ERROR_WEIGHT: f64 = 0.3;
/// Factor by which a common cause raises the number of consecutive faults that lead to an ejection
/// for a class.
const COMMON_ERROR_FAULT_FACTOR: u32 = 4;

/// The schedule of trials of the upstreams that are ejected for one class.
#[derive(Clone, Default)]
struct ClassTrials {
    /// Number of trials since the last one that got a successful response before it became overdue.
    /// Each of them doubles the time to the next trial.
    unsuccessful_trial_count: u32,
    /// Time at which the next trial is due.
    next_trial_at_s: f64,
}

/// The rule that decides which upstreams may take a request of a class.
pub(super) struct ClassEligibility {
    class: usize,
    /// Whether the class avoids suspected upstreams: its requests may not be processed twice, and
    /// requests of other classes can show whether a suspected upstream is healthy.
    avoids_suspected: bool,
    /// Whether all upstreams are accepted, because the class would otherwise have no upstream.
    ignores_health: bool,
}

impl ClassEligibility {
    pub(super) fn accepts(&self, upstream: &Upstream) -> bool {
        self.ignores_health
            || !(upstream.health.is_ejected_for(self.class) || self.avoids(upstream))
    }

    /// Returns whether the class avoids an upstream because it is suspected: always if
    /// `avoids_suspected`, otherwise while the upstream has another attempt in flight.
    fn avoids(&self, upstream: &Upstream) -> bool {
        upstream.health.is_on_probation()
            && (self.avoids_suspected || upstream.load.in_flight() > 0)
    }
}

/// Returns whether `ejected_count` of `upstream_count` upstreams may be ejected: if more seem
/// unhealthy, the cause is common to them.
pub(super) fn may_be_ejected(ejected_count: usize, upstream_count: usize) -> bool {
    ejected_count as f64 <= MAX_EJECTED_FRACTION * upstream_count as f64
}

/// Returns the fraction of the other upstreams of the rotation that have recently responded with an
/// error.
fn common_error_fraction(
    upstreams: &Upstreams,
    rotation_slots: &[usize],
    excluded_slot: usize,
    now_s: f64,
) -> f64 {
    let others = || rotation_slots.iter().filter(|slot| **slot != excluded_slot);
    let erring_count = others()
        .filter(|slot| upstreams[**slot].health.has_erred_recently(now_s))
        .count();
    erring_count as f64 / others().count().max(1) as f64
}

/// Returns the fault that an outcome counts as for all classes; `None` if it counts as none.
/// `erring_fraction` is the fraction of the other upstreams with recent errors.
fn fault_of(outcome: Outcome, erring_fraction: f64) -> Option<Fault> {
    match outcome {
        Outcome::Error => {
            let error_weight = (1.0 - erring_fraction).max(MIN_ERROR_WEIGHT);
            Some(Fault::Error { error_weight })
        }
        Outcome::Rejected => Some(Fault::Rejected),
        Outcome::ConnectFailed | Outcome::Reset => Some(Fault::ConnectionFailure),
        Outcome::Ok | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => None,
    }
}

/// The schedules of trials of ejected upstreams, by class.
pub(super) struct OutlierDetection {
    trials_by_class: Vec<ClassTrials>,
}

impl OutlierDetection {
    pub(super) fn new(class_count: usize) -> Self {
        Self {
            trials_by_class: vec![ClassTrials::default(); class_count],
        }
    }

    /// Records the outcome of an attempt in the health of its upstream for the class of the
    /// attempt. Returns the fault that the outcome counts as for all classes; `None` if it counts
    /// as none.
    pub(super) fn record_outcome(
        &mut self,
        upstreams: &mut Upstreams,
        rotation_slots: &[usize],
        slot: usize,
        attempt: &EndedAttempt,
        clock: &mut JitteredClock<'_>,
    ) -> Option<Fault> {
        let now_s = clock.now_s;
        let erring_fraction = common_error_fraction(upstreams, rotation_slots, slot, now_s);
        let is_ejected = |slot: &&usize| upstreams[**slot].health.is_ejected_for(attempt.class);
        let ejected_count_after = rotation_slots.iter().filter(is_ejected).count() + 1;
        let may_eject = may_be_ejected(ejected_count_after, rotation_slots.len());
        let health = &mut upstreams[slot].health;
        let trials = &mut self.trials_by_class[attempt.class];
        health.record_response(attempt.outcome, now_s);
        if attempt.outcome == Outcome::Ok {
            if health.record_class_success(attempt.class, attempt.was_overdue) {
                // The ejected upstreams may have had a common cause that has ended, so the next
                // trial is due immediately.
                trials.unsuccessful_trial_count = 0;
                trials.next_trial_at_s = now_s;
            }
        } else if attempt.is_fault(!health.is_ejected(now_s)) {
            health.record_class_fault(attempt.class);
        }
        let has_common_cause = erring_fraction > COMMON_ERROR_FRACTION;
        let ejection_fault_count = CLASS_EJECTION_FAULTS
            * if has_common_cause {
                COMMON_ERROR_FAULT_FACTOR
            } else {
                1
            };
        if may_eject && health.is_faulty_for(attempt.class, ejection_fault_count) {
            health.eject_for(attempt.class, now_s);
            if trials.next_trial_at_s <= now_s {
                trials.unsuccessful_trial_count = 0;
                trials.next_trial_at_s = clock.jittered_time_s(BASE_EJECTION_S);
            }
        }
        fault_of(attempt.outcome, erring_fraction)
    }

    /// Returns the rule that decides which upstreams may take a request of a class.
    pub(super) fn eligibility(
        &self,
        upstreams: &Upstreams,
        rotation_slots: &[usize],
        class: usize,
        avoids_suspected: bool,
    ) -> ClassEligibility {
        let mut eligibility = ClassEligibility {
            class,
            avoids_suspected,
            ignores_health: false,
        };
        eligibility.ignores_health = rotation_slots.iter().all(|slot| {
            let upstream = &upstreams[*slot];
            is_trial_candidate(upstream, class) || eligibility.avoids(upstream)
        });
        eligibility
    }

    /// Returns the upstream that gets a request of the class as a trial; `None` if no trial is due
    /// or possible. Of the upstreams that are ejected for the class, it is the one whose last
    /// trial was longest ago. Trials are made one at a time with a backoff, as each may cost a
    /// request that can't be retried.
    pub(super) fn due_trial(
        &mut self,
        upstreams: &mut Upstreams,
        rotation_slots: &[usize],
        class: usize,
        clock: &mut JitteredClock<'_>,
    ) -> Option<usize> {
        let trials = &mut self.trials_by_class[class];
        if clock.now_s < trials.next_trial_at_s {
            return None;
        }
        let last_trial_at_s = |slot: &usize| upstreams[*slot].health.last_trial_at_s(class);
        let least_recently_tried_slot = rotation_slots
            .iter()
            .copied()
            .filter(|slot| is_trial_candidate(&upstreams[*slot], class))
            .min_by(|a, b| last_trial_at_s(a).total_cmp(&last_trial_at_s(b)))?;
        trials.unsuccessful_trial_count += 1;
        let doublings = trials.unsuccessful_trial_count.min(MAX_TRIAL_DOUBLINGS);
        trials.next_trial_at_s = clock.jittered_time_s(BASE_EJECTION_S * f64::from(1 << doublings));
        upstreams[least_recently_tried_slot]
            .health
            .record_trial(class, clock.now_s);
        Some(least_recently_tried_slot)
    }
}

/// Returns whether an upstream may get a trial for a class: it is ejected for the class, and its
/// weight is above zero.
fn is_trial_candidate(upstream: &Upstream, class: usize) -> bool {
    upstream.health.is_ejected_for(class) && upstream.weight.weight() > 0.0
}
