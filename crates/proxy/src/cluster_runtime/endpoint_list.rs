//! The endpoint list of a cluster as this process holds it: the listed endpoints, operators' overrides, start times and
//! the list's version.
//!
//! [`super::ClusterRuntime`] owns one and passes every listed endpoint through it before the balancer sees it. No I/O
//! and no clock here.

use super::InheritedEndpoints;
use crate::admin_overrides::{AddressedEntry, AdminOverrides, UnknownEndpoint};
use crate::membership::{Endpoint, News};
use crate::platform::registry;
use crate::start_times::{StartTime, StartTimes};
use crate::stats::Pool;
use olivecart_decisions::{EndpointEntry, EndpointId, Nanos};
use olivecart_settings::Site;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// What is known of a cluster's endpoints besides the balancer's statistics.
pub struct EndpointList {
    overrides: RefCell<AdminOverrides>,
    start_times: RefCell<StartTimes>,
    version: Cell<u64>,
}

/// The overrides that operators made, for the next process.
pub struct ManualOverrides {
    /// Endpoints that are detached.
    pub detached: Vec<String>,
    /// When others were attached again.
    pub attached_at: Vec<(String, Nanos)>,
}

impl EndpointList {
    /// An empty list with what an earlier process knew.
    pub fn restored(inherited: &InheritedEndpoints) -> EndpointList {
        let overrides = AdminOverrides::restored(&inherited.detached, &inherited.attached_at);
        let start_times = StartTimes::restored(inherited.list_complete_at, &inherited.start_times);
        EndpointList {
            overrides: RefCell::new(overrides),
            start_times: RefCell::new(start_times),
            version: Cell::new(0),
        }
    }

    /// Begins a whole list: endpoints that it does not name are removed.
    pub fn begin_snapshot(&self) {
        self.overrides.borrow_mut().begin_snapshot();
    }

    /// Records the version that the list was brought to.
    pub fn set_version(&self, version: u64) {
        self.version.set(version);
    }

    /// Records that the list is complete at this moment.
    pub fn set_complete(&self, now: Nanos) {
        self.start_times.borrow_mut().mark_list_complete(now);
    }

    /// Records a listed endpoint, and returns it with the start time and state that count.
    pub fn apply(&self, entry: EndpointEntry, address: Option<SocketAddr>, now: Nanos) -> EndpointEntry {
        let started = self.start_times.borrow_mut().effective(&entry.name, entry.started, now);
        self.overrides.borrow_mut().apply(EndpointEntry { started, ..entry }, address)
    }

    /// Drops start times of unlisted endpoints where there are too many.
    pub fn limit_start_times(&self) {
        let overrides = self.overrides.borrow();
        self.start_times.borrow_mut().evict_unlisted(|name| overrides.is_listed(name));
    }

    /// Detaches an endpoint; see [`AdminOverrides::detach`].
    ///
    /// # Errors
    /// No endpoint has that name.
    pub fn detach(&self, name: &str) -> Result<Option<AddressedEntry>, UnknownEndpoint> {
        self.overrides.borrow_mut().detach(name)
    }

    /// Detaches an endpoint that only another process lists yet.
    pub fn detach_unlisted(&self, name: &str) {
        self.overrides.borrow_mut().detach_unlisted(name);
    }

    /// Attaches an endpoint again; see [`AdminOverrides::attach`].
    ///
    /// # Errors
    /// No endpoint has that name.
    pub fn attach(&self, name: &str, now: Nanos) -> Result<Option<AddressedEntry>, UnknownEndpoint> {
        self.overrides.borrow_mut().attach(name, now)
    }

    /// Whether operators detached every endpoint that could take requests.
    pub fn detaches_all_ready(&self) -> bool {
        self.overrides.borrow().detaches_all_ready()
    }

    /// The size of the list, and how many of its endpoints take no requests.
    pub fn pool(&self, is_avoided: impl Fn(EndpointId) -> bool) -> Pool {
        self.overrides.borrow().pool(is_avoided)
    }

    /// The list in discovery's form.
    pub fn serialized(&self, site: &Site) -> String {
        let overrides = self.overrides.borrow();
        let start_times = self.start_times.borrow();
        let endpoints = overrides.listed().map(|listed| named(site, &start_times, listed)).collect();
        registry::write(&News { version: self.version.get(), full: true, endpoints })
    }

    /// The overrides that operators made.
    pub fn manual_overrides(&self) -> ManualOverrides {
        let overrides = self.overrides.borrow();
        let (detached, attached_at) = overrides.overrides();
        ManualOverrides {
            detached: detached.map(|name| name.to_string()).collect(),
            attached_at: attached_at.iter().map(|(name, at)| (name.to_string(), *at)).collect(),
        }
    }

    /// Endpoints that count as started at another time than the list says.
    pub fn amended_start_times(&self) -> Vec<(String, StartTime)> {
        self.start_times.borrow().corrected().collect()
    }

    /// When the list was last known to be complete.
    pub fn complete_at(&self) -> Option<Nanos> {
        self.start_times.borrow().complete_at()
    }
}

/// A listed endpoint as the balancer knows it; new names get the next numbers.
pub fn numbered(site: &mut Site, endpoint: &Endpoint) -> EndpointEntry {
    site.intern_endpoint(&olivecart_settings::ListedEndpoint {
        name: &endpoint.name,
        state: endpoint.state,
        zone: &endpoint.zone,
        kind: &endpoint.kind,
        cell: endpoint.cell,
        size: endpoint.size,
        started: endpoint.started,
    })
}

/// The reverse of [`numbered`], with the start time that the list gave.
fn named(site: &Site, start_times: &StartTimes, (entry, address): &AddressedEntry) -> Endpoint<'static> {
    let zone = site.zones.name(entry.zone.0.into());
    let kind = site.kinds.name(entry.kind.0.into());
    Endpoint {
        name: entry.name.to_string().into(),
        state: entry.state,
        zone: zone.map_or("".into(), |name| name.to_string().into()),
        kind: kind.map_or("".into(), |name| name.to_string().into()),
        cell: entry.cell.0,
        size: entry.size,
        started: start_times.listed(&entry.name, entry.started),
        addr: *address,
    }
}
