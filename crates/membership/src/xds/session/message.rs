//! Responses of both variants as one thing.

use crate::xds::resource::{
    Assignment, ClusterResource, InvalidResource, Kind, Problem, parse_assignment, parse_cluster,
    to_std_duration,
};
use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
    ResourceError,
};
use envoy_types::pb::google::protobuf::Any;
use prost::Message;
use std::collections::BTreeSet;
use std::time::Duration;

/// A response of the control plane.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// State of the world.
    World(DiscoveryResponse),
    /// Incremental.
    Delta(DeltaDiscoveryResponse),
}

impl Response {
    /// Bytes of its resources.
    pub(super) fn size(&self) -> usize {
        match self {
            Response::World(r) => r.resources.iter().map(|any| any.value.len()).sum(),
            Response::Delta(r) => {
                let size = |resource: &Resource| resource.resource.as_ref().map_or(0, |any| any.value.len());
                r.resources.iter().map(size).sum()
            }
        }
    }
}

/// A request to the control plane.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// State of the world.
    World(DiscoveryRequest),
    /// Incremental.
    Delta(DeltaDiscoveryRequest),
}

const WRAPPER: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";

/// A response, whatever its variant.
pub(super) struct ResponseBatch {
    pub type_url: String,
    pub version: String,
    pub nonce: String,
    pub removed: Vec<String>,
    pub errors: Vec<ResourceError>,
    items: Vec<RawResource>,
}

struct RawResource {
    /// In its wrapper; empty if there is none.
    name: String,
    version: String,
    ttl: Option<Duration>,
    body: Option<Any>,
    /// The wrapper could not be read.
    fault: Option<String>,
}

/// A resource that can be used.
pub(super) struct ReceivedResource {
    pub name: String,
    pub version: String,
    pub ttl: Option<Duration>,
    pub what: ResourceContent,
}

pub(super) enum ResourceContent {
    /// It is as it was.
    Heartbeat,
    Cluster(ClusterResource),
    Assignment(Assignment),
}

impl From<Response> for ResponseBatch {
    fn from(response: Response) -> ResponseBatch {
        match response {
            Response::World(all) => {
                let DiscoveryResponse { version_info, resources, type_url, nonce, resource_errors, .. } = all;
                let items =
                    resources.into_iter().map(|any| RawResource::unwrap(any, &version_info)).collect();
                let removed = Vec::new();
                ResponseBatch {
                    type_url,
                    version: version_info,
                    nonce,
                    removed,
                    errors: resource_errors,
                    items,
                }
            }
            Response::Delta(delta) => {
                let items = delta.resources.into_iter().map(RawResource::from).collect();
                let names = delta.removed_resource_names.into_iter().map(|removed| removed.name);
                ResponseBatch {
                    type_url: delta.type_url,
                    version: delta.system_version_info,
                    nonce: delta.nonce,
                    removed: delta.removed_resources.into_iter().chain(names).collect(),
                    errors: delta.resource_errors,
                    items,
                }
            }
        }
    }
}

impl From<Resource> for RawResource {
    fn from(resource: Resource) -> RawResource {
        let Resource { name, version, ttl, resource: body, .. } = resource;
        let ttl = ttl.as_ref().and_then(to_std_duration).filter(|ttl| !ttl.is_zero());
        RawResource { name, version, ttl, body, fault: None }
    }
}

impl RawResource {
    /// A resource in a response of the state of the world, bare or in a wrapper.
    fn unwrap(any: Any, version: &str) -> RawResource {
        let bare = |body, fault| RawResource {
            name: String::new(),
            version: version.to_owned(),
            ttl: None,
            body,
            fault,
        };
        if any.type_url != WRAPPER {
            return bare(Some(any), None);
        }
        match Resource::decode(&*any.value) {
            Ok(resource) => RawResource { version: version.to_owned(), ..RawResource::from(resource) },
            Err(fault) => bare(None, Some(fault.to_string())),
        }
    }

    fn read(self, kind: Kind) -> Result<ReceivedResource, InvalidResource> {
        let RawResource { name, version, ttl, body, fault } = self;
        let invalid = |problem| InvalidResource::single(kind, &name, "", problem);
        if let Some(fault) = fault {
            return Err(invalid(Problem::Unreadable(fault)));
        }
        let Some(body) = body else {
            return match name.as_str() {
                "" => Err(invalid(Problem::Missing(": neither a name nor a resource is there"))),
                _ => Ok(ReceivedResource { name, version, ttl, what: ResourceContent::Heartbeat }),
            };
        };
        if body.type_url != kind.type_url() {
            return Err(invalid(Problem::TypeMismatch { found: body.type_url, expected: kind.type_url() }));
        }
        let unreadable = |fault: prost::DecodeError| invalid(Problem::Unreadable(fault.to_string()));
        let (inner, what) = match kind {
            Kind::Cluster => {
                let found = parse_cluster(&Cluster::decode(&*body.value).map_err(unreadable)?)?;
                (found.name.as_str().to_owned(), ResourceContent::Cluster(found))
            }
            Kind::Assignment => {
                let message = ClusterLoadAssignment::decode(&*body.value).map_err(unreadable)?;
                let found = parse_assignment(&message)?;
                (found.name.clone(), ResourceContent::Assignment(found))
            }
        };
        if !name.is_empty() && name != inner {
            return Err(invalid(Problem::NameMismatch { inner, outer: name.clone() }));
        }
        Ok(ReceivedResource { name: inner, version, ttl, what })
    }
}

impl ResponseBatch {
    /// The resources that can be used, and what is wrong with the others. Of those that come twice none can:
    /// which one counts is a guess.
    pub fn read(&mut self, kind: Kind) -> (Vec<ReceivedResource>, Vec<InvalidResource>) {
        let (mut valid, mut invalid) = (Vec::new(), Vec::new());
        let (mut names, mut twice) = (BTreeSet::new(), BTreeSet::new());
        for (at, item) in std::mem::take(&mut self.items).into_iter().enumerate() {
            match item.read(kind) {
                Ok(resource) => {
                    if !names.insert(resource.name.clone()) {
                        twice.insert(resource.name.clone());
                    }
                    valid.push(resource);
                }
                Err(mut fault) => {
                    if fault.name.is_empty() {
                        fault.name = format!("number {} of the response", at + 1);
                    }
                    invalid.push(fault);
                }
            }
        }
        valid.retain(|resource| !twice.contains(&resource.name));
        invalid.extend(twice.iter().map(|name| InvalidResource::single(kind, name, "", Problem::Duplicate)));
        (valid, invalid)
    }
}
