//! What became of requests, by class, since the log last said so.

use frostkeel_policy::{ClassId, FailureReason, Outcome};
use frostkeel_settings::Site;
use std::fmt;
use std::time::Duration;

/// Counts of one class.
#[derive(Default)]
struct Counts {
    asked: u32,
    /// Answered by an upstream within the aim, and after it.
    in_time: u32,
    after_aim: u32,
    /// The client went away first.
    gone: u32,
    /// Attempts made, and those that ended without an answer.
    attempts: u32,
    unanswered: u32,
    lost: [u32; FailureReason::ALL.len()],
}

struct Class {
    name: String,
    latency_objective: Duration,
    counts: Counts,
}

/// What became of the requests of each class; shown, only what is not nil:
/// `pay: asked 9, in-time 6, room 2, silent 1, attempts 7, unanswered 1`.
pub struct RequestCounters(Vec<Class>);

impl RequestCounters {
    /// An empty one for the classes of a site.
    pub fn new(site: &Site) -> Self {
        let classes = site.names.classes.iter().zip(&site.settings.classes);
        let class = |(name, class): (&String, &frostkeel_policy::Class)| Class {
            name: name.clone(),
            latency_objective: class.latency_objective,
            counts: Counts::default(),
        };
        Self(classes.map(class).collect())
    }

    /// Begins anew.
    pub fn reset(&mut self) {
        self.0
            .iter_mut()
            .for_each(|class| class.counts = Counts::default());
    }

    /// A request has come.
    pub fn count_received(&mut self, class: ClassId) {
        self.count(class, |c| c.asked += 1);
    }

    /// A request has an upstream's answer, so long after it came.
    pub fn count_forwarded(&mut self, class: ClassId, after: Duration) {
        let Some(class) = self.0.get_mut(usize::from(class.0)) else {
            return;
        };
        *if after <= class.latency_objective {
            &mut class.counts.in_time
        } else {
            &mut class.counts.after_aim
        } += 1;
    }

    /// A client has gone away from a request.
    pub fn count_client_disconnected(&mut self, class: ClassId) {
        self.count(class, |c| c.gone += 1);
    }

    /// A request was refused or has failed.
    pub fn count_failed(&mut self, class: ClassId, reason: FailureReason) {
        self.count(class, |c| c.lost[reason as usize] += 1);
    }

    /// An attempt has ended.
    pub fn count_attempt(&mut self, class: ClassId, outcome: Outcome) {
        self.count(class, |c| {
            c.attempts += 1;
            c.unanswered += u32::from(outcome != Outcome::Ok);
        });
    }

    fn count(&mut self, class: ClassId, add: impl FnOnce(&mut Counts)) {
        if let Some(class) = self.0.get_mut(usize::from(class.0)) {
            add(&mut class.counts);
        }
    }
}

impl fmt::Display for RequestCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut apart = "";
        for Class { name, counts, .. } in self
            .0
            .iter()
            .filter(|c| c.counts.asked + c.counts.attempts > 0)
        {
            write!(f, "{apart}{name}: asked {}", counts.asked)?;
            let lost = FailureReason::ALL
                .iter()
                .map(|reason| (reason.as_str(), counts.lost[*reason as usize]));
            let first = [
                ("in-time", counts.in_time),
                ("after-objective", counts.after_aim),
            ]
            .into_iter();
            let last = [
                ("gone", counts.gone),
                ("attempts", counts.attempts),
                ("unanswered", counts.unanswered),
            ];
            for (what, n) in first.chain(lost).chain(last).filter(|(_, n)| *n > 0) {
                write!(f, ", {what} {n}")?;
            }
            apart = "; ";
        }
        Ok(())
    }
}
