//! Names: well formed, each given once, and leading to something.

use super::Model;
use crate::document::{Key, instead, nearest, top};
use crate::load::known;
use crate::report::Finding;
use crate::resolve::{Environment, VARIABLE, built_in, from_variable};
use crate::types::Source;
use std::collections::{BTreeMap, BTreeSet};

/// The longest name.
const LONGEST: usize = 64;

/// Whether a name can go into file names, headers and logs.
fn is_good(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    name.len() <= LONGEST && name.starts_with(|c: char| c.is_ascii_alphanumeric()) && name.chars().all(plain)
}

impl Model<'_> {
    pub(super) fn names(&mut self) {
        if let Some((source, fleet)) = self.fleet().filter(|(source, _)| self.is_good(*source)) {
            self.good(source, &top("name"), &fleet.name);
            let lists: [(&str, Vec<&str>); 4] = [
                ("classes", fleet.classes.iter().map(|x| x.name.as_str()).collect()),
                ("tenants", fleet.tenants.iter().map(|x| x.name.as_str()).collect()),
                ("tiers", fleet.tiers.iter().map(|x| x.name.as_str()).collect()),
                ("sources", fleet.sources.iter().map(|x| x.name.as_str()).collect()),
            ];
            for (list, names) in lists {
                let keyed = names.iter().enumerate().map(|(i, name)| (top(list).at(i).name("name"), *name));
                self.unique(source, keyed.collect());
            }
            let zones = fleet.zones.iter().enumerate().map(|(i, zone)| (top("zones").at(i), zone.as_str()));
            self.unique(source, zones.collect());
            let classes: Vec<&str> = fleet.classes.iter().map(|class| class.name.as_str()).collect();
            for (i, tier) in fleet.tiers.iter().enumerate() {
                let key = top("tiers").at(i);
                for (at, name) in tier.serves.iter().flatten().enumerate() {
                    self.leads(source, &key.name("serves").at(at), "class", name, &classes);
                }
                for name in tier.classes.keys() {
                    self.leads_by_name(
                        source,
                        &key.name("classes").name(name.as_str()),
                        "class",
                        name,
                        &classes,
                    );
                }
            }
            self.sources(source, &fleet.sources);
        }
        self.applications();
        for (source, proxy) in
            self.loaded.proxies.iter().filter(|(source, _)| self.is_good(*source)).collect::<Vec<_>>()
        {
            let lists: [(&str, Vec<&str>); 3] = [
                ("classes", proxy.classes.iter().map(|x| x.name.as_str()).collect()),
                ("tenants", proxy.tenants.iter().map(|x| x.name.as_str()).collect()),
                ("sources", proxy.sources.iter().map(|x| x.name.as_str()).collect()),
            ];
            for (list, names) in lists {
                let keyed = names.iter().enumerate().map(|(i, name)| (top(list).at(i).name("name"), *name));
                self.unique(*source, keyed.collect());
            }
            self.good(*source, &top("name"), &proxy.name);
            if let Some(zone) = &proxy.zone {
                let zones: Vec<&str> = proxy.zones.iter().map(String::as_str).collect();
                self.leads(*source, &top("zone"), "zone", zone, &zones);
            }
            self.sources(*source, &proxy.sources);
        }
    }

    fn applications(&mut self) {
        let all: Vec<&str> = self.loaded.applications.iter().map(|(_, a)| a.name.as_str()).collect();
        let mut first: BTreeMap<&str, usize> = BTreeMap::new();
        let is_whole = self.loaded.findings.is_empty();
        for (source, application) in &self.loaded.applications {
            let source = *source;
            if !self.is_good(source) {
                continue;
            }
            self.good(source, &top("name"), &application.name);
            if let Some(before) = first.insert(&application.name, source) {
                let other = self.at(before, &top("name"));
                let what = format!("application {:?} is described twice", application.name);
                let place = self.at(source, &top("name"));
                self.push(Finding::new(known("OC0008"), what, place).beside(other, "first here"));
            }
            let fleet = self.fleet().filter(|(source, _)| self.is_good(*source));
            let Some((_, fleet)) = fleet else { continue };
            let tiers: Vec<&str> = fleet.tiers.iter().map(|tier| tier.name.as_str()).collect();
            self.leads(source, &top("tier"), "tier", &application.tier, &tiers);
            let zones: Vec<&str> = fleet.zones.iter().map(String::as_str).collect();
            match &application.zone {
                Some(zone) => self.leads(source, &top("zone"), "zone", zone, &zones),
                None if zones.len() > 1 => {
                    let what = "`zone` is missing, and the fleet has several".to_owned();
                    let place = self.at(source, &top("name"));
                    let help = format!("one of {}", zones.join(", "));
                    self.push(Finding::new(known("OC0003"), what, place).help(help));
                }
                None => {}
            }
            let classes: Vec<&str> = fleet.classes.iter().map(|class| class.name.as_str()).collect();
            for name in application.classes.keys() {
                self.leads_by_name(source, &top("classes").name(name.as_str()), "class", name, &classes);
            }
            for (i, call) in application.calls.iter().enumerate() {
                let key = top("calls").at(i);
                if is_whole {
                    self.leads(source, &key.name("application"), "application", &call.application, &all);
                }
                for (at, route) in call.routes.iter().enumerate() {
                    if let Some(class) = &route.class {
                        let key = key.name("routes").at(at).name("class");
                        self.leads(source, &key, "class", class, &classes);
                    }
                }
            }
        }
    }

    /// Sources: one kind each, and only keys of that kind.
    fn sources(&mut self, source: usize, all: &[Source]) {
        for (i, one) in all.iter().enumerate() {
            let key = top("sources").at(i);
            let kinds = [
                ("file", &one.file),
                ("directory", &one.directory),
                ("envoy", &one.envoy),
                ("xds", &one.xds),
            ];
            let given: Vec<&str> =
                kinds.iter().filter_map(|(name, given)| given.as_ref().map(|_| *name)).collect();
            if given.len() != 1 {
                let has = if given.is_empty() { "none".to_owned() } else { given.join(" and ") };
                let what = format!(
                    "source {:?} needs exactly one of file, directory, envoy and xds, and has {has}",
                    one.name
                );
                let place = self.at(source, &key.name("name"));
                self.push(Finding::new(known("OC0708"), what, place));
                continue;
            }
            let is_xds = one.xds.is_some();
            let of_xds = [
                ("node_cluster", one.node_cluster.is_some()),
                ("variant", one.variant.is_some()),
                ("first_fetch", one.first_fetch.is_some()),
                ("backoff", one.backoff.is_some()),
            ];
            let beside = of_xds.iter().filter(|(_, given)| *given && !is_xds).map(|(name, _)| *name);
            let beside: Vec<&str> = beside.chain((is_xds && one.poll.is_some()).then_some("poll")).collect();
            for name in beside {
                let what = format!("`{name}` means nothing for a source of the kind {}", given[0]);
                let place = self.at_name(source, &key.name(name));
                self.push(Finding::new(known("OC0012"), what, place).help("remove it"));
            }
            if let Some(address) = &one.xds {
                let parts = address.rsplit_once(':').filter(|(host, _)| !host.is_empty());
                if !parts.is_some_and(|(_, port)| port.parse::<u16>().is_ok_and(|port| port > 0)) {
                    let what = format!("{address:?} is not host:port");
                    let place = self.at(source, &key.name("xds"));
                    self.push(Finding::new(known("OC0004"), what, place).help("such as \"localhost:18000\""));
                }
            }
        }
    }

    /// Variables that would set a knob and cannot.
    pub(super) fn variables(&mut self, environment: &Environment) {
        let knobs = serde_json::to_value(built_in()).unwrap_or_default();
        let names: Vec<&str> =
            knobs.as_object().into_iter().flatten().map(|(name, _)| name.as_str()).collect();
        for (variable, text) in environment {
            let Some(name) = variable.strip_prefix(VARIABLE).map(str::to_ascii_lowercase) else { continue };
            let at = crate::origin::Origin::Variable(variable.clone()).spot(&self.loaded.sources);
            if !names.contains(&name.as_str()) {
                let near = nearest(&name, names.iter().copied());
                let help =
                    near.map(|near| format!("did you mean `{VARIABLE}{}`?", near.to_ascii_uppercase()));
                let finding = Finding::new(known("OC0002"), format!("unknown variable `{variable}`"), at);
                self.push(finding.help(help.unwrap_or_default()));
            } else if from_variable(&name, text).is_none() {
                let what = format!("variable `{variable}`: {text:?} is no value of {name}");
                self.push(Finding::new(known("OC0004"), what, at));
            }
        }
    }

    fn good(&mut self, source: usize, key: &Key, name: &str) {
        if !is_good(name) {
            let place = self.at(source, key);
            self.push(Finding::new(known("OC0011"), format!("{name:?} cannot be a name"), place));
        }
    }

    /// Names of one list: good, and each given once.
    fn unique(&mut self, source: usize, names: Vec<(Key, &str)>) {
        let mut known_names: BTreeMap<&str, Key> = BTreeMap::new();
        let mut told = BTreeSet::new();
        for (key, name) in names {
            self.good(source, &key, name);
            if let Some(before) = known_names.get(name) {
                if told.insert(key.clone()) {
                    let other = self.at(source, before);
                    let place = self.at(source, &key);
                    let what = format!("{name:?} is given twice");
                    self.push(Finding::new(known("OC0008"), what, place).beside(other, "first here"));
                }
            } else {
                known_names.insert(name, key);
            }
        }
    }

    fn leads(&mut self, source: usize, key: &Key, what: &str, name: &str, known_names: &[&str]) {
        if !known_names.contains(&name) {
            let place = self.at(source, key);
            self.nothing(place, what, name, known_names);
        }
    }

    fn leads_by_name(&mut self, source: usize, key: &Key, what: &str, name: &str, known_names: &[&str]) {
        if !known_names.contains(&name) {
            let place = self.at_name(source, key);
            self.nothing(place, what, name, known_names);
        }
    }

    fn nothing(&mut self, place: crate::report::Spot, what: &str, name: &str, known_names: &[&str]) {
        let help = instead(name, known_names.iter().take(12).copied());
        self.push(Finding::new(known("OC0009"), format!("there is no {what} {name:?}"), place).help(help));
    }
}
