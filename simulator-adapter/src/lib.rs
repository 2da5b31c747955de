//! Hosts many [`Balancer`](frostkeel_policy::Balancer)s behind the simulator's binary protocol.
//!
//! An instance is one of these balancers; the simulator identifies it by a number. The adapter translates the event
//! records of a batch into [`Event`](frostkeel_policy::Event)s, and the [`Action`](frostkeel_policy::Action)s of all
//! instances into the reply. The policy crate makes every decision.
//!
//! - [`protocol`]: the codes and limits of the wire format, and the records of a batch
//! - [`decoder`]: decodes bytes into records
//! - [`encoder`]: encodes actions into bytes
//! - [`host`]: the instances, their endpoint lists and their pending actions
//! - [`session`]: reads frames and writes replies
//! - [`error`]: the errors of a session; an error in a frame contains the position of the invalid field or record

pub mod decoder;
pub mod encoder;
pub mod error;
pub mod host;
pub mod protocol;
pub mod session;
