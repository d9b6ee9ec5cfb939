//! A session with its catalog in virtual time, which prints the outputs of the session as short lines.

use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryResponse, DiscoveryResponse, Resource};
use envoy_types::pb::google::protobuf::{Any, Duration as ProtoDuration};
use envoy_types::util::pack_any;
use olivecart_lab::control_plane::{eds_cluster, endpoints};
use olivecart_membership::xds::resource::Kind;
use olivecart_membership::xds::session::{
    Config, Input, Node, Output, Request, Response, Session, SessionNotice, Variant,
};
use olivecart_membership::{Catalog, EndpointUpdate, Event, Nanos, Policy};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const MS: Nanos = 1_000_000;
pub use Variant::{Incremental, StateOfTheWorld};

pub struct SessionHarness {
    pub session: Session,
    pub catalog: Catalog,
    pub now: Nanos,
    pub requests: Vec<Request>,
    nonce: u64,
}

/// Returns the address of an endpoint, made from the last byte of its id.
pub fn address_of(id: &str) -> SocketAddr {
    ([10, 0, 0, id.bytes().last().unwrap_or(0)], 80).into()
}

pub fn assignment(name: &str, ids: &[&str]) -> ClusterLoadAssignment {
    endpoints(name, &ids.iter().map(|id| (*id, address_of(id))).collect::<Vec<_>>())
}

pub fn cluster(name: &str) -> Any {
    pack_any(eds_cluster(name))
}

pub fn static_cluster(name: &str, ids: &[&str]) -> Any {
    let load_assignment = Some(assignment(name, ids));
    pack_any(Cluster { name: name.into(), load_assignment, ..Cluster::default() })
}

pub fn eds(name: &str, ids: &[&str]) -> Any {
    pack_any(assignment(name, ids))
}

/// Returns a STATIC cluster without endpoints, which is refused.
pub fn invalid_cluster(name: &str) -> Any {
    let load_assignment = None;
    pack_any(Cluster { name: name.into(), load_assignment, ..Cluster::default() })
}

pub fn resource(name: &str, version: &str, resource: impl Into<Option<Any>>) -> Resource {
    let (name, version, resource) = (name.into(), version.into(), resource.into());
    Resource { name, version, resource, ..Resource::default() }
}

pub fn with_ttl(ms: Nanos, resource: Resource) -> Resource {
    let ttl = ProtoDuration { seconds: (ms / 1000) as i64, nanos: (ms % 1000 * MS) as i32 };
    Resource { ttl: Some(ttl), ..resource }
}

pub fn config(variant: Variant) -> Config {
    let node = Node { id: "proxy-1".into(), cluster: "fleet".into(), ..Node::default() };
    Config { variant, ..Config::new("xds".into(), node) }
}

impl SessionHarness {
    pub fn new(config: Config) -> SessionHarness {
        let catalog = Catalog::new(Policy::default(), ["xds".into()]).expect("default policy is valid");
        let session = Session::new(config);
        SessionHarness { session, catalog, now: 0, requests: Vec::new(), nonce: 0 }
    }

    /// Returns a session whose first stream is open.
    pub fn open(variant: Variant) -> SessionHarness {
        let mut harness = SessionHarness::new(config(variant));
        assert_eq!(harness.handle(Input::Tick), ["connect"]);
        harness.handle(Input::Connected);
        harness
    }

    /// Returns a session whose catalog serves cluster `cart` with these endpoints.
    pub fn serving(variant: Variant, ids: &[&str]) -> SessionHarness {
        let mut harness = SessionHarness::open(variant);
        harness.send_response(Kind::Cluster, "1", vec![resource("cart", "1", cluster("cart"))], &[]);
        harness.send_response(Kind::Assignment, "1", vec![resource("cart", "1", eds("cart", ids))], &[]);
        assert_eq!(harness.served_endpoints(), format!("cart: {}", ids.join(" ")));
        harness
    }

    pub fn handle(&mut self, input: Input) -> Vec<String> {
        let mut out = Vec::new();
        self.session.handle(self.now, input, &mut out);
        for output in &out {
            match output {
                Output::Notify(event) => self.catalog.handle(self.now, event.clone(), &mut Vec::new()),
                Output::Send(request) => self.requests.push(Request::clone(request)),
                Output::Connect | Output::Log(_) => {}
            }
        }
        out.iter().map(output_line).collect()
    }

    /// Sends a response with a new nonce. In the state of the world, only resources with a time to live are
    /// wrapped.
    pub fn send_response(
        &mut self,
        kind: Kind,
        version: &str,
        resources: Vec<Resource>,
        removed: &[&str],
    ) -> Vec<String> {
        self.nonce += 1;
        let nonce = format!("n{}", self.nonce);
        self.send_response_with_nonce(&nonce, kind, version, resources, removed)
    }

