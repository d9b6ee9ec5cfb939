//! Who calls whom: loops, order of tiers, deadlines and attempts along the way.

use super::Model;
use super::pair::{Clash, Side, between};
use crate::document::top;
use crate::graph::{Calls, Edge};
use crate::load::known;
use crate::report::Finding;
use std::collections::BTreeSet;

/// Attempts that one request of a client may come to, unless the fleet says.
pub(crate) const BUDGET: u32 = 64;

impl Model<'_> {
    pub(super) fn calls(&mut self) {
        let Some((fleet_source, fleet)) = self.fleet() else { return };
        let calls = Calls::of(self.resolved);
        self.twice();
        let loops = calls.loops();
        for cycle in &loops {
            self.looped(&calls, cycle);
        }
        let in_loops = |edge: &&Edge| loops.iter().any(|c| c.contains(&edge.from) && c.contains(&edge.to));
        for edge in calls.edges.iter().filter(|edge| !in_loops(edge)) {
            self.edge(edge);
        }
        let called: BTreeSet<usize> = calls.edges.iter().map(|edge| edge.to).collect();
        for (at, one) in self.resolved.iter().enumerate() {
            if one.application.is_some() && one.proxy.tier > 0 && !called.contains(&at) {
                let place = self.spot_of(at, &top("name"));
                let tier = &fleet.tiers[one.proxy.tier as usize].name;
                let what = format!("{:?} is of tier {tier:?}, and nobody calls it", one.proxy.name);
                self.found(at, "OC0603", what, place);
            }
        }
        let in_use: BTreeSet<&str> =
            self.resolved.iter().filter_map(|one| one.proxy.zone.as_deref()).collect();
        if !self.loaded.applications.is_empty() {
            for (i, zone) in
                fleet.zones.iter().enumerate().filter(|(_, zone)| !in_use.contains(zone.as_str()))
            {
                let place = self.at(fleet_source, &top("zones").at(i));
                self.push(Finding::new(
                    known("OC0707"),
                    format!("no application is in zone {zone:?}"),
                    place,
                ));
            }
        }
        if loops.is_empty() {
            self.budget(&calls);
        }
    }

    /// The same application called twice by one.
    fn twice(&mut self) {
        for (at, one) in self.resolved.iter().enumerate() {
            for (i, call) in one.proxy.outbound.iter().enumerate() {
                let before =
                    one.proxy.outbound[..i].iter().position(|other| other.application == call.application);
                let Some(before) = before else { continue };
                let key = |i| top("outbound").at(i).name("application");
                let (place, other) = (self.spot_of(at, &key(i)), self.spot_of(at, &key(before)));
                let what = format!("{:?} calls {:?} twice", one.proxy.name, call.application);
                let finding = self.found(at, "OC0605", what, place);
                *finding = finding.clone().beside(other, "first here");
            }
        }
    }

    fn looped(&mut self, calls: &Calls, cycle: &[usize]) {
        let names: Vec<&str> = cycle.iter().map(|at| self.resolved[*at].proxy.name.as_str()).collect();
        let round = format!("{} -> {}", names.join(" -> "), names.first().copied().unwrap_or_default());
        let mut finding: Option<Finding> = None;
        for (i, from) in cycle.iter().enumerate() {
            let to = cycle[(i + 1) % cycle.len()];
            let Some(edge) = calls.edge(*from, to) else { continue };
            let place = self.spot_of(*from, &top("outbound").at(edge.call).name("application"));
            let says = format!("{} calls {}", self.resolved[*from].proxy.name, self.resolved[to].proxy.name);
            finding = Some(match finding {
                None => Finding::new(known("OC0601"), format!("calls go round: {round}"), place),
                Some(finding) => finding.beside(place, says),
            });
        }
        finding.into_iter().for_each(|finding| _ = self.push(finding));
    }

    /// One call: its order, its reach, and the deadlines and classes of both ends.
    fn edge(&mut self, edge: &Edge) {
        for clash in between(&self.resolved[edge.from], &self.resolved[edge.to], edge.call) {
            self.clash(clash, edge.from, edge.to);
        }
    }

    /// Notes what two do not agree on.
    pub(super) fn clash(&mut self, clash: Clash, from: usize, to: usize) {
        let at = |side| if side == Side::Caller { from } else { to };
        let (side, key) = &clash.first;
        // A class that is not there is missing from what the tier serves.
        let place = if *key == top("serves") { self.serves(at(*side)) } else { self.spot_of(at(*side), key) };
        let (other, beside, says) = &clash.other;
        let beside = self.spot_of(at(*other), beside);
        let finding = self.found(at(*side), clash.id, clash.what, place);
        *finding = finding.clone().beside(beside, says.clone());
    }

    /// Where a tier says which classes it serves.
    fn serves(&self, at: usize) -> crate::report::Spot {
        let tier = self.resolved[at].proxy.tier as usize;
        match self.fleet() {
            Some((source, _)) => self.at(source, &top("tiers").at(tier).name("serves")),
            None => self.spot_of(at, &top("name")),
        }
    }

    /// Attempts over all tiers: at each application all that one request of a client may come to.
    fn budget(&mut self, calls: &Calls) {
        let Some((source, fleet)) = self.fleet() else { return };
        let most = fleet.budget.attempts.unwrap_or(BUDGET);
        let tries = f64::from(fleet.budget.client_tries.unwrap_or(1));
        let arrivals = calls.arrivals(tries);
        let worst = arrivals.iter().enumerate().filter(|(_, a)| a.sum > f64::from(most) + 1e-9);
        // The first along the way says it; those behind it get as many because of it.
        let over: BTreeSet<usize> = worst.map(|(at, _)| at).collect();
        for at in &over {
            let behind = calls.edges.iter().any(|edge| edge.to == *at && over.contains(&edge.from));
            if behind {
                continue;
            }
            let path = &arrivals[*at].heaviest;
            let Some(last) = path.last() else { continue };
            let place = self.spot_of(last.from, &top("outbound").at(last.call).name("attempts"));
            let name = &self.resolved[*at].proxy.name;
            let sum = arrivals[*at].sum;
            let what = format!(
                "one request of a client may come to {sum:.0} attempts at {name:?}; the budget is {most}"
            );
            let mut finding = Finding::new(known("OC0204"), what, place).about(name);
            for edge in path.iter().rev().skip(1) {
                let beside = self.spot_of(edge.from, &top("outbound").at(edge.call).name("attempts"));
                let caller = &self.resolved[edge.from].proxy.name;
                let attempts = self.resolved[edge.from].proxy.outbound[edge.call].attempts;
                finding = finding.beside(beside, format!("{caller:?} makes {attempts}"));
            }
            if fleet.budget.attempts.is_some() {
                let beside = self.at(source, &top("budget").name("attempts"));
                finding = finding.beside(beside, "the budget");
            }
            self.push(finding);
        }
    }
}
