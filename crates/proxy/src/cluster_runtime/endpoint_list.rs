//! The endpoint list of a cluster as this process holds it: the listed endpoints, operators' overrides, start
//! times and the list's version.
//!
//! [`super::ClusterRuntime`] owns it and passes every listed endpoint through it before it reports the
//! endpoint to the balancer. This module does no I/O and reads no clock.

use super::InheritedEndpoints;
use crate::admin_overrides::{AddressedEntry, AdminOverrides, UnknownEndpoint};
use crate::membership::{Endpoint, ListUpdate};
use crate::platform::registry;
use crate::start_times::{StartTime, StartTimes};
use crate::stats::Pool;
use olivecart_decisions::{EndpointEntry, EndpointId, Nanos};
use olivecart_settings::Site;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// The listed endpoints of a cluster, without the balancer's statistics.
pub struct EndpointList {
    overrides: RefCell<AdminOverrides>,
    start_times: RefCell<StartTimes>,
    version: Cell<u64>,
}

/// The overrides that operators made, in the form that is handed over to the successor.
pub struct ManualOverrides {
    /// The names of detached endpoints.
    pub detached: Vec<String>,
    /// When other endpoints were attached again.
    pub attached_at: Vec<(String, Nanos)>,
}

impl EndpointList {
    /// Creates an empty list with the overrides and start times of an earlier process.
    pub fn restored(inherited: &InheritedEndpoints) -> EndpointList {
        let overrides = AdminOverrides::restored(&inherited.detached, &inherited.attached_at);
        let start_times = StartTimes::restored(inherited.list_complete_at, &inherited.start_times);
        EndpointList {
            overrides: RefCell::new(overrides),
            start_times: RefCell::new(start_times),
            version: Cell::new(0),
        }
    }

    /// Begins a snapshot: endpoints that it does not contain are removed.
    pub fn begin_snapshot(&self) {
        self.overrides.borrow_mut().begin_snapshot();
    }

    /// Records the version of the list.
    pub fn set_version(&self, version: u64) {
        self.version.set(version);
    }

    /// Records that the list is complete at `now`.
    pub fn set_complete(&self, now: Nanos) {
        self.start_times.borrow_mut().mark_list_complete(now);
    }

    /// Records a listed endpoint, and returns it with its effective start time and state.
    pub fn apply(&self, entry: EndpointEntry, address: Option<SocketAddr>, now: Nanos) -> EndpointEntry {
        let started = self.start_times.borrow_mut().effective(&entry.name, entry.started, now);
        self.overrides.borrow_mut().apply(EndpointEntry { started, ..entry }, address)
    }

    /// Drops start times of unlisted endpoints if there are too many.
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

    /// Detaches an endpoint that is not listed here yet, but is in another process.
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

    /// The number of listed endpoints, and how many of them are avoided.
    pub fn pool(&self, is_avoided: impl Fn(EndpointId) -> bool) -> Pool {
        self.overrides.borrow().pool(is_avoided)
    }

    /// The list in the format of discovery.
    pub fn serialized(&self, site: &Site) -> String {
        let overrides = self.overrides.borrow();
        let start_times = self.start_times.borrow();
        let endpoints = overrides.listed().map(|listed| to_endpoint(site, &start_times, listed)).collect();
        registry::write(&ListUpdate { version: self.version.get(), full: true, endpoints })
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

    /// Endpoints whose effective start time differs from the listed one.
    pub fn amended_start_times(&self) -> Vec<(String, StartTime)> {
        self.start_times.borrow().corrected().collect()
    }

    /// When the list was last known to be complete.
    pub fn complete_at(&self) -> Option<Nanos> {
        self.start_times.borrow().complete_at()
    }
}

/// Converts a listed endpoint for the balancer, which knows names by number. New names get the next numbers.
pub fn to_entry(site: &mut Site, endpoint: &Endpoint) -> EndpointEntry {
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

/// The reverse of [`to_entry`], with the listed start time.
fn to_endpoint(
    site: &Site,
    start_times: &StartTimes,
    (entry, address): &AddressedEntry,
) -> Endpoint<'static> {
    let zone = site.zones.name(entry.zone.0.into());
    let kind = site.kinds.name(entry.machine_kind.0.into());
    Endpoint {
        name: entry.name.to_string().into(),
        state: entry.state,
        zone: zone.map_or("".into(), |name| name.to_string().into()),
        kind: kind.map_or("".into(), |name| name.to_string().into()),
        cell: entry.cell.0,
        size: entry.relative_capacity,
        started: start_times.listed(&entry.name, entry.started),
        addr: *address,
    }
}
