//! Rules for the priority weights of classes and the quotas of tenants.

use super::Checker;
use super::budget::ROUNDING;
use crate::document::top;
use crate::report::Finding;
use crate::types::Tenant;

impl Checker<'_> {
    /// OC0502, OC0503: some or all classes of one proxy have the priority weight 0.
    pub(super) fn check_priorities(&mut self, proxy: usize) {
        let key = |class: usize| top("classes").at(class).name("worth");
        let classes = &self.resolved[proxy].proxy.classes;
        if !classes.is_empty() && classes.iter().all(|class| class.priority_weight <= 0.0) {
            let finding = self.finding(proxy, "OC0503", "every class has a worth of 0", &key(0));
            self.findings.push(finding);
            return;
        }
        for view in self.classes(proxy).filter(|view| view.class.priority_weight <= 0.0) {
            let message = format!("class {:?} has a worth of 0", view.class.name);
            let finding = self.finding(proxy, "OC0502", message, &key(view.index));
            self.findings.push(finding);
        }
    }

    /// Checks the quotas of the tenants of the fleet and of proxy files.
    pub(super) fn check_quotas(&mut self) {
        let fleets = self.fleet().map(|(source, fleet)| (source, &fleet.tenants));
        let proxies = self.loaded.proxies.iter().map(|(source, proxy)| (*source, &proxy.tenants));
        let findings: Vec<Finding> = fleets
            .into_iter()
            .chain(proxies)
            .filter_map(|(source, tenants)| self.shares_above_one(source, tenants))
            .collect();
        self.findings.extend(findings);
    }

    /// OC0501: the shares of all tenants add up to more than 1.
    fn shares_above_one(&self, source: usize, tenants: &[Tenant]) -> Option<Finding> {
        let sum: f64 = tenants.iter().map(|tenant| tenant.share).sum();
        if sum <= 1.0 + ROUNDING {
            return None;
        }
        let last = tenants.len().saturating_sub(1);
        let message = format!("the shares of all tenants add up to {sum:.3}, which is more than 1");
        Some(self.finding_in(source, "OC0501", message, &top("tenants").at(last).name("share")))
    }
}
