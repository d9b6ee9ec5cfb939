//! Runs of a scenario in virtual time, and what they come to.

pub mod result;

use crate::engine::{self, EngineError};
use crate::model::{self, World};
use crate::policy::{self, UnknownPolicy};
use crate::scenario::{Checked, Scenario};
use result::{Breach, Cost, RunResult, SCHEMA, Totals};
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

/// Plays a scenario that was checked.
pub fn run(scenario: &Checked, policy: &str, seed: u64, options: Options) -> Result<RunResult, RunError> {
    let policy_factory = policy::named(policy)?;
    let world = World::new(Scenario::clone(scenario), seed, policy, policy_factory, options.timed);
    let began = Instant::now();
    let outcome = engine::run(&world, options.threads)?;
    let wall_s = began.elapsed().as_secs_f64();
    let mut parts = outcome.outputs.into_iter();
    let Some(mut all) = parts.next() else { return Ok(RunResult::default()) };
    for part in parts {
        all.digests.extend(part.digests);
        all.servers.extend(part.servers);
        all.work += part.work;
        all.connection_us += part.connection_us;
        all.up += part.up;
        all.handshakes += part.handshakes;
        all.tally.add(&part.tally);
        all.breaches.extend(part.breaches);
        all.held.extend(part.held);
        all.policy_s += part.policy_s;
    }
    all.servers.sort_by_key(|(place, _)| *place);
    all.held.sort_by(|(a, x), (b, y)| {
        a.cmp(b).then(x.from_ms.cmp(&y.from_ms)).then_with(|| x.server.cmp(&y.server))
    });
    let mut breaches = model::first_of_each(all.breaches);
    breaches.extend(cold_breach(&all.tally));
    let totals = Totals {
        handshakes: all.handshakes,
        connections_per_server: if all.up == 0 {
            0.0
        } else {
            all.connection_us as f64 * 1e3 / all.up as f64
        },
        ..all.tally.totals(all.work)
    };
    let cost = Cost {
        threads: options.threads as u32,
        events: outcome.events,
        wall_s,
        policy_s: all.policy_s,
        peak_mib: peak_mib(),
    };
    let mut result = RunResult {
        schema: SCHEMA,
        scenario: scenario.name.clone(),
        scenario_digest: scenario.digest().into(),
        revision: revision().into(),
        policy: policy.into(),
        seed,
        digest: model::digest(all.digests),
        unsound: all.tally.violations(),
        totals,
        worst_window: all.tally.worst_window(),
        classes: all.tally.classes(&world),
        tenants: all.tally.tenants(&world),
        seconds: all.tally.seconds(),
        servers: all.servers.into_iter().map(|(_, server)| server).collect(),
        held: all.held.into_iter().map(|(_, held)| held).collect(),
        faults: world.timeline.windows.clone(),
        breaches,
        out_of_bounds: Vec::new(),
        cost,
    };
    result.out_of_bounds = out_of_bounds(scenario, &result);
    Ok(result)
}

fn cold_breach(tally: &model::Tally) -> Option<Breach> {
    let all = tally.cold_breaches();
    let (at, proxy, what) = all.first()?.clone();
    let later = all.iter().skip(1).map(|(at, _, what)| format!("{:.3} ms: {what}", *at as f64 / 1e6));
    let events = later.take(20).collect();
    Some(Breach { rule: "cold".into(), count: all.len() as u64, at_ms: at as f64 / 1e6, proxy, what, events })
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
