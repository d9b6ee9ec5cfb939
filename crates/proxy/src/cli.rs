//! The command line.

use crate::clusters::Clusters;
use crate::config::{Changes, Config};
use crate::{listen, reload, shutdown};
use argh::FromArgs;
use slog::{Drain, Logger, crit, info, o};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

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

fn serve(config: Config) -> ExitCode {
    // Lines go to standard error from a thread of their own; when it can't keep up they are dropped, and
    // a reader that stalls never stalls the proxy.
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let (drain, guard) = slog_async::Async::new(drain).build_with_guard();
    let log = Logger::root(drain.fuse(), o!("proxy" => config.name.clone()));
    let done = actix_rt::System::new().block_on(async {
        let hang_up = reload::register()?; // before anything that takes time
        let listener = listen::bind(config.listen)?;
        info!(log, "listening"; "on" => %config.listen, "version" => env!("CARGO_PKG_VERSION"));
        let (sockets, origin) = (config.sockets, config.origin.clone());
        let clusters = Clusters::start(config, &log);
        let (routes, site) = (clusters.routes.clone(), clusters.site.clone());
        let gate = Rc::new(listen::Gate::new(routes, site, log.clone(), sockets));
        let adopt = {
            let gate = gate.clone();
            move |changes: &Changes| {
                gate.adopt(changes.sockets);
                clusters.adopt(changes);
            }
        };
        actix_rt::spawn(reload::on_signal(hang_up, origin, adopt, log.clone()));
        let front = actix_rt::spawn(listen::serve(listener, gate.clone()));
        shutdown::on_signal(gate, log.clone()).await?;
        front.abort();
        Ok::<_, std::io::Error>(())
    });
    let code = match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            crit!(log, "stopped"; "error" => %e);
            ExitCode::FAILURE
        }
    };
    drop(log);
    drop(guard); // writes what is still queued
    code
}
