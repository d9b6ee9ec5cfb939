//! The talk with a control plane over the aggregated stream, both variants, as a state machine without I/O.
//!
//! Clusters (CDS) are asked for all, endpoints (EDS) by the names that the clusters give. A cluster is told
//! when its endpoints have come. The rules, with what was weighed:
//!
//! - **Versions are opaque.** What the control plane sends counts, also if its version was there before or is
//!   smaller: a control plane that restarts begins again. A new stream tells which endpoints are held, so that
//!   only what differs is sent. What differs and has the same version by chance is not sent then; so all that
//!   is held is asked for once more a little later, each proxy at a time of its own.
//! - **A refusal** names resources and fields. Of an incremental response the good resources hold; a response
//!   of the state of the world is refused whole. After the first refusal in a row the next ones wait.
//! - **Clusters that are missing** from the state of the world are removed, as the protocol says; all at once
//!   are not: that is a control plane that has lost its own source. The catalog is told, and holds it until an
//!   explicit word. The incremental variant has that word.
//! - **Endpoints that are withdrawn** while their cluster stands, by removal or by their time to live, are
//!   told as a list of none, which the catalog takes for a mistake until it is confirmed.
//! - **A time to live** counts only while the control plane says something else meanwhile: its silence ages
//!   clusters and removes nothing.

mod channel;
mod config;
mod lease;
mod message;
mod note;
mod pace;
mod receive;
mod timers;
mod world;

pub use config::{Config, Node, Variant};
pub use message::{Request, Response};
pub use note::SessionNotice;

use crate::event::{EndpointUpdate, Event, Silence};
use crate::names::{ClusterName, Version};
use crate::xds::resource::Kind;
use channel::Channel;
use envoy_types::pb::envoy::config::core::v3::node::UserAgentVersionType;
use envoy_types::pb::envoy::config::core::v3::{Locality, Node as ProtoNode};
use lease::Leases;
use olivecart_decisions::Nanos;
use pace::{Backoff, Pace, nanos};
use std::collections::BTreeSet;
use timers::{Timer, Timers};
use world::{Telling, World};

/// What the conversation is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A stream is open: what is sent from now on goes over it.
    Connected,
    /// The stream has ended, or could not be opened.
    Lost {
        /// Why, for the log.
        why: String,
    },
    /// The control plane has spoken.
    Response(Response),
    /// The catalog wants to hear of a cluster again.
    Refetch(ClusterName),
    /// [`Session::deadline`] has come.
    Tick,
}

/// What the conversation says.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Open a stream, and say what came of it.
    Connect,
    /// Send this over the stream.
    Send(Box<Request>),
    /// Tell the catalog.
    Notify(Event),
    /// Write this into the log.
    Log(SessionNotice),
}

/// The talk with a control plane.
#[derive(Debug)]
pub struct Session {
    config: Config,
    now: Nanos,
    link: Link,
    /// The source was said to be silent.
    is_silent: bool,
    /// Clusters have come at some time.
    has_clusters: bool,
    /// The last state of the world had no clusters, and those of before are kept.
    is_none_left: bool,
    /// Attempts that failed in a row.
    failures: u32,
    /// When something last came.
    heard: Nanos,
    backoff: Backoff,
    pace: Pace,
    timers: Timers,
    clusters: Channel,
    assignments: Channel,
    world: World,
    leases: Leases,
    /// Fields that were said to be ignored.
    ignored: BTreeSet<(Kind, &'static str)>,
    /// Names whose endpoints are to be asked for again, once the names are agreed.
    again: BTreeSet<String>,
    /// Names whose endpoints are still to be verified on a resumed stream, once others are.
    unverified: BTreeSet<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Down,
    Connecting,
    Open,
}

impl Session {
    /// A conversation that wants to connect at once.
    pub fn new(config: Config) -> Session {
        let mut timers = Timers::default();
        timers.set(Timer::Connect, 0);
        Session {
            now: 0,
            link: Link::Down,
            is_silent: false,
            has_clusters: false,
            is_none_left: false,
            failures: 0,
            heard: 0,
            backoff: Backoff::new(config.backoff_base, config.backoff_most, config.seed),
            pace: Pace::default(),
            timers,
            clusters: Channel::new(Kind::Cluster, config.variant),
            assignments: Channel::new(Kind::Assignment, config.variant),
            world: World::default(),
            leases: Leases::default(),
            ignored: BTreeSet::new(),
            again: BTreeSet::new(),
            unverified: BTreeSet::new(),
            config,
        }
    }

