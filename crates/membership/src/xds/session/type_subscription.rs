//! The protocol state of the subscription to one resource type: versions, nonces and names. Builds the
//! requests.

use super::config::Variant;
use super::message::Request;
use crate::names::Version;
use crate::xds::resource::Kind;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use envoy_types::pb::google::rpc::Status;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The status code of a rejection (`google.rpc.Code.INVALID_ARGUMENT`).
const INVALID_ARGUMENT: i32 = 3;

/// The subscription to one resource type.
#[derive(Debug)]
pub(super) struct TypeSubscription {
    kind: Kind,
    variant: Variant,
    /// The last accepted version, kept across streams. The incremental variant only displays it.
    pub version: String,
    /// The version of each known resource in the incremental variant, kept across streams.
    pub versions: BTreeMap<String, String>,
    /// The number of consecutive rejected responses.
    pub consecutive_rejections: u32,
    /// Whether a request was sent on this stream.
    pub is_open: bool,
    /// The nonce of the last response on this stream.
    nonce: String,
    /// The last nonces of this stream.
    seen_nonces: VecDeque<String>,
    /// The names subscribed to on this stream; for clusters, none means all.
    names: BTreeSet<String>,
    /// A rejection that is not sent yet.
    postponed_rejection: Option<Status>,
}

impl TypeSubscription {
    /// The maximum number of nonces that are remembered.
    const MAX_SEEN_NONCES: usize = 64;

    pub fn new(kind: Kind, variant: Variant) -> TypeSubscription {
        TypeSubscription {
            kind,
            variant,
            version: String::new(),
            versions: BTreeMap::new(),
            consecutive_rejections: 0,
            is_open: false,
            nonce: String::new(),
            seen_nonces: VecDeque::new(),
            names: BTreeSet::new(),
            postponed_rejection: None,
        }
    }

    /// Resets the state of a lost stream. The versions are kept.
    pub fn close(&mut self) {
        self.is_open = false;
        self.consecutive_rejections = 0;
        self.nonce.clear();
        self.seen_nonces.clear();
        self.names.clear();
        self.postponed_rejection = None;
    }

    /// Returns the first request on a stream. For endpoints it contains the known versions, so that the
    /// control plane sends only changes. For clusters, which are small, it contains no versions, so that all
    /// are sent again; the incremental variant still lists the names, so that removed clusters are reported.
    pub fn open(&mut self, names: BTreeSet<String>, node: Option<Node>) -> Request {
        self.is_open = true;
        self.names = names;
        match self.variant {
            Variant::StateOfTheWorld => {
                let mut request = DiscoveryRequest { node, ..self.sotw_request(None) };
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
                    .map(|(name, version)| self.initial_version(name, version))
                    .collect(),
                ..self.delta_request(None)
            }),
        }
    }

    /// Returns the entry of a known resource in the first request on a stream.
    fn initial_version(&self, name: &str, known: &str) -> (String, String) {
        let version = if self.kind == Kind::Cluster { "" } else { known };
        (name.to_owned(), version.to_owned())
    }

    /// Returns the names subscribed to on this stream.
    pub fn names(&self) -> &BTreeSet<String> {
        &self.names
    }

    /// Records the nonce of a response. Returns `false` if the nonce was already received on this stream.
    ///
    /// A repeated response may be older than those received since and must not be applied. Responses without
    /// a nonce are always accepted.
    pub fn accept_nonce(&mut self, nonce: &str) -> bool {
        if !nonce.is_empty() && self.seen_nonces.iter().any(|seen| seen == nonce) {
            return false;
        }
        if self.seen_nonces.len() >= TypeSubscription::MAX_SEEN_NONCES {
            self.seen_nonces.pop_front();
        }
        self.seen_nonces.push_back(nonce.to_owned());
        nonce.clone_into(&mut self.nonce);
        self.postponed_rejection = None;
        true
    }

    /// Accepts the last response (ACK).
    pub fn ack(&mut self) -> Request {
        self.consecutive_rejections = 0;
        self.acknowledgement(None)
    }

    /// Rejects the last response (NACK). Returns the request, or `None` if it is postponed because the
    /// previous response was rejected as well.
    ///
    /// Some control planes resend a rejected response at once, which would loop without the delay.
    pub fn reject(&mut self, message: String) -> Option<Request> {
        let status = Status { code: INVALID_ARGUMENT, message, details: Vec::new() };
        self.consecutive_rejections = self.consecutive_rejections.saturating_add(1);
        if self.consecutive_rejections == 1 {
            return Some(self.acknowledgement(Some(status)));
        }
        self.postponed_rejection = Some(status);
        None
    }

    /// Returns the postponed rejection, if there is one.
    pub fn take_postponed_rejection(&mut self) -> Option<Request> {
        let status = self.postponed_rejection.take()?;
        Some(self.acknowledgement(Some(status)))
    }

    /// Subscribes to these names instead. Returns `None` if they are unchanged. In the state of the world,
    /// the request includes the postponed rejection.
    pub fn update_names(&mut self, names: BTreeSet<String>) -> Option<Request> {
        if names == self.names {
            return None;
        }
        let old = std::mem::replace(&mut self.names, names);
        self.versions.retain(|name, _| self.names.contains(name));
        Some(match self.variant {
            Variant::StateOfTheWorld => {
                let status = self.postponed_rejection.take();
                Request::World(self.sotw_request(status))
            }
            Variant::Incremental => Request::Delta(DeltaDiscoveryRequest {
                resource_names_subscribe: self.names.difference(&old).cloned().collect(),
                resource_names_unsubscribe: old.difference(&self.names).cloned().collect(),
                ..self.unsolicited()
            }),
        })
    }

    /// Requests resources again that are already subscribed to.
    ///
    /// In the incremental variant, a server must answer each subscription, even a repeated one (see the
    /// comment on `DeltaDiscoveryRequest.resource_names_subscribe`). In the state of the world, it must
    /// answer a new name, so the names are unsubscribed first.
    pub fn resubscribe(&mut self, names: &BTreeSet<String>) -> Vec<Request> {
        let known: BTreeSet<String> = names.intersection(&self.names).cloned().collect();
        if known.is_empty() || !self.is_open {
            return Vec::new();
        }
        match self.variant {
            Variant::StateOfTheWorld => {
                let all = self.names.clone();
                let without = all.difference(&known).cloned().collect();
                [without, all].into_iter().filter_map(|names| self.update_names(names)).collect()
            }
            Variant::Incremental => vec![Request::Delta(DeltaDiscoveryRequest {
                resource_names_subscribe: known.into_iter().collect(),
                ..self.unsolicited()
            })],
        }
    }

    /// Forgets the version of a resource that was removed.
    pub fn forget(&mut self, name: &str) {
        self.versions.remove(name);
        if self.variant == Variant::StateOfTheWorld {
            self.version.clear();
        }
    }

    /// Returns the version of a known resource.
    pub fn version_of(&self, name: &str) -> Version {
        Version::new(self.versions.get(name).unwrap_or(&self.version).as_str())
    }

    fn acknowledgement(&self, status: Option<Status>) -> Request {
        match self.variant {
            Variant::StateOfTheWorld => Request::World(self.sotw_request(status)),
            Variant::Incremental => Request::Delta(self.delta_request(status)),
        }
    }

    fn sotw_request(&self, error_detail: Option<Status>) -> DiscoveryRequest {
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

    /// Returns a request that acknowledges no response, and therefore has no nonce.
    fn unsolicited(&self) -> DeltaDiscoveryRequest {
        DeltaDiscoveryRequest { response_nonce: String::new(), ..self.delta_request(None) }
    }
}
