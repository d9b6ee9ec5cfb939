//! Rules for limits: what a process may use against what its limits let it hold.

use super::Checker;
use crate::document::{Key, Size, top};
use crate::report::Finding;
use crate::resolve::OWN_DESCRIPTORS;

/// The least memory that the program runs with.
const MIN_MEMORY: Size = Size::from_bytes(32 << 20);

/// The fewest descriptors that the program runs with.
const MIN_DESCRIPTORS: u32 = 80;

/// Memory of the program at rest, in bytes; an estimate: 9 MB were seen.
const BASE_MEMORY: u64 = 12 << 20;

/// Memory of a connection with its buffers on both sides, in bytes; an estimate.
const CONNECTION_MEMORY: u64 = 24 << 10;

/// One mebibyte, to which needed memory is rounded up in messages.
const MEBIBYTE: u64 = 1 << 20;

/// The limits of one process; all of them are set in what was resolved.
struct Limits {
    memory: Size,
    descriptors: u32,
    client_connections: u32,
    largest_body: Size,
    /// Requests that clients can have in progress at a time.
    active_requests: u32,
}

impl Limits {
    /// Descriptors for all clients, a connection to an endpoint for each request in progress, and the
    /// program's own.
    fn needed_descriptors(&self) -> u32 {
        self.client_connections.saturating_add(self.active_requests).saturating_add(OWN_DESCRIPTORS)
    }

    /// Memory in bytes for all clients, each request in progress with the largest body.
    fn needed_memory(&self) -> u64 {
        let connections = u64::from(self.client_connections) * CONNECTION_MEMORY;
        let bodies = u64::from(self.active_requests).saturating_mul(self.largest_body.bytes());
        BASE_MEMORY + connections + bodies
    }
}

fn settings_key(name: &str) -> Key {
    top("settings").name(name)
}

impl Checker<'_> {
    /// The limits of one proxy. What follows from a limit that is too low anyway is not reported.
    pub(super) fn check_limits(&mut self, proxy: usize) {
        let Some(limits) = self.limits_of(proxy) else { return };
        if limits.descriptors < MIN_DESCRIPTORS {
            let message = format!("{} descriptors are too few", limits.descriptors);
            let finding = self.finding(proxy, "OC0404", message, &settings_key("descriptors"));
            self.findings.push(finding);
            return;
        }
        let finding = self.descriptors_exceeded(proxy, &limits);
        self.findings.extend(finding);
        if limits.memory < MIN_MEMORY {
            let message = format!("{} is less than {MIN_MEMORY}", limits.memory);
            let finding = self.finding(proxy, "OC0403", message, &settings_key("memory"));
            self.findings.push(finding);
            return;
        }
        let finding = self.memory_exceeded(proxy, &limits);
        self.findings.extend(finding);
    }

    fn limits_of(&self, proxy: usize) -> Option<Limits> {
        let settings = &self.resolved[proxy].proxy.settings;
        let client_connections = settings.client_connections?;
        Some(Limits {
            memory: settings.memory?,
            descriptors: settings.descriptors?,
            client_connections,
            largest_body: settings.largest_body?,
            active_requests: client_connections.min(settings.open_requests?),
        })
    }

    /// OC0401: clients and endpoints need more descriptors than there are.
    fn descriptors_exceeded(&self, proxy: usize, limits: &Limits) -> Option<Finding> {
        let needed = limits.needed_descriptors();
        if needed <= limits.descriptors {
            return None;
        }
        let message = format!(
            "{} connections of clients, as many to endpoints and {OWN_DESCRIPTORS} others need {needed} \
             descriptors, and there are {}",
            limits.client_connections, limits.descriptors
        );
        let descriptors = self.location_of(proxy, &settings_key("descriptors"));
        let finding = self.finding(proxy, "OC0401", message, &settings_key("client_connections"));
        Some(finding.with_related(descriptors, "the descriptors"))
    }

    /// OC0402: bodies may take more memory than there is.
    fn memory_exceeded(&self, proxy: usize, limits: &Limits) -> Option<Finding> {
        let needed = limits.needed_memory();
        if needed <= limits.memory.bytes() {
            return None;
        }
        let message = format!(
            "{} requests with bodies of {} may take {}, and there is {}",
            limits.active_requests,
            limits.largest_body,
            Size::from_bytes(needed.next_multiple_of(MEBIBYTE)),
            limits.memory
        );
        let memory = self.location_of(proxy, &settings_key("memory"));
        let finding = self.finding(proxy, "OC0402", message, &settings_key("largest_body"));
        Some(finding.with_related(memory, "the memory"))
    }
}
