//! The registry service: the project's own service discovery.
//!
//! [`endpoint_registry::EndpointRegistry`] is a state machine without I/O: commands and the time go
//! in, changes come out. [`service`] runs it with two HTTP interfaces: one to read and watch the
//! endpoint list, in the published format, and one for writes, status and metrics. A write is
//! acknowledged once it is durable.

mod change_log;
pub mod client;
pub mod command;
pub mod config;
pub mod endpoint;
pub mod endpoint_registry;
mod http;
mod lease;
mod metrics;
pub mod policy;
mod published_view;
pub mod service;
pub mod write_request;
mod writer;
