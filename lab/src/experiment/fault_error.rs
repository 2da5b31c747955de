//! Why a `[[fault]]` table is not valid.

use super::value_range::ValueOutOfRange;
use thiserror::Error;

/// Why a table is no valid fault.
#[derive(Debug, PartialEq, Error)]
pub enum InvalidFault {
    /// No such target.
    #[error(
        "target {0:?}: b0, b0..b9, other balancers, u0, discovery, clients, all upstreams or 30% \
         of upstreams can be meant"
    )]
    UnknownTarget(String),
    /// A number that is not in the fleet.
    #[error("target {text:?}: there are only {count}")]
    NotInFleet {
        /// The target.
        text: String,
        /// How many there are.
        count: u32,
    },
    /// It would begin after the end.
    #[error("at_s is {at_s}: the play takes 0 to {length_s} s")]
    StartOutOfRange {
        /// Its start.
        at_s: f64,
        /// The length of the run.
        length_s: f64,
    },
    /// A key that its kind needs.
    #[error("{0} is missing: this kind of fault needs it")]
    Missing(&'static str),
    /// A value out of range.
    #[error(transparent)]
    OutOfRange(#[from] ValueOutOfRange),
    /// A delay without any.
    #[error("delay_ms, jitter_ms or bytes_per_s is missing: what slows the link?")]
    MissingDelay,
    /// A rate that is missing or out of range.
    #[error("rate: 1 to 100000 a second can be played")]
    InvalidRate,
    /// No factor of slowness.
    #[error("factor is missing: how many times slower?")]
    MissingFactor,
    /// No size of a batch.
    #[error("batch is missing: how many at a time, 1 or more?")]
    MissingBatch,
    /// A target that this kind of fault does not apply to.
    #[error("this kind of fault cannot meet {0:?}")]
    WrongTarget(String),
    /// A key that this kind of fault does not have.
    #[error("{0} says nothing to this kind of fault")]
    Inapplicable(&'static str),
    /// A link with no balancer at its ends.
    #[error("with {0:?}: one end of a link is a balancer's")]
    NoBalancerAtLink(String),
    /// Links between balancers without membership.
    #[error("balancers have links with each other only where there is a [membership]")]
    NoMembership,
    /// A loss on connections.
    #[error("only datagrams between balancers are lost or come twice: with = \"other balancers\"?")]
    LossOnConnections,
    /// A reset of datagrams.
    #[error("datagrams have no connection to be reset")]
    ResetOfDatagrams,
    /// An interval that is too short.
    #[error("again_s: 0.1 or more can be played")]
    RepeatsTooSoon,
}
