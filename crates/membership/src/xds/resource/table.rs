//! Which xDS fields are honoured, refused and ignored.

use std::fmt;

/// How the proxy treats a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldSupport {
    /// It has the same effect as in Envoy, or the effect that the note describes.
    Honoured,
    /// A resource that sets the field is refused, with the name of the field.
    Rejected,
    /// It has no effect, which is logged once.
    Ignored,
}

/// A row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldRow {
    /// The protobuf message.
    pub message: &'static str,
    /// The field name as written in files.
    pub field: &'static str,
    /// How the proxy treats the field.
    pub support: FieldSupport,
    /// Details or the reason.
    pub note: &'static str,
}

const CLUSTER: &str = "Cluster";
const ASSIGNMENT: &str = "ClusterLoadAssignment";
const LOCALITY: &str = "LocalityLbEndpoints";
const ENDPOINT: &str = "LbEndpoint";
const RESOURCE: &str = "Resource";

const fn honoured(message: &'static str, field: &'static str, note: &'static str) -> FieldRow {
    FieldRow { message, field, support: FieldSupport::Honoured, note }
}

const fn rejected(message: &'static str, field: &'static str, note: &'static str) -> FieldRow {
    FieldRow { message, field, support: FieldSupport::Rejected, note }
}

const fn ignored(message: &'static str, field: &'static str, note: &'static str) -> FieldRow {
    FieldRow { message, field, support: FieldSupport::Ignored, note }
}

const OWN_BALANCING: &str = "the proxy uses its own algorithms and settings";
const OWN_LIMITS: &str = "the proxy uses its own retry budget and endpoint limits";
const OWN_HTTP: &str = "requests are sent to endpoints over HTTP/1.1 with the limits of the proxy";

