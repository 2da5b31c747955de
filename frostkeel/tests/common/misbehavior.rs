//! What the misbehaving balancer of the lab's tests does wrong: one list for it and for the tests.

/// What a balancer does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Nothing.
    Nothing,
    /// It closes every fifth client's connection without a response.
    ClosesWithoutResponse,
    /// It responds to every fifth request by itself.
    RespondsByItself,
    /// It sends everything to two upstreams.
    SendsTwice,
    /// It sends idempotent requests four times.
    ExceedsAttemptLimit,
    /// It ignores changes of the endpoint list.
    IgnoresDrains,
    /// It sends everything to the newest upstream.
    OverloadsSlowStart,
    /// It exits by itself.
    Crashes,
    /// It uses more memory than its limit.
    ExceedsMemory,
    /// It does not exit when it is asked to.
    IgnoresShutdown,
}

impl Misbehavior {
    /// All of them.
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

    /// Its name in the environment of the balancer.
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
