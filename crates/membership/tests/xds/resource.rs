//! Which fields of a resource are honoured, and which are refused with the name of the field.

use super::harness::assignment;
use envoy_types::pb::envoy::config::cluster::v3::circuit_breakers::Thresholds;
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, DiscoveryType, EdsClusterConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::{CircuitBreakers, Cluster, OutlierDetection};
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::config_source::ConfigSourceSpecifier;
use envoy_types::pb::envoy::config::core::v3::{
    Address, ConfigSource, HealthStatus, Locality, Metadata, Pipe, TransportSocket,
};
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, Endpoint, LbEndpoint};
use envoy_types::pb::google::protobuf::value::Kind as Json;
use envoy_types::pb::google::protobuf::{Duration, Struct, UInt32Value, Value};
use olivecart_lab::control_plane::eds_cluster;
use olivecart_membership::State;
use olivecart_membership::xds::resource::{
    FIELD_SUPPORT, FieldSupport, markdown, parse_assignment, parse_cluster,
};

fn host(endpoint: &mut LbEndpoint) -> &mut Endpoint {
    match &mut endpoint.host_identifier {
        Some(HostIdentifier::Endpoint(host)) => host,
        _ => panic!("expected an inline endpoint"),
    }
}

fn socket(endpoint: &mut LbEndpoint) -> &mut envoy_types::pb::envoy::config::core::v3::SocketAddress {
    match &mut host(endpoint).address.as_mut().expect("endpoint has an address").address {
        Some(AddressKind::SocketAddress(socket)) => socket,
        _ => panic!("expected a socket address"),
    }
}

fn uint32(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value { value })
}

fn metadata(namespace: &str, pairs: &[(&str, Json)]) -> Option<Metadata> {
    let value = |(key, kind): &(&str, Json)| ((*key).to_owned(), Value { kind: Some(kind.clone()) });
    let fields = pairs.iter().map(value).collect();
    let filter_metadata = [(namespace.to_owned(), Struct { fields })].into();
    Some(Metadata { filter_metadata, ..Metadata::default() })
}

#[test]
fn honoured_endpoint_fields_are_applied() {
    let mut list = assignment("cart", &["a", "b", "c", "d", "e", "f"]);
    let locality = &mut list.endpoints[0];
    locality.locality = Some(Locality { region: "eu".into(), zone: "eu-1".into(), ..Locality::default() });
    locality.priority = 2;
    locality.load_balancing_weight = uint32(60);
    let health = [
        HealthStatus::Unknown,
        HealthStatus::Unhealthy,
        HealthStatus::Draining,
        HealthStatus::Timeout,
        HealthStatus::Degraded,
        HealthStatus::Healthy,
    ];
    for (endpoint, health) in locality.lb_endpoints.iter_mut().zip(health) {
        endpoint.health_status = health as i32;
    }
    locality.lb_endpoints[5].load_balancing_weight = uint32(5);
    locality.lb_endpoints[0].metadata = metadata(
        "olivecart",
        &[
            ("id", Json::StringValue("pod-1".into())),
            ("cell", Json::NumberValue(3.0)),
            ("kind", Json::StringValue("m2".into())),
            ("started_ms", Json::StringValue("1700000000000".into())),
        ],
    );
    locality.lb_endpoints[1].metadata = metadata("envoy.lb", &[("canary", Json::BoolValue(true))]);
    host(&mut locality.lb_endpoints[2]).hostname.clear();
    let found = parse_assignment(&list).expect("valid resource").endpoints;
    let states: Vec<State> = found.iter().map(|e| e.state).collect();
    use State::{Draining, Ready, Unhealthy};
    assert_eq!(states, [Ready, Unhealthy, Draining, Unhealthy, Ready, Ready]);
    assert!(found.iter().all(|e| e.zone.as_str() == "eu-1" && e.priority == 2));
    // The locality weight is distributed in the ratio 1 : 1 : 1 : 1 : 1 : 5.
    let weights: Vec<f64> = found.iter().map(|e| e.weight).collect();
    assert_eq!(weights, [6.0, 6.0, 6.0, 6.0, 6.0, 30.0]);
    let names: Vec<&str> = found.iter().map(|e| e.name.as_str()).collect();
    assert_eq!(names, ["pod-1", "b", "10.0.0.99:80", "d", "e", "f"]);
    let first = &found[0];
    assert_eq!((first.cell, first.kind.as_str(), first.started), (3, "m2", Some(1_700_000_000_000_000_000)));
    assert_eq!(found[1].metadata.get("canary"), Some("true"));
}

