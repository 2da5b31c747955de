//! The errors with which commands of the `frostkeel` program end.

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

/// An error that ends a command. Its message is printed to standard error.
#[derive(Debug, Error)]
pub enum CommandError {
    /// An operation of the operating system failed. The error has no path to report.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file can't be read.
    #[error("{path}: {source}")]
    ReadFile {
        /// The path of the file that was to be read.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file is not a valid experiment.
    #[error("{path}: {source}")]
    ExperimentFile {
        /// The path of the experiment file.
        path: PathBuf,
        /// The reason why it is not valid.
        source: ParseError,
    },
    /// The experiment that is built into the program is not valid.
    #[error(transparent)]
    BuiltInExperiment(#[from] ParseError),
    /// The value of `--seconds` is not a duration.
    #[error("--seconds must be a duration in seconds, at least 0, got {seconds}: {source}")]
    Seconds {
        /// The value that was passed, in seconds.
        seconds: f64,
        /// The error of the conversion to a duration.
        source: TryFromFloatSecsError,
    },
    /// A file with addresses of membership pages has a line that is not an address.
    #[error("{path}: expected an address and port on each line, got {line:?}: {source}")]
    PageAddress {
        /// The path of the file with the addresses.
        path: PathBuf,
        /// The text of the line that is not an address.
        line: String,
        /// The reason why the line is not an address.
        source: AddrParseError,
    },
    /// `frostkeel members` was given no address of a membership page.
    #[error("no membership page to read: pass its address, or a file of addresses with --file")]
    NoPages,
    /// An option of `frostkeel lab registry` is out of range.
    #[error(
        "--watchers, --writers and --upstreams must be at least 1, --changes between 0.1 and 100000 per second"
    )]
    RegistryLoad,
    /// `frostkeel lab compare` was given neither a second experiment nor two different balancer programs.
    #[error(
        "nothing to compare: pass a second experiment, or different programs with --before and --after"
    )]
    NothingToCompare,
    /// A comparison was interrupted before its last run ended.
    #[error("comparison interrupted before its last run ended: no summary is printed")]
    Interrupted,
    /// An experiment could not be run to its end.
    #[error(transparent)]
    Lab(#[from] LabError),
    /// The configuration of a simulated member is not valid.
    #[error(transparent)]
    Membership(#[from] ConfigError),
    /// `frostkeel registry` was given neither a configuration nor a subcommand.
    #[error(
        "no action given: use `registry --config FILE` to run a registry, or `registry status` to query one"
    )]
    NoRegistryAction,
    /// A registry's configuration is not valid.
    #[error("{path}: {source}")]
    RegistryConfig {
        /// The path of the configuration file.
        path: PathBuf,
        /// The reason why it is not valid.
        source: frostkeel_registry::config::ConfigError,
    },
    /// The registry server could not start, or ended with an error.
    #[error(transparent)]
    Registry(#[from] ServiceError),
    /// A request to a registry failed before its response was complete.
    #[error(transparent)]
    Call(#[from] ClientError),
    /// A registry responded to a request with an error status.
    #[error("{subject}: the registry rejected the request: {message}")]
    RegistryRejected {
        /// The upstream that the request was about, or the registry's address.
        subject: String,
        /// The body of the registry's response.
        message: String,
    },
    /// The connection of a watch on the endpoint list failed.
    #[error(transparent)]
    WatchBody(#[from] hyper::Error),
    /// The registry ended a watch on the endpoint list.
    #[error("{registry}: the registry ended the watch; run the command again to start a new one")]
    WatchEnded {
        /// The address of the registry's interface for reads.
        registry: SocketAddr,
    },
    /// An endpoint list from the registry is not valid JSON, or lacks a field.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// `--ttl-s` or `--drain-s` is out of range.
    #[error("--ttl-s must be between 1 and 3600 s, and --drain-s must be between 0 and 3600 s")]
    AgentTimes,
    /// `frostkeel agent` was given no command to run.
    #[error("no command given: pass one after --")]
    NoCommand,
    /// The agent's command can't be started.
    #[error("cannot start {program}: {source}")]
    StartProgram {
        /// The first word of the command.
        program: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The wall clock shows a time before 1970.
    #[error(transparent)]
    WallClock(#[from] SystemTimeError),
    /// The registry rejected the agent's registration or the renewal of its lease. A retry would be rejected too.
    #[error("{uid}: the registry rejected the registration: {message}")]
    RegistrationRejected {
        /// The identifier of the upstream that the agent runs.
        uid: String,
        /// The body of the registry's response.
        message: String,
    },
}
