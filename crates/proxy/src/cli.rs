//! The command line: parses the arguments, sets up the log, and runs what was asked for.
//!
//! `main.rs` calls [`run`]. What serves is assembled in `serve.rs` and `sidecar`; nothing is decided here.

use crate::config::Config;
use crate::{config_tool, serve, sidecar, tools};
use argh::FromArgs;
use slog::{Drain, Level, Logger, crit, o};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A load-balancing proxy: one program in front of every tier.
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

/// Serve until SIGTERM; SIGHUP reads the file again. The configuration comes from EDGE_CONFIG and the other EDGE_ variables.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file, instead of the one that EDGE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// operators' file with sources of endpoints, clusters and rules, instead of the one that
    /// OLIVECART_CLUSTERS names; without either there is only the platform's registry
    #[argh(option)]
    clusters: Option<PathBuf>,
}

/// Read the configuration, say what is wrong with it or what it amounts to, and start nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration file, instead of the one that EDGE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// operators' file with sources of endpoints, clusters and rules, instead of the one that
    /// OLIVECART_CLUSTERS names; without either there is only the platform's registry
    #[argh(option)]
    clusters: Option<PathBuf>,
}

/// Serve beside an application, from the file that `config write` makes: an inbound listener before it, and an outbound
/// one for each service that it calls. SIGTERM or POST /drain ends it.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
struct Sidecar {
    /// what one proxy reads (kind = "proxy")
    #[argh(option)]
    config: PathBuf,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Does what the command line asks for.
pub fn run() -> ExitCode {
    match argh::from_env::<Arguments>().command {
        Command::Version(Version {}) => {
            println!("olivecart {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Catalog(asked) => tools::run(asked),
        Command::Config(asked) => config_tool::run(asked),
        Command::Sidecar(Sidecar { config }) => serve_sidecar(&config),
        Command::Check(Check { config, clusters }) => match Config::from_environment(config, clusters) {
            Ok(config) => {
                println!("{config}");
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e),
        },
        Command::Serve(Serve { config, clusters }) => match Config::from_environment(config, clusters) {
            Ok(config) => serve(config),
            Err(e) => fail(&e),
        },
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("olivecart: {error}");
    ExitCode::FAILURE
}

/// The least level that is logged: OLIVECART_LOG, info unless it names one.
fn level() -> Level {
    std::env::var("OLIVECART_LOG").ok().and_then(|level| level.parse().ok()).unwrap_or(Level::Info)
}

/// Lines go to standard error from a thread of their own; when it can't keep up they are dropped, and a reader that
/// stalls never stalls the proxy. What is still queued is written when the guard is dropped.
fn logger(name: String) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let (drain, guard) = slog_async::Async::new(drain).build_with_guard();
    // Danger: judged behind the queue, every line would be made and sent there to be dropped.
    let drain = slog::LevelFilter::new(drain, level()).fuse();
    (Logger::root(drain, o!("proxy" => name)), guard)
}

/// Runs a sidecar.
fn serve_sidecar(path: &Path) -> ExitCode {
    let environment = config_tool::environment();
    let name = match sidecar::read(path, &environment) {
        Ok((_, resolved)) => resolved.proxy.name,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    let (log, guard) = logger(name);
    let done = actix_rt::System::new().block_on(sidecar::serve(path, &environment, log.clone()));
    if let Err(e) = &done {
        crit!(log, "stopped"; "error" => %e);
    }
    drop(log);
    drop(guard); // writes what is still queued
    if done.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs the proxy.
fn serve(config: Config) -> ExitCode {
    let (log, guard) = logger(config.name.clone());
    let served = actix_rt::System::new().block_on(serve::serve(config, &log));
    if let Err(e) = &served {
        crit!(log, "stopped"; "error" => %e);
    }
    drop(log);
    drop(guard); // writes what is still queued
    if served.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
