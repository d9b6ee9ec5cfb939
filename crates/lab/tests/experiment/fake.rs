//! A player whose figures follow from the scenario, the policy and the seed by a plain rule.

use olivecart_lab::experiment::Player;
use olivecart_lab::run_result::{Group, Latency, RunResult, SCHEMA, Server, Totals};
use olivecart_lab::scenario::Checked;
use std::sync::Mutex;

/// A scenario that needs nothing but its name.
pub const CALM: &str = r#"
version = 1
name = "calm"
length = "10s"
[clients]
load = 0.5
[[class]]
name = "read"
aim = "100ms"
deadline = "1s"
effect = "repeatable"
work = { dist = "exponential", mean = "5ms" }
[[tier]]
name = "web"
servers = 4
kind = [{ name = "plain", cores = 2 }]
[[fault]]
kind = "crash"
start = "2s"
part = 0.25
"#;

/// Plays `good` and `bad` policies; fails seed 666, panics with `panics`, gives NaN with `nan`.
#[derive(Default)]
pub struct Fake {
    /// The build that it passes for.
    pub revision: String,
    /// Every run that was asked for: load, policy, seed.
    pub played: Mutex<Vec<(String, String, u64)>>,
}

/// A figure between 0 and 1 that follows from the seed, and looks like chance.
pub fn chance(seed: u64, salt: u64) -> f64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&seed.to_le_bytes(), salt) as f64 / u64::MAX as f64
}

/// A run whose goodput is given, with some more figures.
pub fn result(scenario: &str, digest: &str, policy: &str, seed: u64, goodput: f64) -> RunResult {
    let class = |name: &str, p99_ms| Group {
        name: name.into(),
        latency: Latency { count: 10, p99_ms, ..Latency::default() },
        ..Group::default()
    };
    let server = |utilization| Server { tier: "web".into(), utilization, ..Server::default() };
    RunResult {
        schema: SCHEMA,
        scenario: scenario.into(),
        scenario_digest: digest.into(),
        revision: "fake".into(),
        policy: policy.into(),
        seed,
        digest: format!("{digest}-{policy}-{seed}-{goodput}"),
        totals: Totals { offered: 100, refused: 5, goodput, attempts_per_request: 1.5, ..Totals::default() },
        worst_window: goodput / 2.0,
        classes: vec![class("read", 20.0 + chance(seed, 9))],
        servers: vec![server(0.2), server(0.6)],
        ..RunResult::default()
    }
}

impl Player for Fake {
    fn revision(&self) -> String {
        self.revision.clone()
    }

    fn check_policy(&self, name: &str) -> Result<(), String> {
        match name {
            "good" | "bad" | "twin" | "panics" | "nan" => Ok(()),
            _ => Err(format!("there is no policy {name:?}")),
        }
    }

    fn run(&self, scenario: &Checked, policy: &str, seed: u64) -> Result<RunResult, String> {
        let load = scenario.clients.load.unwrap_or_default();
        self.played.lock().expect("no run panics here").push((load.to_string(), policy.into(), seed));
        assert_ne!(policy, "panics", "as it should");
        if seed == 666 {
            return Err("it is not played".into());
        }
        let shared = 1.0 - load / 2.0 + 0.05 * chance(seed, 1);
        let goodput = match policy {
            "bad" => shared - 0.02 - 0.01 * chance(seed, 2),
            "twin" => shared + 0.02 * (chance(seed, 3) - chance(seed, 4)),
            "nan" => f64::NAN,
            _ => shared,
        };
        Ok(result(&scenario.name, scenario.digest(), policy, seed, goodput))
    }
}
