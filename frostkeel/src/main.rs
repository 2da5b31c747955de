//! `frostkeel`: the command line. Each command is a module of [`commands`]; what a command starts lies in the other
//! crates. Errors are [`error::CommandError`], exit codes are [`exit`]'s.

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

/// Keeps a large fleet of balancers serving through failures.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Cli {
    /// How much the log on standard error says.
    #[arg(long, global = true, default_value = "warn")]
    log: LevelFilter,
    /// How the log is written.
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Text)]
    log_form: LogForm,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Show the balancer at work: three of them, ten upstreams, one killed, some replaced; 20 seconds.
    Demo(lab::RunArgs),
    /// Play experiments on a fleet of real processes.
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Show who is present, as one balancer sees it, or as all do and where they differ.
    Members(members::MembersArgs),
    /// Run a list service, or ask one how it stands.
    Registry(registry::RegistryArgs),
    /// Show the list of a list service.
    List(list::ListArgs),
    /// Let an upstream get nothing new.
    Drain(drain::DrainArgs),
    /// Run a command and keep it on the list of a list service.
    Agent(agent::AgentArgs),
    /// End the children of a lab that is gone; started by the lab itself.
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

fn start_logging(level: LevelFilter, form: LogForm) {
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level);
    match form {
        LogForm::Text => log.init(),
        LogForm::Json => log.json().init(),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    start_logging(cli.log, cli.log_form);
    exit::exit_code(cli.command.run())
}
