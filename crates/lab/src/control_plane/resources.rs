//! The resources of a control plane by kind and name, each with the version in which it last changed.

use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::cluster::v3::cluster::{ClusterDiscoveryType, DiscoveryType};
pub use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::core::v3::address::Address as Form;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::core::v3::{Address, SocketAddress};
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint, LbEndpoint, LocalityLbEndpoints,
};
use envoy_types::pb::google::protobuf::Any;
use envoy_types::util::pack_any;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// A kind of xDS resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Clusters.
    Cds,
    /// The endpoints of clusters.
    Eds,
}

impl Kind {
    /// Returns the type URL.
    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Cds => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Eds => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        }
    }

    /// Returns the kind with a type URL, or `None` if it is not served.
    pub fn of(type_url: &str) -> Option<Kind> {
        [Kind::Cds, Kind::Eds].into_iter().find(|kind| kind.type_url() == type_url)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Kind::Cds => "CDS",
            Kind::Eds => "EDS",
        })
    }
}

/// The resources of a control plane.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Resources {
    version: u64,
    kinds: BTreeMap<Kind, Served>,
}

/// The resources of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Served {
    /// The version in which any of the resources last changed.
    pub version: u64,
    pub all: BTreeMap<String, (u64, Any)>,
}

impl Resources {
    /// Creates an empty set; the first change gets the version after `version`.
    pub fn starting_at(version: u64) -> Resources {
        Resources { version, kinds: BTreeMap::new() }
    }

    /// Sets a resource. Its content is not checked.
    pub fn set(&mut self, kind: Kind, name: &str, resource: Any) {
        self.version += 1;
        let served = self.kinds.entry(kind).or_default();
        served.version = self.version;
        served.all.insert(name.to_owned(), (self.version, resource));
    }

    /// Sets a cluster whose endpoints are discovered under its name.
    pub fn set_cluster(&mut self, name: &str) {
        self.set(Kind::Cds, name, pack_any(eds_cluster(name)));
    }

    /// Sets the endpoints of a cluster, each an id and an address.
    pub fn set_endpoints(&mut self, name: &str, list: &[(&str, SocketAddr)]) {
        self.set(Kind::Eds, name, pack_any(endpoints(name, list)));
    }

    /// Sets the endpoints of a cluster, each an id, an address and its health.
    pub fn set_health(&mut self, name: &str, list: &[(&str, SocketAddr, HealthStatus)]) {
        let plain: Vec<_> = list.iter().map(|(id, address, _)| (*id, *address)).collect();
        let mut assignment = endpoints(name, &plain);
        let listed = assignment.endpoints.iter_mut().flat_map(|locality| &mut locality.lb_endpoints);
        for (endpoint, (.., health)) in listed.zip(list) {
            endpoint.health_status = *health as i32;
        }
        self.set(Kind::Eds, name, pack_any(assignment));
    }

    /// Removes a resource.
    pub fn remove(&mut self, kind: Kind, name: &str) {
        self.version += 1;
        let served = self.kinds.entry(kind).or_default();
        served.version = self.version;
        served.all.remove(name);
    }

    /// Gives all resources a new version without a change, as a control plane does that does not compare
    /// contents.
    pub fn touch(&mut self) {
        self.version += 1;
        for served in self.kinds.values_mut() {
            served.version = self.version;
            served.all.values_mut().for_each(|(version, _)| *version = self.version);
        }
    }

    pub(super) fn of(&self, kind: Kind) -> Option<&Served> {
        self.kinds.get(&kind)
    }
}

/// Returns a cluster whose endpoints are discovered under its name.
pub fn eds_cluster(name: &str) -> Cluster {
    let kind = ClusterDiscoveryType::Type(DiscoveryType::Eds as i32);
    Cluster { name: name.to_owned(), cluster_discovery_type: Some(kind), ..Cluster::default() }
}

/// Returns the endpoints of a cluster in one locality. Each has an id, used as host name, and an address.
pub fn endpoints(name: &str, list: &[(&str, SocketAddr)]) -> ClusterLoadAssignment {
    let lb_endpoints = list.iter().map(|(id, address)| endpoint(id, *address)).collect();
    let locality = LocalityLbEndpoints { lb_endpoints, ..LocalityLbEndpoints::default() };
    let cluster_name = name.to_owned();
    ClusterLoadAssignment { cluster_name, endpoints: vec![locality], ..ClusterLoadAssignment::default() }
}

fn endpoint(id: &str, address: SocketAddr) -> LbEndpoint {
    let socket = SocketAddress {
        address: address.ip().to_string(),
        port_specifier: Some(PortSpecifier::PortValue(address.port().into())),
        ..SocketAddress::default()
    };
    let address = Some(Address { address: Some(Form::SocketAddress(socket)) });
    let endpoint = Endpoint { address, hostname: id.to_owned(), ..Endpoint::default() };
    LbEndpoint { host_identifier: Some(HostIdentifier::Endpoint(endpoint)), ..LbEndpoint::default() }
}
