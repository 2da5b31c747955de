//! Group membership: each process of a fleet keeps a view of all others, and the views converge
//! after failures.
//!
//! [`Membership`] is a sans-IO state machine: its input is datagrams and time, and it returns the
//! datagrams to send and the changes of the view. The protocol is SWIM with suspicion and indirect
//! probes (Das, Gupta and Motivala, 2002), carried by `foca`. This crate adds:
//!
//! - **A neighbor monitor.** Random probing leaves a process unprobed for several periods now and
//!   then. Each process also checks its successor, in the order of names, every period, so that a
//!   failure is noticed within one period.
//! - **Local health**, after Lifeguard (Dadgar, Phillips and Currey, 2018): a process that notices
//!   that it ran late, or that others suspect it, gives others more time. Time during which it was
//!   stopped is evidence against no member.
//! - **Names and incarnations.** A process is identified by its name and the incarnation of its
//!   start, not by an address. Of two that claim one name the later incarnation retains it; the
//!   earlier one yields and reports that.
//! - **Graceful leave**, which is distinguished from a failure.
//! - **Join retries.** Peers at which no live member is known are contacted at a bounded, jittered
//!   rate, so that a process joins through whichever peer responds and the halves of a partition
//!   find each other.
//! - **Anti-entropy.** Responses to the neighbor monitor carry a digest of the view. Where two
//!   views differ persistently, they are compared by a tree of hashes, so that no process misses an
//!   update permanently.

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
