//! The session's state, and what follows from each input but responses (`receive`) and times to live (`lease`).

use super::cluster_store::{ClusterStore, PendingUpdates};
use super::config::{Config, Node, Variant};
use super::event::{Input, Output};
use super::lease::Leases;
use super::message::Request;
use super::notice::SessionNotice;
use super::pacing::{Backoff, ReadPacer, nanos};
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
    /// The source was said to be silent.
    pub(super) is_silent: bool,
    /// Clusters have come at some time.
    pub(super) has_clusters: bool,
    /// The last state of the world had no clusters, and those of before are kept.
    pub(super) lists_no_clusters: bool,
    /// Attempts that failed in a row.
    pub(super) failures: u32,
    /// When something last came.
    pub(super) last_response_at: Nanos,
    pub(super) backoff: Backoff,
    pub(super) read_pacer: ReadPacer,
    pub(super) timers: Timers,
    pub(super) clusters: TypeSubscription,
    pub(super) assignments: TypeSubscription,
    pub(super) store: ClusterStore,
    pub(super) leases: Leases,
    /// Fields that were said to be ignored.
    pub(super) ignored: BTreeSet<(Kind, &'static str)>,
    /// Names whose endpoints are to be asked for again, once the names are agreed.
    pub(super) resubscribe: BTreeSet<String>,
    /// Names whose endpoints are still to be verified on a resumed stream, once others are.
    pub(super) unverified: BTreeSet<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connection {
    Down,
    Connecting,
    Open,
}

impl Session {
    /// A session that wants to connect at once.
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

    /// Takes in an input and puts out what follows. `now` is in nanoseconds of a monotonic clock of any
    /// origin; a time before the last one counts as the last one.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Connected => self.on_connected(out),
            Input::Lost { why } => self.on_lost(why, out),
            Input::Response(response) if self.connection == Connection::Open => {
                self.on_response(response, out)
            }
            Input::Response(_) => {} // of a stream that is gone
            Input::Refetch(cluster) => self.refetch(&cluster, out),
            Input::Tick => {}
        }
        while let Some(timer) = self.timers.pop(self.now) {
            self.on_timer(timer, out);
        }
    }

    /// When [`Input::Tick`] is wanted next. Ask again after each input.
    pub fn deadline(&self) -> Option<Nanos> {
        self.timers.first()
    }

    /// When the next response may be read; in the past if at once.
    pub fn next_read_at(&self) -> Nanos {
        self.read_pacer.next()
    }

    /// The variant that is spoken.
    pub fn variant(&self) -> Variant {
        self.config.variant
    }

    /// Whether a stream is open.
    pub fn is_connected(&self) -> bool {
        self.connection == Connection::Open
    }

    /// The clusters that wait for their endpoints, and for how many nanoseconds.
    pub fn waiting(&self) -> impl Iterator<Item = (&ClusterName, Nanos)> {
        self.store.waiting().map(|(name, _, since)| (name, self.now.saturating_sub(since)))
    }

    fn on_connected(&mut self, out: &mut Vec<Output>) {
        if self.connection != Connection::Connecting {
            return;
        }
        self.connection = Connection::Open;
        out.push(Output::Log(SessionNotice::Connected));
        let node = Some(node(&self.config.node));
        let wanted = self.config.clusters.iter().map(|name| name.as_str().to_owned()).collect();
        out.push(send(self.clusters.open(wanted, node)));
        self.subscribe(out);
        self.timers.set(Timer::Settle, self.after(self.config.settled_after));
        if self.has_clusters {
            let wait = self.backoff.spread(self.config.verify);
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
        let consecutive_rejections = [Timer::Reject(Kind::Cluster), Timer::Reject(Kind::Assignment)];
        for timer in [Timer::Settle, Timer::Verify, Timer::FirstFetch].iter().chain(&consecutive_rejections) {
            self.timers.clear(timer);
        }
        self.unverified.clear();
        self.clusters.close();
        self.assignments.close();
        self.store.clear_early_assignments();
        self.leases.pause(&mut self.timers);
        let retry_in = self.backoff.wait(self.failures);
        self.failures = self.failures.saturating_add(1);
        self.timers.set(Timer::Connect, self.now.saturating_add(retry_in));
        out.push(Output::Log(SessionNotice::Lost { why, retry_in }));
        self.report_silent(Silence::Lost, out);
    }

    /// The catalog wants a cluster once more.
    ///
    /// Of clusters there is no way to ask for one again: all are asked for together, and a stream that stands
    /// means that what was told last still holds. So that is said again.
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
            self.store.repeat_static(cluster, &version, &mut pending);
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
                out.push(Output::Log(SessionNotice::NoClusters { waited: nanos(self.config.first_fetch) }));
                self.report_silent(Silence::Quiet, out);
            }
            Timer::Reject(kind) => {
                let answer = self.subscription(kind).take_postponed();
                out.extend(answer.map(send));
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

    /// Asks once more for the endpoints that a resumed stream did not bring anew.
    ///
    /// In halves: state of the world asks again by dropping names, and without any name some control planes send
    /// all that they have. The second one later: to a request that crosses an answer a control plane need not
    /// listen.
    fn verify_assignments(&mut self, out: &mut Vec<Output>) {
        let mut names = std::mem::take(&mut self.unverified);
        if names.is_empty() {
            names = self.assignments.names().clone();
            let first_half = match self.config.variant {
                Variant::StateOfTheWorld => names.len().div_ceil(2),
                Variant::Incremental => names.len(),
            };
            let middle = names.iter().nth(first_half).cloned();
            self.unverified = middle.map(|middle| names.split_off(&middle)).unwrap_or_default();
            if !self.unverified.is_empty() {
                self.timers.set(Timer::Verify, self.after(self.config.settled_after));
            }
        }
        out.extend(self.assignments.resubscribe(&names).into_iter().map(send));
    }

    /// Asks for the endpoints of the clusters that are known.
    pub(super) fn subscribe(&mut self, out: &mut Vec<Output>) {
        let services = self.store.services();
        let request = if self.assignments.is_open {
            self.assignments.rename(services)
        } else if services.is_empty() {
            // Danger: a first request without names asks for all there are.
            None
        } else {
            Some(self.assignments.open(services, None))
        };
        out.extend(request.map(send));
    }

    /// The control plane is in touch.
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

    /// Passes on pending updates, and sets the clusters' timers.
    pub(super) fn publish(&mut self, pending: PendingUpdates, out: &mut Vec<Output>) {
        for name in pending.waiting {
            self.timers.set(Timer::Warm(name), self.after(self.config.warming));
        }
        for (cluster, since) in pending.stopped_waiting {
            self.timers.clear(&Timer::Warm(cluster.clone()));
            let waited = since.map(|since| self.now.saturating_sub(since));
            if let Some(waited) = waited.filter(|waited| *waited >= nanos(self.config.warming)) {
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
            // After all else, which would pass for a sign that the clusters are still listed.
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
        self.now.saturating_add(nanos(time))
    }
}

pub(super) fn send(request: Request) -> Output {
    Output::Send(Box::new(request))
}

fn node(node: &Node) -> ProtoNode {
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
