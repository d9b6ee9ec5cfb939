//! Rules for sources of endpoints: each has exactly one kind, and only keys of that kind.

use super::Checker;
use crate::document::{Key, top};
use crate::report::Finding;
use crate::types::Source;

/// Returns the keys of a source that give its kind.
fn given_kinds(source: &Source) -> Vec<&'static str> {
    let kinds = [
        ("file", &source.file),
        ("directory", &source.directory),
        ("envoy", &source.envoy),
        ("xds", &source.xds),
    ];
    kinds.into_iter().filter(|(_, value)| value.is_some()).map(|(name, _)| name).collect()
}

/// Returns the keys of a source that have no meaning for its kind.
fn keys_of_other_kinds(source: &Source) -> Vec<&'static str> {
    if source.xds.is_some() {
        return source.poll.iter().map(|_| "poll").collect();
    }
    let keys_of_xds = [
        ("node_cluster", source.node_cluster.is_some()),
        ("variant", source.variant.is_some()),
        ("first_fetch", source.first_fetch.is_some()),
        ("backoff", source.backoff.is_some()),
    ];
    keys_of_xds.into_iter().filter(|(_, is_given)| *is_given).map(|(name, _)| name).collect()
}

/// Returns whether a text is a host and a port other than 0, as `host:port`.
fn is_host_and_port(address: &str) -> bool {
    let Some((host, port)) = address.rsplit_once(':') else { return false };
    !host.is_empty() && port.parse::<u16>().is_ok_and(|port| port > 0)
}

impl Checker<'_> {
    /// Checks the sources of endpoints of a file.
    pub(super) fn check_sources(&mut self, file: usize, sources: &[Source]) {
        for (i, source) in sources.iter().enumerate() {
            let key = top("sources").at(i);
            let kinds = given_kinds(source);
            let [kind] = kinds[..] else {
                let finding = self.not_one_kind(file, &key, source, &kinds);
                self.findings.push(finding);
                continue;
            };
            for name in keys_of_other_kinds(source) {
                let message = format!("`{name}` has no meaning for a source of the kind {kind}");
                let location = self.name_location_in(file, &key.name(name));
                self.findings.push(Finding::new("OC0012", message, location).with_help("remove it"));
            }
            let finding = self.malformed_control_plane(file, &key, source);
            self.findings.extend(finding);
        }
    }

    /// OC0708: a source has no kind or several.
    fn not_one_kind(&self, file: usize, key: &Key, source: &Source, kinds: &[&str]) -> Finding {
        let has = if kinds.is_empty() { "none".to_owned() } else { kinds.join(" and ") };
        let message = format!(
            "source {:?} must have exactly one of file, directory, envoy and xds, but has {has}",
            source.name
        );
        self.finding_in(file, "OC0708", message, &key.name("name"))
    }

    /// OC0004: the address of a control plane is not `host:port`.
    fn malformed_control_plane(&self, file: usize, key: &Key, source: &Source) -> Option<Finding> {
        let address = source.xds.as_ref().filter(|address| !is_host_and_port(address))?;
        let message = format!("{address:?} is not of the form host:port");
        let finding = self.finding_in(file, "OC0004", message, &key.name("xds"));
        Some(finding.with_help("write a host and a port, such as \"localhost:18000\""))
    }
}
