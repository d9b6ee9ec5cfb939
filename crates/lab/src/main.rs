//! The entry point of the command `olivecart-lab`.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
