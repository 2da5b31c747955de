//! Rules and their violations.

use serde::Serialize;
use std::fmt;

/// A rule. The serialized names are those of `result.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// Each attempt that a balancer accepted gets exactly one final response.
    #[serde(rename = "one-answer")]
    ExactlyOneResponse,
    /// A successful response is from an upstream that served the request.
    #[serde(rename = "truly-served")]
    ServedByUpstream,
    /// A request that must not be repeated runs at one upstream at most.
    #[serde(rename = "never-twice")]
    AtMostOnce,
    /// A balancer makes at most three attempts for a request.
    #[serde(rename = "three-attempts")]
    AttemptLimit,
    /// No new request for an upstream later than 1 s after its drain or removal was notified.
    #[serde(rename = "drained")]
    DrainRespected,
    /// No upstream crashes under overload while it is warming up.
    #[serde(rename = "cold-spared")]
    SlowStartRespected,
    /// No live process is considered failed, and no view's version decreases.
    #[serde(rename = "present")]
    MembershipAccurate,
    /// No balancer crashes, exceeds its memory, or survives SIGKILL.
    #[serde(rename = "sound")]
    ProcessHealthy,
}

/// The name on the command line and in the report.
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

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// Microseconds from the start of the load.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// The request, the processes and the times.
    #[serde(rename = "text")]
    pub description: String,
}
