//! Group membership: each process of a fleet maintains a view of all processes, and the views of
//! all processes converge after failures.
//!
//! [`Membership`] is a sans-IO state machine: its inputs are datagrams and the current time, and
//! its outputs are datagrams to send and changes of the view. The protocol is SWIM with suspicion
//! and indirect probes (Das, Gupta and Motivala, 2002), as implemented by the crate `foca`. This
//! crate adds:
//!
//! - **A neighbor monitor.** Random probing occasionally leaves a process unprobed for several
//!   periods. Each process therefore also checks its successor in the order of names every period,
//!   so that a failure is noticed within one period.
//! - **Local health**, after Lifeguard (Dadgar, Phillips and Currey, 2018): a process that notices
//!   that it ran late, or that others suspect it, allows other members more time to respond. The
//!   time during which a process was itself paused does not count against any other member.
//! - **Names and incarnations.** A process is identified by its name and its incarnation, which is
//!   the time of its start, and not by an address. If two processes claim the same name, the one
//!   with the later incarnation retains it; the other yields and reports that it did.
//! - **Graceful leave**, which is distinguished from a failure.
//! - **Join retries.** Peers at which no live member is known are contacted at a bounded, jittered
//!   rate, so that a process joins through the first peer that responds and the sides of a network
//!   partition find each other again.
//! - **Anti-entropy.** The acknowledgement of a check by the neighbor monitor carries a digest of
//!   the checked member's view. Two views that differ persistently are compared by a tree of
//!   hashes, so that no process misses an update permanently.

mod config;
mod counters;
mod foca_runtime;
pub mod hash_tree;
mod identity;
mod local_health;
mod membership;
mod swim;
mod view;
pub mod wire;

pub use config::{Config, ConfigError};
pub use counters::Counters;
pub use identity::{Identity, Name, NameError, PeerIndex};
pub use membership::{Membership, Output, Phase};
pub use view::{MemberRecord, MemberState, View, ViewChange};
pub use wire::{DropReason, MAX_DATAGRAM_LEN};
