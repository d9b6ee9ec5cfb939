//! The resources of xDS in a file, in Envoy's JSON or YAML form: the `resources` that a control plane would
//! send, or the `static_resources.clusters` of a bootstrap file.
//!
//! ```yaml
//! resources:
//! - "@type": type.googleapis.com/envoy.config.cluster.v3.Cluster
//!   name: cart
//!   type: EDS
//!   connect_timeout: 0.25s
//! - "@type": type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment
//!   cluster_name: cart
//!   endpoints:
//!   - locality: { zone: a }
//!     lb_endpoints:
//!     - endpoint: { address: { socket_address: { address: 10.0.0.1, port_value: 8080 } } }
//! ...
//! ```
//!
//! A cluster of type EDS has its endpoints in the same file. A file that holds endpoints alone is read as
//! clusters of the names that those give. YAML ends with `...` as its last line, the end mark of a document:
//! YAML that is torn off, even in the middle of a port, is often shorter YAML, and nothing else tells it from
//! a whole one. JSON tells by its closing brace.
//!
//! A file is good as a whole or not at all. Fields that do nothing here are reported; one that is nearly the
//! name of a known one is an error.
//!
//! Weighed against a serde crate for YAML: those tell the place of a syntax error, and of a value of a wrong
//! type, but not where a value stands that is read well and cannot be used.

mod fields;
mod messages;
mod problem;
mod tree;

pub use problem::{Diagnostic, DiagnosticKind, Diagnostics};

use crate::endpoint::{Cluster, Endpoint, Endpoints};
use crate::xds::resource::{ClusterResource, InvalidResource, Kind, Origin, parse_assignment, parse_cluster};
use fields::Reader;
use messages::type_of;
use std::collections::BTreeMap;
use tree::{Node, Place};

const WRAPPER: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";

/// What a file holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Resources {
    /// The clusters, by name.
    pub clusters: Vec<Cluster>,
    /// Fields that are there and do nothing, in the order of the text.
    pub ignored: Vec<Diagnostic>,
}

/// Reads a file. `name` is what diagnostics call it.
///
/// # Errors
/// All that is wrong with it.
pub fn parse(name: &str, text: &str) -> Result<Resources, Diagnostics> {
    let mut reader = Reader { file: name, problems: Vec::new(), ignored: Vec::new() };
    let mut found = Found::default();
    match Node::read(text) {
        Ok(tree) => reader.top(&tree, &mut found),
        Err((place, kind)) => reader.problem(place, "", kind),
    }
    let clusters = reader.join(found);
    let Reader { mut problems, mut ignored, .. } = reader;
    problems.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
    ignored.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
    if problems.is_empty() { Ok(Resources { clusters, ignored }) } else { Err(Diagnostics(problems)) }
}

/// A resource, and where it is.
struct Placed<T> {
    resource: T,
    field: String,
    place: Place,
}

enum Either {
    Cluster(ClusterResource),
    List(Vec<Endpoint>),
}

#[derive(Default)]
struct Found {
    clusters: BTreeMap<String, Placed<ClusterResource>>,
    lists: BTreeMap<String, Placed<Vec<Endpoint>>>,
    /// Some resource could not be read, so that what is missing may be in it.
    is_partial: bool,
}

