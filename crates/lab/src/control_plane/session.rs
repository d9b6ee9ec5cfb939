//! The server side of one xDS stream, without I/O.

use super::resources::{Kind, Resources, Served};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::protobuf::Any;
use std::collections::{BTreeMap, BTreeSet};

/// A request of either variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// State of the world.
    World(DiscoveryRequest),
    /// Incremental.
    Delta(DeltaDiscoveryRequest),
}

/// A response of either variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// State of the world.
    World(DiscoveryResponse),
    /// Incremental.
    Delta(DeltaDiscoveryResponse),
}

/// The state of one stream: its subscriptions and what was sent.
#[derive(Debug, Default)]
pub struct Session {
    nonces: u64,
    kinds: BTreeMap<Kind, Asked>,
}

/// The subscription of a stream to one kind of resource, and what was sent.
#[derive(Debug, Default)]
struct Asked {
    is_delta: bool,
    /// A wildcard subscription to all resources.
    is_all: bool,
    names: BTreeSet<String>,
    /// The last version of the kind that was sent.
    version: Option<u64>,
    /// The resource versions that the client has, as sent.
    sent: BTreeMap<String, String>,
    nonce: String,
    last: Option<Said>,
}

impl Asked {
    fn wants(&self, name: &str) -> bool {
        self.is_all || self.names.contains(name)
    }
}

