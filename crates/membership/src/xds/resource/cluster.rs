//! A cluster.

use super::assignment::{endpoints, ignored as ignored_of_endpoints};
use super::problem::{BadField, BadResource, Problem};
use super::{Kind, duration};
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

/// A cluster as a resource describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterResource {
    /// Its name.
    pub name: ClusterName,
    /// Limits that come with it.
    pub settings: ClusterSettings,
    /// Where its endpoints come from.
    pub origin: Origin,
    /// Fields that are set and ignored.
    pub ignored: Vec<&'static str>,
}

/// Where the endpoints of a cluster come from.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// From endpoint discovery, under this name.
    Discovery {
        /// The name.
        service: String,
    },
    /// From the cluster itself.
    Static(Vec<Endpoint>),
}

const RAW: &str = "type.googleapis.com/envoy.extensions.transport_sockets.raw_buffer.v3.RawBuffer";
const THRESHOLDS: &str = "circuit_breakers.thresholds";

/// A cluster.
///
/// # Errors
/// All fields that are wrong.
pub fn cluster(message: &Cluster) -> Result<ClusterResource, BadResource> {
    let mut reader = Reader { faults: Vec::new() };
    if let Some(fault) = fault_of(&message.name) {
        reader.fault("name", Invalid::ClusterName { fault }.into());
    }
    let origin = reader.origin(message);
    reader.transport(message);
    let settings = reader.settings(message);
    match BadResource::of(Kind::Cluster, &message.name, reader.faults) {
        Some(bad) => Err(bad),
        None => {
            let (name, ignored) = (message.name.as_str().into(), ignored(message));
            Ok(ClusterResource { name, settings, origin, ignored })
        }
    }
}

struct Reader {
    faults: Vec<BadField>,
}

impl Reader {
    fn fault(&mut self, field: impl Into<String>, problem: Problem) {
        self.faults.push(BadField { field: field.into(), problem });
    }

    fn unsupported(&mut self, field: &str, found: impl Into<String>, instead: &'static str) {
        self.fault(field, Problem::Unsupported { found: found.into(), instead });
    }

    fn origin(&mut self, message: &Cluster) -> Origin {
        let known = "known are EDS and STATIC";
        let nothing = Origin::Static(Vec::new());
        let kind = match &message.cluster_discovery_type {
            None => DiscoveryType::Static, // the default of the format
            Some(ClusterDiscoveryType::ClusterType(custom)) => {
                self.unsupported("cluster_type", format!("cluster type {:?}", custom.name), known);
                return nothing;
            }
            Some(ClusterDiscoveryType::Type(number)) => match DiscoveryType::try_from(*number) {
                Ok(kind) => kind,
                Err(_) => {
                    self.unsupported("type", format!("type {number}"), known);
                    return nothing;
                }
            },
        };
        match kind {
            DiscoveryType::Eds => self.discovery(message),
            DiscoveryType::Static => match &message.load_assignment {
                Some(list) => Origin::Static(endpoints(list, "load_assignment.", &mut self.faults)),
                None => {
                    self.fault("load_assignment", Problem::Missing(" where the type is STATIC"));
                    nothing
                }
            },
            other => {
                self.unsupported("type", other.as_str_name(), known);
                nothing
            }
        }
    }

    fn discovery(&mut self, message: &Cluster) -> Origin {
        let EdsClusterConfig { eds_config, service_name } =
            message.eds_cluster_config.clone().unwrap_or_default();
        match eds_config.and_then(|config| config.config_source_specifier) {
            None | Some(ConfigSourceSpecifier::Ads(_) | ConfigSourceSpecifier::Self_(_)) => {}
            Some(_) => {
                let instead = "endpoints come over the aggregated stream: give `ads`";
                self.unsupported("eds_cluster_config.eds_config", "another source of endpoints", instead);
            }
        }
        let service = if service_name.is_empty() { message.name.clone() } else { service_name };
        Origin::Discovery { service }
    }

    /// Danger: requests that shall be encrypted must not go out in plain text because their transport was
    /// passed over.
    fn transport(&mut self, message: &Cluster) {
        let instead = "requests go out in plain text here: leave it out or give raw_buffer";
        if !message.transport_socket_matches.is_empty() || message.transport_socket_matcher.is_some() {
            self.unsupported("transport_socket_matches", "a choice of transports", instead);
        }
        let Some(socket) = &message.transport_socket else { return };
        let is_raw = match &socket.config_type {
            Some(ConfigType::TypedConfig(any)) => any.type_url == RAW,
            None => socket.name == "envoy.transport_sockets.raw_buffer",
        };
        if !is_raw {
            self.unsupported("transport_socket", format!("transport {:?}", socket.name), instead);
        }
    }

    fn settings(&mut self, message: &Cluster) -> ClusterSettings {
        let mut settings = ClusterSettings::default();
        if let Some(time) = &message.connect_timeout {
            settings.connect_timeout = duration(time);
            if settings.connect_timeout.is_none() {
                let problem = Invalid::Setting { key: "it", requirement: "be greater than 0 and at most 1h" };
                self.fault("connect_timeout", problem.into());
            }
        }
        let mut place = String::new();
        if let Some((at, limits)) = message.circuit_breakers.as_ref().and_then(default_limits) {
            place = format!("{THRESHOLDS}[{at}].");
            settings.max_connections = limits.max_connections.map(|n| n.value);
            settings.max_pending_requests = limits.max_pending_requests.map(|n| n.value);
            settings.max_requests = limits.max_requests.map(|n| n.value);
            settings.max_retries = limits.max_retries.map(|n| n.value);
        }
        if let Err(fault) = settings.check() {
            let key = fault.key().unwrap_or_default();
            let place = if key == "connect_timeout" { "" } else { &*place };
            self.fault(format!("{place}{key}"), fault.into());
        }
        settings
    }
}

/// The limits of ordinary requests. There is one class of requests here; limits for another are ignored.
fn default_limits(breakers: &CircuitBreakers) -> Option<(usize, &Thresholds)> {
    let is_default = |(_, limits): &(usize, &Thresholds)| limits.priority == RoutingPriority::Default as i32;
    breakers.thresholds.iter().enumerate().find(is_default)
}

/// Fields that are set and ignored, as [`TABLE`](super::TABLE) lists them.
#[allow(deprecated)] // what is old in the format is ignored by name, too
fn ignored(message: &Cluster) -> Vec<&'static str> {
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
    ignored.extend(message.load_assignment.iter().flat_map(ignored_of_endpoints));
    ignored
}
