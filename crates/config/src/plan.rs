//! Finds the order in which the applications of a fleet must be changed, so that at every step applications
//! that call each other, or share a machine, have compatible configurations.
//!
//! Each pair of applications yields a constraint on which of the two changes first. Pairs are sufficient, and
//! trying whole orders is not needed, because every rule between applications concerns two of them. The
//! attempt budget is the exception: it is checked after each step of the resulting order. No I/O; used by the
//! command line.

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

/// A rollout order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The applications in the order in which they change, with the reasons for their positions.
    pub steps: Vec<Step>,
}

/// The change of one application.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The application's name.
    pub application: String,
    /// The applications that must change before it, each with the reason.
    pub after: Vec<(String, String)>,
}

/// The reason why no rollout order exists.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// Two applications conflict whichever changes first.
    #[error(
        "{first:?} and {second:?} conflict whichever goes first.\n    {first:?} first: {conflict_if_first}\n    \
        {second:?} first: {conflict_if_second}\nChange both at the same time, or roll out an intermediate \
        configuration that is compatible with both"
    )]
    PairConflict {
        /// One application.
        first: String,
        /// The other application.
        second: String,
        /// The conflict if `first` changes first.
        conflict_if_first: String,
        /// The conflict if `second` changes first.
        conflict_if_second: String,
    },
    /// The constraints form a cycle.
    #[error(
        "the order constraints form a cycle: {0}\nRoll out an intermediate configuration, or change these \
        applications at the same time"
    )]
    Cycle(String),
    /// A step exceeds the attempt budget.
    #[error(
        "after the change of {application:?}, one client request can cause up to {attempts:.0} attempts at \
        {callee:?}; the budget is {budget}"
    )]
    BudgetExceeded {
        /// The application that changes in this step.
        application: String,
        /// The application that receives the attempts.
        callee: String,
        /// The number of attempts.
        attempts: f64,
        /// The attempt budget.
        budget: u32,
    },
}

/// The attempt budget during a rollout.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The maximum number of attempts for one client request.
    pub attempts: u32,
    /// The number of tries that a client makes of one request.
    pub client_tries: u32,
}

impl Budget {
    /// Returns the budget of the loaded fleet, or `None` if no fleet is loaded.
    pub fn of(loaded: &Loaded) -> Option<Budget> {
        let (_, fleet) = loaded.fleet.as_ref()?;
        let attempts = fleet.budget.attempts.unwrap_or(crate::check::DEFAULT_ATTEMPT_BUDGET);
        Some(Budget { attempts, client_tries: fleet.budget.client_tries.unwrap_or(1) })
    }

    /// Returns the budget for a rollout from one fleet to another: the larger budget with the fewer client
    /// tries. With the smaller budget, a change that lowers the budget would exceed it at the start, and no
    /// order would be valid.
    pub fn either(self, other: Budget) -> Budget {
        let attempts = self.attempts.max(other.attempts);
        Budget { attempts, client_tries: self.client_tries.min(other.client_tries) }
    }
}

/// Returns the rollout order from one fleet to another. Both must be free of errors.
///
/// # Errors
/// Returns the reason if no order exists.
pub fn plan(old: &[Resolved], new: &[Resolved], budget: Budget) -> Result<Plan, PlanError> {
    let change = Change { old: by_name(old), new: by_name(new) };
    let changed = change.changed_names();
    let constraints = change.constraints(&changed)?;
    let order = constraints.order(changed.len()).map_err(|cycle| {
        let names: Vec<String> = cycle.iter().map(|index| changed[*index].clone()).collect();
        PlanError::Cycle(names.join(", "))
    })?;
    change.check_budget(order.iter().map(|index| changed[*index]), budget)?;
    let step = |index: usize| Step {
        application: changed[index].clone(),
        after: constraints.reasons(index, &changed),
    };
    Ok(Plan { steps: order.into_iter().map(step).collect() })
}

fn by_name(resolved: &[Resolved]) -> BTreeMap<String, Resolved> {
    resolved.iter().map(|resolved| (resolved.proxy.name.clone(), resolved.clone())).collect()
}

/// The old and the new state of a fleet, by application name.
struct Change {
    old: BTreeMap<String, Resolved>,
    new: BTreeMap<String, Resolved>,
}

impl Change {
    /// Returns the applications that change, sorted by name. Added and removed applications are included:
    /// they exist only after, or only until, their step.
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

