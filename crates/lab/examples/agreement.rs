//! How far the model and real proxies agree: plays scenarios in virtual time and on sockets, with the same
//! seed, and prints both: `cargo run --release -p olivecart-lab --example agreement -- scenarios/crash.toml
//! ...`

use argh::FromArgs;
use olivecart_lab::model::{PolicyChoice, Topology};
use olivecart_lab::run::{self, run};
use olivecart_lab::run_result::RunResult;
use olivecart_lab::scenario::{Checked, Scenario};
use olivecart_lab::sockets::load;
use olivecart_lab::sockets::program::{Build, find};
use olivecart_lab::sockets::settings::Limits;
use olivecart_lab::sockets::show::interrupted;
use olivecart_lab::sockets::testbed::{Testbed, TestbedOptions};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The project's own decisions.
const POLICY: &str = "olivecart";

/// Plays scenarios in the model and on sockets.
#[derive(FromArgs)]
struct Arguments {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
    /// the program olivecart (default: the one beside this program)
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// feeds all chance (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let program = find(arguments.proxy.as_deref(), Build::Always)?;
    println!(
        "scenario           where    goodput   worst  offered    late  refused  failed  attempts  retries  \
         probes  handshakes  connections       p50       p99"
    );
    for file in &arguments.scenarios {
        let scenario = Scenario::read(file).map_err(|problems| problems.to_string())?;
        println!("{}", row("model", &run(&scenario, POLICY, arguments.seed, run::Options::default())?));
        tokio::select! {
            played = on_sockets(&scenario, &program, arguments.seed) => {
                println!("{}", row("sockets", &played?));
            }
            caught = interrupted() => return Ok(caught?),
        }
    }
    Ok(())
}

async fn on_sockets(scenario: &Checked, program: &Path, seed: u64) -> Result<RunResult, Box<dyn Error>> {
    let topology = Topology::new(scenario.clone().into_inner(), seed, PolicyChoice::named(POLICY)?);
    let setting = TestbedOptions { program: program.to_owned(), limits: Limits::default(), fronts: true };
    let stage = Testbed::start(Arc::new(topology), setting).await?;
    let load = stage.load(load::Options::default())?;
    let begin = Instant::now() + Duration::from_millis(500);
    stage.begin(begin);
    let mut report = load.run(begin).await?;
    stage.complete(&mut report);
    stage.shut_down().await;
    Ok(report.result)
}

fn row(place: &str, result: &RunResult) -> String {
    let (t, latency) = (&result.totals, &result.classes[0].latency);
    let unsound = result.unsound.iter().map(|why| format!("  {why}")).collect::<String>();
    format!(
        "{:18} {place:7} {:8.4} {:7.4} {:8} {:7} {:8} {:7} {:9.3} {:8} {:7} {:11} {:12.1} {:6.1} ms {:6.1} ms\
         {unsound}",
        result.scenario,
        t.goodput,
        result.worst_window,
        t.offered,
        t.late,
        t.refused,
        t.failed,
        t.attempts_per_request,
        t.client_retries,
        t.probes,
        t.handshakes,
        t.connections_per_server,
        latency.p50_ms,
        latency.p99_ms
    )
}
