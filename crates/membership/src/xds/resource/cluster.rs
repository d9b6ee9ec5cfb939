//! Reads a cluster.

use super::assignment::{ignored_fields as ignored_assignment_fields, parse_endpoints};
use super::problem::{InvalidField, InvalidResource, Problem};
use super::{Kind, to_std_duration};
use crate::endpoint::{ClusterSettings, Endpoint};
use crate::invalid::Invalid;
use crate::names::{ClusterName, fault_of};
use envoy_types::pb::envoy::config::cluster::v3::circuit_breakers::Thresholds;
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, DiscoveryType, EdsClusterConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::{CircuitBreakers, Cluster};
use envoy_types::pb::envoy::config::core::v3::RoutingPriority;
use envoy_types::pb::envoy::config::core::v3::config_source::ConfigSourceSpecifier;
use envoy_types::pb::envoy::config::core::v3::transport_socket::ConfigType;

/// A cluster that was read from a resource.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterResource {
    /// The cluster name.
    pub name: ClusterName,
    /// The limits that the resource sets.
    pub settings: ClusterSettings,
    /// The source of its endpoints.
    pub origin: Origin,
    /// Fields that are set but ignored.
    pub ignored: Vec<&'static str>,
}

/// The source of the endpoints of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// Endpoint discovery (EDS).
    Discovery {
        /// The name of the endpoint resource.
        service: String,
    },
    /// The cluster resource itself.
    Static(Vec<Endpoint>),
}

const RAW_BUFFER_TYPE_URL: &str =
    "type.googleapis.com/envoy.extensions.transport_sockets.raw_buffer.v3.RawBuffer";
const THRESHOLDS_FIELD: &str = "circuit_breakers.thresholds";

/// Reads a cluster.
///
/// # Errors
/// Returns all invalid fields.
pub fn parse_cluster(message: &Cluster) -> Result<ClusterResource, InvalidResource> {
    let mut parser = ClusterParser { invalid_fields: Vec::new() };
    if let Some(fault) = fault_of(&message.name) {
        parser.add_error("name", Invalid::ClusterName { fault }.into());
    }
    let origin = parser.read_origin(message);
    parser.check_transport(message);
    let settings = parser.read_settings(message);
    match InvalidResource::from_fields(Kind::Cluster, &message.name, parser.invalid_fields) {
        Some(invalid) => Err(invalid),
        None => {
            let (name, ignored) = (message.name.as_str().into(), ignored_fields(message));
            Ok(ClusterResource { name, settings, origin, ignored })
        }
    }
}

struct ClusterParser {
    invalid_fields: Vec<InvalidField>,
}

impl ClusterParser {
    fn add_error(&mut self, field: impl Into<String>, problem: Problem) {
        self.invalid_fields.push(InvalidField { field: field.into(), problem });
    }

    fn add_unsupported(&mut self, field: &str, found: impl Into<String>, hint: &'static str) {
        self.add_error(field, Problem::Unsupported { found: found.into(), hint });
    }

    fn read_origin(&mut self, message: &Cluster) -> Origin {
        let hint = "supported are EDS and STATIC";
        let no_endpoints = Origin::Static(Vec::new());
        let kind = match &message.cluster_discovery_type {
            None => DiscoveryType::Static, // the protobuf default
            Some(ClusterDiscoveryType::ClusterType(custom)) => {
                self.add_unsupported("cluster_type", format!("cluster type {:?}", custom.name), hint);
                return no_endpoints;
            }
            Some(ClusterDiscoveryType::Type(number)) => match DiscoveryType::try_from(*number) {
                Ok(kind) => kind,
                Err(_) => {
                    self.add_unsupported("type", format!("type {number}"), hint);
                    return no_endpoints;
                }
            },
        };
        match kind {
            DiscoveryType::Eds => self.read_discovery(message),
            DiscoveryType::Static => match &message.load_assignment {
                Some(list) => {
                    Origin::Static(parse_endpoints(list, "load_assignment.", &mut self.invalid_fields))
                }
                None => {
                    self.add_error("load_assignment", Problem::Missing(" if the type is STATIC"));
                    no_endpoints
                }
            },
            other => {
                self.add_unsupported("type", other.as_str_name(), hint);
                no_endpoints
            }
        }
    }

    fn read_discovery(&mut self, message: &Cluster) -> Origin {
        let EdsClusterConfig { eds_config, service_name } =
            message.eds_cluster_config.clone().unwrap_or_default();
        match eds_config.and_then(|config| config.config_source_specifier) {
            None | Some(ConfigSourceSpecifier::Ads(_) | ConfigSourceSpecifier::Self_(_)) => {}
            Some(_) => {
                let hint = "endpoints are received on the aggregated stream: set `ads`";
                self.add_unsupported(
                    "eds_cluster_config.eds_config",
                    "a config source other than `ads` or `self`",
                    hint,
                );
            }
        }
        let service = if service_name.is_empty() { message.name.clone() } else { service_name };
        Origin::Discovery { service }
    }

