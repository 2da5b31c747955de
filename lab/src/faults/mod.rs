//! Fault injection.

pub(crate) mod fault_injector;
