//! Stand-ins for the processes that surround the balancers: the clients and their load, the
//! upstreams, and the discovery service. An experiment can use a real registry instead of the
//! discovery service; the stand-in upstreams then register with it.

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
