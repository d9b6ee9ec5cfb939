//! Runs a scenario in virtual time and merges the counters of all threads into one result.
//!
//! The command line and the experiments call it. Apart from the cost, the result depends only on the
//! scenario, the policy, the seed and the build.

use crate::engine::{self, EngineError, RunOutcome};
use crate::model::{self, Counters, PolicyChoice, Rule, ThreadOutput, Topology};
use crate::policy::UnknownPolicy;
use crate::run_result::{Breach, Cost, RunResult, SCHEMA, Totals};
use crate::scenario::{Checked, Scenario};
use std::time::Instant;

/// Why a run has no result.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// No policy has the requested name.
    #[error(transparent)]
    Policy(#[from] UnknownPolicy),
    /// The run stopped before its end.
    #[error(transparent)]
    Engine(#[from] EngineError),
}

/// How a run is executed. No option changes the result, except for its cost.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The number of threads; at least 1.
    pub threads: usize,
    /// Whether the time spent in the policy is measured.
    pub timed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options { threads: 1, timed: false }
    }
}

/// Runs a checked scenario.
///
/// # Errors
/// No policy has that name, or the run stopped before its end.
pub fn run(scenario: &Checked, policy: &str, seed: u64, options: Options) -> Result<RunResult, RunError> {
    let choice = PolicyChoice { timed: options.timed, ..PolicyChoice::named(policy)? };
    let topology = Topology::new(Scenario::clone(scenario), seed, choice);
    let start = Instant::now();
    let RunOutcome { outputs, events, .. } = engine::run(&topology, options.threads)?;
    let wall_s = start.elapsed().as_secs_f64();
    let Some(output) = merge_outputs(outputs) else { return Ok(RunResult::default()) };
    let cost = Cost {
        threads: options.threads as u32,
        events,
        wall_s,
        policy_s: output.policy_s,
        peak_mib: peak_mib(),
    };
    let mut result = RunResult { policy: policy.into(), cost, ..build_result(scenario, &topology, output) };
    result.out_of_bounds = out_of_bounds(scenario, &result);
    Ok(result)
}

/// Merges the outputs of all threads, in an order that does not depend on the number of threads.
fn merge_outputs(outputs: Vec<ThreadOutput>) -> Option<ThreadOutput> {
    let mut outputs = outputs.into_iter();
    let mut merged = outputs.next()?;
    for output in outputs {
        merged.merge(output);
    }
    merged.sort();
    Some(merged)
}

/// Returns the result of a run without its policy, its cost and the check of its bounds.
fn build_result(scenario: &Checked, topology: &Topology, output: ThreadOutput) -> RunResult {
    let mut breaches = model::first_of_each(output.breaches);
    breaches.extend(first_cold_breach(&output.counters));
    let connections_per_server =
        if output.uptime == 0 { 0.0 } else { output.connection_us as f64 * 1e3 / output.uptime as f64 };
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
        held: output.ejections.into_iter().map(|(_, held)| held).collect(),
        faults: topology.timeline.windows.clone(),
        breaches,
        ..RunResult::default()
    }
}

fn first_cold_breach(counters: &Counters) -> Option<Breach> {
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

/// Describes each of the scenario's bounds that a result violates.
pub fn out_of_bounds(scenario: &Scenario, result: &RunResult) -> Vec<String> {
    let (bounds, totals) = (&scenario.bounds, &result.totals);
    let mut broken = Vec::new();
    if let Some([least, most]) = bounds.goodput
        && !(least..=most).contains(&totals.goodput)
    {
        broken.push(format!("goodput {:.4} is not between {least} and {most}", totals.goodput));
    }
    if let Some(least) = bounds.worst_window.filter(|least| result.worst_window < *least) {
        broken.push(format!("goodput of the worst ten seconds {:.4} is below {least}", result.worst_window));
    }
    if let Some(most) = bounds.attempts.filter(|most| totals.attempts_per_request > *most) {
        broken.push(format!("attempts per request {:.4} exceed {most}", totals.attempts_per_request));
    }
    let refused = totals.refused as f64 / totals.offered.max(1) as f64;
    if let Some(most) = bounds.refused.filter(|most| refused > *most) {
        broken.push(format!("share of refused requests {refused:.4} exceeds {most}"));
    }
    broken
}

/// Returns the revision of the build, or the package version if the revision is unknown.
pub fn revision() -> &'static str {
    option_env!("OLIVECART_REVISION").unwrap_or(env!("CARGO_PKG_VERSION"))
}

/// Returns the peak resident memory of this process in MiB, or 0 where the system does not report it.
pub fn peak_mib() -> f64 {
    let status = procfs::process::Process::myself().and_then(|p| p.status());
    status.ok().and_then(|s| s.vmhwm).map_or(0.0, |kib| kib as f64 / 1024.0)
}
