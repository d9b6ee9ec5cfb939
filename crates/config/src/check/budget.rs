//! The rule for attempts over all tiers: how many one request of a client may come to at each application.

use super::Checker;
use crate::document::top;
use crate::graph::{Arrivals, Calls};
use crate::report::Finding;
use std::collections::BTreeSet;

/// Attempts that one request of a client may come to, unless the fleet sets it.
pub(crate) const DEFAULT_ATTEMPT_BUDGET: u32 = 64;

/// Sums of products of decimals may miss a whole number by a rounding.
pub(crate) const ROUNDING: f64 = 1e-9;

impl Checker<'_> {
    /// OC0204: more attempts than the budget at some application. The first one along the calls is reported;
    /// those that it calls get as many because of it.
    pub(super) fn check_attempt_budget(&mut self, calls: &Calls) {
        let Some((_, fleet)) = self.fleet() else { return };
        let budget = fleet.budget.attempts.unwrap_or(DEFAULT_ATTEMPT_BUDGET);
        let arrivals = calls.arrivals(f64::from(fleet.budget.client_tries.unwrap_or(1)));
        let beyond = |arrivals: &Arrivals| arrivals.sum > f64::from(budget) + ROUNDING;
        let over_budget: BTreeSet<usize> = (0..arrivals.len()).filter(|at| beyond(&arrivals[*at])).collect();
        for proxy in &over_budget {
            let is_called_by_another =
                calls.edges.iter().any(|edge| edge.to == *proxy && over_budget.contains(&edge.from));
            if !is_called_by_another {
                let finding = self.beyond_budget(*proxy, &arrivals[*proxy], budget);
                self.findings.extend(finding);
            }
        }
    }

    fn beyond_budget(&self, proxy: usize, arrivals: &Arrivals, budget: u32) -> Option<Finding> {
        let (last, earlier) = arrivals.heaviest.split_last()?;
        let name = &self.resolved[proxy].proxy.name;
        let message = format!(
            "one request of a client may come to {:.0} attempts at {name:?}; the budget is {budget}",
            arrivals.sum
        );
        let attempts_key = |call: usize| top("outbound").at(call).name("attempts");
        let location = self.location_of(last.from, &attempts_key(last.call));
        let mut finding = Finding::new("OC0204", message, location).with_application(name);
        for edge in earlier.iter().rev() {
            let location = self.location_of(edge.from, &attempts_key(edge.call));
            let caller = &self.resolved[edge.from].proxy;
            let attempts = caller.outbound[edge.call].attempts;
            finding = finding.with_related(location, format!("{:?} makes {attempts}", caller.name));
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