    /// Rejects every transport other than plain text. If the field were ignored, requests that the control
    /// plane wants encrypted would be sent in plain text.
    fn check_transport(&mut self, message: &Cluster) {
        let hint = "requests are sent in plain text: remove the field or use raw_buffer";
        if !message.transport_socket_matches.is_empty() || message.transport_socket_matcher.is_some() {
            self.add_unsupported("transport_socket_matches", "a selection of transports", hint);
        }
        let Some(socket) = &message.transport_socket else { return };
        let is_raw = match &socket.config_type {
            Some(ConfigType::TypedConfig(any)) => any.type_url == RAW_BUFFER_TYPE_URL,
            None => socket.name == "envoy.transport_sockets.raw_buffer",
        };
        if !is_raw {
            self.add_unsupported("transport_socket", format!("transport {:?}", socket.name), hint);
        }
    }

    fn read_settings(&mut self, message: &Cluster) -> ClusterSettings {
        let mut settings = ClusterSettings::default();
        if let Some(time) = &message.connect_timeout {
            settings.connect_timeout = to_std_duration(time);
            if settings.connect_timeout.is_none() {
                let problem = Invalid::Setting {
                    key: "connect_timeout",
                    requirement: "be greater than 0 and at most 1h",
                };
                self.add_error("connect_timeout", problem.into());
            }
        }
        let mut prefix = String::new();
        if let Some((index, limits)) = message.circuit_breakers.as_ref().and_then(default_limits) {
            prefix = format!("{THRESHOLDS_FIELD}[{index}].");
            settings.max_connections = limits.max_connections.map(|n| n.value);
            settings.max_pending_requests = limits.max_pending_requests.map(|n| n.value);
            settings.max_requests = limits.max_requests.map(|n| n.value);
            settings.max_retries = limits.max_retries.map(|n| n.value);
        }
        if let Err(fault) = settings.check() {
            let key = fault.key().unwrap_or_default();
            let prefix = if key == "connect_timeout" { "" } else { &*prefix };
            self.add_error(format!("{prefix}{key}"), fault.into());
        }
        settings
    }
}

/// Returns the limits of the DEFAULT routing priority. Other priorities are ignored, since the proxy has no
/// priority routing.
fn default_limits(breakers: &CircuitBreakers) -> Option<(usize, &Thresholds)> {
    let is_default = |(_, limits): &(usize, &Thresholds)| limits.priority == RoutingPriority::Default as i32;
    breakers.thresholds.iter().enumerate().find(is_default)
}

/// Returns the fields that are set but ignored, under their names in [`FIELD_SUPPORT`](super::FIELD_SUPPORT).
#[allow(deprecated)] // deprecated fields are reported as well
fn ignored_fields(message: &Cluster) -> Vec<&'static str> {
    let breakers = message.circuit_breakers.as_ref();
    let limits = |is: fn(&Thresholds) -> bool| breakers.is_some_and(|b| b.thresholds.iter().any(is));
    let set = [
        ("lb_policy", message.lb_policy != 0),
        ("load_balancing_policy", message.load_balancing_policy.is_some()),
        ("lb_config", message.lb_config.is_some()),
        ("lb_subset_config", message.lb_subset_config.is_some()),
        ("common_lb_config", message.common_lb_config.is_some()),
        ("health_checks", !message.health_checks.is_empty()),
        ("outlier_detection", message.outlier_detection.is_some()),
        ("circuit_breakers.per_host_thresholds", breakers.is_some_and(|b| !b.per_host_thresholds.is_empty())),
        ("circuit_breakers.thresholds.priority: HIGH", limits(|l| l.priority != 0)),
        ("circuit_breakers.thresholds.retry_budget", limits(|l| l.retry_budget.is_some())),
        ("circuit_breakers.thresholds.max_connection_pools", limits(|l| l.max_connection_pools.is_some())),
        ("max_requests_per_connection", message.max_requests_per_connection.is_some()),
        ("common_http_protocol_options", message.common_http_protocol_options.is_some()),
        ("http_protocol_options", message.http_protocol_options.is_some()),
        ("http2_protocol_options", message.http2_protocol_options.is_some()),
        ("typed_extension_protocol_options", !message.typed_extension_protocol_options.is_empty()),
        ("upstream_bind_config", message.upstream_bind_config.is_some()),
        ("upstream_connection_options", message.upstream_connection_options.is_some()),
        ("upstream_config", message.upstream_config.is_some()),
        ("filters", !message.filters.is_empty()),
        ("preconnect_policy", message.preconnect_policy.is_some()),
        ("lrs_server", message.lrs_server.is_some()),
    ];
    let mut ignored: Vec<&str> = set.into_iter().filter(|(_, set)| *set).map(|(field, _)| field).collect();
    ignored.extend(message.load_assignment.iter().flat_map(ignored_assignment_fields));
    ignored
}
