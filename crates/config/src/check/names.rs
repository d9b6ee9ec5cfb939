//! Rules for names: well-formed, unique, and referring to something that exists.

use super::Checker;
use crate::document::{Key, nearest, suggestion, top};
use crate::origin::Origin;
use crate::report::{Finding, SourceLocation};
use crate::resolve::{Environment, VARIABLE_PREFIX, built_in, value_of_variable};
use crate::types::{Application, Fleet, Proxy};
use std::collections::BTreeMap;

/// The maximum length of a name, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// The maximum number of known names that a help text lists.
const MAX_LISTED_NAMES: usize = 12;

/// Returns whether a name can be used in file names, headers and logs.
fn is_well_formed(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    name.len() <= MAX_NAME_LENGTH
        && name.starts_with(|c: char| c.is_ascii_alphanumeric())
        && name.chars().all(is_plain)
}

/// Returns the names of the items of a list, each with its key `LIST[i].name`.
fn item_names<'n>(list: &str, names: impl Iterator<Item = &'n String>) -> Vec<(Key, &'n str)> {
    names.enumerate().map(|(i, name)| (top(list).at(i).name("name"), name.as_str())).collect()
}

/// The names that exist for one kind of thing.
struct KnownNames<'a> {
    /// The kind in messages, such as "tier".
    kind: &'static str,
    names: Vec<&'a str>,
}

impl<'a> KnownNames<'a> {
    fn new(kind: &'static str, names: impl Iterator<Item = &'a String>) -> KnownNames<'a> {
        KnownNames { kind, names: names.map(String::as_str).collect() }
    }

    fn classes_of(fleet: &Fleet) -> KnownNames<'_> {
        KnownNames::new("class", fleet.classes.iter().map(|class| &class.name))
    }
}

