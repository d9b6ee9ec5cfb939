//! One endpoint.

use super::address::socket_address;
use super::problem::{BadField, Problem};
use crate::endpoint::{Endpoint, State};
use crate::invalid::Invalid;
use crate::names::{EndpointName, Label};
use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{Endpoint as Host, LbEndpoint};
use envoy_types::pb::google::protobuf::value::Kind as Json;
use envoy_types::pb::google::protobuf::{Struct, Value};
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The namespace of metadata for what xDS has no field for: `id`, `cell`, `kind`, `started_ms`.
const OWN: &str = "olivecart";
/// The namespace whose values are passed on, and the field that names it.
const PASSED: &str = "envoy.lb";

const ID: &str = ".metadata.filter_metadata.olivecart.id";
const CELL: &str = ".metadata.filter_metadata.olivecart.cell";
const KIND: &str = ".metadata.filter_metadata.olivecart.kind";
const STARTED: &str = ".metadata.filter_metadata.olivecart.started_ms";
const ADDRESS: &str = ".endpoint.address";

/// The largest whole number that a JSON number holds exactly.
const LARGEST_EXACT: f64 = (1_u64 << 53) as f64;

/// What an endpoint has from its locality.
pub(super) struct Place {
    pub zone: Label,
    pub priority: u32,
}

/// The kinds of machines of one resource, so that endpoints share them.
pub(super) type Kinds = BTreeMap<String, Label>;

/// The endpoint, with its own weight.
///
/// # Errors
/// The first fault, with the field below the endpoint's.
pub(super) fn endpoint(message: &LbEndpoint, place: &Place, kinds: &mut Kinds) -> Result<Endpoint, BadField> {
    let host = host(message)?;
    let address = socket_address(host.address.as_ref())
        .map_err(|below| BadField { field: format!("{ADDRESS}{}", below.field), problem: below.problem })?;
    let metadata = message.metadata.as_ref().map(|metadata| &metadata.filter_metadata);
    let own = OwnMetadata(metadata.and_then(|all| all.get(OWN)));
    let identity = identity(own, host, address)?;
    let kind = own.text("kind").map_err(in_field(KIND))?.unwrap_or_default();
    let started_ms = own.whole("started_ms").map_err(in_field(STARTED))?;
    let passed = metadata.and_then(|all| all.get(PASSED)).into_iter().flat_map(|passed| &passed.fields);
    let endpoint = Endpoint {
        name: identity.name,
        address: Some(address),
        zone: place.zone.clone(),
        priority: place.priority,
        weight: message.load_balancing_weight.as_ref().map_or(1.0, |weight| f64::from(weight.value)),
        cell: own.whole("cell").map_err(in_field(CELL))?.unwrap_or_default(),
        kind: shared_label(kinds, kind),
        state: state(message.health_status).map_err(in_field(".health_status"))?,
        metadata: passed.filter_map(|(key, value)| Some((&**key, text_of(value)?))).collect(),
        started: started_ms.map(|ms: u64| ms.saturating_mul(1_000_000) as Nanos),
    };
    match endpoint.check() {
        Ok(()) => Ok(endpoint),
        Err(invalid) => Err(in_field(field_at_fault(&invalid, identity.field))(invalid.into())),
    }
}

fn in_field(field: &'static str) -> impl Fn(Problem) -> BadField {
    move |problem| BadField { field: field.to_owned(), problem }
}

fn host(message: &LbEndpoint) -> Result<&Host, BadField> {
    match &message.host_identifier {
        Some(HostIdentifier::Endpoint(host)) => Ok(host),
        Some(HostIdentifier::EndpointName(_)) => {
            let problem = unusable("an endpoint by name", "put the endpoint in its place");
            Err(in_field(".endpoint_name")(problem))
        }
        None => Err(in_field(".endpoint")(Problem::Missing(""))),
    }
}

/// The id of an endpoint, and the field that it is from.
struct Identity {
    name: EndpointName,
    field: &'static str,
}

