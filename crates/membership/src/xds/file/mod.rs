//! Reads xDS resources from files in Envoy's JSON or YAML form: the `resources` as a control plane sends
//! them, or the `static_resources.clusters` of a bootstrap file.
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
//! The endpoints of an EDS cluster must be in the same file. If a file contains only endpoints, each
//! `ClusterLoadAssignment` becomes a cluster of that name. The last line of a YAML file must be the document
//! end mark `...`, since truncated YAML, even cut off in the middle of a port number, is often valid YAML.
//! The closing brace shows that a JSON file is complete.
//!
//! A file is accepted or rejected as a whole. Fields without effect are reported. A field whose name is
//! similar to a known one is an error.
//!
//! The files are not read with a serde crate for YAML, because such a crate reports the position of syntax
//! and type errors, but not of a value that has the right type and is invalid.

mod fields;
mod messages;
mod problem;
mod tree;

pub use problem::{Diagnostic, DiagnosticKind, Diagnostics};

use crate::endpoint::{Cluster, Endpoint, Endpoints};
use crate::xds::resource::{ClusterResource, InvalidResource, Kind, Origin, parse_assignment, parse_cluster};
use fields::FileParser;
use messages::type_url;
use std::collections::BTreeMap;
use tree::{Node, Position};

const WRAPPER_TYPE_URL: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";

/// The contents of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Resources {
    /// The clusters, sorted by name.
    pub clusters: Vec<Cluster>,
    /// The fields without effect, in file order.
    pub ignored: Vec<Diagnostic>,
}

/// Reads a file. `name` is the file name in diagnostics.
///
/// # Errors
/// Returns all problems in the file.
pub fn parse(name: &str, text: &str) -> Result<Resources, Diagnostics> {
    let mut parser = FileParser { file: name, problems: Vec::new(), ignored: Vec::new() };
    let mut parsed = ParsedFile::default();
    match Node::parse(text) {
        Ok(tree) => parser.read_top_level(&tree, &mut parsed),
        Err((position, kind)) => parser.add_problem(position, "", kind),
    }
    let clusters = parser.join_clusters(parsed);
    let FileParser { mut problems, mut ignored, .. } = parser;
    problems.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
    ignored.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
    if problems.is_empty() { Ok(Resources { clusters, ignored }) } else { Err(Diagnostics(problems)) }
}

/// A resource with its position in the file.
struct Located<T> {
    resource: T,
    field: String,
    position: Position,
}

enum ParsedResource {
    Cluster(ClusterResource),
    Endpoints(Vec<Endpoint>),
}

#[derive(Default)]
struct ParsedFile {
    clusters: BTreeMap<String, Located<ClusterResource>>,
    assignments: BTreeMap<String, Located<Vec<Endpoint>>>,
    /// A resource could not be read, so that apparently missing clusters or endpoints may be in it.
    is_partial: bool,
}

