//! Reads the endpoints of a cluster.

use super::Kind;
use super::endpoint::{LocalityAttributes, MachineKinds, parse_endpoint};
use super::problem::{InvalidField, InvalidResource, Problem};
use crate::endpoint::Endpoint;
use crate::invalid::Invalid;
use crate::names::Label;
use envoy_types::pb::envoy::config::core::v3::Locality;
use envoy_types::pb::envoy::config::endpoint::v3::locality_lb_endpoints::LbConfig;
use envoy_types::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, LocalityLbEndpoints};
use rustc_hash::FxHashMap;

/// The endpoints of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The resource name.
    pub name: String,
    /// The endpoints in the order of the message.
    pub endpoints: Vec<Endpoint>,
    /// Fields that are set but ignored.
    pub ignored: Vec<&'static str>,
}

/// Reads the endpoints of a cluster.
///
/// An endpoint without a weight has weight 1. If its locality has a weight, that weight is distributed to the
/// endpoints: weight = locality weight * own weight / sum of all own weights of the locality, whatever their
/// health. If the locality weight is the sum of the own weights, the weights stay as they are.
///
/// # Errors
/// Returns all invalid fields. The resource is not used without them, since what the control plane meant
/// would be a guess.
pub fn parse_assignment(message: &ClusterLoadAssignment) -> Result<Assignment, InvalidResource> {
    let name = message.cluster_name.clone();
    let mut invalid_fields = Vec::new();
    if name.is_empty() {
        invalid_fields.push(InvalidField { field: "cluster_name".into(), problem: Problem::Missing("") });
    }
    let endpoints = parse_endpoints(message, "", &mut invalid_fields);
    match InvalidResource::from_fields(Kind::Assignment, &name, invalid_fields) {
        Some(invalid) => Err(invalid),
        None => Ok(Assignment { name, endpoints, ignored: ignored_fields(message) }),
    }
}

/// Reads the endpoints of a message. Field paths in errors begin with `prefix`.
pub(super) fn parse_endpoints(
    message: &ClusterLoadAssignment,
    prefix: &str,
    invalid_fields: &mut Vec<InvalidField>,
) -> Vec<Endpoint> {
    let count = message.endpoints.iter().map(|locality| locality.lb_endpoints.len()).sum();
    let (mut list, mut positions): (Vec<Endpoint>, _) =
        (Vec::with_capacity(count), Vec::with_capacity(count));
    let mut kinds = MachineKinds::new();
    for (index, locality) in message.endpoints.iter().enumerate() {
        let from = list.len();
        let mut add_error = |field: &str, problem| {
            invalid_fields
                .push(InvalidField { field: format!("{prefix}endpoints[{index}]{field}"), problem });
        };
        if let Some(LbConfig::LedsClusterLocalityConfig(_)) = locality.lb_config {
            let hint = "set lb_endpoints";
            let problem = Problem::Unsupported { found: "locality endpoint discovery".into(), hint };
            add_error(".leds_cluster_locality_config", problem);
        }
        if locality.priority > Endpoint::MAX_PRIORITY {
            add_error(".priority", Invalid::Priority { priority: locality.priority }.into());
            continue;
        }
        let attributes =
            LocalityAttributes { zone: zone(locality.locality.as_ref()), priority: locality.priority };
        for (position, message) in locality.lb_endpoints.iter().enumerate() {
            match parse_endpoint(message, &attributes, &mut kinds) {
                Ok(endpoint) => {
                    list.push(endpoint);
                    positions.push((index, position));
                }
                Err(InvalidField { field, problem }) => {
                    add_error(&format!(".lb_endpoints[{position}]{field}"), problem);
                }
            }
        }
        distribute_weight(locality, &mut list[from..]);
    }
    find_duplicate_ids(&list, &positions, prefix, invalid_fields);
    list
}

/// Returns the zone of a locality: its `zone`, or its `region` if no zone is set, so that a fleet described
/// only by regions still has failure domains.
fn zone(locality: Option<&Locality>) -> Label {
    let Some(locality) = locality else { return Label::default() };
    match locality.zone.as_str() {
        "" => locality.region.as_str().into(),
        zone => zone.into(),
    }
}

/// Distributes the weight of a locality, if it has one, to its endpoints.
fn distribute_weight(locality: &LocalityLbEndpoints, endpoints: &mut [Endpoint]) {
    let Some(weight) = &locality.load_balancing_weight else { return };
    let sum: f64 = endpoints.iter().map(|endpoint| endpoint.weight).sum();
    if sum > 0.0 {
        endpoints.iter_mut().for_each(|e| e.weight = f64::from(weight.value) * e.weight / sum);
    }
}

fn find_duplicate_ids(
    list: &[Endpoint],
    positions: &[(usize, usize)],
    prefix: &str,
    invalid_fields: &mut Vec<InvalidField>,
) {
    let mut known = FxHashMap::with_capacity_and_hasher(list.len(), Default::default());
    for (endpoint, position) in list.iter().zip(positions) {
        let Some((locality, index)) = known.insert(endpoint.name.as_str(), *position) else { continue };
        let field = |(locality, index)| format!("{prefix}endpoints[{locality}].lb_endpoints[{index}]");
        let (id, other) = (endpoint.name.to_string(), field((locality, index)));
        invalid_fields
            .push(InvalidField { field: field(*position), problem: Problem::DuplicateId { id, other } });
    }
}

/// Returns the fields that are set but ignored.
pub(super) fn ignored_fields(message: &ClusterLoadAssignment) -> Vec<&'static str> {
    let policy = message.policy.as_ref();
    let hosts = message.endpoints.iter().flat_map(|locality| &locality.lb_endpoints);
    let has_additional_addresses = hosts.filter_map(|e| e.host_identifier.as_ref()).any(|host| {
        use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
        matches!(host, HostIdentifier::Endpoint(host) if !host.additional_addresses.is_empty())
    });
    let set = [
        ("policy.drop_overloads", policy.is_some_and(|p| !p.drop_overloads.is_empty())),
        ("policy.overprovisioning_factor", policy.is_some_and(|p| p.overprovisioning_factor.is_some())),
        ("policy.endpoint_stale_after", policy.is_some_and(|p| p.endpoint_stale_after.is_some())),
        ("policy.weighted_priority_health", policy.is_some_and(|p| p.weighted_priority_health)),
        ("endpoint.additional_addresses", has_additional_addresses),
    ];
    set.into_iter().filter(|(_, is_set)| *is_set).map(|(field, _)| field).collect()
}
