//! Names: what they are made of, and that each is given once.

use crate::scenario::Scenario;
use olivecart_config::document::{Diagnostics, Key, top};

pub(super) fn check(scenario: &Scenario, complaints: &mut Diagnostics) {
    spelling(complaints, top("name"), &scenario.name);
    let zones = scenario.zones.iter().enumerate();
    unique(complaints, "zones", zones.map(|(i, zone)| (top("zones").at(i), zone.as_str())));
    let classes = scenario.class.iter().map(|c| c.name.as_str());
    unique(complaints, "classes", named(&top("class"), classes));
    let tenants = scenario.tenant.iter().map(|t| t.name.as_str());
    unique(complaints, "tenants", named(&top("tenant"), tenants));
    let tiers = scenario.tier.iter().map(|t| t.name.as_str());
    unique(complaints, "tiers", named(&top("tier"), tiers));
    for (i, tier) in scenario.tier.iter().enumerate() {
        let kinds = tier.kind.iter().map(|k| k.name.as_str());
        unique(complaints, "kinds of this tier", named(&top("tier").at(i).name("kind"), kinds));
    }
}

fn named<'s>(list: &Key, names: impl Iterator<Item = &'s str>) -> impl Iterator<Item = (Key, &'s str)> {
    names.enumerate().map(|(i, name)| (list.at(i).name("name"), name))
}

fn unique<'s>(complaints: &mut Diagnostics, what: &str, names: impl Iterator<Item = (Key, &'s str)>) {
    let mut seen = std::collections::BTreeSet::new();
    for (key, name) in names {
        spelling(complaints, key.clone(), name);
        if !seen.insert(name) {
            complaints.add(key, format!("two {what} are called `{name}`"), "a name of its own");
        }
    }
}

/// Names go into file names, headers and reports as they are.
fn spelling(complaints: &mut Diagnostics, key: Key, name: &str) {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_-.".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
        let right = "1 to 64 letters, digits, `_`, `-` or `.`";
        complaints.add(key, format!("{name:?} is not a name"), right);
    }
}
