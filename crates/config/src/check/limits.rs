//! What a process may use against what its limits let it hold.

use super::Model;
use crate::document::{Size, top};
use crate::resolve::OWN_DESCRIPTORS;

/// The least memory and descriptors that the program runs with.
const LEAST_MEMORY: Size = Size::from_bytes(32 << 20);
const LEAST_DESCRIPTORS: u32 = 80;
/// Memory of the program at rest, and of a connection with its buffers, both sides; estimates: 9 MB were seen at rest.
const AT_REST: u64 = 12 << 20;
const CONNECTION: u64 = 24 << 10;

impl Model<'_> {
    pub(super) fn limits(&mut self, at: usize) {
        let settings = &self.resolved[at].proxy.settings;
        let key = |name: &str| top("settings").name(name);
        let (Some(memory), Some(descriptors), Some(clients), Some(body), Some(requests)) = (
            settings.memory,
            settings.descriptors,
            settings.client_connections,
            settings.largest_body,
            settings.open_requests,
        ) else {
            return;
        };
        if descriptors < LEAST_DESCRIPTORS {
            let place = self.spot_of(at, &key("descriptors"));
            self.found(at, "OC0404", format!("{descriptors} descriptors are too few"), place);
            return;
        }
        // A connection to an endpoint for each request that clients can have in work.
        let needed = clients.saturating_add(clients.min(requests)).saturating_add(OWN_DESCRIPTORS);
        if needed > descriptors {
            let what = format!(
                "{clients} connections of clients, as many to endpoints and {OWN_DESCRIPTORS} others need {needed} \
                 descriptors, and there are {descriptors}"
            );
            let (place, other) =
                (self.spot_of(at, &key("client_connections")), self.spot_of(at, &key("descriptors")));
            let finding = self.found(at, "OC0401", what, place);
            *finding = finding.clone().beside(other, "the descriptors");
        }
        if memory < LEAST_MEMORY {
            let place = self.spot_of(at, &key("memory"));
            self.found(at, "OC0403", format!("{memory} is less than {LEAST_MEMORY}"), place);
            return;
        }
        let held = u64::from(clients.min(requests));
        let most = AT_REST + u64::from(clients) * CONNECTION + held.saturating_mul(body.bytes());
        if most > memory.bytes() {
            let (most, body) = (Size::from_bytes(most.next_multiple_of(1 << 20)), body);
            let what =
                format!("{held} requests with bodies of {body} may take {most}, and there is {memory}");
            let (place, other) = (self.spot_of(at, &key("largest_body")), self.spot_of(at, &key("memory")));
            let finding = self.found(at, "OC0402", what, place);
            *finding = finding.clone().beside(other, "the memory");
        }
    }
}
