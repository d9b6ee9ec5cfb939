//! Worth and shares.

use super::Model;
use crate::document::top;
use crate::load::known;
use crate::report::Finding;
use crate::types::Tenant;

impl Model<'_> {
    pub(super) fn worth(&mut self, at: usize) {
        let classes = &self.resolved[at].proxy.classes;
        let key = |i: usize| top("classes").at(i).name("worth");
        if !classes.is_empty() && classes.iter().all(|class| class.worth <= 0.0) {
            let place = self.spot_of(at, &key(0));
            self.found(at, "OC0503", "every class is worth 0".into(), place);
            return;
        }
        for (i, class) in classes.iter().enumerate().filter(|(_, class)| class.worth <= 0.0) {
            let place = self.spot_of(at, &key(i));
            self.found(at, "OC0502", format!("class {:?} is worth 0", class.name), place);
        }
    }

    /// Shares, of a fleet and of single proxies.
    pub(super) fn fleet_worth(&mut self) {
        if let Some((source, fleet)) = self.fleet() {
            self.shares(source, &fleet.tenants);
        }
        for (source, proxy) in &self.loaded.proxies {
            self.shares(*source, &proxy.tenants);
        }
    }

    fn shares(&mut self, source: usize, tenants: &[Tenant]) {
        let sum: f64 = tenants.iter().map(|tenant| tenant.share).sum();
        // Shares are written as decimals, whose sum may miss 1 by a rounding.
        if sum > 1.0 + 1e-9 {
            let (last, _) = tenants.iter().enumerate().next_back().unwrap_or((0, &tenants[0]));
            let place = self.at(source, &top("tenants").at(last).name("share"));
            self.push(Finding::new(known("OC0501"), format!("shares add up to {:.3}", sum), place));
        }
    }
}
