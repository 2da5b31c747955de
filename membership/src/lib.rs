//! Who is present: each process of a fleet keeps a view of all others, and the views agree again after failures.
//!
//! [`Membership`] is a state machine without input and output: it is fed with datagrams and time, and says what to send
//! and what has changed. The protocol is SWIM with suspicion and indirect probes (Das, Gupta and Motivala, 2002), carried
//! by `foca`. Added here are:
//!
//! - **A watch over one neighbour.** Chance alone leaves a process unprobed for several periods now and then. Each
//!   process also checks the one after it, in the order of names, every period: a death is noticed within a period.
//! - **Care for one's own slowness**, after Lifeguard (Dadgar, Phillips and Currey, 2018): who notices that it ran late,
//!   or that others doubt it, gives others more time; time spent stopped counts against nobody.
//! - **Names and incarnations.** A process is its name and the incarnation of its start, not an address. Of two that claim
//!   one name the later one has it, and the earlier one yields and says so.
//! - **Leaving** is told apart from being gone.
//! - **Finding each other again.** Places of the configuration at which nobody is present are called at a bounded,
//!   jittered rate, so that a process joins through whichever answers and halves of a partition find each other.
//! - **Comparing.** Answers to the watch carry a digest of the view; where two differ for longer, they are compared part
//!   by part, so that nobody goes without a piece of news for good.

mod config;
mod health;
mod hello;
mod identity;
mod io;
mod machine;
mod sync;
#[cfg(test)]
mod tests;
mod view;
mod watch;
mod wire;

pub use config::{Config, ConfigError};
pub use identity::{Identity, Name, NameError, Place};
pub use machine::{Counters, Membership, Output, Phase};
pub use view::{Change, MemberState, View, Viewed};
pub use wire::{DATAGRAM_MOST, Dropped};
