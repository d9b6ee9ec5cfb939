//! Rules for overrides of the fleet's classes by tiers and applications.

use super::Checker;
use crate::document::{Key, top};
use crate::report::Finding;
use crate::types::{Class, ClassChange, Fleet};

impl Checker<'_> {
    /// Checks the classes of a fleet against the overrides of its tiers and applications.
    pub(super) fn check_classes_of_tiers(&mut self) {
        let Some((fleet_source, fleet)) = self.fleet() else { return };
        let mut findings = Vec::new();
        for (i, tier) in fleet.tiers.iter().enumerate() {
            for (name, change) in &tier.classes {
                let key = top("tiers").at(i).name("classes").name(name.as_str());
                findings.extend(self.changed_idempotency(fleet_source, &key, name, change));
            }
        }
        for (source, application) in &self.loaded.applications {
            for (name, change) in &application.classes {
                let key = top("classes").name(name.as_str());
                findings.extend(self.changed_idempotency(*source, &key, name, change));
            }
        }
        findings.extend(self.classes_not_served(fleet_source, fleet));
        self.findings.extend(findings);
    }

    /// OC0802: a tier or an application sets another idempotency for a class than the fleet.
    fn changed_idempotency(
        &self,
        source: usize,
        class_key: &Key,
        name: &str,
        change: &ClassChange,
    ) -> Option<Finding> {
        let (fleet_source, fleet) = self.fleet()?;
        let own = change.idempotency?;
        let has_name = |class: &Class| class.name == name;
        let index = fleet.classes.iter().position(has_name)?;
        let of_fleet = fleet.classes[index].idempotency;
        if own == of_fleet {
            return None;
        }
        let message =
            format!("class {name:?} has the effect {} here and {} in the fleet", own.name(), of_fleet.name());
        let in_fleet = self.location_in(fleet_source, &top("classes").at(index).name("effect"));
        let finding = self.finding_in(source, "OC0802", message, &class_key.name("effect"));
        Some(finding.with_related(in_fleet, "the effect in the fleet"))
    }

    /// OC0803: no tier serves a class.
    fn classes_not_served(&self, fleet_source: usize, fleet: &Fleet) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (i, class) in fleet.classes.iter().enumerate() {
            let is_served = fleet
                .tiers
                .iter()
                .any(|tier| tier.serves.as_ref().is_none_or(|served| served.contains(&class.name)));
            if !is_served {
                let message = format!("no tier serves class {:?}", class.name);
                let key = top("classes").at(i).name("name");
                findings.push(self.finding_in(fleet_source, "OC0803", message, &key));
            }
        }
        findings
    }
}
