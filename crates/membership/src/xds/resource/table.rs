//! What of xDS is honoured, refused and ignored.

use std::fmt;

/// What becomes of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldSupport {
    /// It does what it does in Envoy, or what the note says.
    Honoured,
    /// A resource that has it is refused by name.
    Rejected,
    /// It does nothing; said once in the log.
    Ignored,
}

/// One line of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// The message.
    pub message: &'static str,
    /// The field, as files write it.
    pub field: &'static str,
    /// What becomes of it.
    pub support: FieldSupport,
    /// How, or why.
    pub note: &'static str,
}

const CLUSTER: &str = "Cluster";
const LIST: &str = "ClusterLoadAssignment";
const LOCALITY: &str = "LocalityLbEndpoints";
const ENDPOINT: &str = "LbEndpoint";
const RESOURCE: &str = "Resource";

const fn honoured(message: &'static str, field: &'static str, note: &'static str) -> Row {
    Row { message, field, support: FieldSupport::Honoured, note }
}

const fn refused(message: &'static str, field: &'static str, note: &'static str) -> Row {
    Row { message, field, support: FieldSupport::Rejected, note }
}

const fn ignored(message: &'static str, field: &'static str, note: &'static str) -> Row {
    Row { message, field, support: FieldSupport::Ignored, note }
}

const DECIDES: &str = "this proxy's own decisions take its place";
const BREAKERS: &str = "its own budget of retries and limits per endpoint hold";
const HTTP: &str = "requests go to endpoints as HTTP/1.1 with this proxy's own limits";

