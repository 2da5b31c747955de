//! Stand-ins for the environment of the balancers: clients with their load, upstreams, the
//! discovery service, and the registration of upstreams with a real registry.

pub mod balancer_pool;
pub mod clients;
pub mod discovery;
mod forwarding;
pub mod load;
pub mod registration;
pub mod registry_process;
mod upstream;
pub mod upstream_model;
mod upstream_server;
pub mod upstreams;

pub use upstream::UpstreamStatus;