impl Reader<'_> {
    fn top(&mut self, tree: &Node, found: &mut Found) {
        let known = ["resources", "static_resources", "version_info"];
        let Some(top) = self.fields(tree, "", &known) else { return };
        let mut items = self.list(&top, "resources");
        let bare = self.inner(&top, "static_resources", &["clusters"]);
        let clusters = bare.map(|fields| self.list(&fields, "clusters")).unwrap_or_default();
        if items.is_empty() && clusters.is_empty() {
            return self.problem(tree.place, "", DiagnosticKind::Nothing);
        }
        for (field, node) in clusters {
            self.take(Kind::Cluster, node, &field, found);
        }
        for (field, node) in items.drain(..) {
            self.typed(node, &field, found);
        }
    }

    /// A resource that says its type, perhaps in the wrapper that control planes use.
    fn typed(&mut self, node: &Node, field: &str, found: &mut Found) {
        let type_url = type_of(node).unwrap_or_default();
        if type_url == WRAPPER {
            let Some(wrapper) = self.fields(node, field, &["@type", "name", "version", "ttl", "resource"])
            else {
                return;
            };
            return match wrapper.get("resource") {
                Some(inner) => self.typed(inner, &wrapper.below("resource"), found),
                None => self.problem(node.place, field, DiagnosticKind::Nothing),
            };
        }
        match Kind::from_type_url(&type_url) {
            Some(kind) => self.take(kind, node, field, found),
            None => self.problem(node.place, field, DiagnosticKind::Type(type_url)),
        }
    }

    fn take(&mut self, kind: Kind, node: &Node, field: &str, found: &mut Found) {
        let (place, before) = (node.place, self.problems.len());
        let result = match kind {
            Kind::Cluster => self.cluster(node, field).map(|message| {
                let resource = parse_cluster(&message)?;
                Ok((resource.name.as_str().to_owned(), Either::Cluster(resource)))
            }),
            Kind::Assignment => self.assignment(node, field).map(|message| {
                let list = parse_assignment(&message)?;
                Ok((list.name, Either::List(list.endpoints)))
            }),
        };
        match result {
            // What could not be read is missing from the message, and would be told twice.
            _ if self.problems.len() > before => found.is_partial = true,
            Some(Ok((name, Either::Cluster(resource)))) => {
                self.insert(&mut found.clusters, name, resource, (place, field));
            }
            Some(Ok((name, Either::List(list)))) => {
                self.insert(&mut found.lists, name, list, (place, field));
            }
            Some(Err(bad)) => {
                found.is_partial = true;
                self.bad(node, field, bad);
            }
            None => found.is_partial = true,
        }
    }

    /// Takes the faults of a resource back to their places.
    fn bad(&mut self, node: &Node, field: &str, bad: InvalidResource) {
        for fault in bad.fields {
            let place = node.find(&fault.field).place;
            self.problem(place, &fields::below(field, &fault.field), DiagnosticKind::Resource(fault.problem));
        }
    }

    fn insert<T>(
        &mut self,
        into: &mut BTreeMap<String, Placed<T>>,
        name: String,
        resource: T,
        (place, field): (Place, &str),
    ) {
        let placed = Placed { resource, field: field.to_owned(), place };
        if let Some(old) = into.insert(name.clone(), placed) {
            self.problem(place, field, DiagnosticKind::Twice { name, line: old.place.line });
        }
    }

    /// Gives the clusters their endpoints.
    fn join(&mut self, found: Found) -> Vec<Cluster> {
        let Found { clusters: described, lists, is_partial } = found;
        if described.is_empty() {
            let alone = lists.into_iter().map(|(name, Placed { resource, field, place })| {
                self.check_list(&resource, place, &field);
                Cluster::new(name.as_str(), resource)
            });
            return alone.collect();
        }
        let mut clusters = Vec::new();
        let mut unused: BTreeMap<&String, &Placed<Vec<Endpoint>>> = lists.iter().collect();
        for Placed { resource: ClusterResource { name, settings, origin, .. }, field, place } in
            described.into_values()
        {
            let endpoints = match origin {
                Origin::Static(endpoints) => endpoints,
                Origin::Discovery { service } => match lists.get(&service) {
                    Some(list) => {
                        unused.remove(&service);
                        list.resource.clone()
                    }
                    None => {
                        if !is_partial {
                            self.problem(place, &field, DiagnosticKind::NoEndpoints(service));
                        }
                        continue;
                    }
                },
            };
            self.check_list(&endpoints, place, &field);
            clusters.push(Cluster { name, endpoints: Endpoints::Listed(endpoints), settings });
        }
        for (name, list) in unused.into_iter().filter(|_| !is_partial) {
            self.problem(list.place, &list.field, DiagnosticKind::NoCluster(name.clone()));
        }
        clusters
    }

    /// What the catalog would hold back, an operator is better told here.
    fn check_list(&mut self, endpoints: &[Endpoint], place: Place, field: &str) {
        let ready = || endpoints.iter().filter(|e| e.state == crate::endpoint::State::Ready);
        if endpoints.is_empty() {
            self.problem(place, field, DiagnosticKind::EmptyList);
        } else if ready().next().is_some() && !ready().any(|e| e.weight > 0.0) {
            self.problem(place, field, DiagnosticKind::AllWeightsZero);
        }
    }
}
