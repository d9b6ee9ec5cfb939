//! The command `olivecart-lab`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::SUCCESS
}
