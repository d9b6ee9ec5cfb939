//! What a proxy adds to the latency, and how many requests it passes on for a second of its CPU time:
//! `cargo run --release -p olivecart-lab --example overhead`

use argh::FromArgs;
use olivecart_lab::sockets::overhead::measure;
use olivecart_lab::sockets::program::{Build, find};
use olivecart_lab::sockets::show::interrupted;
use std::error::Error;
use std::path::PathBuf;

/// Sends the same load through a proxy and straight to the servers behind it, at the same time.
#[derive(FromArgs)]
struct Arguments {
    /// the program olivecart (default: the one beside this program)
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// requests a second on each way; may be given several times (default: 250, 500, 1000, 2000, 4000)
    #[argh(option)]
    rate: Vec<f64>,
    /// how long each rate is sent (default: 10)
    #[argh(option, default = "10")]
    seconds: u32,
    /// feeds all chance (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let program = find(arguments.proxy.as_deref(), Build::Always)?;
    let cores = std::thread::available_parallelism()?;
    println!("{cores} cores; latencies are the 50th, 99th and 99.9th percentile in ms");
    let usual = vec![250.0, 500.0, 1000.0, 2000.0, 4000.0];
    for rate in if arguments.rate.is_empty() { usual } else { arguments.rate } {
        tokio::select! {
            measured = measure(&program, rate, arguments.seconds, arguments.seed) => {
                println!("{}", measured?);
            }
            caught = interrupted() => return Ok(caught?),
        }
    }
    Ok(())
}
