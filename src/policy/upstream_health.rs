//! The health of one upstream: suspicion raised by the faults of its attempts, ejection for all
//! classes, and probation after an ejection.

use super::clock::JitteredClock;
use crate::interface::Outcome;

/// Increase of the suspicion by one fault, as a fraction of the difference between the highest
/// suspicion, which is one, and the present suspicion. It applies to an error, a rejection, and an
/// overdue attempt if the upstream has not responded to any request since the attempt was sent.
const FAULT_SUSPICION: f64 = 0.4;
/// Increase of the suspicion by one connection error, as a fraction of the difference between one
/// and the present suspicion.
const CONNECTION_FAULT_SUSPICION: f64 = 0.3;
/// Factor by which a successful response multiplies the suspicion.
const SUCCESS_SUSPICION_FACTOR: f64 = 0.6;
/// Suspicion above which an upstream is on probation: it gets one attempt at a time and only
/// requests that may be retried.
const PROBATION_SUSPICION: f64 = 0.35;
/// Suspicion at which an upstream is ejected. Two faults in a row reach it, as do three connection
/// errors without a response in between.
const EJECTION_SUSPICION: f64 = 0.6;
/// Time constant, in seconds, of the decay of suspicion.
const SUSPICION_TIME_CONSTANT_S: f64 = 10.0;
/// Base of ejection times, in seconds. The first ejection of an upstream lasts this long times the
/// square root of the number of balancers that share the upstream. These balancers probe the
/// upstream independently, and the length is a compromise between the joint load of their probes
/// and the delay until each balancer detects that the upstream is healthy. Each further ejection in
/// the same probation doubles the length. The times between trials of upstreams that are ejected
/// for one class are multiples of this base.
pub(super) const BASE_EJECTION_S: f64 = 1.5;
/// Longest ejection in seconds, before jitter.
const MAX_EJECTION_S: f64 = 12.0;
/// Upper limit of the number of times that the length of the first ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Seconds for which an error response counts as recent.
const RECENT_ERROR_S: f64 = 5.0;

/// Returns the factor by which suspicion decays in `elapsed_s` seconds.
pub(super) fn suspicion_decay_factor(elapsed_s: f64) -> f64 {
    (-elapsed_s / SUSPICION_TIME_CONSTANT_S).exp()
}

/// A fault that counts against an upstream for all classes.
#[derive(Clone, Copy)]
pub(super) enum Fault {
    /// The upstream responded with an error. `error_weight` is the fraction of the usual suspicion
    /// that the error adds.
    Error { error_weight: f64 },
    /// The upstream rejected an attempt.
    Rejected,
    /// An attempt is overdue, and the upstream has not responded since the attempt was sent.
    Unresponsive,
    /// A connection failed or could not be established.
    ConnectionFailure,
}

impl Fault {
    fn suspicion(self) -> f64 {
        match self {
            Self::Error { error_weight } => FAULT_SUSPICION * error_weight,
            Self::Rejected | Self::Unresponsive => FAULT_SUSPICION,
            Self::ConnectionFailure => CONNECTION_FAULT_SUSPICION,
        }
    }
}

/// Inputs from other modules to the evaluation of a fault.
pub(super) struct SuspicionContext {
    /// Mean latency of an attempt, in seconds.
    pub(super) mean_latency_s: f64,
    /// Number of balancers that send to each upstream.
    pub(super) balancers_per_upstream: f64,
}

/// Whether an upstream is ejected for all classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionState {
    /// The upstream receives requests.
    Serving,
    /// The upstream receives no requests.
    Ejected,
    /// The ejection has ended, but not the probation: the next fault ejects the upstream again
    /// unless successful responses end the probation first.
    HalfOpen,
}

/// The health of one upstream for one class.
#[derive(Clone, Default)]
struct ClassHealth {
    /// Faults since the last successful response.
    consecutive_faults: u32,
    /// Whether the upstream is ejected for this class alone.
    is_ejected: bool,
    /// Time of the last trial, which is a request of the class that was sent to the upstream
    /// although it was ejected for the class; time of the ejection if there was no trial since.
    last_trial_at_s: f64,
}

/// The health of one upstream.
pub(super) struct UpstreamHealth {
    /// Suspicion between zero and one: grows with the faults of all classes, decreases with
    /// successful responses and with time.
    suspicion: f64,
    /// Number of ejections for all classes since the last response that ended the probation.
    consecutive_ejections: u32,
    /// End of the ejection for all classes; zero if there was none.
    ejected_until_s: f64,
    /// Time of the last error response; zero if there was none.
    last_error_at_s: f64,
    /// Time of the last success, error or rejection; negative infinity if there was none.
    last_response_at_s: f64,
    health_by_class: Vec<ClassHealth>,
}

impl UpstreamHealth {
    pub(super) fn new(class_count: usize) -> Self {
        Self {
            suspicion: 0.0,
            consecutive_ejections: 0,
            ejected_until_s: 0.0,
            last_error_at_s: 0.0,
            last_response_at_s: f64::NEG_INFINITY,
            health_by_class: vec![ClassHealth::default(); class_count],
        }
    }

    /// Discards the suspicion and the ejections, as the process of the upstream has restarted.
    pub(super) fn reset(&mut self) {
        (
            self.suspicion,
            self.consecutive_ejections,
            self.ejected_until_s,
        ) = (0.0, 0, 0.0);
        self.health_by_class.fill(ClassHealth::default());
    }

