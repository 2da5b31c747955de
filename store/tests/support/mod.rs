//! Support for the tests of the store.

pub mod simulated_disk;
