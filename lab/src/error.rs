//! The errors that prevent a run.

use std::path::PathBuf;
use thiserror::Error;

/// An error that prevents a run from starting.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file or folder of the run could not be created or written.
    #[error("cannot create or write {path}: {source}")]
    File {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A child process could not be started.
    #[error(
        "{program} cannot be started: {source}; build it first: cargo build --release --locked"
    )]
    Start {
        /// The program of the child process.
        program: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A balancer exited, or did not log its listen address before the start timeout.
    #[error(
        "balancer b{number} exited or did not log its listen address before the start timeout: \
         see {log}"
    )]
    NotReady {
        /// The number of the balancer, from 0.
        number: u32,
        /// The path of the balancer's log.
        log: PathBuf,
    },
    /// The run needs more file descriptors than the lab process may open.
    #[error(
        "the run needs about {needed} open files, but the limit is {limit}: raise `ulimit -n` or \
         reduce the number of balancers or upstreams"
    )]
    Descriptors {
        /// An estimate of the number of file descriptors that the run needs.
        needed: u64,
        /// The soft limit on open files of the lab process.
        limit: u64,
    },
    /// The registry exited, did not log its addresses before the start timeout, or does not list
    /// all upstreams.
    #[error(
        "the registry exited, did not log its addresses before the start timeout, or does not list \
         all upstreams: see {log}"
    )]
    RegistryNotReady {
        /// The path of the registry's log.
        log: PathBuf,
    },
    /// The experiment has a `[registry]` table, but the run options name no program that serves the
    /// registry.
    #[error(
        "the experiment has a [registry] table, but no program that serves the registry is given: \
         set `guard_and_registry_program` in the run options to that program"
    )]
    NoRegistryProgram,
    /// A loopback address could not be bound for a stand-in or a link.
    #[error("cannot bind a loopback address for a stand-in or a link: {0}")]
    Address(std::io::Error),
}
