//! Changes of the endpoint list: from discovery, from the catalog and from operators. Each is recorded in the
//! [`EndpointList`](super::endpoint_list::EndpointList), applied to the connections and then reported to the balancer.

use super::ClusterRuntime;
use super::endpoint_list::{ManualOverrides, numbered};
use crate::admin_overrides::{AddressedEntry, UnknownEndpoint};
use crate::membership::News;
use crate::stages::context::Decisions;
use crate::start_times::StartTime;
use crate::stats::Pool;
use crate::trace;
use olivecart_decisions::{
    EndpointEntry, EndpointId, EndpointState, EndpointStatus, EndpointUpdate, Event, Nanos,
};
use slog::debug;
use std::net::SocketAddr;

impl ClusterRuntime {
    /// Applies a list or a change of it; `update` says as which of these the balancer gets it.
    pub(super) fn apply_news(&self, news: &News, update: impl Fn(Vec<EndpointEntry>) -> EndpointUpdate) {
        let endpoint_count = news.endpoints.len();
        debug!(self.log, "list"; "version" => news.version, "full" => news.full, "entries" => endpoint_count);
        if news.full {
            self.context.backends.forget_all();
            self.endpoints.begin_snapshot();
        }
        self.endpoints.set_version(news.version);
        if let Some(discovery) = &self.discovery {
            discovery.set_version(news.version);
        }
        let mut entries = Vec::with_capacity(endpoint_count);
        for endpoint in &news.endpoints {
            let entry = numbered(&mut self.shared.site.borrow_mut(), endpoint);
            let entry = self.endpoints.apply(entry, endpoint.addr, self.shared.clock.now());
            trace::endpoint(&self.log, &entry);
            self.update_backend(&entry, endpoint.addr);
            entries.push(entry);
        }
        self.endpoints.limit_start_times();
        self.report_update(update(entries));
    }

    /// Applies changed endpoints that the catalog has numbered.
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

    /// Detaches an endpoint by an operator's request; the balancer knows of it on return.
    ///
    /// # Errors
    /// The cluster has no such endpoint.
    pub fn detach(&self, name: &str) -> Result<(), UnknownEndpoint> {
        let changed = self.endpoints.detach(name)?;
        self.apply_override(changed);
        Ok(())
    }

    /// Detaches an endpoint that only another process lists yet.
    pub fn detach_unlisted(&self, name: &str) {
        self.endpoints.detach_unlisted(name);
    }

    /// Attaches an endpoint again by an operator's request, and checks its health at once.
    ///
    /// # Errors
    /// The cluster has no such endpoint.
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

    /// The size of the list, and how many of its endpoints are avoided now.
    pub fn pool(&self) -> Pool {
        self.endpoints.pool(|endpoint| self.is_avoided(endpoint))
    }

    /// The list in discovery's form.
    pub fn serialized_list(&self) -> String {
        self.endpoints.serialized(&self.shared.site.borrow())
    }

    /// The overrides that operators made.
    pub fn manual_overrides(&self) -> ManualOverrides {
        self.endpoints.manual_overrides()
    }

    /// Endpoints that count as started at another time than the list says.
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
        self.context.backends.place(entry.id, address, entry.started, is_ready);
    }

    /// Reports a change of the list to the balancer, once it is recorded here.
    fn report_update(&self, update: EndpointUpdate) {
        self.context.set_all_out(self.endpoints.detaches_all_ready());
        self.tell(Event::Endpoints(update));
    }
}
