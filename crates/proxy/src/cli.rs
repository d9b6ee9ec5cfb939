//! The command line: parses the arguments, sets up the log, and runs the command.
//!
//! `main.rs` calls [`run`]. `serve.rs` and `sidecar` assemble the parts that serve requests.

use crate::config::Config;
use crate::{config_tool, serve, sidecar, tools};
use argh::FromArgs;
use slog::{Drain, Level, Logger, crit, o};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A load-balancing proxy for every tier of a service.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Catalog(tools::Catalog),
    Config(config_tool::Config),
    Sidecar(Sidecar),
    Version(Version),
}

/// Serve until SIGTERM. SIGHUP reloads the configuration file. The configuration comes from EDGE_CONFIG and
/// the other EDGE_ variables.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file, instead of the one that EDGE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// operators' file with sources of endpoints, clusters and rules, instead of the one that
    /// OLIVECART_CLUSTERS names; without either, the platform's registry is the only source
    #[argh(option)]
    clusters: Option<PathBuf>,
}

/// Check the configuration, and print its errors or a summary. Starts nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration file, instead of the one that EDGE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// operators' file with sources of endpoints, clusters and rules, instead of the one that
    /// OLIVECART_CLUSTERS names; without either, the platform's registry is the only source
    #[argh(option)]
    clusters: Option<PathBuf>,
}

/// Serve beside an application, from a file that `config write` wrote: with an inbound listener in front of
/// the application, and an outbound listener for each service that it calls. Serves until SIGTERM or POST
/// /drain.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
struct Sidecar {
    /// configuration file of one proxy (kind = "proxy")
    #[argh(option)]
    config: PathBuf,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs the command that the command line names.
pub fn run() -> ExitCode {
    match argh::from_env::<Arguments>().command {
        Command::Version(Version {}) => {
            println!("olivecart {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Catalog(arguments) => tools::run(arguments),
        Command::Config(arguments) => config_tool::run(arguments),
        Command::Sidecar(Sidecar { config }) => serve_sidecar(&config),
        Command::Check(Check { config, clusters }) => match Config::from_environment(config, clusters) {
            Ok(config) => {
                println!("{config}");
                ExitCode::SUCCESS
            }
            Err(e) => report_failure(&e),
        },
        Command::Serve(Serve { config, clusters }) => match Config::from_environment(config, clusters) {
            Ok(config) => serve(config),
            Err(e) => report_failure(&e),
        },
    }
}

fn report_failure(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("olivecart: {error}");
    ExitCode::FAILURE
}

/// Returns the minimum level of logged lines: the level that OLIVECART_LOG names, or else info.
fn log_level() -> Level {
    std::env::var("OLIVECART_LOG").ok().and_then(|level| level.parse().ok()).unwrap_or(Level::Info)
}

/// Creates a logger that writes to standard error from a separate thread. If the thread falls behind, lines
/// are dropped, so that a stalled reader of the log never stalls the proxy. Dropping the guard writes the
/// lines still queued.
fn start_logger(name: String) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let (drain, guard) = slog_async::Async::new(drain).build_with_guard();
    // Filtering behind the queue would format and queue every line, only to drop it there.
    let drain = slog::LevelFilter::new(drain, log_level()).fuse();
    (Logger::root(drain, o!("proxy" => name)), guard)
}

/// Runs `olivecart sidecar`.
fn serve_sidecar(path: &Path) -> ExitCode {
    let environment = config_tool::environment();
    let name = match sidecar::read(path, &environment) {
        Ok((_, resolved)) => resolved.proxy.name,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    let (log, guard) = start_logger(name);
    let result = actix_rt::System::new().block_on(sidecar::serve(path, &environment, log.clone()));
    if let Err(e) = &result {
        crit!(log, "stopped"; "error" => %e);
    }
    drop(log);
    drop(guard); // writes the queued lines
    if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs `olivecart serve`.
fn serve(config: Config) -> ExitCode {
    let (log, guard) = start_logger(config.name.clone());
    let result = actix_rt::System::new().block_on(serve::serve(config, &log));
    if let Err(e) = &result {
        crit!(log, "stopped"; "error" => %e);
    }
    drop(log);
    drop(guard); // writes the queued lines
    if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
