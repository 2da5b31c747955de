//! Child processes.

pub(crate) mod child;
pub mod guard;
