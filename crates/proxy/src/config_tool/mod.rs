//! `olivecart config`: writes, checks and explains applications' configurations. It starts nothing.
//!
//! The command line calls [`run`]; the sidecar takes from here what the environment sets. What is right and wrong is
//! decided by `olivecart_config` alone.

mod arguments;
mod commands;

pub use arguments::Config;

use arguments::Command;
use olivecart_config::report::{Findings, text};
use olivecart_config::resolve::{Environment, VARIABLE_PREFIX};
use std::process::ExitCode;

/// How a command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// All is well.
    Success,
    /// Something is wrong, or differs.
    Found,
    /// The call is unusable, or a file cannot be written.
    Unusable,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        ExitCode::from(match outcome {
            Outcome::Success => 0,
            Outcome::Found => 1,
            Outcome::Unusable => 2,
        })
    }
}

/// Why a command came to nothing.
enum CommandError {
    /// A file has errors.
    Findings(Findings),
    /// The call is unusable, or a file cannot be written.
    Unusable(String),
    /// Of two files that both have to be right, one or both are not.
    EitherFile(Vec<CommandError>),
}

/// Runs the command that the command line asks for.
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

fn print_error(error: &CommandError) -> Outcome {
    match error {
        CommandError::Findings(findings) => {
            eprint!("{}", text(findings));
            Outcome::Found
        }
        CommandError::Unusable(message) => {
            eprintln!("olivecart: config: {message}");
            Outcome::Unusable
        }
        CommandError::EitherFile(errors) => {
            for error in errors {
                print_error(error);
            }
            Outcome::Unusable
        }
    }
}

/// The variables of the environment that override settings, in the order of their names.
pub fn environment() -> Environment {
    let mut variables: Environment = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX))
        .collect();
    variables.sort();
    variables
}
