//! The rule for attempts over all tiers: the number that one client request can cause at each application.

use super::Checker;
use crate::document::top;
use crate::graph::{Arrivals, Calls};
use crate::report::Finding;
use std::collections::BTreeSet;

/// The attempt budget of one client request, unless the fleet sets it.
pub(crate) const DEFAULT_ATTEMPT_BUDGET: u32 = 64;

/// Tolerance for rounding errors in sums of products of decimals.
pub(crate) const ROUNDING: f64 = 1e-9;

impl Checker<'_> {
    /// OC0204: one client request can cause more attempts at an application than the budget allows. Only the
    /// first application on a path of calls is reported, since its callees exceed the budget because of it.
    pub(super) fn check_attempt_budget(&mut self, calls: &Calls) {
        let Some((_, fleet)) = self.fleet() else { return };
        let budget = fleet.budget.attempts.unwrap_or(DEFAULT_ATTEMPT_BUDGET);
        let arrivals = calls.arrivals(f64::from(fleet.budget.client_tries.unwrap_or(1)));
        let exceeds_budget = |arrivals: &Arrivals| arrivals.sum > f64::from(budget) + ROUNDING;
        let over_budget: BTreeSet<usize> =
            (0..arrivals.len()).filter(|at| exceeds_budget(&arrivals[*at])).collect();
        for proxy in &over_budget {
            let is_called_by_another =
                calls.edges.iter().any(|edge| edge.to == *proxy && over_budget.contains(&edge.from));
            if !is_called_by_another {
                let finding = self.budget_exceeded(*proxy, &arrivals[*proxy], budget);
                self.findings.extend(finding);
            }
        }
    }

    fn budget_exceeded(&self, proxy: usize, arrivals: &Arrivals, budget: u32) -> Option<Finding> {
        let (last, earlier) = arrivals.heaviest.split_last()?;
        let name = &self.resolved[proxy].proxy.name;
        let message = format!(
            "one client request can cause up to {:.0} attempts at {name:?}; the budget is {budget}",
            arrivals.sum
        );
        let attempts_key = |call: usize| top("outbound").at(call).name("attempts");
        let location = self.location_of(last.from, &attempts_key(last.call));
        let mut finding = Finding::new("OC0204", message, location).with_application(name);
        for edge in earlier.iter().rev() {
            let location = self.location_of(edge.from, &attempts_key(edge.call));
            let caller = &self.resolved[edge.from].proxy;
            let attempts = caller.outbound[edge.call].attempts;
            finding =
                finding.with_related(location, format!("{:?} makes up to {attempts} attempts", caller.name));
        }
        if let Some((source, fleet)) = self.fleet()
            && fleet.budget.attempts.is_some()
        {
            let location = self.location_in(source, &top("budget").name("attempts"));
            finding = finding.with_related(location, "the budget");
        }
        Some(finding)
    }
}
