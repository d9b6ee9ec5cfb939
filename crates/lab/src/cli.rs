//! The command line of the lab.

use argh::FromArgs;
use olivecart_lab::run::result::RunResult;
use olivecart_lab::run::{Options, run as play};
use olivecart_lab::scenario::{Checked, Scenario, check_files, schema};
use std::fmt::Display;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// The run came to its end and kept its bounds.
const FINE: u8 = 0;
/// Something is wrong with what was given, or a run came to nothing.
const FAULTY: u8 = 1;
/// A rule was broken.
const BROKEN_RULE: u8 = 3;
/// Every rule was kept, but not the scenario's bounds.
const OUT_OF_BOUNDS: u8 = 4;

/// A model of the fleet, and a load and experiment tool.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Check(Check),
    Schema(SchemaCommand),
}

/// Play a scenario in virtual time. Exit codes: 0; 1 what was given is wrong; 3 a rule was broken; 4 out of bounds.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// who decides (default olivecart)
    #[argh(option, default = "String::from(\"olivecart\")")]
    policy: String,
    /// threads; the result is the same on any number (default: as many as there are cores)
    #[argh(option)]
    threads: Option<usize>,
    /// measure the time spent in the policy
    #[argh(switch)]
    timed: bool,
    /// append the result to this file, one JSON object a line
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Check scenario files, and say all that is wrong with them.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
}

/// Print the JSON Schema of scenario files.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
struct SchemaCommand {}

/// Does what the command line asks for.
pub fn run() -> ExitCode {
    let code = match argh::from_env::<Arguments>().command {
        Command::Run(command) => command.run(),
        Command::Check(command) => command.run(),
        Command::Schema(SchemaCommand {}) => {
            print!("{}", schema());
            FINE
        }
    };
    ExitCode::from(code)
}

fn faulty(error: impl Display) -> u8 {
    eprintln!("olivecart-lab: {error}");
    FAULTY
}

impl Check {
    fn run(self) -> u8 {
        if self.scenarios.is_empty() {
            return faulty("check: no scenario file was given");
        }
        match check_files(&self.scenarios) {
            Ok(()) => FINE,
            Err(problems) => {
                eprint!("{problems}");
                FAULTY
            }
        }
    }
}

impl Run {
    fn run(self) -> u8 {
        let scenario: Checked = match Scenario::read(&self.scenario) {
            Ok(scenario) => scenario,
            Err(problems) => {
                eprint!("{problems}");
                return FAULTY;
            }
        };
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let options = Options { threads: self.threads.unwrap_or(cores).max(1), timed: self.timed };
        let result = match play(&scenario, &self.policy, self.seed, options) {
            Ok(result) => result,
            Err(error) => return faulty(format!("{}: {error}", self.scenario.display())),
        };
        print(&result);
        if let Some(path) = &self.json
            && let Err(error) = append(path, &result)
        {
            return faulty(format!("{}: {error}", path.display()));
        }
        match (result.breaches.is_empty(), result.out_of_bounds.is_empty()) {
            (false, _) => BROKEN_RULE,
            (true, false) => OUT_OF_BOUNDS,
            (true, true) => FINE,
        }
    }
}

fn append(path: &PathBuf, result: &RunResult) -> std::io::Result<()> {
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
    let line = serde_json::to_string(result)?;
    writeln!(file, "{line}")
}

fn print(result: &RunResult) {
    let (t, c) = (&result.totals, &result.cost);
    println!("scenario {}  policy {}  seed {}", result.scenario, result.policy, result.seed);
    println!("digest: {}", result.digest);
    println!(
        "goodput {:.4}  worst ten seconds {:.4}  of {} requests: in time {}, late {}, refused {}, failed {}",
        t.goodput, result.worst_window, t.offered, t.in_time, t.late, t.refused, t.failed
    );
    println!(
        "attempts a request {:.3}  tries again by clients {}  wasted work {:.3}  second effects {}",
        t.attempts_per_request, t.client_retries, t.wasted_work, t.second_effects
    );
    println!(
        "probes {}  new connections {}  open connections a server {:.2}",
        t.probes, t.handshakes, t.connections_per_server
    );
    for class in &result.classes {
        let l = &class.latency;
        println!(
            "class {:<16} goodput {:.4}  ms: p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  max {:.1}",
            class.name, class.goodput, l.p50_ms, l.p90_ms, l.p99_ms, l.p999_ms, l.max_ms
        );
    }
    println!(
        "events {}  threads {}  {:.2} s  {:.2} us a core and event  policy {:.2} s  peak {:.0} MiB",
        c.events,
        c.threads,
        c.wall_s,
        c.wall_s * f64::from(c.threads) / c.events.max(1) as f64 * 1e6,
        c.policy_s,
        c.peak_mib
    );
    for what in &result.unsound {
        println!("unsound: {what}");
    }
    for what in &result.out_of_bounds {
        println!("out of bounds: {what}");
    }
    for breach in &result.breaches {
        println!(
            "rule broken: {} ({} times, first at {:.3} ms by {})",
            breach.rule, breach.count, breach.at_ms, breach.proxy
        );
        println!("  {}", breach.what);
        breach.events.iter().for_each(|event| println!("  {event}"));
    }
}
