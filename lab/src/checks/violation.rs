//! The rules for balancers, and violations of them.

use serde::Serialize;
use std::fmt;

/// A rule that every run must comply with. The serialized names are those of `result.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// Each attempt that a balancer accepted gets exactly one final response.
    #[serde(rename = "one-answer")]
    ExactlyOneResponse,
    /// A successful response is from an upstream that served the request.
    #[serde(rename = "truly-served")]
    ServedByUpstream,
    /// A request of an at-most-once class runs at one upstream at most.
    #[serde(rename = "never-twice")]
    AtMostOnce,
    /// A balancer makes at most three attempts to upstreams for a client attempt.
    #[serde(rename = "three-attempts")]
    AttemptLimit,
    /// No new request reaches an upstream later than 1 s after the balancer was notified of its
    /// drain or removal.
    #[serde(rename = "drained")]
    DrainRespected,
    /// No upstream crashes under overload while it is warming up.
    #[serde(rename = "cold-spared")]
    SlowStartRespected,
    /// No live process is declared left or dead, and the version of a view increases by one with
    /// each change.
    #[serde(rename = "present")]
    MembershipAccurate,
    /// No balancer crashes, exceeds its memory limit, or survives SIGKILL.
    #[serde(rename = "sound")]
    ProcessHealthy,
}

/// Writes the name of the rule as printed on the command line and in the report.
impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ExactlyOneResponse => "OneAnswer",
            Self::ServedByUpstream => "TrulyServed",
            Self::AtMostOnce => "NeverTwice",
            Self::AttemptLimit => "ThreeAttempts",
            Self::DrainRespected => "Drained",
            Self::SlowStartRespected => "ColdSpared",
            Self::MembershipAccurate => "Present",
            Self::ProcessHealthy => "Sound",
        })
    }
}

/// A violation of a rule, found in the history of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// Time of the violation, in microseconds since the start of the load.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// Text that names the attempt or process concerned, and the times of the events.
    #[serde(rename = "text")]
    pub description: String,
}
