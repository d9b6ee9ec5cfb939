//! Converts the file into protobuf messages, with the fields that are honoured or refused. The values are
//! validated by the same code as those from a stream ([`resource`](crate::xds::resource)).

use super::fields::{Fields, FileParser, field_path};
use super::tree::{Node, Value};
use envoy_types::pb::envoy::config::cluster::v3::circuit_breakers::Thresholds;
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, CustomClusterType, DiscoveryType, EdsClusterConfig, TransportSocketMatch,
};
use envoy_types::pb::envoy::config::cluster::v3::{CircuitBreakers, Cluster};
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::socket_address::{PortSpecifier, Protocol};
use envoy_types::pb::envoy::config::core::v3::transport_socket::ConfigType;
use envoy_types::pb::envoy::config::core::v3::{
    Address, EnvoyInternalAddress, HealthStatus, Locality, Metadata, Pipe, RoutingPriority, SocketAddress,
    TransportSocket,
};
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::locality_lb_endpoints::LbConfig;
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint, LbEndpoint, LedsClusterLocalityConfig, LocalityLbEndpoints,
};
use envoy_types::pb::google::protobuf::value::Kind as Json;
use envoy_types::pb::google::protobuf::{Any, ListValue, Struct, Value as JsonValue};

const CLUSTER_FIELDS: &[&str] = &[
    "@type",
    "name",
    "type",
    "cluster_type",
    "eds_cluster_config",
    "load_assignment",
    "connect_timeout",
    "circuit_breakers",
    "transport_socket",
    "transport_socket_matches",
    "transport_socket_matcher",
];
const ASSIGNMENT_FIELDS: &[&str] = &["@type", "cluster_name", "endpoints"];
const LOCALITY_FIELDS: &[&str] =
    &["locality", "lb_endpoints", "load_balancing_weight", "priority", "leds_cluster_locality_config"];
const ENDPOINT_FIELDS: &[&str] =
    &["endpoint", "endpoint_name", "health_status", "metadata", "load_balancing_weight"];
const SOCKET_ADDRESS_FIELDS: &[&str] = &["protocol", "address", "port_value", "named_port", "resolver_name"];
const THRESHOLDS_FIELDS: &[&str] =
    &["priority", "max_connections", "max_pending_requests", "max_requests", "max_retries"];

