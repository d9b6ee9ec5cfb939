//! ResourceContent is said and agreed about one kind of resource: versions, nonces, names; and the wording of requests.

use super::config::Variant;
use super::message::Request;
use crate::names::Version;
use crate::xds::resource::Kind;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use envoy_types::pb::google::rpc::Status;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The code of a rejection (`google.rpc.Code.INVALID_ARGUMENT`).
const INVALID_ARGUMENT: i32 = 3;

/// One kind of resource.
#[derive(Debug)]
pub(super) struct TypeSubscription {
    kind: Kind,
    variant: Variant,
    /// The version accepted last. It outlives the stream. Incremental: only to be shown.
    pub version: String,
    /// Incremental: the version of each resource that is held. They outlive the stream.
    pub versions: BTreeMap<String, String>,
    /// Responses rejected in a row.
    pub consecutive_rejections: u32,
    /// A request was sent on this stream.
    pub is_open: bool,
    /// The nonce of the last response on this stream.
    nonce: String,
    /// Nonces of this stream, the last ones.
    seen: VecDeque<String>,
    /// The names asked for on this stream; of clusters none means all.
    names: BTreeSet<String>,
    /// A rejection that has been postponed.
    postponed: Option<Status>,
}

impl TypeSubscription {
    /// Nonces that are known again.
    const NONCES: usize = 64;

    pub fn new(kind: Kind, variant: Variant) -> TypeSubscription {
        TypeSubscription {
            kind,
            variant,
            version: String::new(),
            versions: BTreeMap::new(),
            consecutive_rejections: 0,
            is_open: false,
            nonce: String::new(),
            seen: VecDeque::new(),
            names: BTreeSet::new(),
            postponed: None,
        }
    }

    /// The stream is lost: versions stay, the rest was the stream's.
    pub fn close(&mut self) {
        self.is_open = false;
        self.consecutive_rejections = 0;
        self.nonce.clear();
        self.seen.clear();
        self.names.clear();
        self.postponed = None;
    }

    /// The first request on a stream. Of endpoints it tells the versions that are held, so that only what
    /// differs is sent; of clusters, which are small, it tells none: all come anew, and none that has gone is
    /// overlooked, since the incremental variant still hears of the names.
    pub fn open(&mut self, names: BTreeSet<String>, node: Option<Node>) -> Request {
        self.is_open = true;
        self.names = names;
        match self.variant {
            Variant::StateOfTheWorld => {
                let mut request = DiscoveryRequest { node, ..self.world_request(None) };
                if self.kind == Kind::Cluster {
                    request.version_info.clear();
                }
                Request::World(request)
            }
            Variant::Incremental => Request::Delta(DeltaDiscoveryRequest {
                node,
                resource_names_subscribe: self.names.iter().cloned().collect(),
                initial_resource_versions: self
                    .versions
                    .iter()
                    .map(|(name, held)| self.held_version(name, held))
                    .collect(),
                ..self.delta_request(None)
            }),
        }
    }

    /// What a new stream is told of a resource that is held.
    fn held_version(&self, name: &str, held: &str) -> (String, String) {
        let version = if self.kind == Kind::Cluster { "" } else { held };
        (name.to_owned(), version.to_owned())
    }

    /// The names asked for on this stream.
    pub fn names(&self) -> &BTreeSet<String> {
        &self.names
    }

    /// A response with this nonce has come. False if one with the same has come before.
    ///
    /// Danger: what is repeated may be older than what has come since. A nonce that is missing tells nothing.
    pub fn accept_nonce(&mut self, nonce: &str) -> bool {
        if !nonce.is_empty() && self.seen.iter().any(|seen| seen == nonce) {
            return false;
        }
        if self.seen.len() >= TypeSubscription::NONCES {
            self.seen.pop_front();
        }
        self.seen.push_back(nonce.to_owned());
        nonce.clone_into(&mut self.nonce);
        self.postponed = None;
        true
    }

    /// The last response is accepted.
    pub fn ack(&mut self) -> Request {
        self.consecutive_rejections = 0;
        self.answer(None)
    }

