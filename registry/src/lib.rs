//! The list service: the project's own discovery.
//!
//! [`list::EndpointRegistry`] is a pure state machine: commands and time in, changes out. [`service`] is its HTTP: the reading side is
//! the published form to the letter, the writing side JSON at an address of its own. What is acknowledged is durable.

pub mod client;
mod command;
pub mod config;
pub mod endpoint;
mod http;
pub mod list;
mod metrics;
mod publish;
pub mod service;
mod writer;