impl FileParser<'_> {
    pub fn cluster(&mut self, node: &Node, field: &str) -> Option<Cluster> {
        let fields = self.fields(node, field, CLUSTER_FIELDS)?;
        // Transport socket matches are refused whatever their content, so it is not read.
        let has_matches = fields.get("transport_socket_matches").is_some()
            || fields.get("transport_socket_matcher").is_some();
        let matches = if has_matches { vec![TransportSocketMatch::default()] } else { Vec::new() };
        Some(Cluster {
            name: self.string(&fields, "name"),
            cluster_discovery_type: self.discovery_type(&fields),
            eds_cluster_config: self
                .message_field(&fields, "eds_cluster_config", &["service_name", "eds_config"])
                .map(|eds| EdsClusterConfig {
                    service_name: self.string(&eds, "service_name"),
                    eds_config: None,
                }),
            load_assignment: fields
                .get("load_assignment")
                .and_then(|list| self.assignment(list, &fields.path_of("load_assignment"))),
            connect_timeout: self.duration(&fields, "connect_timeout"),
            circuit_breakers: self.circuit_breakers(&fields),
            transport_socket: self.transport(&fields),
            transport_socket_matches: matches,
            ..Cluster::default()
        })
    }

    fn discovery_type(&mut self, fields: &Fields) -> Option<ClusterDiscoveryType> {
        if let Some(custom) = self.message_field(fields, "cluster_type", &["name", "typed_config"]) {
            let name = self.string(&custom, "name");
            return Some(ClusterDiscoveryType::ClusterType(CustomClusterType { name, typed_config: None }));
        }
        let number =
            self.enum_number(fields, "type", "a cluster type such as EDS", DiscoveryType::from_str_name)?;
        Some(ClusterDiscoveryType::Type(number))
    }

    fn circuit_breakers(&mut self, fields: &Fields) -> Option<CircuitBreakers> {
        let breakers = self.message_field(fields, "circuit_breakers", &["thresholds"])?;
        let mut thresholds = Vec::new();
        for (field, node) in self.list(&breakers, "thresholds") {
            let Some(limits) = self.fields(node, &field, THRESHOLDS_FIELDS) else { continue };
            let priority = self.enum_number(
                &limits,
                "priority",
                "a priority such as DEFAULT",
                RoutingPriority::from_str_name,
            );
            thresholds.push(Thresholds {
                priority: priority.unwrap_or_default(),
                max_connections: self.uint32_value(&limits, "max_connections"),
                max_pending_requests: self.uint32_value(&limits, "max_pending_requests"),
                max_requests: self.uint32_value(&limits, "max_requests"),
                max_retries: self.uint32_value(&limits, "max_retries"),
                ..Thresholds::default()
            });
        }
        Some(CircuitBreakers { thresholds, per_host_thresholds: Vec::new() })
    }

    fn transport(&mut self, fields: &Fields) -> Option<TransportSocket> {
        let socket = self.message_field(fields, "transport_socket", &["name", "typed_config"])?;
        let config_type = socket.get("typed_config").map(|config| {
            ConfigType::TypedConfig(Any { type_url: type_url(config).unwrap_or_default(), value: Vec::new() })
        });
        Some(TransportSocket { name: self.string(&socket, "name"), config_type })
    }

    pub fn assignment(&mut self, node: &Node, field: &str) -> Option<ClusterLoadAssignment> {
        let fields = self.fields(node, field, ASSIGNMENT_FIELDS)?;
        let mut endpoints = Vec::new();
        for (field, node) in self.list(&fields, "endpoints") {
            endpoints.extend(self.locality(node, &field));
        }
        let cluster_name = self.string(&fields, "cluster_name");
        Some(ClusterLoadAssignment { cluster_name, endpoints, ..ClusterLoadAssignment::default() })
    }

    fn locality(&mut self, node: &Node, field: &str) -> Option<LocalityLbEndpoints> {
        let fields = self.fields(node, field, LOCALITY_FIELDS)?;
        let locality =
            self.message_field(&fields, "locality", &["region", "zone", "sub_zone"]).map(|locality| {
                Locality {
                    region: self.string(&locality, "region"),
                    zone: self.string(&locality, "zone"),
                    sub_zone: String::new(),
                }
            });
        let mut lb_endpoints = Vec::new();
        for (field, node) in self.list(&fields, "lb_endpoints") {
            lb_endpoints.extend(self.endpoint(node, &field));
        }
        let leds_config = fields.get("leds_cluster_locality_config");
        Some(LocalityLbEndpoints {
            locality,
            lb_endpoints,
            load_balancing_weight: self.uint32_value(&fields, "load_balancing_weight"),
            priority: self.whole_number(&fields, "priority").unwrap_or_default(),
            lb_config: leds_config
                .map(|_| LbConfig::LedsClusterLocalityConfig(LedsClusterLocalityConfig::default())),
            ..LocalityLbEndpoints::default()
        })
    }

    fn endpoint(&mut self, node: &Node, field: &str) -> Option<LbEndpoint> {
        let fields = self.fields(node, field, ENDPOINT_FIELDS)?;
        let health = self.enum_number(&fields, "health_status", "a health status such as DRAINING", |name| {
            HealthStatus::from_str_name(name)
        });
        let host = self.message_field(&fields, "endpoint", &["address", "hostname"]).map(|host| Endpoint {
            address: self.address(&host),
            hostname: self.string(&host, "hostname"),
            ..Endpoint::default()
        });
        let endpoint_name = fields.get("endpoint_name").map(|_| self.string(&fields, "endpoint_name"));
        Some(LbEndpoint {
            health_status: health.unwrap_or_default(),
            metadata: self.metadata(&fields),
            load_balancing_weight: self.uint32_value(&fields, "load_balancing_weight"),
            host_identifier: host
                .map(HostIdentifier::Endpoint)
                .or(endpoint_name.map(HostIdentifier::EndpointName)),
        })
    }

    fn address(&mut self, fields: &Fields) -> Option<Address> {
        let kinds = ["socket_address", "pipe", "envoy_internal_address"];
        let address = self.message_field(fields, "address", &kinds)?;
        let kind = if let Some(socket) = self.message_field(&address, "socket_address", SOCKET_ADDRESS_FIELDS)
        {
            let protocol =
                self.enum_number(&socket, "protocol", "a protocol such as TCP", Protocol::from_str_name);
            let port = self.whole_number(&socket, "port_value").map(PortSpecifier::PortValue);
            let named = socket.get("named_port").map(|_| self.string(&socket, "named_port"));
            Some(AddressKind::SocketAddress(SocketAddress {
                protocol: protocol.unwrap_or_default(),
                address: self.string(&socket, "address"),
                resolver_name: self.string(&socket, "resolver_name"),
                port_specifier: port.or(named.map(PortSpecifier::NamedPort)),
                ..SocketAddress::default()
            }))
        } else if address.get("pipe").is_some() {
            Some(AddressKind::Pipe(Pipe::default()))
        } else {
            let internal = address.get("envoy_internal_address");
            internal.map(|_| AddressKind::EnvoyInternalAddress(EnvoyInternalAddress::default()))
        };
        Some(Address { address: kind })
    }

    fn metadata(&mut self, fields: &Fields) -> Option<Metadata> {
        let metadata = self.message_field(fields, "metadata", &["filter_metadata"])?;
        let node = metadata.get("filter_metadata")?;
        let Value::Table(entries) = &node.value else {
            self.report_wrong_type(node, &metadata.path_of("filter_metadata"), "a table");
            return None;
        };
        let mut all = Metadata::default();
        for entry in entries {
            let field = field_path(&metadata.path_of("filter_metadata"), &entry.name);
            match json(&entry.node).kind {
                Some(Json::StructValue(values)) => _ = all.filter_metadata.insert(entry.name.clone(), values),
                _ => self.report_wrong_type(&entry.node, &field, "a table"),
            }
        }
        Some(all)
    }
}

/// Returns the `@type` of a message, if it has one.
pub(super) fn type_url(node: &Node) -> Option<String> {
    let Value::Table(entries) = &node.value else { return None };
    entries.iter().find(|entry| entry.name == "@type").and_then(|entry| match &entry.node.value {
        Value::Text(text) => Some(text.clone()),
        _ => None,
    })
}

fn json(node: &Node) -> JsonValue {
    let kind = match &node.value {
        Value::Null => Json::NullValue(0),
        Value::Bool(is) => Json::BoolValue(*is),
        Value::Number(digits) => match digits.parse() {
            Ok(number) => Json::NumberValue(number),
            Err(_) => Json::StringValue(digits.clone()),
        },
        Value::Text(text) => Json::StringValue(text.clone()),
        Value::List(items) => Json::ListValue(ListValue { values: items.iter().map(json).collect() }),
        Value::Table(entries) => {
            let fields = entries.iter().map(|entry| (entry.name.clone(), json(&entry.node)));
            Json::StructValue(Struct { fields: fields.collect() })
        }
    };
    JsonValue { kind: Some(kind) }
}
