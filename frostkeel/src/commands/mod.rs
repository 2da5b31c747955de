//! The commands, one module each.

pub mod agent;
pub mod demo;
pub mod drain;
pub mod guard;
pub mod lab;
pub mod list;
pub mod members;
pub mod registry;