impl Session {
    /// Handles a request and returns the responses to it.
    pub fn hear(&mut self, request: &Heard, resources: &Resources) -> Vec<Said> {
        let type_url = match request {
            Heard::World(request) => &request.type_url,
            Heard::Delta(request) => &request.type_url,
        };
        let Some(kind) = Kind::of(type_url) else { return Vec::new() };
        let is_first = !self.kinds.contains_key(&kind);
        let asked = self.kinds.entry(kind).or_default();
        let nothing = Served::default();
        let served = resources.of(kind);
        let wanted = match request {
            Heard::World(request) => world_wants(asked, is_first, request, served),
            Heard::Delta(request) => delta_wants(asked, is_first, request),
        };
        match wanted {
            // A control plane does not respond for a kind before its first resource is set.
            Some(names) if served.is_some() => {
                self.answer(kind, served.unwrap_or(&nothing), &names).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the responses for changes since the last response.
    pub fn push(&mut self, resources: &Resources) -> Vec<Said> {
        let mut said = Vec::new();
        for kind in [Kind::Cds, Kind::Eds] {
            let Some((asked, served)) = self.kinds.get(&kind).zip(resources.of(kind)) else { continue };
            if asked.version != Some(served.version) {
                said.extend(self.answer(kind, served, &BTreeSet::new()));
            }
        }
        said
    }

    /// Returns the last response of a kind again with its old nonce, which violates the protocol.
    pub fn repeat(&self, kind: Kind) -> Option<Said> {
        self.kinds.get(&kind)?.last.clone()
    }

    /// Returns a response with unchecked named resources and any version, if the client subscribed to the kind.
    pub fn raw(
        &mut self,
        kind: Kind,
        version: &str,
        all: Vec<(String, Any)>,
        removed: &[&str],
    ) -> Option<Said> {
        let nonce = self.next_nonce();
        let asked = self.kinds.get_mut(&kind)?;
        asked.nonce.clone_from(&nonce);
        let type_url = kind.type_url().to_owned();
        let said = if asked.is_delta {
            let resource = |(name, any): (String, Any)| Resource {
                name,
                version: version.to_owned(),
                resource: Some(any),
                ..Resource::default()
            };
            Said::Delta(DeltaDiscoveryResponse {
                system_version_info: version.to_owned(),
                resources: all.into_iter().map(resource).collect(),
                removed_resources: removed.iter().map(|name| (*name).to_owned()).collect(),
                type_url,
                nonce,
                ..DeltaDiscoveryResponse::default()
            })
        } else {
            Said::World(DiscoveryResponse {
                version_info: version.to_owned(),
                resources: all.into_iter().map(|(_, any)| any).collect(),
                type_url,
                nonce,
                ..DiscoveryResponse::default()
            })
        };
        // Makes the next push send the actual resources again.
        asked.version = None;
        asked.sent.values_mut().for_each(String::clear);
        Some(said)
    }

    fn next_nonce(&mut self) -> String {
        self.nonces += 1;
        self.nonces.to_string()
    }

    /// Returns a response with the resources that differ from those sent, and always those in `named`.
    fn answer(&mut self, kind: Kind, served: &Served, named: &BTreeSet<String>) -> Option<Said> {
        let nonce = self.next_nonce();
        let asked = self.kinds.get_mut(&kind)?;
        let is_state = !asked.is_delta && kind == Kind::Cds;
        let differs = |name: &str, version: &u64| {
            is_state || named.contains(name) || asked.sent.get(name) != Some(&version.to_string())
        };
        let all =
            served.all.iter().filter(|(name, (version, _))| asked.wants(name) && differs(name, version));
        let all: Vec<_> = all.map(|(name, (version, any))| (name.clone(), *version, any.clone())).collect();
        let gone = |name: &&String| !served.all.contains_key(*name);
        let removed: Vec<String> = asked.sent.keys().filter(gone).cloned().collect();
        asked.version = Some(served.version);
        asked.sent.retain(|name, _| served.all.contains_key(name));
        asked.sent.extend(all.iter().map(|(name, version, _)| (name.clone(), version.to_string())));
        let is_nothing = all.is_empty() && removed.is_empty();
        if is_nothing && !is_state {
            return None;
        }
        asked.nonce.clone_from(&nonce);
        let type_url = kind.type_url().to_owned();
        let said = if asked.is_delta {
            let resource = |(name, version, any): (String, u64, Any)| Resource {
                name,
                version: version.to_string(),
                resource: Some(any),
                ..Resource::default()
            };
            Said::Delta(DeltaDiscoveryResponse {
                system_version_info: served.version.to_string(),
                resources: all.into_iter().map(resource).collect(),
                removed_resources: removed,
                type_url,
                nonce,
                ..DeltaDiscoveryResponse::default()
            })
        } else {
            Said::World(DiscoveryResponse {
                version_info: served.version.to_string(),
                resources: all.into_iter().map(|(_, _, any)| any).collect(),
                type_url,
                nonce,
                ..DiscoveryResponse::default()
            })
        };
        asked.last = Some(said.clone());
        Some(said)
    }
}

/// Updates a subscription by a request. Returns the names that the response has to include, or `None` if no
/// response is due.
fn world_wants(
    asked: &mut Asked,
    is_first: bool,
    request: &DiscoveryRequest,
    served: Option<&Served>,
) -> Option<BTreeSet<String>> {
    let names: BTreeSet<String> = request.resource_names.iter().cloned().collect();
    if is_first {
        asked.is_all = names.is_empty();
        asked.names = names;
        let is_current = served.is_some_and(|s| s.version.to_string() == request.version_info);
        if let Some(served) = served.filter(|_| is_current) {
            // The client already has all resources.
            asked.version = Some(served.version);
            let has = served.all.iter().map(|(name, (version, _))| (name.clone(), version.to_string()));
            asked.sent = has.collect();
            return None;
        }
        return Some(BTreeSet::new());
    }
    if request.response_nonce != asked.nonce {
        return None; // stale: a newer response was sent
    }
    let new: BTreeSet<String> = names.difference(&asked.names).cloned().collect();
    asked.names = names;
    (!new.is_empty()).then_some(new)
}

/// Updates a subscription by a request. Returns the names that the response has to include, or `None` if no
/// response is due.
fn delta_wants(
    asked: &mut Asked,
    is_first: bool,
    request: &DeltaDiscoveryRequest,
) -> Option<BTreeSet<String>> {
    let names: BTreeSet<String> = request.resource_names_subscribe.iter().cloned().collect();
    if is_first {
        asked.is_delta = true;
        asked.is_all = names.is_empty();
        asked.names = names;
        asked.sent = request.initial_resource_versions.clone().into_iter().collect();
        return Some(BTreeSet::new());
    }
    for name in &request.resource_names_unsubscribe {
        asked.names.remove(name);
        asked.sent.remove(name);
    }
    asked.names.extend(names.iter().cloned());
    (!names.is_empty()).then_some(names)
}