impl Checker<'_> {
    /// Checks the names in all files.
    pub(super) fn check_names(&mut self) {
        if let Some((source, fleet)) = self.fleet().filter(|(source, _)| self.is_well_formed(*source)) {
            self.check_fleet_names(source, fleet);
            self.check_sources(source, &fleet.sources);
        }
        self.check_application_names();
        let loaded = self.loaded;
        for (source, proxy) in &loaded.proxies {
            if self.is_well_formed(*source) {
                self.check_proxy_names(*source, proxy);
                self.check_sources(*source, &proxy.sources);
            }
        }
    }

    fn check_fleet_names(&mut self, source: usize, fleet: &Fleet) {
        self.check_form(source, &top("name"), &fleet.name);
        let lists = [
            item_names("classes", fleet.classes.iter().map(|class| &class.name)),
            item_names("tenants", fleet.tenants.iter().map(|tenant| &tenant.name)),
            item_names("tiers", fleet.tiers.iter().map(|tier| &tier.name)),
            item_names("sources", fleet.sources.iter().map(|source| &source.name)),
        ];
        for names in lists {
            self.check_unique(source, names);
        }
        let zones = fleet.zones.iter().enumerate().map(|(i, zone)| (top("zones").at(i), zone.as_str()));
        self.check_unique(source, zones.collect());
        let classes = KnownNames::classes_of(fleet);
        for (i, tier) in fleet.tiers.iter().enumerate() {
            let key = top("tiers").at(i);
            for (n, name) in tier.serves.iter().flatten().enumerate() {
                self.check_value_known(source, &key.name("serves").at(n), name, &classes);
            }
            for name in tier.classes.keys() {
                self.check_key_known(source, &key.name("classes").name(name.as_str()), name, &classes);
            }
        }
    }

    fn check_proxy_names(&mut self, source: usize, proxy: &Proxy) {
        let lists = [
            item_names("classes", proxy.classes.iter().map(|class| &class.name)),
            item_names("tenants", proxy.tenants.iter().map(|tenant| &tenant.name)),
            item_names("sources", proxy.sources.iter().map(|source| &source.name)),
        ];
        for names in lists {
            self.check_unique(source, names);
        }
        self.check_form(source, &top("name"), &proxy.name);
        if let Some(zone) = &proxy.zone {
            let zones = KnownNames::new("zone", proxy.zones.iter());
            self.check_value_known(source, &top("zone"), zone, &zones);
        }
    }

    fn check_application_names(&mut self) {
        let loaded = self.loaded;
        let mut first_sources: BTreeMap<&str, usize> = BTreeMap::new();
        for (source, application) in &loaded.applications {
            if !self.is_well_formed(*source) {
                continue;
            }
            self.check_form(*source, &top("name"), &application.name);
            if let Some(first) = first_sources.insert(&application.name, *source) {
                let finding = self.described_twice(*source, first, application);
                self.findings.push(finding);
            }
            if let Some((_, fleet)) = self.fleet().filter(|(source, _)| self.is_well_formed(*source)) {
                self.check_names_of_fleet(*source, application, fleet);
                self.check_call_names(*source, application, fleet);
            }
        }
    }

    /// OC0008: two files describe the same application.
    fn described_twice(&self, source: usize, first: usize, application: &Application) -> Finding {
        let message = format!("application {:?} is described by two files", application.name);
        let finding = self.finding_in(source, "OC0008", message, &top("name"));
        finding.with_related(self.location_in(first, &top("name")), "the first file")
    }

    /// Checks the tier, the zone and the classes that an application refers to.
    fn check_names_of_fleet(&mut self, source: usize, application: &Application, fleet: &Fleet) {
        let tiers = KnownNames::new("tier", fleet.tiers.iter().map(|tier| &tier.name));
        self.check_value_known(source, &top("tier"), &application.tier, &tiers);
        match &application.zone {
            Some(zone) => {
                let zones = KnownNames::new("zone", fleet.zones.iter());
                self.check_value_known(source, &top("zone"), zone, &zones);
            }
            None if fleet.zones.len() > 1 => {
                let message = "required key `zone` is missing: the fleet has several zones";
                let finding = self.finding_in(source, "OC0003", message, &top("name"));
                self.findings
                    .push(finding.with_help(format!("add zone, with one of {}", fleet.zones.join(", "))));
            }
            None => {}
        }
        let classes = KnownNames::classes_of(fleet);
        for name in application.classes.keys() {
            self.check_key_known(source, &top("classes").name(name.as_str()), name, &classes);
        }
    }

    /// Checks the applications and classes that an application's calls refer to.
    fn check_call_names(&mut self, source: usize, application: &Application, fleet: &Fleet) {
        let loaded = self.loaded;
        let all_files_are_well_formed = loaded.findings.is_empty();
        let applications =
            KnownNames::new("application", loaded.applications.iter().map(|(_, one)| &one.name));
        let classes = KnownNames::classes_of(fleet);
        for (i, call) in application.calls.iter().enumerate() {
            let key = top("calls").at(i);
            if all_files_are_well_formed {
                self.check_value_known(source, &key.name("application"), &call.application, &applications);
            }
            for (n, route) in call.routes.iter().enumerate() {
                if let Some(class) = &route.class {
                    self.check_value_known(source, &key.name("routes").at(n).name("class"), class, &classes);
                }
            }
        }
    }

    /// OC0002, OC0004: an environment variable names no setting or has an invalid value.
    pub(super) fn check_variables(&mut self, environment: &Environment) {
        let settings = serde_json::to_value(built_in()).unwrap_or_default();
        let names: Vec<&str> =
            settings.as_object().into_iter().flatten().map(|(name, _)| name.as_str()).collect();
        for (variable, text) in environment {
            let Some(name) = variable.strip_prefix(VARIABLE_PREFIX).map(str::to_ascii_lowercase) else {
                continue;
            };
            let location = Origin::Variable(variable.clone()).location(&self.loaded.sources);
            if !names.contains(&name.as_str()) {
                let help = nearest(&name, names.iter().copied())
                    .map(|near| format!("did you mean `{VARIABLE_PREFIX}{}`?", near.to_ascii_uppercase()));
                let finding =
                    Finding::new("OC0002", format!("unknown environment variable `{variable}`"), location);
                self.findings.push(finding.with_help(help.unwrap_or_default()));
            } else if value_of_variable(&name, text).is_none() {
                let message =
                    format!("environment variable `{variable}`: {text:?} is not a valid value of {name}");
                self.findings.push(Finding::new("OC0004", message, location));
            }
        }
    }

    /// OC0011: a name is not well-formed.
    fn check_form(&mut self, source: usize, key: &Key, name: &str) {
        if !is_well_formed(name) {
            let finding = self.finding_in(source, "OC0011", format!("{name:?} is not a valid name"), key);
            self.findings.push(finding);
        }
    }

    /// OC0008: a list has a name twice. Also checks that all names of the list are well-formed.
    fn check_unique(&mut self, source: usize, names: Vec<(Key, &str)>) {
        let mut first_keys: BTreeMap<&str, Key> = BTreeMap::new();
        for (key, name) in names {
            self.check_form(source, &key, name);
            let Some(first) = first_keys.get(name) else {
                first_keys.insert(name, key);
                continue;
            };
            let finding = self.finding_in(source, "OC0008", format!("name {name:?} is used twice"), &key);
            let finding = finding.with_related(self.location_in(source, first), "the first use");
            self.findings.push(finding);
        }
    }

    /// OC0009: a value refers to a name that does not exist.
    fn check_value_known(&mut self, source: usize, key: &Key, name: &str, known: &KnownNames) {
        let location = self.location_in(source, key);
        self.check_known(location, name, known);
    }

    /// OC0009: a key refers to a name that does not exist.
    fn check_key_known(&mut self, source: usize, key: &Key, name: &str, known: &KnownNames) {
        let location = self.name_location_in(source, key);
        self.check_known(location, name, known);
    }

    fn check_known(&mut self, location: SourceLocation, name: &str, known: &KnownNames) {
        if known.names.contains(&name) {
            return;
        }
        let help = suggestion(name, known.names.iter().take(MAX_LISTED_NAMES).copied());
        let message = format!("there is no {} {name:?}", known.kind);
        self.findings.push(Finding::new("OC0009", message, location).with_help(help));
    }
}
