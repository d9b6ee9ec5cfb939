//! Single runs in virtual time, and scenario files.

use super::{BROKEN_RULE, FAULTY, FINE, OUT_OF_BOUNDS, faulty};
use argh::FromArgs;
use olivecart_lab::results::{Appender, Encoded};
use olivecart_lab::run::{Options, run as play};
use olivecart_lab::run_result::RunResult;
use olivecart_lab::scenario::{Checked, Scenario, check_files, schema};
use slog::{Logger, info, warn};
use std::path::{Path, PathBuf};

/// Nodes that are worth a thread: with fewer, threads wait for each other more than they work.
const NODES_A_THREAD: usize = 200;

/// Play a scenario in virtual time. Exit codes: 0; 1 what was given is wrong; 3 a rule was broken; 4 out of bounds.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// who decides (default olivecart)
    #[argh(option, default = "String::from(\"olivecart\")")]
    policy: String,
    /// threads; the result is the same on any number (default: as many as the fleet is worth)
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
pub struct Check {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
}

/// Print the JSON Schema of scenario files.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub struct Schema {}

impl Schema {
    /// Prints it.
    pub fn run(self) -> u8 {
        print!("{}", schema());
        FINE
    }
}

impl Check {
    /// Checks them.
    pub fn run(self) -> u8 {
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

/// Reads a scenario, or says all that is wrong with it.
pub fn read(path: &Path) -> Result<Checked, u8> {
    Scenario::read(path).map_err(|problems| {
        eprint!("{problems}");
        FAULTY
    })
}

fn threads(scenario: &Scenario) -> usize {
    let nodes: usize = scenario.tier.iter().map(|t| t.servers as usize + t.proxies as usize).sum();
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    (nodes / NODES_A_THREAD).clamp(1, cores)
}

impl Run {
    /// Plays it.
    pub fn run(self, log: &Logger) -> u8 {
        let scenario = match read(&self.scenario) {
            Ok(scenario) => scenario,
            Err(code) => return code,
        };
        // A file that can't be written to is better known before a long run than after it.
        let file = match self.json.as_deref().map(Appender::open).transpose() {
            Ok(file) => file,
            Err(error) => return faulty(error),
        };
        let threads = self.threads.unwrap_or_else(|| threads(&scenario)).max(1);
        info!(log, "playing"; "scenario" => &scenario.name, "policy" => &self.policy, "seed" => self.seed, "threads" => threads);
        let result = match play(&scenario, &self.policy, self.seed, Options { threads, timed: self.timed }) {
            Ok(result) => result,
            Err(error) => return faulty(format!("{}: {error}", self.scenario.display())),
        };
        print(&result);
        if let Some((mut file, torn)) = file {
            if let Some(torn) = torn {
                warn!(log, "an earlier run left a line unfinished, which was cut off"; "line" => %torn);
            }
            let written = Encoded::result(&result).map_err(|e| e.to_string());
            if let Err(error) = written.and_then(|line| file.append(&line).map_err(|e| e.to_string())) {
                return faulty(error);
            }
        }
        verdict(&result)
    }
}

/// Appends a result to a file.
pub fn store(path: &Path, result: &RunResult) -> Result<(), Box<dyn std::error::Error>> {
    let (mut file, _) = Appender::open(path)?;
    Ok(file.append(&Encoded::result(result)?)?)
}

/// The exit code that a result asks for.
pub fn verdict(result: &RunResult) -> u8 {
    match (result.breaches.is_empty(), result.out_of_bounds.is_empty()) {
        (false, _) => BROKEN_RULE,
        (true, false) => OUT_OF_BOUNDS,
        (true, true) => FINE,
    }
}

/// Prints what a person wants to know first.
pub fn print(result: &RunResult) {
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
    let cost = c.wall_s * f64::from(c.threads) / c.events.max(1) as f64 * 1e6;
    println!(
        "events {}  threads {}  {:.2} s  {cost:.2} us a core and event  policy {:.2} s  peak {:.0} MiB",
        c.events, c.threads, c.wall_s, c.policy_s, c.peak_mib
    );
    result.unsound.iter().for_each(|what| println!("unsound: {what}"));
    result.out_of_bounds.iter().for_each(|what| println!("out of bounds: {what}"));
    for breach in &result.breaches {
        let (rule, count, at, proxy) = (&breach.rule, breach.count, breach.at_ms, &breach.proxy);
        println!("rule broken: {rule} ({count} times, first at {at:.3} ms by {proxy})\n  {}", breach.what);
        breach.events.iter().for_each(|event| println!("  {event}"));
    }
}
