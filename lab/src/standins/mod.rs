//! Stand-ins for what surrounds the balancers.

pub(crate) mod clients;
pub(crate) mod discovery;
pub(crate) mod registration;
pub mod upstream_model;
pub(crate) mod upstreams;
