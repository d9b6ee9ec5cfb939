//! Clusters and endpoints as sources describe them, and the validation of their values.

use crate::invalid::Invalid;
use crate::limits;
use crate::names::{ClusterName, EndpointName, Label, fault_of};
use olivecart_decisions::Nanos;
use serde::{Serialize, Serializer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Whether an endpoint accepts new requests. A removed endpoint is absent from the list and has no state.
///
/// Ordered by caution: if two sources differ, the greater state applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The endpoint accepts new requests.
    #[default]
    Ready,
    /// The endpoint finishes its requests and must not be sent new ones.
    Draining,
    /// Its source reports it as failing; it must not be sent new requests.
    Unhealthy,
}

/// One endpoint as its source describes it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Its id, unique in the cluster.
    pub name: EndpointName,
    /// Its address. `None` if it has none; it is then not [`State::Ready`].
    pub address: Option<SocketAddr>,
    /// Its zone (failure domain).
    pub zone: Label,
    /// Its priority, from 0 (used first) to [`Endpoint::MAX_PRIORITY`].
    pub priority: u32,
    /// Its weight relative to the other endpoints of its cluster, from 0 to [`Endpoint::MAX_WEIGHT`]; 1 if
    /// unknown, 0 if it must get no requests. Not normalized here; the load balancer does that.
    pub weight: f64,
    /// Its cell: a small group of endpoints that share a record of the idempotency keys they have seen.
    pub cell: u64,
    /// Its machine type.
    pub kind: Label,
    /// Whether it accepts new requests.
    pub state: State,
    /// Additional key-value pairs.
    pub metadata: Metadata,
    /// When its process started, in nanoseconds of Unix time; `None` if long ago or unknown.
    pub started: Option<Nanos>,
}

impl Endpoint {
    /// The largest priority; xDS has the same limit.
    pub const MAX_PRIORITY: u32 = limits::MAX_PRIORITY;
    /// The largest weight: the limit of xDS, and low enough that sums of weights stay exact.
    pub const MAX_WEIGHT: f64 = limits::MAX_WEIGHT;

    /// Creates a ready endpoint with default values for all other fields.
    pub fn ready(name: impl Into<EndpointName>, address: SocketAddr) -> Endpoint {
        Endpoint {
            name: name.into(),
            address: Some(address),
            zone: Label::default(),
            priority: 0,
            weight: 1.0,
            cell: 0,
            kind: Label::default(),
            state: State::Ready,
            metadata: Metadata::default(),
            started: None,
        }
    }

    /// Returns whether new requests may be sent to the endpoint.
    pub fn takes_requests(&self) -> bool {
        self.state == State::Ready && self.weight > 0.0
    }

    /// Returns whether this describes another process than `before` did. Any different start time counts,
    /// even an earlier one: missing a restart sends full load to a cold endpoint, while a falsely detected
    /// restart only costs a slow start.
    pub fn restarted_since(&self, before: &Endpoint) -> bool {
        self.started.is_some() && self.started != before.started
    }

    /// Validates the endpoint on its own.
    ///
    /// # Errors
    /// Returns the first invalid value.
    pub fn check(&self) -> Result<(), Invalid> {
        if let Some(fault) = fault_of(self.name.as_str()) {
            return Err(Invalid::EndpointName { fault });
        }
        match self.address {
            None if self.state == State::Ready => return Err(Invalid::NoAddress),
            Some(address) if address.port() == 0 || is_unroutable(address) => {
                return Err(Invalid::Address { address });
            }
            _ => {}
        }
        if !(0.0..=Endpoint::MAX_WEIGHT).contains(&self.weight) {
            return Err(Invalid::Weight { weight: self.weight });
        }
        if self.priority > Endpoint::MAX_PRIORITY {
            return Err(Invalid::Priority { priority: self.priority });
        }
        self.metadata.check()
    }
}

fn is_unroutable(address: SocketAddr) -> bool {
    address.ip().is_unspecified() || address.ip().is_multicast()
}

/// A small map of strings, sorted by key. Cheap to clone; an empty map allocates nothing.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Metadata(Option<Arc<[Pair]>>);

type Pair = (Box<str>, Box<str>);

