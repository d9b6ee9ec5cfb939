//! Runs a scenario in virtual time, and makes its result from what the threads counted.
//!
//! The command line and the experiments call it. What it returns follows from scenario, policy, seed and build
//! alone, but for the cost.

use crate::engine::{self, EngineError, RunOutcome};
use crate::model::{self, Counters, PolicyChoice, Rule, ThreadOutput, Topology};
use crate::policy::UnknownPolicy;
use crate::run_result::{Breach, Cost, RunResult, SCHEMA, Totals};
use crate::scenario::{Checked, Scenario};
use std::time::Instant;

/// Why a run came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// There is no such policy.
    #[error(transparent)]
    Policy(#[from] UnknownPolicy),
    /// It stopped before its end.
    #[error(transparent)]
    Engine(#[from] EngineError),
}

/// How a run is played; nothing here changes what it comes to.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Threads; at least 1.
    pub threads: usize,
    /// Time spent in the policy is measured.
    pub timed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options { threads: 1, timed: false }
    }
}

/// Runs a scenario that was checked.
///
/// # Errors
/// There is no such policy, or the run stopped before its end.
pub fn run(scenario: &Checked, policy: &str, seed: u64, options: Options) -> Result<RunResult, RunError> {
    let choice = PolicyChoice { timed: options.timed, ..PolicyChoice::named(policy)? };
    let topology = Topology::new(Scenario::clone(scenario), seed, choice);
    let start = Instant::now();
    let RunOutcome { outputs, events, .. } = engine::run(&topology, options.threads)?;
    let wall_s = start.elapsed().as_secs_f64();
    let Some(output) = merged(outputs) else { return Ok(RunResult::default()) };
    let cost = Cost {
        threads: options.threads as u32,
        events,
        wall_s,
        policy_s: output.policy_s,
        peak_mib: peak_mib(),
    };
    let mut result = RunResult { policy: policy.into(), cost, ..result(scenario, &topology, output) };
    result.out_of_bounds = out_of_bounds(scenario, &result);
    Ok(result)
}

/// The outputs of all threads together, in an order that does not depend on the threads.
fn merged(outputs: Vec<ThreadOutput>) -> Option<ThreadOutput> {
    let mut outputs = outputs.into_iter();
    let mut merged = outputs.next()?;
    for output in outputs {
        merged.merge(output);
    }
    merged.sort();
    Some(merged)
}

/// The result of a run, but for its policy, its cost and its bounds.
fn result(scenario: &Checked, topology: &Topology, output: ThreadOutput) -> RunResult {
    let mut breaches = model::first_of_each(output.breaches);
    breaches.extend(cold_breach(&output.counters));
    let connections_per_server =
        if output.up == 0 { 0.0 } else { output.connection_us as f64 * 1e3 / output.up as f64 };
    let totals = Totals {
        handshakes: output.handshakes,
        connections_per_server,
        ..output.counters.totals(output.work)
    };
    RunResult {
        schema: SCHEMA,
        scenario: scenario.name.clone(),
        scenario_digest: scenario.digest().into(),
        revision: revision().into(),
        seed: topology.seed,
        digest: model::digest(output.digests),
        unsound: output.counters.violations(),
        totals,
        worst_window: output.counters.worst_window(),
        classes: output.counters.classes(topology),
        tenants: output.counters.tenants(topology),
        seconds: output.counters.seconds(),
        servers: output.servers.into_iter().map(|(_, server)| server).collect(),
        held: output.held.into_iter().map(|(_, held)| held).collect(),
        faults: topology.timeline.windows.clone(),
        breaches,
        ..RunResult::default()
    }
}

fn cold_breach(counters: &Counters) -> Option<Breach> {
    let all = counters.cold_breaches();
    let (at, proxy, what) = all.first()?.clone();
    let later = all.iter().skip(1).map(|(at, _, what)| format!("{:.3} ms: {what}", *at as f64 / 1e6));
    let events = later.take(20).collect();
    Some(Breach {
        rule: Rule::Cold.name().into(),
        count: all.len() as u64,
        at_ms: at as f64 / 1e6,
        proxy,
        what,
        events,
    })
}

/// What of the scenario's bounds a result does not keep, in words.
pub fn out_of_bounds(scenario: &Scenario, result: &RunResult) -> Vec<String> {
    let (bounds, totals) = (&scenario.bounds, &result.totals);
    let mut broken = Vec::new();
    if let Some([least, most]) = bounds.goodput
        && !(least..=most).contains(&totals.goodput)
    {
        broken.push(format!("goodput is {:.4}, not between {least} and {most}", totals.goodput));
    }
    if let Some(least) = bounds.worst_window.filter(|least| result.worst_window < *least) {
        broken.push(format!("goodput of the worst ten seconds is {:.4}, under {least}", result.worst_window));
    }
    if let Some(most) = bounds.attempts.filter(|most| totals.attempts_per_request > *most) {
        broken.push(format!("attempts for each request are {:.4}, over {most}", totals.attempts_per_request));
    }
    let refused = totals.refused as f64 / totals.offered.max(1) as f64;
    if let Some(most) = bounds.refused.filter(|most| refused > *most) {
        broken.push(format!("the share of refused requests is {refused:.4}, over {most}"));
    }
    broken
}

/// The build's revision, as far as it is known.
pub fn revision() -> &'static str {
    option_env!("OLIVECART_REVISION").unwrap_or(env!("CARGO_PKG_VERSION"))
}

/// Greatest memory that this process has had, in MiB; 0 where nothing tells.
pub fn peak_mib() -> f64 {
    let status = procfs::process::Process::myself().and_then(|p| p.status());
    status.ok().and_then(|s| s.vmhwm).map_or(0.0, |kib| kib as f64 / 1024.0)
}