#[test]
fn region_is_the_zone_if_no_zone_is_set() {
    let mut list = assignment("cart", &["a"]);
    list.endpoints[0].locality = Some(Locality { region: "eu".into(), ..Locality::default() });
    assert_eq!(parse_assignment(&list).expect("valid resource").endpoints[0].zone.as_str(), "eu");
}

#[test]
fn unsupported_endpoint_fields_are_refused_by_name() {
    let error_after = |change: &dyn Fn(&mut ClusterLoadAssignment)| {
        let mut list = assignment("cart", &["a", "b"]);
        change(&mut list);
        parse_assignment(&list).expect_err("invalid resource").to_string()
    };
    let error_at_last = |change: &dyn Fn(&mut LbEndpoint)| {
        error_after(&|list| change(&mut list.endpoints[0].lb_endpoints[1]))
    };
    let pipe = Some(Address { address: Some(AddressKind::Pipe(Pipe::default())) });
    let at = "ClusterLoadAssignment \"cart\": endpoints[0].lb_endpoints[1]";
    for (actual, expected) in [
        (
            error_at_last(&|e| socket(e).address = "cart.local".into()),
            ".endpoint.address.socket_address.address: host name \"cart.local\" is not supported; use an IP address, names are not resolved",
        ),
        (
            error_at_last(&|e| socket(e).port_specifier = None),
            ".endpoint.address.socket_address.port_value: must be set",
        ),
        (
            error_at_last(&|e| socket(e).protocol = 1),
            ".endpoint.address.socket_address.protocol: UDP is not supported; requests are sent over TCP",
        ),
        (
            error_at_last(&|e| socket(e).address = "0.0.0.0".into()),
            ".endpoint.address: address 0.0.0.0:80 must be a unicast address with a port other than 0",
        ),
        (
            error_at_last(&|e| host(e).address = pipe.clone()),
            ".endpoint.address: a pipe is not supported; use socket_address",
        ),
        (
            error_at_last(&|e| e.host_identifier = Some(HostIdentifier::EndpointName("x".into()))),
            ".endpoint_name: a reference to an endpoint is not supported; set endpoint",
        ),
        (
            error_at_last(&|e| e.health_status = 77),
            ".health_status: health status 77 is not supported; supported are UNKNOWN, HEALTHY, UNHEALTHY, DRAINING, TIMEOUT and DEGRADED",
        ),
        (
            error_at_last(&|e| e.metadata = metadata("olivecart", &[("id", Json::NumberValue(7.0))])),
            ".metadata.filter_metadata.olivecart.id: a value other than a string is not supported; put it in quotes",
        ),
        (
            error_at_last(&|e| host(e).hostname = "a".into()),
            ": endpoints[0].lb_endpoints[0] has the same id \"a\"; set `id` in metadata `olivecart` if hostnames are not unique",
        ),
    ] {
        assert_eq!(actual, format!("{at}{expected}"));
    }
    assert_eq!(
        error_after(&|list| list.endpoints[0].priority = 129),
        "ClusterLoadAssignment \"cart\": endpoints[0].priority: priority 129 must be from 0 to 128"
    );
}