impl Metadata {
    /// The maximum number of pairs.
    pub const MAX_PAIRS: usize = limits::MAX_METADATA_PAIRS;
    /// The maximum total size of all keys and values, in bytes.
    pub const MAX_BYTES: usize = limits::MAX_METADATA_BYTES;

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        let pairs = self.0.as_deref()?;
        let at = pairs.binary_search_by(|(k, _)| (**k).cmp(key)).ok()?;
        pairs.get(at).map(|(_, value)| &**value)
    }

    /// Iterates over the pairs in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().flat_map(|pairs| pairs.iter().map(|(k, v)| (&**k, &**v)))
    }

    fn check(&self) -> Result<(), Invalid> {
        let (pairs, bytes) =
            self.iter().fold((0, 0), |(n, bytes), (k, v)| (n + 1, bytes + k.len() + v.len()));
        if pairs > Metadata::MAX_PAIRS || bytes > Metadata::MAX_BYTES {
            return Err(Invalid::Metadata { pairs, bytes });
        }
        Ok(())
    }
}

impl<K: Into<Box<str>>, V: Into<Box<str>>> FromIterator<(K, V)> for Metadata {
    /// Builds a map; if a key occurs several times, its last value is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(pairs: I) -> Metadata {
        let sorted: std::collections::BTreeMap<Box<str>, Box<str>> =
            pairs.into_iter().map(|(k, v)| (k.into(), v.into())).collect();
        Metadata((!sorted.is_empty()).then(|| sorted.into_iter().collect()))
    }
}

impl std::fmt::Debug for Metadata {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}

impl Serialize for Metadata {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_map(self.iter())
    }
}

/// The limits that a source sets for a cluster. For a limit that is `None`, the proxy's own setting applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClusterSettings {
    /// The timeout for establishing a connection; greater than 0, at most one hour.
    pub connect_timeout: Option<Duration>,
    /// The maximum number of connections to the cluster, at least 1.
    pub max_connections: Option<u32>,
    /// The maximum number of requests that wait for a connection.
    pub max_pending_requests: Option<u32>,
    /// The maximum number of concurrent requests, at least 1.
    pub max_requests: Option<u32>,
    /// The maximum number of concurrent retries.
    pub max_retries: Option<u32>,
}

impl ClusterSettings {
    /// The longest connect timeout. A longer one is likely a wrong unit.
    pub const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(3600);

    /// Checks each limit against its range.
    ///
    /// # Errors
    /// Returns the first limit that is out of range, with its key.
    pub fn check(&self) -> Result<(), Invalid> {
        let invalid = |key, requirement| Err(Invalid::Setting { key, requirement });
        if self.connect_timeout.is_some_and(|t| t.is_zero() || t > ClusterSettings::MAX_CONNECT_TIMEOUT) {
            return invalid("connect_timeout", "be greater than 0 and at most 1h");
        }
        if self.max_connections == Some(0) {
            return invalid("max_connections", "be at least 1");
        }
        if self.max_requests == Some(0) {
            return invalid("max_requests", "be at least 1");
        }
        Ok(())
    }
}

/// The endpoints of a whole cluster.
#[derive(Clone, Debug, PartialEq)]
pub enum Endpoints {
    /// All endpoints, in any order; a list sorted by id saves the catalog a millisecond per 10,000 endpoints.
    /// An empty list does not stand for an empty cluster, since it may be a mistake.
    Listed(Vec<Endpoint>),
    /// The source states explicitly that the cluster has no endpoints.
    IntentionallyEmpty,
}

/// The complete state of a cluster, as its source describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// Its name.
    pub name: ClusterName,
    /// Its endpoints.
    pub endpoints: Endpoints,
    /// The limits that the source sets for it.
    pub settings: ClusterSettings,
}

impl Cluster {
    /// Creates a cluster without limits.
    pub fn new(name: impl Into<ClusterName>, endpoints: Vec<Endpoint>) -> Cluster {
        let (endpoints, settings) = (Endpoints::Listed(endpoints), ClusterSettings::default());
        Cluster { name: name.into(), endpoints, settings }
    }

    /// Creates a cluster that is intentionally empty.
    pub fn empty(name: impl Into<ClusterName>) -> Cluster {
        let settings = ClusterSettings::default();
        Cluster { name: name.into(), endpoints: Endpoints::IntentionallyEmpty, settings }
    }

    /// Returns the listed endpoints.
    pub fn listed(&self) -> &[Endpoint] {
        match &self.endpoints {
            Endpoints::Listed(endpoints) => endpoints,
            Endpoints::IntentionallyEmpty => &[],
        }
    }
}
