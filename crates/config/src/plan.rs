//! In which order the applications of a fleet must take a change, so that no two that talk to each other, or share
//! a machine, contradict each other on the way.
//!
//! Each pair that must agree says which of the two may go first. Weighed against trying orders: pairs are enough,
//! since all that is checked between applications is between two, but for the budget of attempts, which is checked
//! at each step of the order that was found. Pure; called by the command line.

use crate::check::ROUNDING;
use crate::check::pair::{Conflict, between, on_one_machine};
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
    Circle(String),
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
        let attempts = fleet.budget.attempts.unwrap_or(crate::check::DEFAULT_ATTEMPT_BUDGET);
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
    let change = Change { old: by_name(old), new: by_name(new) };
    let changed = change.changed_names();
    let constraints = change.constraints(&changed)?;
    let order = constraints.order(changed.len()).map_err(|circle| {
        let names: Vec<String> = circle.iter().map(|index| changed[*index].clone()).collect();
        NoPlan::Circle(names.join(", "))
    })?;
    change.check_budget(order.iter().map(|index| changed[*index]), budget)?;
    let step = |index: usize| Step {
        application: changed[index].clone(),
        after: constraints.reasons(index, &changed),
    };
    Ok(Plan { steps: order.into_iter().map(step).collect() })
}

fn by_name(resolved: &[Resolved]) -> BTreeMap<String, Resolved> {
    resolved.iter().map(|one| (one.proxy.name.clone(), one.clone())).collect()
}

/// Two states of a fleet, by the names of the applications.
struct Change {
    old: BTreeMap<String, Resolved>,
    new: BTreeMap<String, Resolved>,
}

impl Change {
    /// The applications that change, in the order of their names. One that is added or removed changes too: it is
    /// there after its step, or until it.
    fn changed_names(&self) -> Vec<&String> {
        let names: BTreeSet<&String> = self.old.keys().chain(self.new.keys()).collect();
        names.into_iter().filter(|name| self.is_changed(name)).collect()
    }

    fn is_changed(&self, name: &str) -> bool {
        match (self.old.get(name), self.new.get(name)) {
            (Some(old), Some(new)) => !edits(&old.proxy, &new.proxy).is_empty() || old.machine != new.machine,
            _ => true,
        }
    }

    /// Which of any two must change first.
    fn constraints(&self, changed: &[&String]) -> Result<Constraints, NoPlan> {
        let mut constraints = Constraints::default();
        for (i, a) in changed.iter().enumerate() {
            for (j, b) in changed.iter().enumerate().skip(i + 1) {
                let a_first = conflict(self.new.get(*a), self.old.get(*b));
                let b_first = conflict(self.old.get(*a), self.new.get(*b));
                match (a_first, b_first) {
                    (Some(one), Some(other)) => {
                        let first = (*a).clone();
                        let second = (*b).clone();
                        return Err(NoPlan::Either { first, second, one, other });
                    }
                    (Some(reason), None) => constraints.add(j, i, reason),
                    (None, Some(reason)) => constraints.add(i, j, reason),
                    (None, None) => {}
                }
            }
        }
        Ok(constraints)
    }

    /// Applies the changes one after another and checks the budget of attempts after each.
    fn check_budget<'a>(
        &self,
        order: impl Iterator<Item = &'a String>,
        budget: Budget,
    ) -> Result<(), NoPlan> {
        let mut present = self.old.clone();
        for name in order {
            match self.new.get(name) {
                Some(new) => present.insert(name.clone(), new.clone()),
                None => present.remove(name),
            };
            let all: Vec<Resolved> = present.values().cloned().collect();
            within_budget(&all, budget, name)?;
        }
        Ok(())
    }
}

/// Why two cannot be in force at once, if they cannot; one that is not there contradicts no other.
fn conflict(a: Option<&Resolved>, b: Option<&Resolved>) -> Option<String> {
    let (a, b) = (a?, b?);
    let conflicts = call_conflicts(a, b).into_iter().chain(call_conflicts(b, a)).chain(on_one_machine(a, b));
    conflicts.map(|conflict| format!("{}: {}", conflict.code, conflict.message)).next()
}

/// The conflicts about all calls of one application to another.
fn call_conflicts(caller: &Resolved, callee: &Resolved) -> Vec<Conflict> {
    let calls = caller.proxy.outbound.iter().enumerate();
    calls
        .filter(|(_, call)| call.application == callee.proxy.name)
        .flat_map(|(index, _)| between(caller, callee, index))
        .collect()
}

/// Which change must come before which, by their indices, and why.
#[derive(Default)]
struct Constraints(BTreeMap<(usize, usize), String>);

impl Constraints {
    fn add(&mut self, earlier: usize, later: usize, reason: String) {
        self.0.insert((earlier, later), reason);
    }

    /// What a change comes after, and why.
    fn reasons(&self, index: usize, names: &[&String]) -> Vec<(String, String)> {
        let earlier = self.0.iter().filter(|((_, later), _)| *later == index);
        earlier.map(|((earlier, _), reason)| (names[*earlier].clone(), reason.clone())).collect()
    }

    /// An order that keeps to all constraints, by index where there are none; or a circle of changes that wait for
    /// each other.
    fn order(&self, count: usize) -> Result<Vec<usize>, Vec<usize>> {
        if let Some(circle) = self.circle(count) {
            return Err(circle);
        }
        let mut remaining: BTreeSet<usize> = (0..count).collect();
        let mut order = Vec::new();
        while let Some(next) = remaining.iter().copied().find(|index| !self.waits(*index, &remaining)) {
            remaining.remove(&next);
            order.push(next);
        }
        Ok(order)
    }

    /// Whether a change must come after one of these.
    fn waits(&self, index: usize, remaining: &BTreeSet<usize>) -> bool {
        self.0.keys().any(|(earlier, later)| *later == index && remaining.contains(earlier))
    }

    fn circle(&self, count: usize) -> Option<Vec<usize>> {
        let mut graph: DiGraphMap<usize, ()> = DiGraphMap::new();
        (0..count).for_each(|index| _ = graph.add_node(index));
        self.0.keys().for_each(|(earlier, later)| _ = graph.add_edge(*earlier, *later, ()));
        toposort(&graph, None).err()?;
        Some(kosaraju_scc(&graph).into_iter().find(|component| component.len() > 1).unwrap_or_default())
    }
}

fn within_budget(all: &[Resolved], budget: Budget, application: &str) -> Result<(), NoPlan> {
    let arrivals = Calls::of(all).arrivals(f64::from(budget.client_tries));
    let limit = f64::from(budget.attempts) + ROUNDING;
    let Some(index) = arrivals.iter().position(|arrivals| arrivals.sum > limit) else { return Ok(()) };
    Err(NoPlan::Budget {
        application: application.to_owned(),
        at: all[index].proxy.name.clone(),
        sum: arrivals[index].sum,
        most: budget.attempts,
    })
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
