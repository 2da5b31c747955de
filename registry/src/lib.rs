//! The list service: the project's own discovery.
//!
//! [`endpoint_registry::EndpointRegistry`] is a pure state machine: commands and time in, changes
//! out. [`service`] is its HTTP: the reading side is the published form to the letter, the writing
//! side JSON at an address of its own. What is acknowledged is durable.

mod change_log;
pub mod client;
pub mod command;
pub mod config;
pub mod endpoint;
pub mod endpoint_registry;
mod http;
mod lease;
mod metrics;
mod published_view;
pub mod service;
mod writer;
