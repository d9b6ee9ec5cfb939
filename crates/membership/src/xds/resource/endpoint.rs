//! Reads an endpoint of a locality.

use super::address::socket_address;
use super::problem::{InvalidField, Problem};
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

/// The metadata namespace of the attributes without an xDS field: `id`, `cell`, `kind`, `started_ms`.
const OWN_NAMESPACE: &str = "olivecart";
/// The metadata namespace whose values become metadata of the endpoint.
const PASSED_NAMESPACE: &str = "envoy.lb";

const ID_FIELD: &str = ".metadata.filter_metadata.olivecart.id";
const CELL_FIELD: &str = ".metadata.filter_metadata.olivecart.cell";
const KIND_FIELD: &str = ".metadata.filter_metadata.olivecart.kind";
const STARTED_FIELD: &str = ".metadata.filter_metadata.olivecart.started_ms";
const ADDRESS_FIELD: &str = ".endpoint.address";

/// The largest whole number that a JSON number holds exactly.
const LARGEST_EXACT: f64 = (1_u64 << 53) as f64;

/// The attributes that an endpoint inherits from its locality.
pub(super) struct LocalityAttributes {
    pub zone: Label,
    pub priority: u32,
}

/// The machine kinds in a resource. Endpoints of the same kind share one label.
pub(super) type MachineKinds = BTreeMap<String, Label>;

/// Reads an endpoint, with its own weight.
///
/// # Errors
/// Returns the first invalid field, with its path relative to the endpoint.
pub(super) fn parse_endpoint(
    message: &LbEndpoint,
    locality: &LocalityAttributes,
    kinds: &mut MachineKinds,
) -> Result<Endpoint, InvalidField> {
    let host = host(message)?;
    let address = socket_address(host.address.as_ref()).map_err(|below| InvalidField {
        field: format!("{ADDRESS_FIELD}{}", below.field),
        problem: below.problem,
    })?;
    let metadata = message.metadata.as_ref().map(|metadata| &metadata.filter_metadata);
    let own = OwnMetadata(metadata.and_then(|all| all.get(OWN_NAMESPACE)));
    let identity = identity(own, host, address)?;
    let kind = own.text("kind").map_err(in_field(KIND_FIELD))?.unwrap_or_default();
    let started_ms = own.whole_number("started_ms").map_err(in_field(STARTED_FIELD))?;
    let passed =
        metadata.and_then(|all| all.get(PASSED_NAMESPACE)).into_iter().flat_map(|passed| &passed.fields);
    let endpoint = Endpoint {
        name: identity.name,
        address: Some(address),
        zone: locality.zone.clone(),
        priority: locality.priority,
        weight: message.load_balancing_weight.as_ref().map_or(1.0, |weight| f64::from(weight.value)),
        cell: own.whole_number("cell").map_err(in_field(CELL_FIELD))?.unwrap_or_default(),
        kind: shared_label(kinds, kind),
        state: state(message.health_status).map_err(in_field(".health_status"))?,
        metadata: passed.filter_map(|(key, value)| Some((&**key, text_of(value)?))).collect(),
        started: started_ms.map(|ms: u64| ms.saturating_mul(1_000_000) as Nanos),
    };
    match endpoint.check() {
        Ok(()) => Ok(endpoint),
        Err(invalid) => Err(in_field(invalid_field(&invalid, identity.field))(invalid.into())),
    }
}

fn in_field(field: &'static str) -> impl Fn(Problem) -> InvalidField {
    move |problem| InvalidField { field: field.to_owned(), problem }
}

fn host(message: &LbEndpoint) -> Result<&Host, InvalidField> {
    match &message.host_identifier {
        Some(HostIdentifier::Endpoint(host)) => Ok(host),
        Some(HostIdentifier::EndpointName(_)) => {
            let problem = unsupported("a reference to an endpoint", "set endpoint");
            Err(in_field(".endpoint_name")(problem))
        }
        None => Err(in_field(".endpoint")(Problem::Missing(""))),
    }
}

/// The id of an endpoint and the field that contains it.
struct Identity {
    name: EndpointName,
    field: &'static str,
}

/// Reads the id from the metadata or the hostname. Otherwise the address is the id, and an endpoint whose
/// address changes counts as another endpoint.
fn identity(own: OwnMetadata, host: &Host, address: SocketAddr) -> Result<Identity, InvalidField> {
    Ok(match own.text("id").map_err(in_field(ID_FIELD))? {
        Some(id) => Identity { name: EndpointName::new(id), field: ID_FIELD },
        None if !host.hostname.is_empty() => {
            Identity { name: EndpointName::new(&*host.hostname), field: ".endpoint.hostname" }
        }
        None => Identity { name: EndpointName::new(address.to_string()), field: ADDRESS_FIELD },
    })
}

fn shared_label(kinds: &mut MachineKinds, kind: &str) -> Label {
    match kind {
        "" => Label::default(),
        kind => kinds.entry(kind.to_owned()).or_insert_with(|| kind.into()).clone(),
    }
}

/// Returns the field that makes an endpoint invalid.
fn invalid_field(invalid: &Invalid, id_field: &'static str) -> &'static str {
    match invalid {
        Invalid::EndpointName { .. } => id_field,
        Invalid::Address { .. } => ADDRESS_FIELD,
        Invalid::Metadata { .. } => ".metadata.filter_metadata.envoy.lb",
        _ => "",
    }
}

/// Converts an xDS health status.
///
/// `DEGRADED`, which Envoy uses only if too few healthy endpoints are left, is ready: the balancer measures
/// each endpoint and sends fewer requests to a slow one. `TIMEOUT` is a failed health check.
fn state(health: i32) -> Result<State, Problem> {
    Ok(match HealthStatus::try_from(health) {
        Ok(HealthStatus::Unknown | HealthStatus::Healthy | HealthStatus::Degraded) => State::Ready,
        Ok(HealthStatus::Unhealthy | HealthStatus::Timeout) => State::Unhealthy,
        Ok(HealthStatus::Draining) => State::Draining,
        Err(_) => {
            let hint = "supported are UNKNOWN, HEALTHY, UNHEALTHY, DRAINING, TIMEOUT and DEGRADED";
            return Err(Problem::Unsupported { found: format!("health status {health}"), hint });
        }
    })
}

/// The metadata in the namespace of this proxy.
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
            Some(_) => Err(unsupported("a value other than a string", "put it in quotes")),
        }
    }

    /// Reads a whole number from a number or a string, since JSON numbers are exact only up to 53 bits.
    fn whole_number(self, key: &str) -> Result<Option<u64>, Problem> {
        let invalid = || unsupported("a value other than a whole number", "use a number such as 7 or \"7\"");
        match self.get(key) {
            None => Ok(None),
            Some(Json::NumberValue(n)) if n.fract() == 0.0 && (0.0..=LARGEST_EXACT).contains(n) => {
                Ok(Some(*n as u64))
            }
            Some(Json::StringValue(text)) => text.parse().map(Some).map_err(|_| invalid()),
            Some(_) => Err(invalid()),
        }
    }
}

fn unsupported(found: &str, hint: &'static str) -> Problem {
    Problem::Unsupported { found: found.to_owned(), hint }
}

/// Returns a metadata value as text, or `None` for lists, maps and null.
fn text_of(value: &Value) -> Option<String> {
    match value.kind.as_ref()? {
        Json::StringValue(text) => Some(text.clone()),
        Json::NumberValue(number) => Some(number.to_string()),
        Json::BoolValue(is) => Some(is.to_string()),
        Json::NullValue(_) | Json::StructValue(_) | Json::ListValue(_) => None,
    }
}
