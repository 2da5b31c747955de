//! The commands of the `frostkeel` program, one module for each.

pub mod agent;
pub mod demo;
pub mod drain;
pub mod guard;
pub mod lab;
pub mod list;
pub mod members;
pub mod registry;