    /// The last response is rejected; the answer is given now, or postponed if it is not the first in a row.
    ///
    /// Danger: some control planes send what was refused again at once, without an end.
    pub fn reject(&mut self, message: String) -> Option<Request> {
        let status = Status { code: INVALID_ARGUMENT, message, details: Vec::new() };
        self.consecutive_rejections = self.consecutive_rejections.saturating_add(1);
        if self.consecutive_rejections == 1 {
            return Some(self.answer(Some(status)));
        }
        self.postponed = Some(status);
        None
    }

    /// The rejection that was postponed.
    pub fn take_postponed(&mut self) -> Option<Request> {
        let status = self.postponed.take()?;
        Some(self.answer(Some(status)))
    }

    /// Asks for other names than before, if they are others. A postponed rejection goes with it.
    pub fn rename(&mut self, names: BTreeSet<String>) -> Option<Request> {
        if names == self.names {
            return None;
        }
        let old = std::mem::replace(&mut self.names, names);
        self.versions.retain(|name, _| self.names.contains(name));
        Some(match self.variant {
            Variant::StateOfTheWorld => {
                let status = self.postponed.take();
                Request::World(self.world_request(status))
            }
            Variant::Incremental => Request::Delta(DeltaDiscoveryRequest {
                resource_names_subscribe: self.names.difference(&old).cloned().collect(),
                resource_names_unsubscribe: old.difference(&self.names).cloned().collect(),
                ..self.unsolicited()
            }),
        })
    }

    /// Asks again for names that are asked for already.
    ///
    /// Incremental: a server must answer each subscription, also one that it has (see the comment on
    /// `DeltaDiscoveryRequest.resource_names_subscribe`). State of the world: it must answer a name that is
    /// new, so it is dropped first.
    pub fn resubscribe(&mut self, names: &BTreeSet<String>) -> Vec<Request> {
        let known: BTreeSet<String> = names.intersection(&self.names).cloned().collect();
        if known.is_empty() || !self.is_open {
            return Vec::new();
        }
        match self.variant {
            Variant::StateOfTheWorld => {
                let all = self.names.clone();
                let without = all.difference(&known).cloned().collect();
                [without, all].into_iter().filter_map(|names| self.rename(names)).collect()
            }
            Variant::Incremental => vec![Request::Delta(DeltaDiscoveryRequest {
                resource_names_subscribe: known.into_iter().collect(),
                ..self.unsolicited()
            })],
        }
    }

    /// A resource is no longer held.
    pub fn forget(&mut self, name: &str) {
        self.versions.remove(name);
        if self.variant == Variant::StateOfTheWorld {
            self.version.clear();
        }
    }

    /// The version of a resource that is held.
    pub fn version_of(&self, name: &str) -> Version {
        Version::new(self.versions.get(name).unwrap_or(&self.version).as_str())
    }

    fn answer(&self, status: Option<Status>) -> Request {
        match self.variant {
            Variant::StateOfTheWorld => Request::World(self.world_request(status)),
            Variant::Incremental => Request::Delta(self.delta_request(status)),
        }
    }

    fn world_request(&self, error_detail: Option<Status>) -> DiscoveryRequest {
        DiscoveryRequest {
            version_info: self.version.clone(),
            resource_names: self.names.iter().cloned().collect(),
            type_url: self.kind.type_url().to_owned(),
            response_nonce: self.nonce.clone(),
            error_detail,
            ..DiscoveryRequest::default()
        }
    }

    fn delta_request(&self, error_detail: Option<Status>) -> DeltaDiscoveryRequest {
        DeltaDiscoveryRequest {
            type_url: self.kind.type_url().to_owned(),
            response_nonce: self.nonce.clone(),
            error_detail,
            ..DeltaDiscoveryRequest::default()
        }
    }

    /// A request that answers nothing: it has no nonce.
    fn unsolicited(&self) -> DeltaDiscoveryRequest {
        DeltaDiscoveryRequest { response_nonce: String::new(), ..self.delta_request(None) }
    }
}
