//! Validates each endpoint and limit on its own, regardless of the previous state. Invalid inputs are
//! returned with their ids, so that they can be rejected by name.

use crate::endpoint::{ClusterSettings, Endpoint};
use crate::event::ClusterDelta;
use crate::invalid::Invalid;
use crate::names::EndpointName;
use crate::policy::Policy;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// An invalid value of an update.
#[derive(Debug)]
pub(super) struct InvalidInput {
    /// The endpoint that it belongs to; `None` if it concerns the cluster as a whole.
    pub endpoint: Option<EndpointName>,
    pub reason: Invalid,
}

impl InvalidInput {
    pub fn of_cluster(reason: Invalid) -> InvalidInput {
        InvalidInput { endpoint: None, reason }
    }

    pub fn of_endpoint(endpoint: EndpointName, reason: Invalid) -> InvalidInput {
        InvalidInput { endpoint: Some(endpoint), reason }
    }
}

/// The valid part of a delta, and its invalid inputs.
#[derive(Debug)]
pub(super) struct ValidDelta {
    /// The endpoints by id; `None` for a removal.
    pub endpoints: BTreeMap<EndpointName, Option<Endpoint>>,
    pub settings: Option<ClusterSettings>,
    pub invalid_inputs: Vec<InvalidInput>,
}

/// Validates a whole list and sorts it by id. A single invalid value rejects the list, since its intended
/// content is unknown.
pub(super) fn validate_list(
    mut list: Vec<Endpoint>,
    settings: &ClusterSettings,
    policy: &Policy,
) -> Result<Vec<Endpoint>, Vec<InvalidInput>> {
    settings.check().map_err(|reason| vec![InvalidInput::of_cluster(reason)])?;
    if list.len() > policy.max_endpoints {
        let reason = Invalid::TooManyEndpoints { most: policy.max_endpoints };
        return Err(vec![InvalidInput::of_cluster(reason)]);
    }
    sort(&mut list);
    let mut invalid_inputs = Vec::new();
    for endpoint in &list {
        if let Err(reason) = endpoint.check() {
            invalid_inputs.push(InvalidInput::of_endpoint(endpoint.name.clone(), reason));
        }
    }
    for same_id in list.chunk_by(|a, b| a.name == b.name).filter(|same_id| same_id.len() > 1) {
        invalid_inputs.push(InvalidInput::of_endpoint(same_id[0].name.clone(), Invalid::DuplicateEndpoint));
    }
    if invalid_inputs.is_empty() { Ok(list) } else { Err(invalid_inputs) }
}

/// Sorts a list by id; a sorted list takes one pass.
///
/// Ids are scattered in memory, and loading an id takes longer than comparing it. The eight bytes after the
/// common prefix of all ids distinguish nearly all of them, so the second sort has little left to do. This
/// takes a third of the time of the second sort alone.
fn sort(list: &mut [Endpoint]) {
    let by_id = |a: &Endpoint, b: &Endpoint| a.name.cmp(&b.name);
    if list.is_sorted_by(|a, b| by_id(a, b).is_le()) {
        return;
    }
    let Some(first) = list.first().map(|e| e.name.clone()) else { return };
    let shared_prefix = |a: &str, b: &str| a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b).count();
    let common = list.iter().map(|e| shared_prefix(first.as_str(), e.name.as_str())).min().unwrap_or(0);
    let key = |e: &Endpoint| {
        let mut key = [0; 8];
        let rest = &e.name.as_str().as_bytes()[common..];
        let length = rest.len().min(key.len());
        key[..length].copy_from_slice(&rest[..length]);
        u64::from_be_bytes(key)
    };
    list.sort_by_cached_key(key);
    list.sort_by(by_id);
}

/// Splits a delta into its valid part and its invalid inputs.
pub(super) fn validate_delta(delta: ClusterDelta) -> ValidDelta {
    let ClusterDelta { settings, upserts, removals, .. } = delta;
    let mut valid = ValidDelta { endpoints: BTreeMap::new(), settings: None, invalid_inputs: Vec::new() };
    match settings.map(|settings| settings.check().map(|()| settings)) {
        None => {}
        Some(Ok(settings)) => valid.settings = Some(settings),
        Some(Err(reason)) => valid.invalid_inputs.push(InvalidInput::of_cluster(reason)),
    }
    let upserts = upserts.into_iter().map(|endpoint| (endpoint.name.clone(), Some(endpoint)));
    let removals = removals.into_iter().map(|name| (name, None));
    let mut duplicates = BTreeSet::new();
    for (name, change) in upserts.chain(removals) {
        match valid.endpoints.entry(name) {
            Entry::Occupied(known) => _ = duplicates.insert(known.key().clone()),
            Entry::Vacant(vacant) => _ = vacant.insert(change),
        }
    }
    for name in duplicates {
        valid.endpoints.remove(&name);
        valid.invalid_inputs.push(InvalidInput::of_endpoint(name, Invalid::DuplicateEndpoint));
    }
    let invalid_inputs = &mut valid.invalid_inputs;
    valid.endpoints.retain(|name, change| {
        let Some(Err(reason)) = change.as_ref().map(Endpoint::check) else { return true };
        invalid_inputs.push(InvalidInput::of_endpoint(name.clone(), reason));
        false
    });
    valid
}
