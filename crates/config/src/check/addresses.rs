//! Rules for addresses: every listener can be bound and is reachable only from where it should be.

use super::Checker;
use super::listener::{Listener, canonical, collide, proxy_listeners};
use super::pair::on_one_machine;
use crate::document::{Key, top};
use crate::report::Finding;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The lowest port that can be bound without a privilege.
const FIRST_UNPRIVILEGED_PORT: u16 = 1024;

/// Returns the key of the address at which the application itself listens.
fn application_key() -> Key {
    top("inbound").name("application")
}

impl Checker<'_> {
    /// Checks the listeners of one proxy.
    pub(super) fn check_addresses(&mut self, proxy: usize) {
        let listeners = proxy_listeners(&self.resolved[proxy]);
        for (i, listener) in listeners.iter().enumerate() {
            if listener.address.port() == 0 {
                let finding = self.port_zero(proxy, listener);
                self.findings.push(finding);
                continue;
            }
            let findings = [
                self.privileged_port(proxy, listener),
                self.not_on_loopback(proxy, listener),
                self.at_application_address(proxy, listener),
            ];
            self.findings.extend(findings.into_iter().flatten());
            let findings = self.at_same_address(proxy, listener, &listeners[..i]);
            self.findings.extend(findings);
        }
        let finding = self.application_at_port_zero(proxy);
        self.findings.extend(finding);
    }

    /// OC0305: a listener has port 0.
    fn port_zero(&self, proxy: usize, listener: &Listener) -> Finding {
        let name = &self.resolved[proxy].proxy.name;
        let message = format!("{} of {name:?} has port 0, which is not a fixed port", listener.description);
        self.finding(proxy, "OC0305", message, &listener.key)
    }

    /// OC0306: binding a listener's port needs a privilege.
    fn privileged_port(&self, proxy: usize, listener: &Listener) -> Option<Finding> {
        let port = listener.address.port();
        if port >= FIRST_UNPRIVILEGED_PORT {
            return None;
        }
        let name = &self.resolved[proxy].proxy.name;
        let message = format!("{} of {name:?} has the privileged port {port}", listener.description);
        Some(self.finding(proxy, "OC0306", message, &listener.key))
    }

    /// OC0304: a listener that only its own machine should use is reachable from other machines.
    fn not_on_loopback(&self, proxy: usize, listener: &Listener) -> Option<Finding> {
        if !listener.is_local || canonical(listener.address).ip().is_loopback() {
            return None;
        }
        let name = &self.resolved[proxy].proxy.name;
        let message = format!(
            "{} of {name:?} is at {}, which is not a loopback address",
            listener.description, listener.address
        );
        Some(self.finding(proxy, "OC0304", message, &listener.key))
    }

    /// OC0303: a listener has the address of its application.
    fn at_application_address(&self, proxy: usize, listener: &Listener) -> Option<Finding> {
        let address = listener.address;
        self.application_address(proxy).filter(|application| collide(*application, address))?;
        let name = &self.resolved[proxy].proxy.name;
        let message = format!(
            "{} of {name:?} and the application itself both listen at {address}",
            listener.description
        );
        let application = self.location_of(proxy, &application_key());
        let finding = self.finding(proxy, "OC0303", message, &listener.key);
        Some(finding.with_related(application, "the application's own address"))
    }

    /// OC0301: a listener has the address of another listener of the same proxy.
    fn at_same_address(&self, proxy: usize, listener: &Listener, earlier: &[Listener]) -> Vec<Finding> {
        let name = &self.resolved[proxy].proxy.name;
        let address = listener.address;
        let mut findings = Vec::new();
        for other in earlier.iter().filter(|other| collide(other.address, address)) {
            let message = format!(
                "{} and {} of {name:?} are both at {address}",
                listener.description, other.description
            );
            let finding = self.finding(proxy, "OC0301", message, &listener.key);
            let location = self.location_of(proxy, &other.key);
            findings.push(finding.with_related(location, other.description.clone()));
        }
        findings
    }

    /// OC0305: the application's address has port 0.
    fn application_at_port_zero(&self, proxy: usize) -> Option<Finding> {
        let address = self.application_address(proxy).filter(|address| address.port() == 0)?;
        let name = &self.resolved[proxy].proxy.name;
        let message = format!(
            "the application {name:?} has the address {address} with port 0, which is not a fixed port"
        );
        Some(self.finding(proxy, "OC0305", message, &application_key()))
    }

    fn application_address(&self, proxy: usize) -> Option<SocketAddr> {
        self.resolved[proxy].proxy.inbound.as_ref().map(|inbound| inbound.application)
    }

    /// Checks the listeners of applications that share a machine against each other.
    pub(super) fn check_machines(&mut self) {
        let mut machines: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (proxy, resolved) in self.resolved.iter().enumerate() {
            machines.entry(&resolved.machine).or_default().push(proxy);
        }
        for proxies in machines.values() {
            for (i, second) in proxies.iter().enumerate() {
                for first in &proxies[..i] {
                    // Reports one conflict per pair; the others show up once the first is fixed.
                    let conflicts = on_one_machine(&self.resolved[*first], &self.resolved[*second]);
                    if let Some(conflict) = conflicts.into_iter().next() {
                        self.report_conflict(conflict, *first, *second);
                    }
                }
            }
        }
    }
}