/// Which xDS fields are honoured, refused and ignored. Fields that are not listed have no effect; they are
/// reported by name if they are set in a file, and silently ignored on a stream.
pub const FIELD_SUPPORT: &[FieldRow] = &[
    honoured(RESOURCE, "name, version, resource, ttl", "the time to live counts while the stream is open"),
    honoured(RESOURCE, "ttl without resource", "a heartbeat: restarts the time to live"),
    honoured(CLUSTER, "name", ""),
    honoured(CLUSTER, "type: EDS", "serves once its endpoints are received"),
    honoured(CLUSTER, "type: STATIC", "endpoints are read from load_assignment"),
    honoured(
        CLUSTER,
        "eds_cluster_config.service_name",
        "the resource name of its endpoints; the cluster name if empty",
    ),
    honoured(CLUSTER, "eds_cluster_config.eds_config: ads, self", ""),
    honoured(CLUSTER, "connect_timeout", "greater than 0, at most 1 h"),
    honoured(CLUSTER, "circuit_breakers.thresholds.max_connections", "of priority DEFAULT; at least 1"),
    honoured(CLUSTER, "circuit_breakers.thresholds.max_pending_requests", "of priority DEFAULT"),
    honoured(CLUSTER, "circuit_breakers.thresholds.max_requests", "of priority DEFAULT; at least 1"),
    honoured(CLUSTER, "circuit_breakers.thresholds.max_retries", "of priority DEFAULT"),
    honoured(CLUSTER, "transport_socket: raw_buffer", ""),
    honoured(ASSIGNMENT, "cluster_name", ""),
    honoured(LOCALITY, "locality.zone, locality.region", "the zone; the region if no zone is set"),
    honoured(
        LOCALITY,
        "load_balancing_weight",
        "distributed to its endpoints in proportion to their own weights",
    ),
    honoured(LOCALITY, "priority", "0 to 128"),
    honoured(ENDPOINT, "endpoint.address.socket_address", "an IP address and a TCP port"),
    honoured(ENDPOINT, "endpoint.hostname", "the id, unless the metadata set one"),
    honoured(ENDPOINT, "load_balancing_weight", "1 if not set; an endpoint with weight 0 gets no requests"),
    honoured(ENDPOINT, "health_status: UNKNOWN, HEALTHY", "ready"),
    honoured(
        ENDPOINT,
        "health_status: DEGRADED",
        "ready: the proxy sends fewer requests to a slow endpoint by measured latency",
    ),
    honoured(ENDPOINT, "health_status: DRAINING", "draining: no new requests"),
    honoured(ENDPOINT, "health_status: UNHEALTHY, TIMEOUT", "unhealthy: no new requests"),
    honoured(ENDPOINT, "metadata.filter_metadata.olivecart", "id, cell, kind, started_ms"),
    honoured(
        ENDPOINT,
        "metadata.filter_metadata.envoy.lb",
        "strings, numbers and booleans become endpoint metadata",
    ),
    rejected(CLUSTER, "type: STRICT_DNS, LOGICAL_DNS", "host names are not resolved"),
    rejected(CLUSTER, "type: ORIGINAL_DST", "the proxy would not choose the endpoint"),
    rejected(CLUSTER, "cluster_type", "an Envoy extension"),
    rejected(
        CLUSTER,
        "eds_cluster_config.eds_config: others",
        "endpoints are received on the aggregated stream",
    ),
    rejected(CLUSTER, "transport_socket: others", "requests are sent in plain text"),
    rejected(
        CLUSTER,
        "transport_socket_matches, transport_socket_matcher",
        "requests are sent in plain text",
    ),
    rejected(LOCALITY, "leds_cluster_locality_config", "the resource must contain its endpoints"),
    rejected(ENDPOINT, "endpoint_name", "the resource must contain its endpoints"),
    rejected(ENDPOINT, "endpoint.address.pipe", "only socket addresses are supported"),
    rejected(ENDPOINT, "endpoint.address.envoy_internal_address", "only socket addresses are supported"),
    rejected(ENDPOINT, "endpoint.address.socket_address.address: a host name", "host names are not resolved"),
    rejected(ENDPOINT, "endpoint.address.socket_address.protocol: UDP", "requests are sent over TCP"),
    rejected(ENDPOINT, "endpoint.address.socket_address.named_port", "use port_value"),
    rejected(ENDPOINT, "endpoint.address.socket_address.resolver_name", "host names are not resolved"),
    rejected(ENDPOINT, "health_status: others", "the meaning is unknown"),
    ignored(CLUSTER, "lb_policy", OWN_BALANCING),
    ignored(CLUSTER, "load_balancing_policy", OWN_BALANCING),
    ignored(CLUSTER, "lb_config", OWN_BALANCING),
    ignored(CLUSTER, "lb_subset_config", OWN_BALANCING),
    ignored(CLUSTER, "common_lb_config", OWN_BALANCING),
    ignored(CLUSTER, "health_checks", "health is known from the control plane and from request results"),
    ignored(CLUSTER, "outlier_detection", OWN_BALANCING),
    ignored(CLUSTER, "circuit_breakers.per_host_thresholds", OWN_LIMITS),
    ignored(CLUSTER, "circuit_breakers.thresholds.priority: HIGH", "the proxy has no priority routing"),
    ignored(CLUSTER, "circuit_breakers.thresholds.retry_budget", OWN_LIMITS),
    ignored(CLUSTER, "circuit_breakers.thresholds.max_connection_pools", OWN_LIMITS),
    ignored(CLUSTER, "max_requests_per_connection", OWN_HTTP),
    ignored(CLUSTER, "common_http_protocol_options", OWN_HTTP),
    ignored(CLUSTER, "http_protocol_options", OWN_HTTP),
    ignored(CLUSTER, "http2_protocol_options", OWN_HTTP),
    ignored(CLUSTER, "typed_extension_protocol_options", OWN_HTTP),
    ignored(CLUSTER, "upstream_bind_config", "the operating system selects the local address"),
    ignored(CLUSTER, "upstream_connection_options", OWN_HTTP),
    ignored(CLUSTER, "upstream_config", "an Envoy extension"),
    ignored(CLUSTER, "filters", "an Envoy extension"),
    ignored(CLUSTER, "preconnect_policy", OWN_BALANCING),
    ignored(CLUSTER, "lrs_server", "load reports are not sent"),
    ignored(ASSIGNMENT, "policy.drop_overloads", OWN_BALANCING),
    ignored(ASSIGNMENT, "policy.overprovisioning_factor", OWN_BALANCING),
    ignored(ASSIGNMENT, "policy.weighted_priority_health", OWN_BALANCING),
    ignored(
        ASSIGNMENT,
        "policy.endpoint_stale_after",
        "a cluster without updates becomes stale and keeps its endpoints",
    ),
    ignored(ENDPOINT, "endpoint.additional_addresses", "the first address is used"),
];

impl fmt::Display for FieldSupport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            FieldSupport::Honoured => "honoured",
            FieldSupport::Rejected => "refused",
            FieldSupport::Ignored => "ignored",
        })
    }
}

/// Returns the table in Markdown, as in the operators' documentation.
pub fn markdown() -> String {
    let header = "| message | field | | |\n| --- | --- | --- | --- |\n".to_owned();
    FIELD_SUPPORT.iter().fold(header, |page, FieldRow { message, field, support, note }| {
        format!("{page}| {message} | `{field}` | {support} | {note} |\n")
    })
}
