//! Errors in a `[[fault]]` table.

use super::value_range::ValueOutOfRange;
use thiserror::Error;

/// The reason why a `[[fault]]` table is invalid.
#[derive(Debug, PartialEq, Error)]
pub enum InvalidFault {
    /// The text does not have the form of any target.
    #[error(
        "unknown target {0:?}: expected a form such as b0, b0..b9, other balancers, u0, discovery, \
         clients, all upstreams or 30% of upstreams"
    )]
    UnknownTarget(String),
    /// The fleet has no process with the number in the target.
    #[error("target {text:?} does not exist: its number must be below {count}")]
    NotInFleet {
        /// The target as written in the file.
        text: String,
        /// The number of processes of that kind (balancers or upstreams) in the fleet.
        count: u32,
    },
    /// The first occurrence of the fault does not start within the run.
    #[error("at_s must be between 0 and {length_s} s, the length of the run, got {at_s}")]
    StartOutOfRange {
        /// The start of the first occurrence, in seconds from the start of the load.
        at_s: f64,
        /// The length of the run, in seconds.
        length_s: f64,
    },
    /// A key is missing that this kind of fault requires.
    #[error("{0} is missing: this kind of fault requires it")]
    Missing(&'static str),
    /// A value is outside its range.
    #[error(transparent)]
    OutOfRange(#[from] ValueOutOfRange),
    /// A fault of kind `delay` has neither a delay nor a jitter nor a bandwidth, or its bandwidth
    /// is 0.
    #[error(
        "a delay needs delay_ms above 0, jitter_ms above 0 or bytes_per_s, and bytes_per_s must \
         not be 0"
    )]
    MissingDelay,
    /// A fault of kind `storm` has no `rate`, or a `rate` outside 1 to 100000 datagrams per second.
    #[error("rate is missing or invalid: it must be between 1 and 100000 datagrams per s")]
    InvalidRate,
    /// The factor of a slowdown is missing.
    #[error("factor is missing: state how many times as long requests take, between 1 and 1000")]
    MissingFactor,
    /// The batch size of a replacement is missing or 0.
    #[error("batch is missing or 0: state how many upstreams are replaced at a time, at least 1")]
    MissingBatch,
    /// This kind of fault does not apply to the target.
    #[error("this kind of fault does not apply to target {0:?}: change kind or target")]
    WrongTarget(String),
    /// A key has no effect with the kind, the target and the other keys of the fault.
    #[error("{0} has no effect with the kind, target and other keys of this fault: remove it")]
    Inapplicable(&'static str),
    /// Neither end of the link is a balancer; the field is the value of `with`.
    #[error("one end of a link must be a balancer: change target or with, got with = {0:?}")]
    NoBalancerAtLink(String),
    /// The fault concerns links between balancers, but the experiment has no membership.
    #[error("links between balancers exist only with membership: add a [membership] table")]
    NoMembership,
    /// A fault of kind `lossy` affects links that carry connections.
    #[error(
        "only datagrams between balancers can be lost or duplicated: target and with must both be \
         balancers, such as with = \"other balancers\""
    )]
    LossOnConnections,
    /// A fault of kind `reset` affects links between balancers, which carry datagrams.
    #[error(
        "links between balancers carry datagrams and have no connections to reset: target and \
         with must not both be balancers"
    )]
    ResetOfDatagrams,
    /// The interval between the starts of two occurrences of a repeated fault is below 0.1 s.
    #[error("again_s, the interval between occurrences of the fault, must be at least 0.1 s")]
    RepeatsTooSoon,
}
