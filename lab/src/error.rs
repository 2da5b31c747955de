//! Why there was no run.

use std::path::PathBuf;
use thiserror::Error;

/// Why there was no run.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file of the run.
    #[error("{path}: {source}")]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A child that could not be started.
    #[error(
        "{program} cannot be started: {source}; build it first: cargo build --release --locked"
    )]
    Start {
        /// Its program.
        program: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A balancer that does not serve.
    #[error("balancer b{number} did not say that it serves: see {log}")]
    NotReady {
        /// Its number.
        number: u32,
        /// Its log.
        log: PathBuf,
    },
    /// Too few file descriptors.
    #[error(
        "the play needs some {needed} open files, {limit} are allowed: raise `ulimit -n` or play a \
         smaller fleet"
    )]
    Descriptors {
        /// How many it needs.
        needed: u64,
        /// How many it may have.
        limit: u64,
    },
    /// A registry that does not serve.
    #[error(
        "the list service did not say that it serves, or does not list all upstreams: see {log}"
    )]
    RegistryNotReady {
        /// Its log.
        log: PathBuf,
    },
    /// No program for the registry.
    #[error("the experiment has a [registry]: the program that serves it has to be named")]
    NoRegistryProgram,
    /// No address for a stand-in.
    #[error("no address for a stand-in: {0}")]
    Address(std::io::Error),
}