/// What of xDS is honoured, refused and ignored. Fields that are not listed do nothing; in a file they are
/// reported by name, on a stream they are not looked at.
pub const TABLE: &[Row] = &[
    honoured(RESOURCE, "name, version, resource, ttl", "a time to live runs while the stream stands"),
    honoured(RESOURCE, "ttl without resource", "a heartbeat: the time to live begins anew"),
    honoured(CLUSTER, "name", ""),
    honoured(CLUSTER, "type: EDS", "serves when its endpoints have come"),
    honoured(CLUSTER, "type: STATIC", "endpoints from load_assignment"),
    honoured(CLUSTER, "eds_cluster_config.service_name", "the name of its endpoints; the cluster's if empty"),
    honoured(CLUSTER, "eds_cluster_config.eds_config: ads, self", ""),
    honoured(CLUSTER, "connect_timeout", "over 0, at most 1 h"),
    honoured(CLUSTER, "circuit_breakers.thresholds.max_connections", "of priority DEFAULT; at least 1"),
    honoured(CLUSTER, "circuit_breakers.thresholds.max_pending_requests", "of priority DEFAULT"),
    honoured(CLUSTER, "circuit_breakers.thresholds.max_requests", "of priority DEFAULT; at least 1"),
    honoured(CLUSTER, "circuit_breakers.thresholds.max_retries", "of priority DEFAULT"),
    honoured(CLUSTER, "transport_socket: raw_buffer", ""),
    honoured(LIST, "cluster_name", ""),
    honoured(LOCALITY, "locality.zone, locality.region", "the zone; the region where no zone is given"),
    honoured(LOCALITY, "load_balancing_weight", "shared by its endpoints in the ratio of their own weights"),
    honoured(LOCALITY, "priority", "0 to 128"),
    honoured(ENDPOINT, "endpoint.address.socket_address", "over TCP, an IP address and a port"),
    honoured(ENDPOINT, "endpoint.hostname", "the id, where metadata give none"),
    honoured(ENDPOINT, "load_balancing_weight", "1 where none is given; 0 gets nothing"),
    honoured(ENDPOINT, "health_status: UNKNOWN, HEALTHY", "ready"),
    honoured(ENDPOINT, "health_status: DEGRADED", "ready: a slow endpoint is sent less by measurement"),
    honoured(ENDPOINT, "health_status: DRAINING", "draining: nothing new"),
    honoured(ENDPOINT, "health_status: UNHEALTHY, TIMEOUT", "unhealthy: nothing new"),
    honoured(ENDPOINT, "metadata.filter_metadata.olivecart", "id, cell, kind, started_ms"),
    honoured(ENDPOINT, "metadata.filter_metadata.envoy.lb", "texts, numbers and truths are passed on"),
    refused(CLUSTER, "type: STRICT_DNS, LOGICAL_DNS", "names are not resolved here"),
    refused(CLUSTER, "type: ORIGINAL_DST", "the endpoint would not be chosen here"),
    refused(CLUSTER, "cluster_type", "an extension that only Envoy has"),
    refused(CLUSTER, "eds_cluster_config.eds_config: others", "endpoints come over the aggregated stream"),
    refused(CLUSTER, "transport_socket: others", "requests go out in plain text"),
    refused(CLUSTER, "transport_socket_matches, transport_socket_matcher", "requests go out in plain text"),
    refused(LOCALITY, "leds_cluster_locality_config", "endpoints stand in the list itself"),
    refused(ENDPOINT, "endpoint_name", "endpoints stand in the list itself"),
    refused(ENDPOINT, "endpoint.address.pipe", "only socket addresses"),
    refused(ENDPOINT, "endpoint.address.envoy_internal_address", "only socket addresses"),
    refused(ENDPOINT, "endpoint.address.socket_address.address: a name", "names are not resolved here"),
    refused(ENDPOINT, "endpoint.address.socket_address.protocol: UDP", "requests go over TCP"),
    refused(ENDPOINT, "endpoint.address.socket_address.named_port", "give a port_value"),
    refused(ENDPOINT, "endpoint.address.socket_address.resolver_name", "names are not resolved here"),
    refused(ENDPOINT, "health_status: others", "what it asks for is not known"),
    ignored(CLUSTER, "lb_policy", DECIDES),
    ignored(CLUSTER, "load_balancing_policy", DECIDES),
    ignored(CLUSTER, "lb_config", DECIDES),
    ignored(CLUSTER, "lb_subset_config", DECIDES),
    ignored(CLUSTER, "common_lb_config", DECIDES),
    ignored(CLUSTER, "health_checks", "health comes from the control plane and from requests"),
    ignored(CLUSTER, "outlier_detection", DECIDES),
    ignored(CLUSTER, "circuit_breakers.per_host_thresholds", BREAKERS),
    ignored(CLUSTER, "circuit_breakers.thresholds.priority: HIGH", "there is one class of requests"),
    ignored(CLUSTER, "circuit_breakers.thresholds.retry_budget", BREAKERS),
    ignored(CLUSTER, "circuit_breakers.thresholds.max_connection_pools", BREAKERS),
    ignored(CLUSTER, "max_requests_per_connection", HTTP),
    ignored(CLUSTER, "common_http_protocol_options", HTTP),
    ignored(CLUSTER, "http_protocol_options", HTTP),
    ignored(CLUSTER, "http2_protocol_options", HTTP),
    ignored(CLUSTER, "typed_extension_protocol_options", HTTP),
    ignored(CLUSTER, "upstream_bind_config", "the system chooses the local address"),
    ignored(CLUSTER, "upstream_connection_options", HTTP),
    ignored(CLUSTER, "upstream_config", "an extension that only Envoy has"),
    ignored(CLUSTER, "filters", "an extension that only Envoy has"),
    ignored(CLUSTER, "preconnect_policy", DECIDES),
    ignored(CLUSTER, "lrs_server", "no load is reported"),
    ignored(LIST, "policy.drop_overloads", DECIDES),
    ignored(LIST, "policy.overprovisioning_factor", DECIDES),
    ignored(LIST, "policy.weighted_priority_health", DECIDES),
    ignored(LIST, "policy.endpoint_stale_after", "silence ages a cluster and empties nothing"),
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

/// The table in Markdown, for a page.
pub fn markdown() -> String {
    let head = "| message | field | | |\n| --- | --- | --- | --- |\n".to_owned();
    TABLE.iter().fold(head, |page, Row { message, field, support, note }| {
        format!("{page}| {message} | `{field}` | {support} | {note} |\n")
    })
}
