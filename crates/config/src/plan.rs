//! In which order the applications of a fleet must take a change, so that no two that talk to each other, or share
//! a machine, contradict each other on the way.
//!
//! Each pair that must agree says which of the two may go first. Weighed against trying orders: pairs are enough,
//! since all that is checked between applications is between two, but for the budget of attempts, which is checked
//! at each step of the order that was found.

use crate::check::pair::{Clash, between, on_one_machine};
use crate::diff::edits;
use crate::graph::Calls;
use crate::load::Loaded;
use crate::resolve::Resolved;
use petgraph::algo::{kosaraju_scc, toposort};
use petgraph::graphmap::DiGraphMap;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// An order of changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Applications in the order in which they take the change, and why each is not earlier.
    pub steps: Vec<Step>,
}

/// One application takes the change.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Which.
    pub application: String,
    /// What it comes after, and why.
    pub after: Vec<(String, String)>,
}

/// There is no order.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NoPlan {
    /// Two contradict each other whichever goes first.
    #[error(
        "{first:?} and {second:?} contradict each other whichever goes first.\n    {first:?} first: {one}\n    {second:?} first: {other}\nChange both at once, or go over a step in between that agrees with either"
    )]
    Either {
        /// One of the two.
        first: String,
        /// The other.
        second: String,
        /// What goes wrong if the first goes first.
        one: String,
        /// And if the other does.
        other: String,
    },
    /// Each waits for another.
    #[error("each waits for another: {0}\nGo over a step in between, or change them at once")]
    Round(String),
    /// More attempts on the way than the budget.
    #[error(
        "with {application:?} changed, one request of a client may come to {sum:.0} attempts at {at:?}; the budget is {most}"
    )]
    Budget {
        /// Whose change it is.
        application: String,
        /// Where.
        at: String,
        /// How many.
        sum: f64,
        /// The budget.
        most: u32,
    },
}

/// The budget of attempts that holds on the way.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Most attempts for a request of a client.
    pub attempts: u32,
    /// Tries of a client.
    pub client_tries: u32,
}

impl Budget {
    /// The budget of a fleet that was loaded; none if there is no fleet.
    pub fn of(loaded: &Loaded) -> Option<Budget> {
        let (_, fleet) = loaded.fleet.as_ref()?;
        let attempts = fleet.budget.attempts.unwrap_or(crate::check::BUDGET);
        Some(Budget { attempts, client_tries: fleet.budget.client_tries.unwrap_or(1) })
    }

    /// What must hold on the way between two: the larger budget, with the fewer tries. Danger: a change that
    /// lowers the budget begins above it, and no order could keep to it.
    pub fn either(self, other: Budget) -> Budget {
        let attempts = self.attempts.max(other.attempts);
        Budget { attempts, client_tries: self.client_tries.min(other.client_tries) }
    }
}

