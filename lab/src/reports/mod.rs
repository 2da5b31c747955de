//! Reports of runs.

pub mod page;