    /// Multiplies the suspicion by a decay factor from [`suspicion_decay_factor`].
    pub(super) fn decay_suspicion(&mut self, decay_factor: f64) {
        self.suspicion *= decay_factor;
    }

    pub(super) fn state(&self, now_s: f64) -> EjectionState {
        if self.ejected_until_s > now_s {
            EjectionState::Ejected
        } else if self.consecutive_ejections > 0 {
            EjectionState::HalfOpen
        } else {
            EjectionState::Serving
        }
    }

    pub(super) fn is_ejected(&self, now_s: f64) -> bool {
        self.state(now_s) == EjectionState::Ejected
    }

    pub(super) fn ejected_until_s(&self) -> f64 {
        self.ejected_until_s
    }

    pub(super) fn is_ejected_for(&self, class: usize) -> bool {
        self.health_by_class[class].is_ejected
    }

    /// Records a successful response for a class. Returns whether it ends the ejection for the
    /// class; a response to an overdue attempt does not.
    pub(super) fn record_class_success(&mut self, class: usize, was_overdue: bool) -> bool {
        let health = &mut self.health_by_class[class];
        health.consecutive_faults = 0;
        !was_overdue && std::mem::take(&mut health.is_ejected)
    }

    pub(super) fn record_class_fault(&mut self, class: usize) {
        self.health_by_class[class].consecutive_faults += 1;
    }

    /// Returns whether the upstream should be ejected for a class: it is not ejected for that class
    /// yet, and has had at least `ejection_fault_count` consecutive faults.
    pub(super) fn is_faulty_for(&self, class: usize, ejection_fault_count: u32) -> bool {
        let health = &self.health_by_class[class];
        !health.is_ejected && health.consecutive_faults >= ejection_fault_count
    }

    pub(super) fn eject_for(&mut self, class: usize, now_s: f64) {
        self.health_by_class[class] = ClassHealth {
            consecutive_faults: 0,
            is_ejected: true,
            last_trial_at_s: now_s,
        };
    }

    /// Returns the time of the last trial for a class, or of the ejection if there was no trial
    /// since.
    pub(super) fn last_trial_at_s(&self, class: usize) -> f64 {
        self.health_by_class[class].last_trial_at_s
    }

    pub(super) fn record_trial(&mut self, class: usize, now_s: f64) {
        self.health_by_class[class].last_trial_at_s = now_s;
    }

    /// Returns whether the upstream has responded at `at_s` or later.
    pub(super) fn has_responded_since(&self, at_s: f64) -> bool {
        self.last_response_at_s >= at_s
    }

    /// Returns whether the upstream is on probation: it is suspected, or successful responses have
    /// not yet ended the probation after its last ejection. It then gets one attempt at a time, and
    /// only requests that may be retried.
    pub(super) fn is_on_probation(&self) -> bool {
        self.suspicion > PROBATION_SUSPICION || self.consecutive_ejections > 0
    }

    pub(super) fn has_erred_recently(&self, now_s: f64) -> bool {
        self.last_error_at_s > 0.0 && now_s - self.last_error_at_s < RECENT_ERROR_S
    }

    /// Records the time of a response. A successful one reduces the suspicion and may end the
    /// probation. A fault is added to the suspicion by [`Self::record_fault`].
    pub(super) fn record_response(&mut self, outcome: Outcome, now_s: f64) {
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.last_response_at_s = now_s;
        }
        if outcome == Outcome::Error {
            self.last_error_at_s = now_s;
        }
        if outcome == Outcome::Ok {
            self.suspicion *= SUCCESS_SUSPICION_FACTOR;
            if self.suspicion <= PROBATION_SUSPICION {
                self.consecutive_ejections = 0;
            }
        }
    }

    /// Adds a fault to the suspicion. Returns whether the upstream is ejected because of this
    /// fault.
    pub(super) fn record_fault(
        &mut self,
        fault: Fault,
        context: &SuspicionContext,
        clock: &mut JitteredClock<'_>,
    ) -> bool {
        self.suspicion += fault.suspicion() * (1.0 - self.suspicion);
        // A dead process breaks every connection, a lossy network only some. The upstream is
        // therefore not ejected for a connection failure if it has responded recently.
        let is_likely_network_loss = matches!(fault, Fault::ConnectionFailure)
            && self.last_response_at_s + context.mean_latency_s >= clock.now_s;
        let is_outlier = match self.state(clock.now_s) {
            EjectionState::Ejected => false,
            EjectionState::HalfOpen => true,
            EjectionState::Serving => self.suspicion >= EJECTION_SUSPICION,
        };
        if !is_outlier || is_likely_network_loss {
            return false;
        }
        self.eject(
            BASE_EJECTION_S * context.balancers_per_upstream.sqrt(),
            clock,
        );
        true
    }

    /// Ejects the upstream for all classes. The ejection lasts `first_ejection_s` seconds, doubled
    /// for each ejection since the probation last ended, and at most [`MAX_EJECTION_S`] before
    /// jitter.
    fn eject(&mut self, first_ejection_s: f64, clock: &mut JitteredClock<'_>) {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let ejection_length_s = (first_ejection_s * f64::from(1 << doublings)).min(MAX_EJECTION_S);
        self.consecutive_ejections += 1;
        self.ejected_until_s = clock.jittered_time_s(ejection_length_s);
        for class in &mut self.health_by_class {
            (class.consecutive_faults, class.is_ejected) = (0, false);
        }
    }
}
