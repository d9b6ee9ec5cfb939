//! Applies changes of the endpoint list that come from discovery, from the catalog and from operators. Each
//! change is recorded in the [`EndpointList`](super::endpoint_list::EndpointList), applied to the connections
//! and then reported to the balancer.

use super::ClusterRuntime;
use super::endpoint_list::{ManualOverrides, to_entry};
use crate::admin_overrides::{AddressedEntry, UnknownEndpoint};
use crate::membership::ListUpdate;
use crate::stages::context::EventSink;
use crate::start_times::StartTime;
use crate::stats::Pool;
use crate::trace;
use olivecart_decisions::{
    EndpointEntry, EndpointId, EndpointState, EndpointStatus, EndpointUpdate, Event, Nanos,
};
use slog::debug;
use std::net::SocketAddr;

impl ClusterRuntime {
    /// Applies a snapshot or a delta of the list; `update` wraps the entries in the kind of update that the
    /// balancer gets.
    pub(super) fn apply_list(
        &self,
        list: &ListUpdate,
        update: impl Fn(Vec<EndpointEntry>) -> EndpointUpdate,
    ) {
        let endpoint_count = list.endpoints.len();
        debug!(self.log, "endpoint list received"; "version" => list.version, "full" => list.full,
            "entries" => endpoint_count);
        if list.full {
            self.context.backends.mark_all_unready();
            self.endpoints.begin_snapshot();
        }
        self.endpoints.set_version(list.version);
        if let Some(discovery) = &self.discovery {
            discovery.set_version(list.version);
        }
        let mut entries = Vec::with_capacity(endpoint_count);
        for endpoint in &list.endpoints {
            let entry = to_entry(&mut self.shared.site.borrow_mut(), endpoint);
            let entry = self.endpoints.apply(entry, endpoint.addr, self.shared.clock.now());
            trace::endpoint(&self.log, &entry);
            self.update_backend(&entry, endpoint.addr);
            entries.push(entry);
        }
        self.endpoints.limit_start_times();
        self.report_update(update(entries));
    }

    /// Applies changed endpoints that the catalog has already numbered.
    pub fn apply_changes(&self, changes: impl Iterator<Item = AddressedEntry>) {
        let mut entries = Vec::new();
        for (entry, address) in changes {
            let entry = self.endpoints.apply(entry, address, self.shared.clock.now());
            self.update_backend(&entry, address);
            entries.push(entry);
        }
        self.endpoints.limit_start_times();
        self.report_update(EndpointUpdate::Delta(entries));
    }

    /// Detaches an endpoint at an operator's request. On return the balancer has processed the change.
    ///
    /// # Errors
    /// The cluster has no endpoint of that name.
    pub fn detach(&self, name: &str) -> Result<(), UnknownEndpoint> {
        let changed = self.endpoints.detach(name)?;
        self.apply_override(changed);
        Ok(())
    }

    /// Detaches an endpoint that is not listed here yet, but is in another process.
    pub fn detach_unlisted(&self, name: &str) {
        self.endpoints.detach_unlisted(name);
    }

    /// Attaches an endpoint again at an operator's request, and checks its health at once.
    ///
    /// # Errors
    /// The cluster has no endpoint of that name.
    pub fn attach(&self, name: &str) -> Result<(), UnknownEndpoint> {
        let changed = self.endpoints.attach(name, self.shared.clock.now())?;
        let ready = changed.as_ref().filter(|(entry, _)| entry.state == EndpointState::Ready);
        let ready = ready.map(|(entry, _)| entry.id);
        self.apply_override(changed);
        let checks_enabled = self.shared.site.borrow().settings.limits.health_checks_enabled;
        if let Some(endpoint) = ready.filter(|_| checks_enabled) {
            self.start_health_check(endpoint);
        }
        Ok(())
    }

    /// The number of listed endpoints, and how many of them are avoided now.
    pub fn pool(&self) -> Pool {
        self.endpoints.pool(|endpoint| self.is_avoided(endpoint))
    }

    /// The list in the format of discovery.
    pub fn serialized_list(&self) -> String {
        self.endpoints.serialized(&self.shared.site.borrow())
    }

    /// The overrides that operators made.
    pub fn manual_overrides(&self) -> ManualOverrides {
        self.endpoints.manual_overrides()
    }

    /// Endpoints whose effective start time differs from the listed one.
    pub fn amended_start_times(&self) -> Vec<(String, StartTime)> {
        self.endpoints.amended_start_times()
    }

    /// When the list was last known to be complete.
    pub fn list_complete_at(&self) -> Option<Nanos> {
        self.endpoints.complete_at()
    }

    fn is_avoided(&self, endpoint: EndpointId) -> bool {
        matches!(
            self.balancer.borrow().endpoint_status(endpoint),
            EndpointStatus::DrainingOrRemoved | EndpointStatus::Unhealthy | EndpointStatus::Ejected { .. }
        )
    }

    fn apply_override(&self, changed: Option<AddressedEntry>) {
        if let Some((entry, address)) = changed {
            trace::endpoint(&self.log, &entry);
            self.update_backend(&entry, address);
            self.report_update(EndpointUpdate::Delta(vec![entry]));
        }
    }

    fn update_backend(&self, entry: &EndpointEntry, address: Option<SocketAddr>) {
        let is_ready = entry.state == EndpointState::Ready;
        self.context.backends.update_endpoint(entry.id, address, entry.started, is_ready);
    }

    /// Reports a change of the list, already recorded here, to the balancer.
    fn report_update(&self, update: EndpointUpdate) {
        self.context.set_all_detached(self.endpoints.detaches_all_ready());
        self.report(Event::Endpoints(update));
    }
}
