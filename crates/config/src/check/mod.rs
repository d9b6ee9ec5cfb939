//! Checks resolved configurations for harmful values, within one proxy and between the applications of a
//! fleet. No I/O.
//!
//! Each submodule covers one subject, with one function per rule. A wrong value that many applications
//! inherit is reported once, at the location of the value, with the affected applications. Used by the
//! command line and by the sidecar at its start; `plan` uses only the rules between two applications
//! ([`pair`]).

mod addresses;
mod budget;
mod calls;
mod classes;
mod deadlines;
mod limits;
mod listener;
mod names;
pub mod pair;
mod priorities;
mod retries;
mod routes;
mod sources;

use crate::document::{Key, KeyPart, top};
use crate::load::Loaded;
use crate::origin::Origin;
use crate::report::{Finding, Findings, SourceLocation};
use crate::resolve::{Environment, Resolved, resolve};
use crate::types::{Fleet, ProxyClass};
pub(crate) use budget::{DEFAULT_ATTEMPT_BUDGET, ROUNDING};
use std::collections::BTreeSet;

/// The codes of findings after which a name may refer to several things or to nothing.
const AMBIGUOUS_NAME_CODES: [&str; 2] = ["OC0008", "OC0009"];

/// Applies the rules to files and to the proxies resolved from them, and collects the findings.
struct Checker<'a> {
    loaded: &'a Loaded,
    resolved: &'a [Resolved],
    findings: Vec<Finding>,
}

/// One class of one resolved proxy.
#[derive(Clone, Copy)]
struct ClassView<'a> {
    /// The index of the proxy among the resolved ones.
    proxy: usize,
    /// The index of the class in the proxy.
    index: usize,
    class: &'a ProxyClass,
}

impl ClassView<'_> {
    /// Returns the key of one of the class's values in the proxy file.
    fn key(&self, name: &str) -> Key {
        top("classes").at(self.index).name(name)
    }
}

/// Resolves and checks the loaded files. Returns the proxies and all findings, including those of loading.
pub fn check(loaded: &Loaded, environment: &Environment) -> (Vec<Resolved>, Findings) {
    let resolved = resolve(loaded, environment);
    let findings = check_resolved(loaded, &resolved, environment);
    (resolved, findings)
}

fn check_resolved(loaded: &Loaded, resolved: &[Resolved], environment: &Environment) -> Findings {
    let mut checker = Checker { loaded, resolved, findings: loaded.findings.clone() };
    checker.check_names();
    checker.check_variables(environment);
    let names_are_unambiguous =
        !checker.findings.iter().any(|finding| AMBIGUOUS_NAME_CODES.contains(&finding.code.id));
    let readable: Vec<usize> = (0..resolved.len()).filter(|proxy| checker.is_readable(*proxy)).collect();
    for proxy in readable {
        checker.check_proxy(proxy);
    }
    // With a malformed file or an ambiguous name, findings about calls between applications would be wrong.
    if names_are_unambiguous && loaded.findings.is_empty() {
        checker.check_fleet();
    }
    Findings::merged(checker.findings)
}

impl<'a> Checker<'a> {
    /// Applies all rules within one proxy.
    fn check_proxy(&mut self, proxy: usize) {
        self.check_retries(proxy);
        self.check_deadlines(proxy);
        self.check_addresses(proxy);
        self.check_limits(proxy);
        self.check_priorities(proxy);
        self.check_routes(proxy);
    }

    /// Applies all rules between the applications of a fleet.
    fn check_fleet(&mut self) {
        self.check_machines();
        self.check_calls();
        self.check_classes_of_tiers();
        self.check_quotas();
    }

    /// Returns whether a file has no findings of loading. The contents of a malformed file are not checked,
    /// since the malformed value is missing from them.
    fn is_well_formed(&self, source: usize) -> bool {
        let file = &self.loaded.sources[source].file;
        let locations = self.loaded.findings.iter().flat_map(|finding| &finding.locations);
        !locations.into_iter().any(|location| location.file == *file)
    }

    /// Returns whether all files that a proxy's values come from are well-formed.
    fn is_readable(&self, proxy: usize) -> bool {
        let sources: BTreeSet<usize> =
            self.resolved[proxy].origins.values().filter_map(Origin::source).collect();
        sources.into_iter().all(|source| self.is_well_formed(source))
    }

    /// Returns the fleet and the index of its source.
    fn fleet(&self) -> Option<(usize, &'a Fleet)> {
        self.loaded.fleet.as_ref().map(|(source, fleet)| (*source, fleet))
    }

    /// Returns the classes of a resolved proxy.
    fn classes(&self, proxy: usize) -> impl Iterator<Item = ClassView<'a>> + use<'a> {
        let classes = self.resolved[proxy].proxy.classes.iter().enumerate();
        classes.map(move |(index, class)| ClassView { proxy, index, class })
    }

    /// Returns the location that set a value of a resolved proxy. Built-in values have no location in a file;
    /// the location of the proxy's name is returned instead.
    fn location_of(&self, proxy: usize, key: &Key) -> SourceLocation {
        let origins = &self.resolved[proxy].origins;
        let origin = match origins.get(key) {
            None | Some(Origin::BuiltIn) => origins.get(&top("name")).unwrap_or(&Origin::BuiltIn),
            Some(origin) => origin,
        };
        origin.location(&self.loaded.sources)
    }

    /// Returns the location of a key's value in a file.
    fn location_in(&self, source: usize, key: &Key) -> SourceLocation {
        SourceLocation::of_key(&self.loaded.sources[source], key, KeyPart::Value)
    }

    /// Returns the location of a key itself in a file.
    fn name_location_in(&self, source: usize, key: &Key) -> SourceLocation {
        SourceLocation::of_key(&self.loaded.sources[source], key, KeyPart::Name)
    }

    /// Creates a finding about a value of a resolved proxy.
    fn finding(&self, proxy: usize, code: &str, message: impl Into<String>, key: &Key) -> Finding {
        Finding::new(code, message, self.location_of(proxy, key))
            .with_application(&self.resolved[proxy].proxy.name)
    }

    /// Creates a finding about a value in a file.
    fn finding_in(&self, source: usize, code: &str, message: impl Into<String>, key: &Key) -> Finding {
        Finding::new(code, message, self.location_in(source, key))
    }
}