    /// Returns the constraints of all pairs: which of the two must change first.
    fn constraints(&self, changed: &[&String]) -> Result<Constraints, PlanError> {
        let mut constraints = Constraints::default();
        for (i, a) in changed.iter().enumerate() {
            for (j, b) in changed.iter().enumerate().skip(i + 1) {
                let a_first = conflict(self.new.get(*a), self.old.get(*b));
                let b_first = conflict(self.old.get(*a), self.new.get(*b));
                match (a_first, b_first) {
                    (Some(conflict_if_first), Some(conflict_if_second)) => {
                        let first = (*a).clone();
                        let second = (*b).clone();
                        return Err(PlanError::PairConflict {
                            first,
                            second,
                            conflict_if_first,
                            conflict_if_second,
                        });
                    }
                    (Some(reason), None) => constraints.add(j, i, reason),
                    (None, Some(reason)) => constraints.add(i, j, reason),
                    (None, None) => {}
                }
            }
        }
        Ok(constraints)
    }

    /// Applies the changes in order and checks the attempt budget after each.
    fn check_budget<'a>(
        &self,
        order: impl Iterator<Item = &'a String>,
        budget: Budget,
    ) -> Result<(), PlanError> {
        let mut present = self.old.clone();
        for name in order {
            match self.new.get(name) {
                Some(new) => present.insert(name.clone(), new.clone()),
                None => present.remove(name),
            };
            let all: Vec<Resolved> = present.values().cloned().collect();
            check_budget_of(&all, budget, name)?;
        }
        Ok(())
    }
}

/// Returns why two configurations cannot be active at the same time, if so. An absent application conflicts
/// with none.
fn conflict(a: Option<&Resolved>, b: Option<&Resolved>) -> Option<String> {
    let (a, b) = (a?, b?);
    let conflicts = call_conflicts(a, b).into_iter().chain(call_conflicts(b, a)).chain(on_one_machine(a, b));
    conflicts.map(|conflict| format!("{}: {}", conflict.code, conflict.message)).next()
}

/// Returns the conflicts of all calls from one application to another.
fn call_conflicts(caller: &Resolved, callee: &Resolved) -> Vec<Conflict> {
    let calls = caller.proxy.outbound.iter().enumerate();
    calls
        .filter(|(_, call)| call.application == callee.proxy.name)
        .flat_map(|(index, _)| between(caller, callee, index))
        .collect()
}

/// The pairs (earlier, later) of changes by index, each with the reason.
#[derive(Default)]
struct Constraints(BTreeMap<(usize, usize), String>);

impl Constraints {
    fn add(&mut self, earlier: usize, later: usize, reason: String) {
        self.0.insert((earlier, later), reason);
    }

    /// Returns the changes that must precede a change, each with the reason.
    fn reasons(&self, index: usize, names: &[&String]) -> Vec<(String, String)> {
        let earlier = self.0.iter().filter(|((_, later), _)| *later == index);
        earlier.map(|((earlier, _), reason)| (names[*earlier].clone(), reason.clone())).collect()
    }

    /// Returns an order that meets all constraints, with ties broken by index.
    ///
    /// # Errors
    /// Returns the changes of a cycle if there is one.
    fn order(&self, count: usize) -> Result<Vec<usize>, Vec<usize>> {
        if let Some(cycle) = self.cycle(count) {
            return Err(cycle);
        }
        let mut remaining: BTreeSet<usize> = (0..count).collect();
        let mut order = Vec::new();
        while let Some(next) = remaining.iter().copied().find(|index| !self.must_wait(*index, &remaining)) {
            remaining.remove(&next);
            order.push(next);
        }
        Ok(order)
    }

    /// Returns whether a change must come after one of the remaining changes.
    fn must_wait(&self, index: usize, remaining: &BTreeSet<usize>) -> bool {
        self.0.keys().any(|(earlier, later)| *later == index && remaining.contains(earlier))
    }

    fn cycle(&self, count: usize) -> Option<Vec<usize>> {
        let mut graph: DiGraphMap<usize, ()> = DiGraphMap::new();
        (0..count).for_each(|index| _ = graph.add_node(index));
        self.0.keys().for_each(|(earlier, later)| _ = graph.add_edge(*earlier, *later, ()));
        toposort(&graph, None).err()?;
        Some(kosaraju_scc(&graph).into_iter().find(|component| component.len() > 1).unwrap_or_default())
    }
}

fn check_budget_of(all: &[Resolved], budget: Budget, application: &str) -> Result<(), PlanError> {
    let arrivals = Calls::of(all).arrivals(f64::from(budget.client_tries));
    let limit = f64::from(budget.attempts) + ROUNDING;
    let Some(index) = arrivals.iter().position(|arrivals| arrivals.sum > limit) else { return Ok(()) };
    Err(PlanError::BudgetExceeded {
        application: application.to_owned(),
        callee: all[index].proxy.name.clone(),
        attempts: arrivals[index].sum,
        budget: budget.attempts,
    })
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.steps.is_empty() {
            return writeln!(f, "no application changes");
        }
        for (number, Step { application, after }) in self.steps.iter().enumerate() {
            writeln!(f, "{}. {application}", number + 1)?;
            for (earlier, why) in after {
                writeln!(f, "       after {earlier}, because otherwise {why}")?;
            }
        }
        Ok(())
    }
}
