//! Turns away what can mean nothing, by name.

use crate::endpoint::{ClusterSettings, Endpoint};
use crate::event::ClusterDelta;
use crate::invalid::Invalid;
use crate::names::EndpointName;
use crate::policy::Policy;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// What is wrong, and with which endpoint if with one.
pub(super) type Fault = (Option<EndpointName>, Invalid);

/// Checks a whole list, and sorts it by id. One fault makes it unusable: what it would be without it is a
/// guess.
pub(super) fn check_list(
    mut list: Vec<Endpoint>,
    settings: &ClusterSettings,
    policy: &Policy,
) -> Result<Vec<Endpoint>, Vec<Fault>> {
    settings.check().map_err(|fault| vec![(None, fault)])?;
    if list.len() > policy.max_endpoints {
        return Err(vec![(None, Invalid::TooManyEndpoints { most: policy.max_endpoints })]);
    }
    sort(&mut list);
    let own = list.iter().filter_map(|e| e.check().err().map(|fault| (Some(e.name.clone()), fault)));
    let mut faults: Vec<Fault> = own.collect();
    let same = list.chunk_by(|a, b| a.name == b.name).filter(|same| same.len() > 1);
    faults.extend(same.map(|same| (Some(same[0].name.clone()), Invalid::IdTwice)));
    if faults.is_empty() { Ok(list) } else { Err(faults) }
}

/// Sorts a list by id; one that is sorted costs one pass.
///
/// Ids lie scattered in memory, and a look at one costs more than comparing it. The eight bytes behind what
/// all ids share tell nearly all of them apart, so that little is left to the second sort: a third of the
/// time of that alone.
fn sort(list: &mut [Endpoint]) {
    let by_id = |a: &Endpoint, b: &Endpoint| a.name.cmp(&b.name);
    if list.is_sorted_by(|a, b| by_id(a, b).is_le()) {
        return;
    }
    let Some(first) = list.first().map(|e| e.name.clone()) else { return };
    let shared = |a: &str, b: &str| a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b).count();
    let common = list.iter().map(|e| shared(first.as_str(), e.name.as_str())).min().unwrap_or(0);
    let key = |e: &Endpoint| {
        let (mut key, rest) = ([0; 8], &e.name.as_str().as_bytes()[common..]);
        let told = rest.len().min(key.len());
        key[..told].copy_from_slice(&rest[..told]);
        u64::from_be_bytes(key)
    };
    list.sort_by_cached_key(key);
    list.sort_by(by_id);
}

/// The part of an update that can be used, endpoints (none if one leaves) and limits, and what is wrong with
/// the rest.
pub(super) fn check_update(
    update: ClusterDelta,
) -> (BTreeMap<EndpointName, Option<Endpoint>>, Option<ClusterSettings>, Vec<Fault>) {
    let (mut good, mut faults) = (BTreeMap::new(), Vec::new());
    let settings = update.settings.filter(|settings| match settings.check() {
        Ok(()) => true,
        Err(fault) => {
            faults.push((None, fault));
            false
        }
    });
    let mut twice = Vec::new();
    let upserts = update.upserts.into_iter().map(|e| (e.name.clone(), Some(e)));
    for (name, change) in upserts.chain(update.removals.into_iter().map(|name| (name, None))) {
        match good.entry(name) {
            Entry::Occupied(known) => twice.push(known.key().clone()),
            Entry::Vacant(new) => _ = new.insert(change),
        }
    }
    twice.sort();
    twice.dedup();
    for name in twice {
        good.remove(&name);
        faults.push((Some(name), Invalid::IdTwice));
    }
    good.retain(|name, change| match change.as_ref().map_or(Ok(()), Endpoint::check) {
        Ok(()) => true,
        Err(fault) => {
            faults.push((Some(name.clone()), fault));
            false
        }
    });
    (good, settings, faults)
}
