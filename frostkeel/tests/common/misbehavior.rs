//! The misbehaviors of the example `bad_balancer`, shared by that program and the tests that run it.

/// A way in which the balancer violates a rule of the lab.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// The balancer behaves correctly.
    Nothing,
    /// The balancer closes every fifth client's connection without a response.
    ClosesWithoutResponse,
    /// The balancer responds to every fifth request without asking an upstream.
    RespondsByItself,
    /// The balancer sends each request to two upstreams.
    SendsTwice,
    /// The balancer sends each GET request four times.
    ExceedsAttemptLimit,
    /// The balancer ignores changes of the endpoint list, and so sends requests to drained upstreams.
    IgnoresDrains,
    /// The balancer sends all requests to the upstream with the highest number, which is the newest.
    OverloadsSlowStart,
    /// The balancer exits with code 3 while it serves requests.
    Crashes,
    /// The balancer uses more memory than its limit.
    ExceedsMemory,
    /// The balancer does not exit on SIGTERM.
    IgnoresShutdown,
}

impl Misbehavior {
    /// All misbehaviors, including `Nothing`.
    pub const ALL: [Self; 10] = [
        Self::Nothing,
        Self::ClosesWithoutResponse,
        Self::RespondsByItself,
        Self::SendsTwice,
        Self::ExceedsAttemptLimit,
        Self::IgnoresDrains,
        Self::OverloadsSlowStart,
        Self::Crashes,
        Self::ExceedsMemory,
        Self::IgnoresShutdown,
    ];

    /// Returns the value of the environment variable `MISBEHAVIOR` that selects this misbehavior.
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::ClosesWithoutResponse => "closes-without-response",
            Self::RespondsByItself => "responds-by-itself",
            Self::SendsTwice => "sends-twice",
            Self::ExceedsAttemptLimit => "exceeds-attempt-limit",
            Self::IgnoresDrains => "ignores-drains",
            Self::OverloadsSlowStart => "overloads-slow-start",
            Self::Crashes => "crashes",
            Self::ExceedsMemory => "exceeds-memory",
            Self::IgnoresShutdown => "ignores-shutdown",
        }
    }
}