/// The order from one fleet to another, both without errors.
///
/// # Errors
/// Why there is none.
pub fn plan(old: &[Resolved], new: &[Resolved], budget: Budget) -> Result<Plan, NoPlan> {
    let named = |all: &'_ [Resolved]| -> BTreeMap<String, Resolved> {
        all.iter().map(|one| (one.proxy.name.clone(), one.clone())).collect()
    };
    let (before, after) = (named(old), named(new));
    // One that is new or goes changes too: it is there after its step, or until it.
    let names: Vec<&String> =
        before.keys().chain(after.keys()).collect::<BTreeSet<_>>().into_iter().collect();
    let changes = |name: &&String| match (before.get(*name), after.get(*name)) {
        (Some(old), Some(new)) => !edits(&old.proxy, &new.proxy).is_empty() || old.machine != new.machine,
        _ => true,
    };
    let changed: Vec<&String> = names.into_iter().filter(changes).collect();
    let mut waits: BTreeMap<(usize, usize), String> = BTreeMap::new();
    for (i, a) in changed.iter().enumerate() {
        for (j, b) in changed.iter().enumerate().skip(i + 1) {
            let first = conflict(after.get(*a), before.get(*b));
            let second = conflict(before.get(*a), after.get(*b));
            match (first, second) {
                (Some(one), Some(other)) => {
                    let (first, second) = ((*a).clone(), (*b).clone());
                    return Err(NoPlan::Either { first, second, one, other });
                }
                // It goes wrong if a is first: so b is.
                (Some(why), None) => _ = waits.insert((j, i), why),
                (None, Some(why)) => _ = waits.insert((i, j), why),
                (None, None) => {}
            }
        }
    }
    let order = order(changed.len(), &waits).map_err(|round| {
        let names: Vec<String> = round.iter().map(|at| changed[*at].clone()).collect();
        NoPlan::Round(names.join(", "))
    })?;
    let mut present = before.clone();
    let mut steps = Vec::new();
    for at in order {
        let name = changed[at];
        match after.get(name) {
            Some(new) => _ = present.insert(name.clone(), new.clone()),
            None => _ = present.remove(name),
        }
        let all: Vec<Resolved> = present.values().cloned().collect();
        within_budget(&all, budget, name)?;
        let earlier = waits.iter().filter(|((_, to), _)| *to == at);
        let after = earlier.map(|((from, _), why)| (changed[*from].clone(), why.clone())).collect();
        steps.push(Step { application: name.clone(), after });
    }
    Ok(Plan { steps })
}

/// Why two cannot be in force at once, if they cannot; whoever is not there contradicts nobody.
fn conflict(a: Option<&Resolved>, b: Option<&Resolved>) -> Option<String> {
    let (a, b) = (a?, b?);
    let calls = |caller: &Resolved, callee: &Resolved| -> Vec<Clash> {
        let out = caller.proxy.outbound.iter().enumerate();
        let to = out.filter(|(_, call)| call.application == callee.proxy.name);
        to.flat_map(|(at, _)| between(caller, callee, at)).collect()
    };
    let all = calls(a, b).into_iter().chain(calls(b, a)).chain(on_one_machine(a, b));
    all.map(|clash| format!("{}: {}", clash.id, clash.what)).next()
}

/// An order that keeps to what waits for what, by name where nothing does.
fn order(count: usize, waits: &BTreeMap<(usize, usize), String>) -> Result<Vec<usize>, Vec<usize>> {
    let mut graph: DiGraphMap<usize, ()> = DiGraphMap::new();
    (0..count).for_each(|at| _ = graph.add_node(at));
    waits.keys().for_each(|(from, to)| _ = graph.add_edge(*from, *to, ()));
    if toposort(&graph, None).is_err() {
        let knot = kosaraju_scc(&graph).into_iter().find(|knot| knot.len() > 1).unwrap_or_default();
        return Err(knot);
    }
    let mut left: BTreeSet<usize> = (0..count).collect();
    let mut all = Vec::new();
    while let Some(next) =
        left.iter().copied().find(|at| !waits.keys().any(|(from, to)| to == at && left.contains(from)))
    {
        left.remove(&next);
        all.push(next);
    }
    Ok(all)
}

fn within_budget(all: &[Resolved], budget: Budget, application: &str) -> Result<(), NoPlan> {
    let arrivals = Calls::of(all).arrivals(f64::from(budget.client_tries));
    let over = arrivals.iter().enumerate().find(|(_, a)| a.sum > f64::from(budget.attempts) + 1e-9);
    match over {
        Some((at, arrivals)) => {
            let (application, at) = (application.to_owned(), all[at].proxy.name.clone());
            Err(NoPlan::Budget { application, at, sum: arrivals.sum, most: budget.attempts })
        }
        None => Ok(()),
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.steps.is_empty() {
            return writeln!(f, "nothing changes");
        }
        for (number, Step { application, after }) in self.steps.iter().enumerate() {
            writeln!(f, "{}. {application}", number + 1)?;
            for (earlier, why) in after {
                writeln!(f, "       after {earlier}, since otherwise {why}")?;
            }
        }
        Ok(())
    }
}
