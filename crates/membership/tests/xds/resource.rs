//! What of a resource is honoured, and what is refused by name.

use super::harness::list;
use envoy_types::pb::envoy::config::cluster::v3::circuit_breakers::Thresholds;
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, DiscoveryType, EdsClusterConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::{CircuitBreakers, Cluster, OutlierDetection};
use envoy_types::pb::envoy::config::core::v3::address::Address as Form;
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
use olivecart_membership::xds::resource::{FieldSupport, TABLE, assignment, cluster, markdown};

fn host(endpoint: &mut LbEndpoint) -> &mut Endpoint {
    match &mut endpoint.host_identifier {
        Some(HostIdentifier::Endpoint(host)) => host,
        _ => panic!("an endpoint in its place"),
    }
}

fn socket(endpoint: &mut LbEndpoint) -> &mut envoy_types::pb::envoy::config::core::v3::SocketAddress {
    match &mut host(endpoint).address.as_mut().expect("an address").address {
        Some(Form::SocketAddress(socket)) => socket,
        _ => panic!("a socket address"),
    }
}

fn number(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value { value })
}

fn metadata(namespace: &str, pairs: &[(&str, Json)]) -> Option<Metadata> {
    let value = |(key, kind): &(&str, Json)| ((*key).to_owned(), Value { kind: Some(kind.clone()) });
    let fields = pairs.iter().map(value).collect();
    let filter_metadata = [(namespace.to_owned(), Struct { fields })].into();
    Some(Metadata { filter_metadata, ..Metadata::default() })
}

#[test]
fn endpoints_have_what_is_honoured() {
    let mut list = list("cart", &["a", "b", "c", "d", "e", "f"]);
    let locality = &mut list.endpoints[0];
    locality.locality = Some(Locality { region: "eu".into(), zone: "eu-1".into(), ..Locality::default() });
    locality.priority = 2;
    locality.load_balancing_weight = number(60);
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
    locality.lb_endpoints[5].load_balancing_weight = number(5);
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
    let found = assignment(&list).expect("it is good").endpoints;
    let states: Vec<State> = found.iter().map(|e| e.state).collect();
    use State::{Draining, Ready, Unhealthy};
    assert_eq!(states, [Ready, Unhealthy, Draining, Unhealthy, Ready, Ready]);
    assert!(found.iter().all(|e| e.zone.as_str() == "eu-1" && e.priority == 2));
    // The weight of the locality, in the ratio 1 : 1 : 1 : 1 : 1 : 5.
    let weights: Vec<f64> = found.iter().map(|e| e.weight).collect();
    assert_eq!(weights, [6.0, 6.0, 6.0, 6.0, 6.0, 30.0]);
    let names: Vec<&str> = found.iter().map(|e| e.name.as_str()).collect();
    assert_eq!(names, ["pod-1", "b", "10.0.0.99:80", "d", "e", "f"]);
    let first = &found[0];
    assert_eq!((first.cell, first.kind.as_str(), first.started), (3, "m2", Some(1_700_000_000_000_000_000)));
    assert_eq!(found[1].metadata.get("canary"), Some("true"));
}

#[test]
fn a_region_is_the_zone_where_no_zone_is_given() {
    let mut list = list("cart", &["a"]);
    list.endpoints[0].locality = Some(Locality { region: "eu".into(), ..Locality::default() });
    assert_eq!(assignment(&list).expect("it is good").endpoints[0].zone.as_str(), "eu");
}

#[test]
fn endpoints_are_refused_by_field() {
    let with = |change: &dyn Fn(&mut ClusterLoadAssignment)| {
        let mut list = list("cart", &["a", "b"]);
        change(&mut list);
        assignment(&list).expect_err("it cannot be used").to_string()
    };
    let last =
        |change: &dyn Fn(&mut LbEndpoint)| with(&|list| change(&mut list.endpoints[0].lb_endpoints[1]));
    let pipe = Some(Address { address: Some(Form::Pipe(Pipe::default())) });
    let at = "ClusterLoadAssignment \"cart\": endpoints[0].lb_endpoints[1]";
    for (told, wanted) in [
        (
            last(&|e| socket(e).address = "cart.local".into()),
            ".endpoint.address.socket_address.address: \"cart.local\", which is no IP address, is not supported; names are not resolved here",
        ),
        (
            last(&|e| socket(e).port_specifier = None),
            ".endpoint.address.socket_address.port_value: must be set",
        ),
        (
            last(&|e| socket(e).protocol = 1),
            ".endpoint.address.socket_address.protocol: UDP is not supported; requests go over TCP",
        ),
        (
            last(&|e| socket(e).address = "0.0.0.0".into()),
            ".endpoint.address: address 0.0.0.0:80 must be a unicast address with a port other than 0",
        ),
        (
            last(&|e| host(e).address = pipe.clone()),
            ".endpoint.address: a pipe is not supported; give a socket_address",
        ),
        (
            last(&|e| e.host_identifier = Some(HostIdentifier::EndpointName("x".into()))),
            ".endpoint_name: an endpoint by name is not supported; put the endpoint in its place",
        ),
        (
            last(&|e| e.health_status = 77),
            ".health_status: health status 77 is not supported; known are UNKNOWN, HEALTHY, UNHEALTHY, DRAINING, TIMEOUT and DEGRADED",
        ),
        (
            last(&|e| e.metadata = metadata("olivecart", &[("id", Json::NumberValue(7.0))])),
            ".metadata.filter_metadata.olivecart.id: a value that is no text is not supported; write it in quotes",
        ),
        (
            last(&|e| host(e).hostname = "a".into()),
            ": id \"a\" is also that of endpoints[0].lb_endpoints[0]; set metadata `olivecart`: `id` where hostnames are shared",
        ),
    ] {
        assert_eq!(told, format!("{at}{wanted}"));
    }
    assert_eq!(
        with(&|list| list.endpoints[0].priority = 129),
        "ClusterLoadAssignment \"cart\": endpoints[0].priority: priority 129 must be from 0 to 128"
    );
}