    pub fn send_response_with_nonce(
        &mut self,
        nonce: &str,
        kind: Kind,
        version: &str,
        resources: Vec<Resource>,
        removed: &[&str],
    ) -> Vec<String> {
        let (type_url, nonce) = (kind.type_url().to_owned(), nonce.to_owned());
        let bare = |resource: Resource| match resource {
            Resource { ttl: None, resource: Some(any), .. } => any,
            wrapped => pack_any(wrapped),
        };
        self.handle(Input::Response(match self.session.variant() {
            StateOfTheWorld => Response::World(DiscoveryResponse {
                version_info: version.to_owned(),
                resources: resources.into_iter().map(bare).collect(),
                type_url,
                nonce,
                ..DiscoveryResponse::default()
            }),
            Incremental => Response::Delta(DeltaDiscoveryResponse {
                system_version_info: version.to_owned(),
                resources,
                removed_resources: removed.iter().map(|name| (*name).to_owned()).collect(),
                type_url,
                nonce,
                ..DeltaDiscoveryResponse::default()
            }),
        }))
    }

    /// Advances the time and fires all due timers.
    pub fn wait(&mut self, ms: Nanos) -> Vec<String> {
        let (end, mut lines) = (self.now + ms * MS, Vec::new());
        while let Some(at) = self.session.deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            lines.extend(self.handle(Input::Tick));
        }
        self.now = end;
        self.catalog.handle(end, Event::Tick, &mut Vec::new());
        lines
    }

    /// Loses the stream and opens the next one.
    pub fn reconnect(&mut self) -> Vec<String> {
        self.handle(Input::Lost { why: "reset".into() });
        let lines = self.wait(30_000);
        assert!(lines.iter().any(|line| line == "connect"), "{lines:?}");
        self.handle(Input::Connected)
    }

    /// Returns the clusters in the catalog with their endpoints.
    pub fn served_endpoints(&self) -> String {
        let cluster = |served: olivecart_membership::Served| {
            let ids: Vec<String> = served.endpoints().map(|e| e.name.to_string()).collect();
            format!("{}: {}", served.name, ids.join(" "))
        };
        self.catalog.clusters().map(cluster).collect::<Vec<_>>().join(", ")
    }

    /// Returns whether the catalog quarantines an update that needs explicit confirmation.
    pub fn needs_explicit_confirmation(&self) -> bool {
        let views = self.catalog.view();
        views.iter().any(|view| {
            view.subscriptions.iter().any(|subscription| {
                subscription
                    .quarantine
                    .as_ref()
                    .is_some_and(|quarantine| quarantine.needs_explicit_confirmation)
            })
        })
    }
}

pub fn output_line(output: &Output) -> String {
    match output {
        Output::Connect => "connect".into(),
        Output::Send(request) => format!("send {}", request_line(request)),
        Output::Notify(event) => format!("notify {}", event_line(event)),
        Output::Log(SessionNotice::Rejected { .. }) => "log rejected".into(),
        Output::Log(notice) => format!("log {notice}"),
    }
}

fn type_name(type_url: &str) -> String {
    Kind::from_type_url(type_url).map_or_else(|| type_url.to_owned(), |kind| kind.to_string())
}

/// Formats a request as `CDS v=1 n=n1 [names]` or `EDS n=n1 +[subscribe] -[unsubscribe] {cart=1}`, followed
/// by ` node=...` and by `!reason` for a rejection.
pub fn request_line(request: &Request) -> String {
    let (mut line, node, error) = match request {
        Request::World(r) => {
            let (kind, names) = (type_name(&r.type_url), r.resource_names.join(" "));
            (
                format!("{kind} v={} n={} [{names}]", r.version_info, r.response_nonce),
                &r.node,
                &r.error_detail,
            )
        }
        Request::Delta(r) => {
            let (on, off) = (r.resource_names_subscribe.join(" "), r.resource_names_unsubscribe.join(" "));
            let initial: BTreeMap<_, _> = r.initial_resource_versions.iter().collect();
            let initial: Vec<String> = initial.into_iter().map(|(n, v)| format!("{n}={v}")).collect();
            let (kind, initial) = (type_name(&r.type_url), initial.join(" "));
            let line = format!("{kind} n={} +[{on}] -[{off}] {{{initial}}}", r.response_nonce);
            (line, &r.node, &r.error_detail)
        }
    };
    if let Some(node) = node {
        line = format!("{line} node={}", node.id);
    }
    if let Some(error) = error {
        line = format!("{line} !{}", error.message);
    }
    line
}

fn event_line(event: &Event) -> String {
    match event {
        Event::Update { version, update, .. } => {
            let what = match update {
                EndpointUpdate::FullSnapshot(all) => format!("all {}", all.len()),
                EndpointUpdate::ClusterSnapshots(lists) => {
                    let list =
                        |c: &olivecart_membership::Cluster| format!("{}({})", c.name, c.listed().len());
                    lists.iter().map(list).collect::<Vec<_>>().join(" ")
                }
                EndpointUpdate::ClusterDeltas(updates) => {
                    let names: Vec<String> = updates.iter().map(|u| u.cluster.to_string()).collect();
                    format!("settings {}", names.join(" "))
                }
                EndpointUpdate::ClustersRemoved(names) => {
                    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
                    format!("removed {}", names.join(" "))
                }
            };
            format!("{version} {what}")
        }
        Event::Silent { silence, .. } => format!("{silence}"),
        Event::Reconnected { .. } => "reconnected".into(),
        other => format!("{other:?}"),
    }
}
