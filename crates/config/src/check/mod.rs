//! Checks what files come to: what would do harm within one proxy, and between the applications of a fleet.
//! No I/O.
//!
//! Each module of checks has one subject, with one function a rule. A value that many applications inherit is
//! reported once, at its own location, with the applications that have it. Called by the command line and by
//! the sidecar at its start; the order of a change (`plan`) uses the rules between two applications
//! ([`pair`]) alone.

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

/// Codes of findings that leave open who is meant by a name.
const AMBIGUOUS_NAME_CODES: [&str; 2] = ["OC0008", "OC0009"];

/// Applies the rules to files and to what they come to, and collects the findings.
struct Checker<'a> {
    loaded: &'a Loaded,
    resolved: &'a [Resolved],
    findings: Vec<Finding>,
}

/// One class of one resolved proxy, as the rules for classes look at it.
#[derive(Clone, Copy)]
struct ClassView<'a> {
    /// The proxy's index among the resolved ones.
    proxy: usize,
    /// The class's index in the proxy.
    index: usize,
    class: &'a ProxyClass,
}

impl ClassView<'_> {
    /// The key of one of the class's values, in what the proxy reads.
    fn key(&self, name: &str) -> Key {
        top("classes").at(self.index).name(name)
    }
}

/// Resolves what was loaded and checks it: the proxies, and all findings, those of loading among them.
pub fn check(loaded: &Loaded, environment: &Environment) -> (Vec<Resolved>, Findings) {
    let resolved = resolve(loaded, environment);
    let findings = check_resolved(loaded, &resolved, environment);
    (resolved, findings)
}

fn check_resolved(loaded: &Loaded, resolved: &[Resolved], environment: &Environment) -> Findings {
    let mut checker = Checker { loaded, resolved, findings: loaded.findings.clone() };
    checker.check_names();
    checker.check_variables(environment);
    let names_are_sound =
        !checker.findings.iter().any(|finding| AMBIGUOUS_NAME_CODES.contains(&finding.code.id));
    let readable: Vec<usize> = (0..resolved.len()).filter(|proxy| checker.is_readable(*proxy)).collect();
    for proxy in readable {
        checker.check_proxy(proxy);
    }
    // Where a file or a name is not what it should be, findings about who calls whom would be wrong.
    if names_are_sound && loaded.findings.is_empty() {
        checker.check_fleet();
    }
    Findings::merged(checker.findings)
}

impl<'a> Checker<'a> {
    /// All rules within one proxy.
    fn check_proxy(&mut self, proxy: usize) {
        self.check_retries(proxy);
        self.check_deadlines(proxy);
        self.check_addresses(proxy);
        self.check_limits(proxy);
        self.check_priorities(proxy);
        self.check_routes(proxy);
    }

    /// All rules between the applications of a fleet.
    fn check_fleet(&mut self) {
        self.check_machines();
        self.check_calls();
        self.check_classes_of_tiers();
        self.check_quotas();
    }

    /// Whether the form of a file is right. The contents of a malformed file are not checked: they would be
    /// checked without the value that is at fault.
    fn is_well_formed(&self, source: usize) -> bool {
        let file = &self.loaded.sources[source].file;
        let locations = self.loaded.findings.iter().flat_map(|finding| &finding.locations);
        !locations.into_iter().any(|location| location.file == *file)
    }

    /// Whether all files that a proxy's values come from are well-formed.
    fn is_readable(&self, proxy: usize) -> bool {
        let sources: BTreeSet<usize> =
            self.resolved[proxy].origins.values().filter_map(Origin::source).collect();
        sources.into_iter().all(|source| self.is_well_formed(source))
    }

    /// The fleet and the index of its source.
    fn fleet(&self) -> Option<(usize, &'a Fleet)> {
        self.loaded.fleet.as_ref().map(|(source, fleet)| (*source, fleet))
    }

    /// The classes of a resolved proxy.
    fn classes(&self, proxy: usize) -> impl Iterator<Item = ClassView<'a>> + use<'a> {
        let classes = self.resolved[proxy].proxy.classes.iter().enumerate();
        classes.map(move |(index, class)| ClassView { proxy, index, class })
    }

    /// Where a value of a resolved proxy came from. What is built in stands in no file: the proxy's own name
    /// stands for it then.
    fn location_of(&self, proxy: usize, key: &Key) -> SourceLocation {
        let origins = &self.resolved[proxy].origins;
        let origin = match origins.get(key) {
            None | Some(Origin::BuiltIn) => origins.get(&top("name")).unwrap_or(&Origin::BuiltIn),
            Some(origin) => origin,
        };
        origin.location(&self.loaded.sources)
    }

    /// Where a key's value stands in a file.
    fn location_in(&self, source: usize, key: &Key) -> SourceLocation {
        SourceLocation::of_key(&self.loaded.sources[source], key, KeyPart::Value)
    }

    /// Where a key itself stands in a file.
    fn name_location_in(&self, source: usize, key: &Key) -> SourceLocation {
        SourceLocation::of_key(&self.loaded.sources[source], key, KeyPart::Name)
    }

    /// A finding about a value of a resolved proxy.
    fn finding(&self, proxy: usize, code: &str, message: impl Into<String>, key: &Key) -> Finding {
        Finding::new(code, message, self.location_of(proxy, key))
            .with_application(&self.resolved[proxy].proxy.name)
    }

    /// A finding about a value in a file.
    fn finding_in(&self, source: usize, code: &str, message: impl Into<String>, key: &Key) -> Finding {
        Finding::new(code, message, self.location_in(source, key))
    }
}