impl FileParser<'_> {
    fn read_top_level(&mut self, tree: &Node, parsed: &mut ParsedFile) {
        let known = ["resources", "static_resources", "version_info"];
        let Some(top) = self.fields(tree, "", &known) else { return };
        let mut items = self.list(&top, "resources");
        let bootstrap = self.message_field(&top, "static_resources", &["clusters"]);
        let clusters = bootstrap.map(|fields| self.list(&fields, "clusters")).unwrap_or_default();
        if items.is_empty() && clusters.is_empty() {
            return self.add_problem(tree.position, "", DiagnosticKind::NoResources);
        }
        for (field, node) in clusters {
            self.read_resource(Kind::Cluster, node, &field, parsed);
        }
        for (field, node) in items.drain(..) {
            self.read_typed_resource(node, &field, parsed);
        }
    }

    /// Reads a resource with a type URL, either bare or in the wrapper that control planes use.
    fn read_typed_resource(&mut self, node: &Node, field: &str, parsed: &mut ParsedFile) {
        let type_url = type_url(node).unwrap_or_default();
        if type_url == WRAPPER_TYPE_URL {
            let Some(wrapper) = self.fields(node, field, &["@type", "name", "version", "ttl", "resource"])
            else {
                return;
            };
            return match wrapper.get("resource") {
                Some(inner) => self.read_typed_resource(inner, &wrapper.path_of("resource"), parsed),
                None => self.add_problem(node.position, field, DiagnosticKind::NoResources),
            };
        }
        match Kind::from_type_url(&type_url) {
            Some(kind) => self.read_resource(kind, node, field, parsed),
            None => self.add_problem(node.position, field, DiagnosticKind::UnsupportedType(type_url)),
        }
    }

    fn read_resource(&mut self, kind: Kind, node: &Node, field: &str, parsed: &mut ParsedFile) {
        let (position, problems_before) = (node.position, self.problems.len());
        let result = match kind {
            Kind::Cluster => self.cluster(node, field).map(|message| {
                let resource = parse_cluster(&message)?;
                Ok((resource.name.as_str().to_owned(), ParsedResource::Cluster(resource)))
            }),
            Kind::Assignment => self.assignment(node, field).map(|message| {
                let list = parse_assignment(&message)?;
                Ok((list.name, ParsedResource::Endpoints(list.endpoints)))
            }),
        };
        match result {
            // Values that could not be read are missing in the message and would be reported a second time.
            _ if self.problems.len() > problems_before => parsed.is_partial = true,
            Some(Ok((name, ParsedResource::Cluster(resource)))) => {
                self.insert_unique(&mut parsed.clusters, name, resource, (position, field));
            }
            Some(Ok((name, ParsedResource::Endpoints(list)))) => {
                self.insert_unique(&mut parsed.assignments, name, list, (position, field));
            }
            Some(Err(invalid)) => {
                parsed.is_partial = true;
                self.report_invalid(node, field, invalid);
            }
            None => parsed.is_partial = true,
        }
    }

    /// Reports the errors in a resource at their positions in the file.
    fn report_invalid(&mut self, node: &Node, field: &str, invalid: InvalidResource) {
        for error in invalid.fields {
            let position = node.find(&error.field).position;
            self.add_problem(
                position,
                &fields::field_path(field, &error.field),
                DiagnosticKind::Resource(error.problem),
            );
        }
    }

    fn insert_unique<T>(
        &mut self,
        into: &mut BTreeMap<String, Located<T>>,
        name: String,
        resource: T,
        (position, field): (Position, &str),
    ) {
        let located = Located { resource, field: field.to_owned(), position };
        if let Some(old) = into.insert(name.clone(), located) {
            self.add_problem(
                position,
                field,
                DiagnosticKind::DuplicateResource { name, line: old.position.line },
            );
        }
    }

    /// Joins the clusters with their endpoints.
    fn join_clusters(&mut self, parsed: ParsedFile) -> Vec<Cluster> {
        let ParsedFile { clusters: cluster_resources, assignments, is_partial } = parsed;
        if cluster_resources.is_empty() {
            let endpoint_only =
                assignments.into_iter().map(|(name, Located { resource, field, position })| {
                    self.check_endpoints(&resource, position, &field);
                    Cluster::new(name.as_str(), resource)
                });
            return endpoint_only.collect();
        }
        let mut clusters = Vec::new();
        let mut unused: BTreeMap<&String, &Located<Vec<Endpoint>>> = assignments.iter().collect();
        for Located { resource: ClusterResource { name, settings, origin, .. }, field, position } in
            cluster_resources.into_values()
        {
            let endpoints = match origin {
                Origin::Static(endpoints) => endpoints,
                Origin::Discovery { service } => match assignments.get(&service) {
                    Some(list) => {
                        unused.remove(&service);
                        list.resource.clone()
                    }
                    None => {
                        if !is_partial {
                            self.add_problem(position, &field, DiagnosticKind::NoEndpoints(service));
                        }
                        continue;
                    }
                },
            };
            self.check_endpoints(&endpoints, position, &field);
            clusters.push(Cluster { name, endpoints: Endpoints::Listed(endpoints), settings });
        }
        for (name, list) in unused.into_iter().filter(|_| !is_partial) {
            self.add_problem(list.position, &list.field, DiagnosticKind::NoCluster(name.clone()));
        }
        clusters
    }

    /// Reports endpoint lists that the catalog would quarantine.
    fn check_endpoints(&mut self, endpoints: &[Endpoint], position: Position, field: &str) {
        let ready = || endpoints.iter().filter(|e| e.state == crate::endpoint::State::Ready);
        if endpoints.is_empty() {
            self.add_problem(position, field, DiagnosticKind::EmptyList);
        } else if ready().next().is_some() && !ready().any(|e| e.weight > 0.0) {
            self.add_problem(position, field, DiagnosticKind::AllWeightsZero);
        }
    }
}
