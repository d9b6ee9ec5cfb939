//! A common form of the responses of both protocol variants.

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
    /// Returns the total size of the encoded resources in bytes.
    pub(super) fn resource_bytes(&self) -> usize {
        match self {
            Response::World(r) => r.resources.iter().map(|any| any.value.len()).sum(),
            Response::Delta(r) => {
                let resource_bytes =
                    |resource: &Resource| resource.resource.as_ref().map_or(0, |any| any.value.len());
                r.resources.iter().map(resource_bytes).sum()
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

const WRAPPER_TYPE_URL: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";

/// A response of either protocol variant.
pub(super) struct ResponseBatch {
    pub type_url: String,
    pub version: String,
    pub nonce: String,
    pub removed: Vec<String>,
    pub errors: Vec<ResourceError>,
    items: Vec<RawResource>,
}

struct RawResource {
    /// The name in the wrapper; empty if there is no wrapper.
    name: String,
    version: String,
    ttl: Option<Duration>,
    body: Option<Any>,
    /// Why the wrapper could not be decoded.
    decode_error: Option<String>,
}

/// A valid resource.
pub(super) struct ReceivedResource {
    pub name: String,
    pub version: String,
    pub ttl: Option<Duration>,
    pub content: ResourceContent,
}

pub(super) enum ResourceContent {
    /// The resource is unchanged and its time to live is renewed.
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
                    resources.into_iter().map(|any| RawResource::from_sotw(any, &version_info)).collect();
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
        RawResource { name, version, ttl, body, decode_error: None }
    }
}

impl RawResource {
    /// Reads a resource of a state of the world response, either bare or in a wrapper.
    fn from_sotw(any: Any, version: &str) -> RawResource {
        let bare = |body, decode_error| RawResource {
            name: String::new(),
            version: version.to_owned(),
            ttl: None,
            body,
            decode_error,
        };
        if any.type_url != WRAPPER_TYPE_URL {
            return bare(Some(any), None);
        }
        match Resource::decode(&*any.value) {
            Ok(resource) => RawResource { version: version.to_owned(), ..RawResource::from(resource) },
            Err(error) => bare(None, Some(error.to_string())),
        }
    }

    fn parse(self, kind: Kind) -> Result<ReceivedResource, InvalidResource> {
        let RawResource { name, version, ttl, body, decode_error } = self;
        let invalid = |problem| InvalidResource::single(kind, &name, "", problem);
        if let Some(error) = decode_error {
            return Err(invalid(Problem::Unreadable(error)));
        }
        let Some(body) = body else {
            return match name.as_str() {
                "" => Err(invalid(Problem::Missing(": the wrapper has neither name nor resource"))),
                _ => Ok(ReceivedResource { name, version, ttl, content: ResourceContent::Heartbeat }),
            };
        };
        if body.type_url != kind.type_url() {
            return Err(invalid(Problem::TypeMismatch { found: body.type_url, expected: kind.type_url() }));
        }
        let decode_failure = |error: prost::DecodeError| invalid(Problem::Unreadable(error.to_string()));
        let (inner, content) = match kind {
            Kind::Cluster => {
                let found = parse_cluster(&Cluster::decode(&*body.value).map_err(decode_failure)?)?;
                (found.name.as_str().to_owned(), ResourceContent::Cluster(found))
            }
            Kind::Assignment => {
                let message = ClusterLoadAssignment::decode(&*body.value).map_err(decode_failure)?;
                let found = parse_assignment(&message)?;
                (found.name.clone(), ResourceContent::Assignment(found))
            }
        };
        if !name.is_empty() && name != inner {
            return Err(invalid(Problem::NameMismatch { inner, outer: name.clone() }));
        }
        Ok(ReceivedResource { name: inner, version, ttl, content })
    }
}

impl ResponseBatch {
    /// Returns the valid resources and the errors in the others. Duplicate resources are all invalid, since
    /// the control plane does not say which one applies.
    pub fn take_resources(&mut self, kind: Kind) -> (Vec<ReceivedResource>, Vec<InvalidResource>) {
        let (mut valid, mut invalid) = (Vec::new(), Vec::new());
        let (mut names, mut duplicates) = (BTreeSet::new(), BTreeSet::new());
        for (index, item) in std::mem::take(&mut self.items).into_iter().enumerate() {
            match item.parse(kind) {
                Ok(resource) => {
                    if !names.insert(resource.name.clone()) {
                        duplicates.insert(resource.name.clone());
                    }
                    valid.push(resource);
                }
                Err(mut error) => {
                    if error.name.is_empty() {
                        error.name = format!("resource {} of the response", index + 1);
                    }
                    invalid.push(error);
                }
            }
        }
        valid.retain(|resource| !duplicates.contains(&resource.name));
        invalid.extend(
            duplicates.iter().map(|name| InvalidResource::single(kind, name, "", Problem::Duplicate)),
        );
        (valid, invalid)
    }
}
