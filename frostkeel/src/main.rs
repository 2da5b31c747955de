//! `frostkeel`: the command line. It starts the others; what they do lies in their own crates.

mod agent;
mod lab;
mod lab_output;
mod members;
mod registry;

use clap::{Parser, Subcommand, ValueEnum};
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
    Demo(lab::Place),
    /// Play experiments on a fleet of real processes.
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Show who is present, as one balancer sees it, or as all do and where they differ.
    Members(members::Members),
    /// Run a list service, or ask one how it stands.
    Registry(registry::Registry),
    /// Show the list of a list service.
    List(registry::List),
    /// Let an upstream get nothing new.
    Drain(registry::Drain),
    /// Run a command and keep it on the list of a list service.
    Agent(agent::Agent),
    /// End the children of a lab that is gone; started by the lab itself.
    #[command(hide = true)]
    Guard,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(cli.log);
    match cli.log_form {
        LogForm::Text => log.init(),
        LogForm::Json => log.json().init(),
    }
    let done = match cli.command {
        Command::Demo(place) => lab::demo(place),
        Command::Lab(command) => lab::run(command),
        Command::Members(command) => members::run(command),
        Command::Registry(command) => registry::run(command),
        Command::List(command) => registry::list(command),
        Command::Drain(command) => registry::drain(command),
        Command::Agent(command) => agent::run(command),
        Command::Guard => {
            frostkeel_lab::guard::watch(std::io::stdin().lock());
            Ok(ExitCode::SUCCESS)
        }
    };
    done.unwrap_or_else(|e| {
        eprintln!("frostkeel: {e}");
        ExitCode::FAILURE
    })
}