/// An id that comes from neither metadata nor the host's name is the address: then a move is another endpoint.
fn identity(own: OwnMetadata, host: &Host, address: SocketAddr) -> Result<Identity, BadField> {
    Ok(match own.text("id").map_err(in_field(ID))? {
        Some(id) => Identity { name: EndpointName::new(id), field: ID },
        None if !host.hostname.is_empty() => {
            Identity { name: EndpointName::new(&*host.hostname), field: ".endpoint.hostname" }
        }
        None => Identity { name: EndpointName::new(address.to_string()), field: ADDRESS },
    })
}

fn shared_label(kinds: &mut Kinds, kind: &str) -> Label {
    match kind {
        "" => Label::default(),
        kind => kinds.entry(kind.to_owned()).or_insert_with(|| kind.into()).clone(),
    }
}

/// The field of what makes an endpoint invalid.
fn field_at_fault(invalid: &Invalid, id_field: &'static str) -> &'static str {
    match invalid {
        Invalid::EndpointName { .. } => id_field,
        Invalid::Address { .. } => ADDRESS,
        Invalid::Metadata { .. } => ".metadata.filter_metadata.envoy.lb",
        _ => "",
    }
}

/// What an endpoint's health says about new requests.
///
/// Weighed for `DEGRADED`, which Envoy uses only if too few others are left: the balancer measures each
/// endpoint and sends a slow one less by itself. `TIMEOUT` is a failed health check.
fn state(health: i32) -> Result<State, Problem> {
    Ok(match HealthStatus::try_from(health) {
        Ok(HealthStatus::Unknown | HealthStatus::Healthy | HealthStatus::Degraded) => State::Ready,
        Ok(HealthStatus::Unhealthy | HealthStatus::Timeout) => State::Unhealthy,
        Ok(HealthStatus::Draining) => State::Draining,
        Err(_) => {
            let instead = "known are UNKNOWN, HEALTHY, UNHEALTHY, DRAINING, TIMEOUT and DEGRADED";
            return Err(Problem::Unsupported { found: format!("health status {health}"), instead });
        }
    })
}

/// The metadata that is meant for this proxy.
#[derive(Clone, Copy)]
struct OwnMetadata<'a>(Option<&'a Struct>);

impl<'a> OwnMetadata<'a> {
    fn get(self, key: &str) -> Option<&'a Json> {
        self.0?.fields.get(key)?.kind.as_ref()
    }

    fn text(self, key: &str) -> Result<Option<&'a str>, Problem> {
        match self.get(key) {
            None => Ok(None),
            Some(Json::StringValue(text)) => Ok(Some(text)),
            Some(_) => Err(unusable("a value that is no text", "write it in quotes")),
        }
    }

    /// A whole number, as a number or in text: JSON numbers hold no more than 53 bits.
    fn whole(self, key: &str) -> Result<Option<u64>, Problem> {
        let bad = || unusable("a value that is no whole number from 0", "write 7 or \"7\"");
        match self.get(key) {
            None => Ok(None),
            Some(Json::NumberValue(n)) if n.fract() == 0.0 && (0.0..=LARGEST_EXACT).contains(n) => {
                Ok(Some(*n as u64))
            }
            Some(Json::StringValue(text)) => text.parse().map(Some).map_err(|_| bad()),
            Some(_) => Err(bad()),
        }
    }
}

fn unusable(found: &str, instead: &'static str) -> Problem {
    Problem::Unsupported { found: found.to_owned(), instead }
}

/// A value of metadata as text; none for lists, maps and null.
fn text_of(value: &Value) -> Option<String> {
    match value.kind.as_ref()? {
        Json::StringValue(text) => Some(text.clone()),
        Json::NumberValue(number) => Some(number.to_string()),
        Json::BoolValue(is) => Some(is.to_string()),
        Json::NullValue(_) | Json::StructValue(_) | Json::ListValue(_) => None,
    }
}
