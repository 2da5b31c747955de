//! Hosts many [`Balancer`](frostkeel_policy::Balancer)s behind the simulator's binary protocol.
//!
//! The adapter only translates: a batch of event records becomes [`Event`](frostkeel_policy::Event)s, and the
//! [`Action`](frostkeel_policy::Action)s of all instances become the reply. Every decision is made by the
//! policy crate.
//!
//! - [`protocol`]: the numbers on the wire and the records of a batch
//! - [`decoder`]: bytes to records
//! - [`encoder`]: actions to bytes
//! - [`host`]: the instances, their endpoint lists and their pending actions
//! - [`session`]: frames in, replies out
//! - [`error`]: what can be wrong, and at which byte

pub mod decoder;
pub mod encoder;
pub mod error;
pub mod host;
pub mod protocol;
pub mod session;
