//! Rules for the calls between applications: loops, the order of tiers, and unused applications and zones.

use super::Checker;
use super::pair::{Conflict, Side, ValueOf, between};
use crate::document::top;
use crate::graph::{Calls, Edge};
use crate::report::{Finding, SourceLocation};
use crate::types::Fleet;
use std::collections::BTreeSet;

impl Checker<'_> {
    /// Checks all calls of a fleet.
    pub(super) fn check_calls(&mut self) {
        let Some((fleet_source, fleet)) = self.fleet() else { return };
        let calls = Calls::of(self.resolved);
        let loops = calls.loops();
        let mut findings = self.called_twice();
        findings.extend(loops.iter().filter_map(|cycle| self.call_loop(&calls, cycle)));
        self.findings.extend(findings);
        // Within a loop, no order of tiers and no deadlines can be valid: only the loop is reported.
        let is_in_loop =
            |edge: &Edge| loops.iter().any(|cycle| cycle.contains(&edge.from) && cycle.contains(&edge.to));
        for edge in calls.edges.iter().filter(|edge| !is_in_loop(edge)) {
            self.check_call(edge);
        }
        let mut findings = self.never_called(&calls, fleet);
        findings.extend(self.unused_zones(fleet_source, fleet));
        self.findings.extend(findings);
        if loops.is_empty() {
            self.check_attempt_budget(&calls);
        }
    }

    /// OC0605: an application has two calls to the same application.
    fn called_twice(&self) -> Vec<Finding> {
        let key = |call: usize| top("outbound").at(call).name("application");
        let mut findings = Vec::new();
        for (proxy, resolved) in self.resolved.iter().enumerate() {
            let calls = &resolved.proxy.outbound;
            for (i, call) in calls.iter().enumerate() {
                let earlier = calls[..i].iter().position(|other| other.application == call.application);
                let Some(earlier) = earlier else { continue };
                let message = format!("{:?} has two calls to {:?}", resolved.proxy.name, call.application);
                let first = self.location_of(proxy, &key(earlier));
                let finding = self.finding(proxy, "OC0605", message, &key(i));
                findings.push(finding.with_related(first, "the first call"));
            }
        }
        findings
    }

    /// OC0601: applications call each other in a loop.
    fn call_loop(&self, calls: &Calls, cycle: &[usize]) -> Option<Finding> {
        let names: Vec<&str> = cycle.iter().map(|proxy| self.resolved[*proxy].proxy.name.as_str()).collect();
        let first = names.first().copied().unwrap_or_default();
        let mut finding: Option<Finding> = None;
        for (i, from) in cycle.iter().enumerate() {
            let to = cycle[(i + 1) % cycle.len()];
            let Some(edge) = calls.edge(*from, to) else { continue };
            let location = self.location_of(*from, &top("outbound").at(edge.call).name("application"));
            finding = Some(match finding {
                None => {
                    let message = format!("calls form a loop: {} -> {first}", names.join(" -> "));
                    Finding::new("OC0601", message, location)
                }
                Some(finding) => {
                    let caller = &self.resolved[*from].proxy.name;
                    let callee = &self.resolved[to].proxy.name;
                    finding.with_related(location, format!("{caller} calls {callee}"))
                }
            });
        }
        finding
    }

    /// Checks the rules between the caller and the callee of one call.
    fn check_call(&mut self, edge: &Edge) {
        for conflict in between(&self.resolved[edge.from], &self.resolved[edge.to], edge.call) {
            self.report_conflict(conflict, edge.from, edge.to);
        }
    }

    /// Reports a conflict between two proxies.
    pub(super) fn report_conflict(&mut self, conflict: Conflict, caller: usize, callee: usize) {
        let proxy_of = |value: &ValueOf| match value.side {
            Side::Caller => caller,
            Side::Callee => callee,
        };
        let proxy = proxy_of(&conflict.value);
        let location = if conflict.value.key == top("serves") {
            // A missing class has to be added to the list of classes that the tier serves.
            self.location_of_served_classes(proxy)
        } else {
            self.location_of(proxy, &conflict.value.key)
        };
        let other = self.location_of(proxy_of(&conflict.other), &conflict.other.key);
        let finding = Finding::new(conflict.code, conflict.message, location)
            .with_application(&self.resolved[proxy].proxy.name)
            .with_related(other, conflict.other_label);
        self.findings.push(finding);
    }

    /// Returns the location of the list of classes that a proxy's tier serves.
    fn location_of_served_classes(&self, proxy: usize) -> SourceLocation {
        let tier = self.resolved[proxy].proxy.tier as usize;
        match self.fleet() {
            Some((source, _)) => self.location_in(source, &top("tiers").at(tier).name("serves")),
            None => self.location_of(proxy, &top("name")),
        }
    }

    /// OC0603: no application calls an application of a later tier.
    fn never_called(&self, calls: &Calls, fleet: &Fleet) -> Vec<Finding> {
        let called: BTreeSet<usize> = calls.edges.iter().map(|edge| edge.to).collect();
        let mut findings = Vec::new();
        for (proxy, resolved) in self.resolved.iter().enumerate() {
            if resolved.application.is_none() || resolved.proxy.tier == 0 || called.contains(&proxy) {
                continue;
            }
            let tier = &fleet.tiers[resolved.proxy.tier as usize].name;
            let message = format!("no application calls {:?} of tier {tier:?}", resolved.proxy.name);
            findings.push(self.finding(proxy, "OC0603", message, &top("name")));
        }
        findings
    }

    /// OC0707: no application runs in a zone.
    fn unused_zones(&self, fleet_source: usize, fleet: &Fleet) -> Vec<Finding> {
        if self.loaded.applications.is_empty() {
            return Vec::new();
        }
        let used: BTreeSet<&str> =
            self.resolved.iter().filter_map(|resolved| resolved.proxy.zone.as_deref()).collect();
        let mut findings = Vec::new();
        for (i, zone) in fleet.zones.iter().enumerate().filter(|(_, zone)| !used.contains(zone.as_str())) {
            let message = format!("no application runs in zone {zone:?}");
            findings.push(self.finding_in(fleet_source, "OC0707", message, &top("zones").at(i)));
        }
        findings
    }
}
