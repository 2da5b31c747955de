//! Counters of requests and their outcomes, per class, since the counters were last logged.

use frostkeel_policy::{Class, ClassId, FailureReason, Outcome};
use frostkeel_settings::Site;
use std::fmt;
use std::time::Duration;

/// The counts of one class since they were last logged.
#[derive(Default)]
struct Counts {
    received: u32,
    /// The forwarded responses within the latency objective of the class.
    in_time: u32,
    /// The forwarded responses after the latency objective of the class.
    late: u32,
    /// The requests whose client disconnected before the final response.
    client_disconnected: u32,
    /// The attempts that have ended, with any outcome.
    attempts: u32,
    /// The attempts that ended without a response that can be forwarded.
    failed_attempts: u32,
    /// The rejected and failed requests, by the number of their [`FailureReason`].
    by_reason: [u32; FailureReason::ALL.len()],
}

struct ClassCounters {
    name: String,
    latency_objective: Duration,
    counts: Counts,
}

/// The counters of all classes. The displayed form omits classes without requests or attempts, and counters that are
/// zero:
/// `pay: received 9, in-time 6, no-spare-capacity 2, upstream-unresponsive 1, attempts 7, failed-attempts 1`.
pub struct RequestCounters(Vec<ClassCounters>);

impl RequestCounters {
    /// Creates counters for the classes of a site, all at zero.
    pub fn new(site: &Site) -> Self {
        let classes = site.names.classes.iter().zip(&site.settings.classes);
        let class = |(name, class): (&String, &Class)| ClassCounters {
            name: name.clone(),
            latency_objective: class.latency_objective,
            counts: Counts::default(),
        };
        Self(classes.map(class).collect())
    }

    /// Sets all counters to zero.
    pub fn reset(&mut self) {
        self.0
            .iter_mut()
            .for_each(|class| class.counts = Counts::default());
    }

    /// Counts a request that has been received.
    pub fn count_received(&mut self, class: ClassId) {
        self.count(class, |counts| counts.received += 1);
    }

    /// Counts a forwarded response as in time or late; `latency` is the time since the request was received.
    pub fn count_forwarded(&mut self, class: ClassId, latency: Duration) {
        let Some(class) = self.0.get_mut(usize::from(class.0)) else {
            return;
        };
        let in_time = latency <= class.latency_objective;
        *if in_time {
            &mut class.counts.in_time
        } else {
            &mut class.counts.late
        } += 1;
    }

    /// Counts a request whose client disconnected before the final response.
    pub fn count_client_disconnected(&mut self, class: ClassId) {
        self.count(class, |counts| counts.client_disconnected += 1);
    }

    /// Counts a request that was rejected or that failed.
    pub fn count_failed(&mut self, class: ClassId, reason: FailureReason) {
        self.count(class, |counts| counts.by_reason[reason as usize] += 1);
    }

    /// Counts an attempt that has ended.
    pub fn count_attempt(&mut self, class: ClassId, outcome: Outcome) {
        self.count(class, |counts| {
            counts.attempts += 1;
            counts.failed_attempts += u32::from(outcome != Outcome::Ok);
        });
    }

    fn count(&mut self, class: ClassId, add: impl FnOnce(&mut Counts)) {
        if let Some(class) = self.0.get_mut(usize::from(class.0)) {
            add(&mut class.counts);
        }
    }
}

impl Counts {
    fn is_zero(&self) -> bool {
        self.received + self.attempts == 0
    }

    /// Returns each counter with its label, in the order of the log entry.
    fn labelled(&self) -> impl Iterator<Item = (&'static str, u32)> {
        let reasons = FailureReason::ALL
            .iter()
            .map(|reason| (reason.as_str(), self.by_reason[*reason as usize]));
        let first = [
            ("received", self.received),
            ("in-time", self.in_time),
            ("late", self.late),
        ];
        let last = [
            ("client-disconnected", self.client_disconnected),
            ("attempts", self.attempts),
            ("failed-attempts", self.failed_attempts),
        ];
        first.into_iter().chain(reasons).chain(last)
    }
}

impl fmt::Display for RequestCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut class_separator = "";
        for class in self.0.iter().filter(|class| !class.counts.is_zero()) {
            write!(f, "{class_separator}{}: ", class.name)?;
            let mut separator = "";
            // The first counter, of received requests, is shown even if it is zero. Attempts that end after the
            // previous log entry may belong to requests that it counted.
            for (k, (label, count)) in class.counts.labelled().enumerate() {
                if count > 0 || k == 0 {
                    write!(f, "{separator}{label} {count}")?;
                    separator = ", ";
                }
            }
            class_separator = "; ";
        }
        Ok(())
    }
}
