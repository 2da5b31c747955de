//! Why there was no play.

use std::path::PathBuf;
use thiserror::Error;

/// Why there was no play.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file of the play.
    #[error("{path}: {source}")]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// No child.
    #[error(
        "{program} cannot be started: {source}; build it first: cargo build --release --locked"
    )]
    Start {
        /// Which program.
        program: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A child that does not serve.
    #[error("balancer b{number} did not say that it serves: see {log}")]
    NotReady {
        /// Which.
        number: u32,
        /// Its log.
        log: PathBuf,
    },
    /// Too few descriptors.
    #[error(
        "the play needs some {need} open files, {limit} are allowed: raise `ulimit -n` or play a smaller fleet"
    )]
    Descriptors {
        /// How many it needs.
        need: u64,
        /// How many it may have.
        limit: u64,
    },
    /// A list service that does not serve.
    #[error(
        "the list service did not say that it serves, or does not list all upstreams: see {log}"
    )]
    RegistryNotReady {
        /// Its log.
        log: PathBuf,
    },
    /// No list service.
    #[error("the experiment has a [registry]: the program that serves it has to be named")]
    NoProgram,
    /// A stand-in has no address.
    #[error("no address for a stand-in: {0}")]
    Address(std::io::Error),
}
