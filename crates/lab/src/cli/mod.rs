//! The command line of the lab. Each command is a struct with a `run` that gives the exit code.

mod experiments;
mod fleet_log;
mod log;
mod run;
mod sidecars;
mod sockets;

use argh::FromArgs;
use std::fmt::Display;
use std::process::ExitCode;

/// All went as it should.
pub const FINE: u8 = 0;
/// Something is wrong with what was given, or a run came to nothing.
pub const FAULTY: u8 = 1;
/// A rule was broken.
pub const BROKEN_RULE: u8 = 3;
/// Every rule was kept, but not the scenario's bounds.
pub const OUT_OF_BOUNDS: u8 = 4;

/// A model of the fleet, and a load and experiment tool.
#[derive(FromArgs)]
struct Arguments {
    /// form of log lines on standard error: text (default) or json
    #[argh(option, default = "log::Form::Text")]
    log: log::Form,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(run::Run),
    Sweep(experiments::Sweep),
    Compare(experiments::Compare),
    Winners(experiments::Winners),
    Report(experiments::Report),
    Count(fleet_log::Count),
    Fleet(sockets::Fleet),
    Load(sockets::Load),
    Demo(sockets::Demo),
    Sidecars(sidecars::Sidecars),
    Check(run::Check),
    Schema(run::Schema),
}

/// Does what the command line asks for.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let (log, guard) = log::start(arguments.log);
    let code = match arguments.command {
        Command::Run(command) => command.run(&log),
        Command::Sweep(command) => command.run(&log),
        Command::Compare(command) => command.run(),
        Command::Winners(command) => command.run(),
        Command::Report(command) => command.run(&log),
        Command::Count(command) => command.run(),
        Command::Fleet(command) => command.run(&log),
        Command::Load(command) => command.run(&log),
        Command::Demo(command) => command.run(&log),
        Command::Sidecars(command) => command.run(&log),
        Command::Check(command) => command.run(),
        Command::Schema(command) => command.run(),
    };
    drop(log);
    drop(guard); // writes what is still queued
    ExitCode::from(code)
}

fn faulty(error: impl Display) -> u8 {
    eprintln!("olivecart-lab: {error}");
    FAULTY
}