#[test]
fn cluster_limits_are_read_from_the_default_priority() {
    let limits = |priority, n| Thresholds {
        priority,
        max_connections: uint32(n),
        max_pending_requests: uint32(n + 1),
        max_requests: uint32(n + 2),
        max_retries: uint32(n + 3),
        ..Thresholds::default()
    };
    let found = parse_cluster(&Cluster {
        connect_timeout: Some(Duration { seconds: 1, nanos: 500_000_000 }),
        circuit_breakers: Some(CircuitBreakers {
            thresholds: vec![limits(1, 90), limits(0, 10)],
            per_host_thresholds: Vec::new(),
        }),
        outlier_detection: Some(OutlierDetection::default()),
        lb_policy: 5,
        ..eds_cluster("cart")
    });
    let found = found.expect("valid resource");
    let settings = found.settings;
    assert_eq!(settings.connect_timeout, Some(std::time::Duration::from_millis(1500)));
    assert_eq!(
        [
            settings.max_connections,
            settings.max_pending_requests,
            settings.max_requests,
            settings.max_retries
        ],
        [Some(10), Some(11), Some(12), Some(13)]
    );
    let ignored = ["lb_policy", "outlier_detection", "circuit_breakers.thresholds.priority: HIGH"];
    assert_eq!(found.ignored, ignored);
    // Every field that is reported as ignored is listed as ignored in the table.
    for field in ignored {
        assert!(
            FIELD_SUPPORT.iter().any(|row| row.field == field && row.support == FieldSupport::Ignored),
            "{field}"
        );
        assert!(markdown().contains(&format!("| `{field}` | ignored |")));
    }
}

#[test]
fn unsupported_cluster_fields_are_refused_by_name() {
    let kind = |kind: DiscoveryType| Some(ClusterDiscoveryType::Type(kind as i32));
    let error = |change: Cluster| parse_cluster(&change).expect_err("invalid resource").to_string();
    let eds = eds_cluster("cart");
    let path = ConfigSource {
        config_source_specifier: Some(ConfigSourceSpecifier::PathConfigSource(Default::default())),
        ..ConfigSource::default()
    };
    let one = Thresholds { max_connections: uint32(0), ..Thresholds::default() };
    let breakers = CircuitBreakers { thresholds: vec![one], per_host_thresholds: Vec::new() };
    let tls = TransportSocket { name: "envoy.transport_sockets.tls".into(), config_type: None };
    for (actual, expected) in [
        (
            error(Cluster { cluster_discovery_type: kind(DiscoveryType::StrictDns), ..eds.clone() }),
            "type: STRICT_DNS is not supported; supported are EDS and STATIC",
        ),
        (
            error(Cluster { cluster_discovery_type: kind(DiscoveryType::OriginalDst), ..eds.clone() }),
            "type: ORIGINAL_DST is not supported; supported are EDS and STATIC",
        ),
        (
            error(Cluster { cluster_discovery_type: kind(DiscoveryType::Static), ..eds.clone() }),
            "load_assignment: must be set if the type is STATIC",
        ),
        (
            error(Cluster { transport_socket: Some(tls), ..eds.clone() }),
            "transport_socket: transport \"envoy.transport_sockets.tls\" is not supported; requests are sent in plain text: remove the field or use raw_buffer",
        ),
        (
            error(Cluster {
                eds_cluster_config: Some(EdsClusterConfig {
                    eds_config: Some(path),
                    service_name: String::new(),
                }),
                ..eds.clone()
            }),
            "eds_cluster_config.eds_config: a config source other than `ads` or `self` is not supported; endpoints are received on the aggregated stream: set `ads`",
        ),
        (
            error(Cluster { connect_timeout: Some(Duration { seconds: 0, nanos: 0 }), ..eds.clone() }),
            "connect_timeout: connect_timeout must be greater than 0 and at most 1h",
        ),
        (
            error(Cluster { connect_timeout: Some(Duration { seconds: -1, nanos: 0 }), ..eds.clone() }),
            "connect_timeout: connect_timeout must be greater than 0 and at most 1h",
        ),
        (
            error(Cluster { circuit_breakers: Some(breakers), ..eds.clone() }),
            "circuit_breakers.thresholds[0].max_connections: max_connections must be at least 1",
        ),
    ] {
        assert_eq!(actual, format!("Cluster \"cart\": {expected}"));
    }
    assert_eq!(
        error(eds_cluster("a b")),
        "Cluster \"a b\": name: the name contains whitespace or a control character"
    );
}