    /// Takes in an input and puts out what follows. `now` is in nanoseconds of a monotonic clock of any
    /// origin; a time before the last one counts as the last one.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Connected => self.connected(out),
            Input::Lost { why } => self.lost(why, out),
            Input::Response(response) if self.link == Link::Open => self.response(response, out),
            Input::Response(_) => {} // of a stream that is gone
            Input::Refetch(cluster) => self.ask(&cluster, out),
            Input::Tick => {}
        }
        while let Some(timer) = self.timers.pop(self.now) {
            self.ring(timer, out);
        }
    }

    /// When [`Input::Tick`] is wanted next. Ask again after each input.
    pub fn deadline(&self) -> Option<Nanos> {
        self.timers.first()
    }

    /// When the next response may be read; in the past if at once.
    pub fn next_read_at(&self) -> Nanos {
        self.pace.next()
    }

    /// The variant that is spoken.
    pub fn variant(&self) -> Variant {
        self.config.variant
    }

    /// Whether a stream is open.
    pub fn is_connected(&self) -> bool {
        self.link == Link::Open
    }

    /// The clusters that wait for their endpoints, and for how many nanoseconds.
    pub fn waiting(&self) -> impl Iterator<Item = (&ClusterName, Nanos)> {
        self.world.waiting().map(|(name, _, since)| (name, self.now.saturating_sub(since)))
    }

    fn connected(&mut self, out: &mut Vec<Output>) {
        if self.link != Link::Connecting {
            return;
        }
        self.link = Link::Open;
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

    fn lost(&mut self, why: String, out: &mut Vec<Output>) {
        if self.link == Link::Down {
            return;
        }
        self.link = Link::Down;
        let refusals = [Timer::Refuse(Kind::Cluster), Timer::Refuse(Kind::Assignment)];
        for timer in [Timer::Settle, Timer::Verify, Timer::FirstFetch].iter().chain(&refusals) {
            self.timers.clear(timer);
        }
        self.unverified.clear();
        self.clusters.close();
        self.assignments.close();
        self.world.forget_early();
        self.leases.pause(&mut self.timers);
        let retry_in = self.backoff.wait(self.failures);
        self.failures = self.failures.saturating_add(1);
        self.timers.set(Timer::Connect, self.now.saturating_add(retry_in));
        out.push(Output::Log(SessionNotice::Lost { why, retry_in }));
        self.silent(Silence::Lost, out);
    }

    /// The catalog wants to hear of a cluster again.
    ///
    /// Of clusters there is no way to ask for one again: all are asked for together, and a stream that stands
    /// means that what was told last still holds. So that is said again.
    fn ask(&mut self, cluster: &ClusterName, out: &mut Vec<Output>) {
        if self.link != Link::Open {
            return;
        }
        if self.is_none_left {
            self.tell(Telling::default(), out);
        } else if let Some(service) = self.world.service_of(cluster) {
            let again = self.assignments.again(&[service.to_owned()].into());
            out.extend(again.into_iter().map(send));
        } else {
            let mut tell = Telling::default();
            let version = self.clusters.version_of(cluster.as_str());
            self.world.repeat(cluster, &version, &mut tell);
            self.tell(tell, out);
        }
    }

    fn ring(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Connect => {
                self.link = Link::Connecting;
                out.push(Output::Connect);
            }
            Timer::Settle => self.back(out),
            Timer::Verify => {
                // In halves: state of the world asks again by dropping names, and without any name some
                // control planes send all that they have. The second one later: to a request that crosses an
                // answer a control plane need not listen.
                let mut names = std::mem::take(&mut self.unverified);
                if names.is_empty() {
                    names = self.assignments.names().clone();
                    let at = match self.config.variant {
                        Variant::StateOfTheWorld => names.len().div_ceil(2),
                        Variant::Incremental => names.len(),
                    };
                    let middle = names.iter().nth(at).cloned();
                    self.unverified = middle.map(|middle| names.split_off(&middle)).unwrap_or_default();
                    if !self.unverified.is_empty() {
                        self.timers.set(Timer::Verify, self.after(self.config.settled_after));
                    }
                }
                out.extend(self.assignments.again(&names).into_iter().map(send));
            }
            Timer::FirstFetch => {
                out.push(Output::Log(SessionNotice::NoClusters { waited: nanos(self.config.first_fetch) }));
                self.silent(Silence::Quiet, out);
            }
            Timer::Refuse(kind) => {
                let answer = self.channel(kind).put_off();
                out.extend(answer.map(send));
            }
            Timer::Warm(cluster) => {
                let Some(since) = self.world.warming_since(&cluster) else { return };
                let service = self.world.service_of(&cluster).unwrap_or_default().to_owned();
                let waited = self.now.saturating_sub(since);
                out.push(Output::Log(SessionNotice::NoEndpoints { cluster, service, waited }));
            }
            Timer::Expire(kind, name) => self.expire(kind, name, out),
        }
    }

    /// Asks for the endpoints of the clusters that are known.
    fn subscribe(&mut self, out: &mut Vec<Output>) {
        let services = self.world.services();
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
    fn back(&mut self, out: &mut Vec<Output>) {
        self.failures = 0;
        if std::mem::take(&mut self.is_silent) {
            out.push(Output::Notify(Event::Reconnected { source: self.config.source.clone() }));
        }
    }

    fn silent(&mut self, silence: Silence, out: &mut Vec<Output>) {
        self.is_silent = true;
        out.push(Output::Notify(Event::Silent { source: self.config.source.clone(), silence }));
    }

    /// Passes on what is to be told, and sets the clusters' timers.
    fn tell(&mut self, tell: Telling, out: &mut Vec<Output>) {
        for name in tell.waiting {
            self.timers.set(Timer::Warm(name), self.after(self.config.warming));
        }
        for (cluster, since) in tell.over {
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
        if !tell.removed.is_empty() {
            update(Version::new(&*self.clusters.version), EndpointUpdate::ClustersRemoved(tell.removed));
        }
        tell.updates
            .into_iter()
            .for_each(|(version, updates)| update(version, EndpointUpdate::ClusterDeltas(updates)));
        tell.lists
            .into_iter()
            .for_each(|(version, lists)| update(version, EndpointUpdate::ClusterSnapshots(lists)));
        if self.is_none_left {
            // After all else, which would pass for a sign that the clusters are still listed.
            update(Version::new(&*self.clusters.version), EndpointUpdate::FullSnapshot(Vec::new()));
        }
    }

    fn channel(&mut self, kind: Kind) -> &mut Channel {
        match kind {
            Kind::Cluster => &mut self.clusters,
            Kind::Assignment => &mut self.assignments,
        }
    }

    fn after(&self, time: std::time::Duration) -> Nanos {
        self.now.saturating_add(nanos(time))
    }
}

fn send(request: Request) -> Output {
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
