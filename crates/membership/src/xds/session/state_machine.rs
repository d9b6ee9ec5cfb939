//! The state of the session and the handling of its inputs, except responses (`receive`) and expired
//! resources (`expiry`).

use super::cluster_store::{ClusterStore, PendingUpdates};
use super::config::{Config, Node, Variant};
use super::event::{Input, Output};
use super::lease::Leases;
use super::message::Request;
use super::notice::SessionNotice;
use super::pacing::{Backoff, ReadPacer, to_nanos};
use super::timers::{Timer, Timers};
use super::type_subscription::TypeSubscription;
use crate::event::{EndpointUpdate, Event, Silence};
use crate::names::{ClusterName, Version};
use crate::xds::resource::Kind;
use envoy_types::pb::envoy::config::core::v3::node::UserAgentVersionType;
use envoy_types::pb::envoy::config::core::v3::{Locality, Node as ProtoNode};
use olivecart_decisions::Nanos;
use std::collections::BTreeSet;

/// A session with a control plane.
#[derive(Debug)]
pub struct Session {
    pub(super) config: Config,
    pub(super) now: Nanos,
    pub(super) connection: Connection,
    /// Whether the source was reported silent.
    pub(super) is_silent: bool,
    /// Whether clusters were ever received.
    pub(super) has_clusters: bool,
    /// Whether the last state of the world had no clusters and the previous ones are kept.
    pub(super) lists_no_clusters: bool,
    /// The number of consecutive failed connection attempts.
    pub(super) failures: u32,
    /// When the last response was received.
    pub(super) last_response_at: Nanos,
    pub(super) backoff: Backoff,
    pub(super) read_pacer: ReadPacer,
    pub(super) timers: Timers,
    pub(super) clusters: TypeSubscription,
    pub(super) assignments: TypeSubscription,
    pub(super) store: ClusterStore,
    pub(super) leases: Leases,
    /// The ignored fields that were logged.
    pub(super) ignored: BTreeSet<(Kind, &'static str)>,
    /// Service names whose endpoints are requested again after the subscription is updated.
    pub(super) resubscribe: BTreeSet<String>,
    /// Service names that are left for the second step of the verification on a resumed stream.
    pub(super) unverified: BTreeSet<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connection {
    Down,
    Connecting,
    Open,
}

impl Session {
    /// Returns a session that connects immediately.
    pub fn new(config: Config) -> Session {
        let mut timers = Timers::default();
        timers.set(Timer::Connect, 0);
        Session {
            now: 0,
            connection: Connection::Down,
            is_silent: false,
            has_clusters: false,
            lists_no_clusters: false,
            failures: 0,
            last_response_at: 0,
            backoff: Backoff::new(config.backoff_base, config.backoff_most, config.seed),
            read_pacer: ReadPacer::default(),
            timers,
            clusters: TypeSubscription::new(Kind::Cluster, config.variant),
            assignments: TypeSubscription::new(Kind::Assignment, config.variant),
            store: ClusterStore::default(),
            leases: Leases::default(),
            ignored: BTreeSet::new(),
            resubscribe: BTreeSet::new(),
            unverified: BTreeSet::new(),
            config,
        }
    }

    /// Handles an input and appends the resulting outputs. `now` is in nanoseconds of a monotonic clock with
    /// any origin; a time before the previous one is replaced by the previous one.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Connected => self.on_connected(out),
            Input::Lost { why } => self.on_lost(why, out),
            Input::Response(response) if self.connection == Connection::Open => {
                self.on_response(response, out)
            }
            Input::Response(_) => {} // from a closed stream
            Input::Refetch(cluster) => self.refetch(&cluster, out),
            Input::Tick => {}
        }
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.on_timer(timer, out);
        }
    }

    /// Returns when the next [`Input::Tick`] is due. The value may change with each input.
    pub fn deadline(&self) -> Option<Nanos> {
        self.timers.next_deadline()
    }

    /// Returns the earliest time at which the next response may be read, which may be in the past.
    pub fn next_read_at(&self) -> Nanos {
        self.read_pacer.next_read_at()
    }

    /// Returns the protocol variant.
    pub fn variant(&self) -> Variant {
        self.config.variant
    }

    /// Returns whether a stream is open.
    pub fn is_connected(&self) -> bool {
        self.connection == Connection::Open
    }

    /// Returns the clusters that wait for their endpoints, with the time waited in nanoseconds.
    pub fn waiting(&self) -> impl Iterator<Item = (&ClusterName, Nanos)> {
        self.store.waiting().map(|(name, _, since)| (name, self.now.saturating_sub(since)))
    }

    fn on_connected(&mut self, out: &mut Vec<Output>) {
        if self.connection != Connection::Connecting {
            return;
        }
        self.connection = Connection::Open;
        out.push(Output::Log(SessionNotice::Connected));
        let node = Some(proto_node(&self.config.node));
        let names = self.config.clusters.iter().map(|name| name.as_str().to_owned()).collect();
        out.push(send(self.clusters.open(names, node)));
        self.subscribe(out);
        self.timers.set(Timer::Settle, self.after(self.config.settled_after));
        if self.has_clusters {
            let wait = self.backoff.jitter(self.config.verify);
            self.timers.set(Timer::Verify, self.now.saturating_add(wait));
        } else {
            self.timers.set(Timer::FirstFetch, self.after(self.config.first_fetch));
        }
        self.leases.resume(self.now, &mut self.timers);
    }

    fn on_lost(&mut self, why: String, out: &mut Vec<Output>) {
        if self.connection == Connection::Down {
            return;
        }
        self.connection = Connection::Down;
        let rejection_timers = [Timer::Reject(Kind::Cluster), Timer::Reject(Kind::Assignment)];
        for timer in [Timer::Settle, Timer::Verify, Timer::FirstFetch].iter().chain(&rejection_timers) {
            self.timers.clear(timer);
        }
        self.unverified.clear();
        self.clusters.close();
        self.assignments.close();
        self.store.clear_early_assignments();
        self.leases.pause(&mut self.timers);
        let retry_in = self.backoff.next_wait(self.failures);
        self.failures = self.failures.saturating_add(1);
        self.timers.set(Timer::Connect, self.now.saturating_add(retry_in));
        out.push(Output::Log(SessionNotice::Lost { reason: why, retry_in }));
        self.report_silent(Silence::Lost, out);
    }

    /// Requests a cluster again for the catalog.
    ///
    /// Only endpoints can be requested again. A single cluster cannot, since all clusters are subscribed to
    /// together; while the stream is open, the last received cluster is current and is published again.
    fn refetch(&mut self, cluster: &ClusterName, out: &mut Vec<Output>) {
        if self.connection != Connection::Open {
            return;
        }
        if self.lists_no_clusters {
            self.publish(PendingUpdates::default(), out);
        } else if let Some(service) = self.store.service_of(cluster) {
            let resubscribe = self.assignments.resubscribe(&[service.to_owned()].into());
            out.extend(resubscribe.into_iter().map(send));
        } else {
            let mut pending = PendingUpdates::default();
            let version = self.clusters.version_of(cluster.as_str());
            self.store.resend_static(cluster, &version, &mut pending);
            self.publish(pending, out);
        }
    }

    fn on_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Connect => {
                self.connection = Connection::Connecting;
                out.push(Output::Connect);
            }
            Timer::Settle => self.report_reconnected(out),
            Timer::Verify => self.verify_assignments(out),
            Timer::FirstFetch => {
                out.push(Output::Log(SessionNotice::NoClusters {
                    waited: to_nanos(self.config.first_fetch),
                }));
                self.report_silent(Silence::Quiet, out);
            }
            Timer::Reject(kind) => {
                let request = self.subscription(kind).take_postponed_rejection();
                out.extend(request.map(send));
            }
            Timer::Warm(cluster) => {
                let Some(since) = self.store.warming_since(&cluster) else { return };
                let service = self.store.service_of(&cluster).unwrap_or_default().to_owned();
                let waited = self.now.saturating_sub(since);
                out.push(Output::Log(SessionNotice::NoEndpoints { cluster, service, waited }));
            }
            Timer::Expire(kind, name) => self.expire(kind, name, out),
        }
    }

    /// Requests the known endpoints again on a resumed stream.
    ///
    /// In the state of the world this is done in two halves, because it unsubscribes the names first, and
    /// some control planes send all resources if no name is left. The second half follows later, since a
    /// control plane may ignore a request that crosses a response.
    fn verify_assignments(&mut self, out: &mut Vec<Output>) {
        let mut names = std::mem::take(&mut self.unverified);
        if names.is_empty() {
            names = self.assignments.names().clone();
            let first_half = match self.config.variant {
                Variant::StateOfTheWorld => names.len().div_ceil(2),
                Variant::Incremental => names.len(),
            };
            let second_half_start = names.iter().nth(first_half).cloned();
            self.unverified = second_half_start.map(|start| names.split_off(&start)).unwrap_or_default();
            if !self.unverified.is_empty() {
                self.timers.set(Timer::Verify, self.after(self.config.settled_after));
            }
        }
        out.extend(self.assignments.resubscribe(&names).into_iter().map(send));
    }

    /// Subscribes to the endpoints of the known clusters.
    pub(super) fn subscribe(&mut self, out: &mut Vec<Output>) {
        let services = self.store.services();
        let request = if self.assignments.is_open {
            self.assignments.update_names(services)
        } else if services.is_empty() {
            // A first request without names would subscribe to all endpoints.
            None
        } else {
            Some(self.assignments.open(services, None))
        };
        out.extend(request.map(send));
    }

    /// Resets the failures and reports that the control plane responds again.
    pub(super) fn report_reconnected(&mut self, out: &mut Vec<Output>) {
        self.failures = 0;
        if std::mem::take(&mut self.is_silent) {
            out.push(Output::Notify(Event::Reconnected { source: self.config.source.clone() }));
        }
    }

    pub(super) fn report_silent(&mut self, silence: Silence, out: &mut Vec<Output>) {
        self.is_silent = true;
        out.push(Output::Notify(Event::Silent { source: self.config.source.clone(), silence }));
    }

    /// Publishes pending updates and sets the timers of the clusters.
    pub(super) fn publish(&mut self, pending: PendingUpdates, out: &mut Vec<Output>) {
        for name in pending.started_waiting {
            self.timers.set(Timer::Warm(name), self.after(self.config.warming));
        }
        for (cluster, since) in pending.stopped_waiting {
            self.timers.clear(&Timer::Warm(cluster.clone()));
            let waited = since.map(|since| self.now.saturating_sub(since));
            if let Some(waited) = waited.filter(|waited| *waited >= to_nanos(self.config.warming)) {
                out.push(Output::Log(SessionNotice::Warmed { cluster, waited }));
            }
        }
        let source = &self.config.source;
        let mut update = |version: Version, update| {
            out.push(Output::Notify(Event::Update { source: source.clone(), version, update }));
        };
        if !pending.removed.is_empty() {
            update(Version::new(&*self.clusters.version), EndpointUpdate::ClustersRemoved(pending.removed));
        }
        pending
            .deltas
            .into_iter()
            .for_each(|(version, deltas)| update(version, EndpointUpdate::ClusterDeltas(deltas)));
        pending
            .snapshots
            .into_iter()
            .for_each(|(version, snapshots)| update(version, EndpointUpdate::ClusterSnapshots(snapshots)));
        if self.lists_no_clusters {
            // Published last, since the other updates would count as a sign that the clusters are still
            // listed.
            update(Version::new(&*self.clusters.version), EndpointUpdate::FullSnapshot(Vec::new()));
        }
    }

    pub(super) fn subscription(&mut self, kind: Kind) -> &mut TypeSubscription {
        match kind {
            Kind::Cluster => &mut self.clusters,
            Kind::Assignment => &mut self.assignments,
        }
    }

    pub(super) fn after(&self, time: std::time::Duration) -> Nanos {
        self.now.saturating_add(to_nanos(time))
    }
}

pub(super) fn send(request: Request) -> Output {
    Output::Send(Box::new(request))
}

fn proto_node(node: &Node) -> ProtoNode {
    let Node { id, cluster, region, zone } = node.clone();
    let features = ["xds.config.supports-resource-ttl", "xds.config.supports-resource-in-sotw"];
    ProtoNode {
        id,
        cluster,
        locality: Some(Locality { region, zone, sub_zone: String::new() }),
        user_agent_name: "olivecart".to_owned(),
        user_agent_version_type: Some(UserAgentVersionType::UserAgentVersion(
            env!("CARGO_PKG_VERSION").to_owned(),
        )),
        client_features: features.map(str::to_owned).into(),
        ..ProtoNode::default()
    }
}