#[test]
fn clusters_have_their_limits() {
    let limits = |priority, n| Thresholds {
        priority,
        max_connections: number(n),
        max_pending_requests: number(n + 1),
        max_requests: number(n + 2),
        max_retries: number(n + 3),
        ..Thresholds::default()
    };
    let found = cluster(&Cluster {
        connect_timeout: Some(Duration { seconds: 1, nanos: 500_000_000 }),
        circuit_breakers: Some(CircuitBreakers {
            thresholds: vec![limits(1, 90), limits(0, 10)],
            per_host_thresholds: Vec::new(),
        }),
        outlier_detection: Some(OutlierDetection::default()),
        lb_policy: 5,
        ..eds_cluster("cart")
    });
    let found = found.expect("it is good");
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
    // Whatever is said to be ignored is in the table, as that.
    for field in ignored {
        assert!(
            TABLE.iter().any(|row| row.field == field && row.support == FieldSupport::Ignored),
            "{field}"
        );
        assert!(markdown().contains(&format!("| `{field}` | ignored |")));
    }
}

#[test]
fn clusters_are_refused_by_field() {
    let kind = |kind: DiscoveryType| Some(ClusterDiscoveryType::Type(kind as i32));
    let told = |change: Cluster| cluster(&change).expect_err("it cannot be used").to_string();
    let eds = eds_cluster("cart");
    let path = ConfigSource {
        config_source_specifier: Some(ConfigSourceSpecifier::PathConfigSource(Default::default())),
        ..ConfigSource::default()
    };
    let one = Thresholds { max_connections: number(0), ..Thresholds::default() };
    let breakers = CircuitBreakers { thresholds: vec![one], per_host_thresholds: Vec::new() };
    let tls = TransportSocket { name: "envoy.transport_sockets.tls".into(), config_type: None };
    for (told, wanted) in [
        (
            told(Cluster { cluster_discovery_type: kind(DiscoveryType::StrictDns), ..eds.clone() }),
            "type: STRICT_DNS is not supported; known are EDS and STATIC",
        ),
        (
            told(Cluster { cluster_discovery_type: kind(DiscoveryType::OriginalDst), ..eds.clone() }),
            "type: ORIGINAL_DST is not supported; known are EDS and STATIC",
        ),
        (
            told(Cluster { cluster_discovery_type: kind(DiscoveryType::Static), ..eds.clone() }),
            "load_assignment: must be set where the type is STATIC",
        ),
        (
            told(Cluster { transport_socket: Some(tls), ..eds.clone() }),
            "transport_socket: transport \"envoy.transport_sockets.tls\" is not supported; requests go out in plain text here: leave it out or give raw_buffer",
        ),
        (
            told(Cluster {
                eds_cluster_config: Some(EdsClusterConfig {
                    eds_config: Some(path),
                    service_name: String::new(),
                }),
                ..eds.clone()
            }),
            "eds_cluster_config.eds_config: another source of endpoints is not supported; endpoints come over the aggregated stream: give `ads`",
        ),
        (
            told(Cluster { connect_timeout: Some(Duration { seconds: 0, nanos: 0 }), ..eds.clone() }),
            "connect_timeout: connect_timeout must be greater than 0 and at most 1h",
        ),
        (
            told(Cluster { connect_timeout: Some(Duration { seconds: -1, nanos: 0 }), ..eds.clone() }),
            "connect_timeout: it must be greater than 0 and at most 1h",
        ),
        (
            told(Cluster { circuit_breakers: Some(breakers), ..eds.clone() }),
            "circuit_breakers.thresholds[0].max_connections: max_connections must be at least 1",
        ),
    ] {
        assert_eq!(told, format!("Cluster \"cart\": {wanted}"));
    }
    assert_eq!(
        told(eds_cluster("a b")),
        "Cluster \"a b\": name: the name contains whitespace or a control character"
    );
}
