//! Why a command can't do its work, and what to do about it.

use frostkeel_lab::LabError;
use frostkeel_lab::experiment::ParseError;
use frostkeel_membership::ConfigError;
use frostkeel_registry::client::ClientError;
use frostkeel_registry::service::ServiceError;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;
use std::time::{SystemTimeError, TryFromFloatSecsError};
use thiserror::Error;

/// Why a command can't do its work. The message is what the user sees.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The operating system reports an error that belongs to no file.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file can't be read.
    #[error("{path}: {source}")]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A file is not an experiment that can be run.
    #[error("{path}: {source}")]
    ExperimentFile {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: ParseError,
    },
    /// The built-in experiment can't be run.
    #[error(transparent)]
    BuiltInExperiment(#[from] ParseError),
    /// `--seconds` is not a time.
    #[error("--seconds {seconds}: {source}")]
    Seconds {
        /// The value.
        seconds: f64,
        /// Why not.
        source: TryFromFloatSecsError,
    },
    /// A file of balancers' pages has a line that is no address.
    #[error("{path}: {line:?}: {source}")]
    PageAddress {
        /// The file.
        path: PathBuf,
        /// The line.
        line: String,
        /// Why not.
        source: AddrParseError,
    },
    /// No page to ask for its view was named.
    #[error("whose view? name the address of a page, or a --file of them")]
    NoPages,
    /// The load of a registry experiment can't be made.
    #[error("one watcher, writer and upstream at least, and 0.1 to 100000 changes a second")]
    RegistryLoad,
    /// Nothing that could differ was given to compare.
    #[error("nothing to compare: name a second experiment, or --before and --after")]
    NothingToCompare,
    /// A comparison was interrupted before its end.
    #[error("interrupted: nothing is compared")]
    Interrupted,
    /// An experiment has ended early.
    #[error(transparent)]
    Lab(#[from] LabError),
    /// A simulated member can't be configured.
    #[error(transparent)]
    Membership(#[from] ConfigError),
    /// Neither a configuration to run with nor a registry to ask was named.
    #[error("registry --config FILE runs one, registry status asks one")]
    NoRegistryAction,
    /// A registry's configuration can't be used.
    #[error("{path}: {source}")]
    RegistryConfig {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: frostkeel_registry::config::ConfigError,
    },
    /// The registry server has ended early.
    #[error(transparent)]
    Registry(#[from] ServiceError),
    /// A registry or a balancer's page can't be reached.
    #[error(transparent)]
    Call(#[from] ClientError),
    /// A registry responds to a request with an error.
    #[error("{subject}: {message}")]
    RegistryRejected {
        /// The upstream or the address that the request was for.
        subject: String,
        /// The registry's text.
        message: String,
    },
    /// A watch on the endpoint list can't be read.
    #[error(transparent)]
    WatchBody(#[from] hyper::Error),
    /// The registry has ended a watch.
    #[error("{registry}: the watch has ended")]
    WatchEnded {
        /// The registry's address.
        registry: SocketAddr,
    },
    /// A text of the registry can't be parsed.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The agent's times are out of range.
    #[error("ttl-s of 1 to 3600 and drain-s of 0 to 3600 are possible")]
    AgentTimes,
    /// The agent was given no command.
    #[error("a command is needed")]
    NoCommand,
    /// The agent's command can't be started.
    #[error("{program}: {source}")]
    StartProgram {
        /// The command.
        program: String,
        /// Why not.
        source: io::Error,
    },
    /// The wall clock shows a time before 1970.
    #[error(transparent)]
    WallClock(#[from] SystemTimeError),
    /// The registry will not list the agent's upstream.
    #[error("{uid}: the list service refuses it: {message}")]
    RegistrationRejected {
        /// The upstream.
        uid: String,
        /// The registry's text.
        message: String,
    },
}
