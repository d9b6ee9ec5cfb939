//! The endpoints of a cluster.

use super::Kind;
use super::endpoint::{Kinds, Place, endpoint};
use super::problem::{BadField, BadResource, Problem};
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
    /// The name under which they are asked for.
    pub name: String,
    /// All of them, in the order of the message.
    pub endpoints: Vec<Endpoint>,
    /// Fields that are set and ignored.
    pub ignored: Vec<&'static str>,
}

/// The endpoints of a cluster.
///
/// The weight of an endpoint is its own, 1 where none is given. Where its locality has one, the endpoints of
/// the locality share that in the ratio of their own: weight = locality weight * own weight / sum of all own
/// weights of the locality, whatever their health. Control planes that write the sum of the own weights as
/// the locality's get the own weights back.
///
/// # Errors
/// All fields that are wrong. What the list would be without them is a guess.
pub fn assignment(message: &ClusterLoadAssignment) -> Result<Assignment, BadResource> {
    let name = message.cluster_name.clone();
    let mut faults = Vec::new();
    if name.is_empty() {
        faults.push(BadField { field: "cluster_name".into(), problem: Problem::Missing("") });
    }
    let endpoints = endpoints(message, "", &mut faults);
    match BadResource::of(Kind::Assignment, &name, faults) {
        Some(bad) => Err(bad),
        None => Ok(Assignment { name, endpoints, ignored: ignored(message) }),
    }
}

/// The endpoints of a message whose fields lie below `above`.
pub(super) fn endpoints(
    message: &ClusterLoadAssignment,
    above: &str,
    faults: &mut Vec<BadField>,
) -> Vec<Endpoint> {
    let count = message.endpoints.iter().map(|locality| locality.lb_endpoints.len()).sum();
    let (mut list, mut places): (Vec<Endpoint>, _) = (Vec::with_capacity(count), Vec::with_capacity(count));
    let mut kinds = Kinds::new();
    for (at, locality) in message.endpoints.iter().enumerate() {
        let from = list.len();
        let mut fault = |field: &str, problem| {
            faults.push(BadField { field: format!("{above}endpoints[{at}]{field}"), problem });
        };
        if let Some(LbConfig::LedsClusterLocalityConfig(_)) = locality.lb_config {
            let instead = "put the endpoints in their place";
            let problem = Problem::Unsupported { found: "locality endpoint discovery".into(), instead };
            fault(".leds_cluster_locality_config", problem);
        }
        if locality.priority > Endpoint::MAX_PRIORITY {
            fault(".priority", Invalid::Priority { priority: locality.priority }.into());
            continue;
        }
        let place = Place { zone: zone(locality.locality.as_ref()), priority: locality.priority };
        for (inner, message) in locality.lb_endpoints.iter().enumerate() {
            match endpoint(message, &place, &mut kinds) {
                Ok(endpoint) => {
                    list.push(endpoint);
                    places.push((at, inner));
                }
                Err(BadField { field, problem }) => {
                    fault(&format!(".lb_endpoints[{inner}]{field}"), problem);
                }
            }
        }
        share(locality, &mut list[from..]);
    }
    find_twice(&list, &places, above, faults);
    list
}

/// The zone of a locality: its `zone`, or its `region` where there is none, so that a fleet described by
/// regions alone still has failure domains.
fn zone(locality: Option<&Locality>) -> Label {
    let Some(locality) = locality else { return Label::default() };
    match locality.zone.as_str() {
        "" => locality.region.as_str().into(),
        zone => zone.into(),
    }
}

/// Shares the locality's weight, if it has one, out to its endpoints.
fn share(locality: &LocalityLbEndpoints, endpoints: &mut [Endpoint]) {
    let Some(weight) = &locality.load_balancing_weight else { return };
    let sum: f64 = endpoints.iter().map(|endpoint| endpoint.weight).sum();
    if sum > 0.0 {
        endpoints.iter_mut().for_each(|e| e.weight = f64::from(weight.value) * e.weight / sum);
    }
}

fn find_twice(list: &[Endpoint], places: &[(usize, usize)], above: &str, faults: &mut Vec<BadField>) {
    let mut known = FxHashMap::with_capacity_and_hasher(list.len(), Default::default());
    for (endpoint, place) in list.iter().zip(places) {
        let Some((locality, inner)) = known.insert(endpoint.name.as_str(), *place) else { continue };
        let field = |(locality, inner)| format!("{above}endpoints[{locality}].lb_endpoints[{inner}]");
        let (id, other) = (endpoint.name.to_string(), field((locality, inner)));
        faults.push(BadField { field: field(*place), problem: Problem::IdTwice { id, other } });
    }
}

/// Fields that are set and ignored.
pub(super) fn ignored(message: &ClusterLoadAssignment) -> Vec<&'static str> {
    let policy = message.policy.as_ref();
    let hosts = message.endpoints.iter().flat_map(|locality| &locality.lb_endpoints);
    let has_more = hosts.filter_map(|e| e.host_identifier.as_ref()).any(|host| {
        use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
        matches!(host, HostIdentifier::Endpoint(host) if !host.additional_addresses.is_empty())
    });
    let set = [
        ("policy.drop_overloads", policy.is_some_and(|p| !p.drop_overloads.is_empty())),
        ("policy.overprovisioning_factor", policy.is_some_and(|p| p.overprovisioning_factor.is_some())),
        ("policy.endpoint_stale_after", policy.is_some_and(|p| p.endpoint_stale_after.is_some())),
        ("policy.weighted_priority_health", policy.is_some_and(|p| p.weighted_priority_health)),
        ("endpoint.additional_addresses", has_more),
    ];
    set.into_iter().filter(|(_, is_set)| *is_set).map(|(field, _)| field).collect()
}
