//! What a cluster is and what an endpoint is, in the field's words, and what makes either unusable.

use crate::invalid::Invalid;
use crate::limits;
use crate::names::{ClusterName, EndpointName, Label, fault_of};
use olivecart_decisions::Nanos;
use serde::{Serialize, Serializer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Whether an endpoint takes new requests. An endpoint that is gone is absent: there is no state for it.
///
/// Ordered by caution: where two sources differ, the greater holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes new requests.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// Its source says that it fails; it takes nothing new.
    Unhealthy,
}

/// One endpoint as its source describes it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Its id.
    pub name: EndpointName,
    /// Where it is reached; none if it cannot be, and then it is not [`State::Ready`].
    pub address: Option<SocketAddr>,
    /// Its zone (failure domain).
    pub zone: Label,
    /// 0 is used first; 0 to [`Endpoint::MAX_PRIORITY`].
    pub priority: u32,
    /// Its size relative to others of its cluster, 0 to [`Endpoint::MAX_WEIGHT`]; 1 where nothing is known, 0
    /// if it shall get nothing. Passed on as it is: whoever shares load out normalises.
    pub weight: f64,
    /// Its cell: a small group of endpoints that share which keys they have seen.
    pub cell: u64,
    /// Its kind of machine.
    pub kind: Label,
    /// Whether it takes new requests.
    pub state: State,
    /// Further pairs of key and value.
    pub metadata: Metadata,
    /// When its process started, in nanoseconds of Unix time; none if long ago or not known.
    pub started: Option<Nanos>,
}

impl Endpoint {
    /// The largest priority; xDS has the same limit.
    pub const MAX_PRIORITY: u32 = limits::MAX_PRIORITY;
    /// The largest weight: that of xDS, and far below where sums of weights lose exactness.
    pub const MAX_WEIGHT: f64 = limits::MAX_WEIGHT;

    /// An endpoint that takes requests, with nothing else known of it.
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

    /// Whether it is to be sent anything new.
    pub fn takes_requests(&self) -> bool {
        self.state == State::Ready && self.weight > 0.0
    }

    /// Whether this describes another process than `before` did. Any other start counts, an earlier one too:
    /// to take a restart for the old process sends a cold endpoint full load, while the other mistake costs
    /// it a slow start.
    pub fn restarted_since(&self, before: &Endpoint) -> bool {
        self.started.is_some() && self.started != before.started
    }

    /// What makes this endpoint unusable on its own, if anything.
    ///
    /// # Errors
    /// The first fault, with the value at fault.
    pub fn check(&self) -> Result<(), Invalid> {
        if let Some(fault) = fault_of(self.name.as_str()) {
            return Err(Invalid::EndpointName { fault });
        }
        match self.address {
            None if self.state == State::Ready => return Err(Invalid::NoAddress),
            Some(address) if address.port() == 0 || unroutable(address) => {
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

fn unroutable(address: SocketAddr) -> bool {
    address.ip().is_unspecified() || address.ip().is_multicast()
}

/// A small map from keys to values, sorted by key. Cheap to clone; an empty one holds no memory.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Metadata(Option<Arc<[Pair]>>);

type Pair = (Box<str>, Box<str>);

impl Metadata {
    /// Most pairs.
    pub const MAX_PAIRS: usize = limits::MAX_METADATA_PAIRS;
    /// Most bytes of all keys and values together.
    pub const MAX_BYTES: usize = limits::MAX_METADATA_BYTES;

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        let pairs = self.0.as_deref()?;
        let at = pairs.binary_search_by(|(k, _)| (**k).cmp(key)).ok()?;
        pairs.get(at).map(|(_, value)| &**value)
    }

    /// All pairs, by key.
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
    /// Of a key that comes twice the last value stays.
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

/// Limits that come with a cluster; what is none is left to the proxy's own settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClusterSettings {
    /// A connection not established in this time has failed; over 0, at most an hour.
    pub connect_timeout: Option<Duration>,
    /// Most connections to the cluster, at least 1.
    pub max_connections: Option<u32>,
    /// Most requests that wait for a connection.
    pub max_pending_requests: Option<u32>,
    /// Most requests at a time, at least 1.
    pub max_requests: Option<u32>,
    /// Most retries at a time.
    pub max_retries: Option<u32>,
}

impl ClusterSettings {
    /// The longest connect time-out: longer ones are a slip in the unit.
    pub const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(3600);

    /// What makes these limits unusable, if anything.
    ///
    /// # Errors
    /// The first fault, with its key.
    pub fn check(&self) -> Result<(), Invalid> {
        let bad = |key, requirement| Err(Invalid::Setting { key, requirement });
        if self.connect_timeout.is_some_and(|t| t.is_zero() || t > ClusterSettings::MAX_CONNECT_TIMEOUT) {
            return bad("connect_timeout", "be over 0 and at most 1h");
        }
        if self.max_connections == Some(0) {
            return bad("max_connections", "be at least 1");
        }
        if self.max_requests == Some(0) {
            return bad("max_requests", "be at least 1");
        }
        Ok(())
    }
}

/// The endpoints of a whole cluster.
#[derive(Clone, Debug, PartialEq)]
pub enum Endpoints {
    /// All of them, in any order; sorted by id, 10,000 cost the catalog a millisecond less. A list of none is
    /// not taken for an empty cluster: it may be a mistake.
    Listed(Vec<Endpoint>),
    /// The source says in so many words that there are none.
    NoneOnPurpose,
}

/// One cluster whole, as its source describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// Its name.
    pub name: ClusterName,
    /// Its endpoints.
    pub endpoints: Endpoints,
    /// Limits that come with it.
    pub settings: ClusterSettings,
}

impl Cluster {
    /// A cluster that brings no limits.
    pub fn new(name: impl Into<ClusterName>, endpoints: Vec<Endpoint>) -> Cluster {
        let (endpoints, settings) = (Endpoints::Listed(endpoints), ClusterSettings::default());
        Cluster { name: name.into(), endpoints, settings }
    }

    /// A cluster without endpoints, on purpose.
    pub fn empty(name: impl Into<ClusterName>) -> Cluster {
        let settings = ClusterSettings::default();
        Cluster { name: name.into(), endpoints: Endpoints::NoneOnPurpose, settings }
    }

    /// The endpoints listed.
    pub fn listed(&self) -> &[Endpoint] {
        match &self.endpoints {
            Endpoints::Listed(endpoints) => endpoints,
            Endpoints::NoneOnPurpose => &[],
        }
    }
}
