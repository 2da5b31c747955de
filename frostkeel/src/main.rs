//! The `frostkeel` command line. Each command is a module of [`commands`]; the servers and experiments that commands
//! start are in other crates. [`error::CommandError`] has the errors of all commands, [`exit`] the exit codes.

mod commands;
mod error;
mod exit;
mod output;
mod runtime;

use clap::{Parser, Subcommand, ValueEnum};
use commands::{agent, demo, drain, guard, lab, list, members, registry};
use exit::CommandResult;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// Runs and inspects the parts of the frostkeel load balancer, and tests them in experiments.
///
/// The balancer itself is the program `frostkeel-balancer`. It reads the addresses of upstream servers from a registry.
///
/// `registry` runs that registry, and `agent` registers an upstream with it; `list` and `drain` use a running registry.
///
/// `members` shows which balancers a running balancer considers alive. `demo` and `lab` run experiments.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Cli {
    /// Lowest level of the log lines on standard error: off, error, warn, info, debug or trace.
    #[arg(long, value_name = "LEVEL", global = true, default_value = "warn")]
    log: LevelFilter,
    /// Format of the log on standard error.
    #[arg(long = "log-form", value_name = "FORMAT", global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Plain text, one line for each log event.
    Text,
    /// JSON, one object on a line for each log event.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run the built-in 20-second experiment: 3 balancers and 10 upstreams, one killed and four replaced.
    ///
    /// It shows its progress, writes a report, and checks the rules that `frostkeel lab run --help` lists.
    ///
    /// The command exits with 1 if a rule was violated or the run is void. The experiment sets no expectations.
    Demo(lab::RunArgs),
    /// Run experiments: start a fleet of balancers or a registry, inject faults, and check the results.
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Show the members of a fleet of balancers, as one balancer sees them or with all views compared.
    ///
    /// `standing` is the state of a member, and `for s` the time in seconds since it changed. The states are:
    ///
    /// `present`, `suspect` (did not respond), `left` (announced its leave), `gone` (ended unannounced or unreachable).
    ///
    /// `life` is a member's incarnation: the start of its process and, after the dot, its number of rejoins.
    ///
    /// `from` is the balancer that reported the state, or `itself` if the balancer that has the view detected it.
    ///
    /// `there` is the number of members seen as present or suspect. `digest` is equal where those members are the same.
    ///
    /// `version` is the number of changes of the view since the balancer started.
    ///
    /// `phase` is `member`, `left`, or `yielded`: a later process has claimed the balancer's name.
    ///
    /// Without --watch, the command exits with 1 if a page can't be read, or if the views of joined balancers differ.
    Members(members::MembersArgs),
    /// Run a registry, which maintains the endpoint list of upstreams, or show the status of one.
    Registry(registry::RegistryArgs),
    /// Print the endpoint list of a registry: each upstream with its address, state and weight.
    List(list::ListArgs),
    /// Drain an upstream: mark it in the registry, so that balancers send it no new requests.
    Drain(drain::DrainArgs),
    /// Run a command as an upstream, registered with a registry for as long as the command runs.
    ///
    /// The agent registers the upstream when the command has started, and then renews its lease.
    ///
    /// On SIGTERM or SIGINT it drains the upstream, waits --drain-s, and sends the command SIGTERM, after 10 s SIGKILL.
    ///
    /// When the command has ended, the agent removes the upstream from the list and exits with the command's exit code.
    ///
    /// If the registry rejects the registration, the agent kills the command and exits with 1.
    Agent(agent::AgentArgs),
    /// Kill the child processes of a lab that has ended without stopping them. Only the lab starts this command.
    #[command(hide = true)]
    Guard,
}

impl Command {
    fn run(self) -> CommandResult {
        match self {
            Self::Demo(args) => demo::run(args),
            Self::Lab(command) => lab::run(command),
            Self::Members(args) => members::run(&args),
            Self::Registry(args) => registry::run(args),
            Self::List(args) => list::run(&args),
            Self::Drain(args) => drain::run(&args),
            Self::Agent(args) => agent::run(args),
            Self::Guard => guard::run(),
        }
    }
}

fn start_logging(level: LevelFilter, format: LogFormat) {
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level)
        // Otherwise a line that cannot be written is reported on standard error too, which ends the process.
        .log_internal_errors(false);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    start_logging(cli.log, cli.log_format);
    exit::exit_code(cli.command.run())
}
