//! The `olivecart config` commands: write, check and explain the configurations of applications. They start
//! nothing.
//!
//! The command line calls [`run`]. The sidecar calls [`environment`]. The checks are in `olivecart_config`.

mod arguments;
mod commands;

pub use arguments::Config;

use arguments::Command;
use olivecart_config::report::{Findings, text};
use olivecart_config::resolve::{Environment, VARIABLE_PREFIX};
use std::process::ExitCode;

/// The result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandStatus {
    /// The command succeeded, without findings.
    Success,
    /// There are errors or differences.
    Found,
    /// The arguments are invalid, or a file cannot be written.
    Failed,
}

impl From<CommandStatus> for ExitCode {
    fn from(outcome: CommandStatus) -> ExitCode {
        ExitCode::from(match outcome {
            CommandStatus::Success => 0,
            CommandStatus::Found => 1,
            CommandStatus::Failed => 2,
        })
    }
}

/// The reason a command failed.
enum CommandError {
    /// A file has errors.
    Findings(Findings),
    /// The arguments are invalid, or a file cannot be written.
    Failed(String),
    /// One or both of two files that must be valid have errors.
    EitherFile(Vec<CommandError>),
}

/// Runs the command that the command line names.
pub fn run(config: Config) -> ExitCode {
    let result = match config.command {
        Command::Write(command) => command.run(),
        Command::Check(command) => command.run(),
        Command::Explain(command) => command.run(),
        Command::Show(command) => command.run(),
        Command::Diff(command) => command.run(),
        Command::Plan(command) => command.run(),
        Command::Graph(command) => command.run(),
        Command::Schema(command) => command.run(),
        Command::Reference(command) => command.run(),
    };
    result.unwrap_or_else(|error| print_error(&error)).into()
}

fn print_error(error: &CommandError) -> CommandStatus {
    match error {
        CommandError::Findings(findings) => {
            eprint!("{}", text(findings));
            CommandStatus::Found
        }
        CommandError::Failed(message) => {
            eprintln!("olivecart: config: {message}");
            CommandStatus::Failed
        }
        CommandError::EitherFile(errors) => {
            for error in errors {
                print_error(error);
            }
            CommandStatus::Failed
        }
    }
}

/// Returns the environment variables that override settings, in the order of their names.
pub fn environment() -> Environment {
    let mut variables: Environment = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX))
        .collect();
    variables.sort();
    variables
}
