//! Rules for limits: the memory and descriptors of a process must suffice for the connections and requests it
//! allows.

use super::Checker;
use crate::document::{Key, Size, top};
use crate::report::Finding;
use crate::resolve::OWN_DESCRIPTORS;

/// The least memory that the proxy runs with.
const MIN_MEMORY: Size = Size::from_bytes(32 << 20);

/// The fewest descriptors that the proxy runs with.
const MIN_DESCRIPTORS: u32 = 80;

/// Estimated memory of an idle proxy, in bytes; an idle proxy uses about 9 MB.
const BASE_MEMORY: u64 = 12 << 20;

/// Estimated memory of a client connection with the buffers on both sides, in bytes.
const CONNECTION_MEMORY: u64 = 24 << 10;

/// One mebibyte in bytes. Messages round the required memory up to it.
const MEBIBYTE: u64 = 1 << 20;

/// The limits of one process.
struct Limits {
    memory: Size,
    descriptors: u32,
    client_connections: u32,
    largest_body: Size,
    /// The maximum number of concurrent requests of clients.
    active_requests: u32,
}

impl Limits {
    /// Returns the descriptors for all client connections, one endpoint connection for each concurrent
    /// request, and the proxy's own.
    fn required_descriptors(&self) -> u32 {
        self.client_connections.saturating_add(self.active_requests).saturating_add(OWN_DESCRIPTORS)
    }

    /// Returns the memory in bytes for all client connections and for concurrent requests with the largest
    /// body.
    fn required_memory(&self) -> u64 {
        let connections = u64::from(self.client_connections) * CONNECTION_MEMORY;
        let bodies = u64::from(self.active_requests).saturating_mul(self.largest_body.bytes());
        BASE_MEMORY + connections + bodies
    }
}

fn settings_key(name: &str) -> Key {
    top("settings").name(name)
}

impl Checker<'_> {
    /// Checks the limits of one proxy. Stops at a limit below its minimum and does not report consequential
    /// findings.
    pub(super) fn check_limits(&mut self, proxy: usize) {
        let Some(limits) = self.limits_of(proxy) else { return };
        if limits.descriptors < MIN_DESCRIPTORS {
            let message =
                format!("{} descriptors are fewer than the minimum of {MIN_DESCRIPTORS}", limits.descriptors);
            let finding = self.finding(proxy, "OC0404", message, &settings_key("descriptors"));
            self.findings.push(finding);
            return;
        }
        let finding = self.too_few_descriptors(proxy, &limits);
        self.findings.extend(finding);
        if limits.memory < MIN_MEMORY {
            let message = format!("memory of {} is less than the minimum of {MIN_MEMORY}", limits.memory);
            let finding = self.finding(proxy, "OC0403", message, &settings_key("memory"));
            self.findings.push(finding);
            return;
        }
        let finding = self.too_little_memory(proxy, &limits);
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

    /// OC0401: the connections to clients and endpoints need more descriptors than allowed.
    fn too_few_descriptors(&self, proxy: usize, limits: &Limits) -> Option<Finding> {
        let required = limits.required_descriptors();
        if required <= limits.descriptors {
            return None;
        }
        let message = format!(
            "{} client connections, the endpoint connections for their requests and {OWN_DESCRIPTORS} others \
                need {required} descriptors; the limit is {}",
            limits.client_connections, limits.descriptors
        );
        let descriptors = self.location_of(proxy, &settings_key("descriptors"));
        let finding = self.finding(proxy, "OC0401", message, &settings_key("client_connections"));
        Some(finding.with_related(descriptors, "the limit of descriptors"))
    }

    /// OC0402: request bodies can take more memory than allowed.
    fn too_little_memory(&self, proxy: usize, limits: &Limits) -> Option<Finding> {
        let required = limits.required_memory();
        if required <= limits.memory.bytes() {
            return None;
        }
        let message = format!(
            "{} requests with bodies of {} can take {} of memory; the limit is {}",
            limits.active_requests,
            limits.largest_body,
            Size::from_bytes(required.next_multiple_of(MEBIBYTE)),
            limits.memory
        );
        let memory = self.location_of(proxy, &settings_key("memory"));
        let finding = self.finding(proxy, "OC0402", message, &settings_key("largest_body"));
        Some(finding.with_related(memory, "the memory limit"))
    }
}
