//! Tests of reading xDS resources from files.

use olivecart_membership::xds::file::parse;
use olivecart_membership::{ClusterSettings, State};

const YAML: &str = r#"
resources:
- "@type": type.googleapis.com/envoy.config.cluster.v3.Cluster
  name: cart
  type: EDS
  connect_timeout: 0.25s
  lb_policy: LEAST_REQUEST
  eds_cluster_config: { service_name: cart-endpoints }
  circuit_breakers: { thresholds: [{ max_connections: 100, max_requests: "200" }] }
- "@type": type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment
  cluster_name: cart-endpoints
  endpoints:
  - locality: { zone: a }
    priority: 1
    lb_endpoints:
    - endpoint: { hostname: c1, address: { socket_address: { address: 10.0.0.1, port_value: 8080 } } }
      health_status: DRAINING
    - endpoint: { address: { socket_address: { address: "::1", port_value: 8080 } } }
      load_balancing_weight: 3
      metadata: { filter_metadata: { olivecart: { id: c2, started_ms: 7 } } }
...
"#;

const JSON: &str = r#"{
	"staticResources": { "clusters": [ {
		"name": "cart",
		"type": "STATIC",
		"connectTimeout": "0.250s",
		"circuitBreakers": { "thresholds": [ { "maxConnections": 100, "maxRequests": 200 } ] },
		"loadAssignment": { "clusterName": "cart", "endpoints": [ {
			"locality": { "zone": "a" }, "priority": 1, "lbEndpoints": [
				{ "healthStatus": "DRAINING", "endpoint": { "hostname": "c1",
					"address": { "socketAddress": { "address": "10.0.0.1", "portValue": 8080 } } } },
				{ "loadBalancingWeight": 3,
					"metadata": { "filterMetadata": { "olivecart": { "id": "c2", "started_ms": 7 } } },
					"endpoint": { "address": { "socketAddress": { "address": "::1", "portValue": 8080 } } } }
			] } ] }
	} ] }
}"#;

#[test]
fn yaml_and_json_in_both_spellings_give_the_same_clusters() {
    let yaml = parse("a.yaml", YAML).expect("valid file");
    assert_eq!(parse("a.json", JSON).map(|parsed| parsed.clusters), Ok(yaml.clusters.clone()));
    let [cart] = &yaml.clusters[..] else { panic!("expected one cluster") };
    let expected_settings = ClusterSettings {
        connect_timeout: Some(std::time::Duration::from_millis(250)),
        max_connections: Some(100),
        max_requests: Some(200),
        ..ClusterSettings::default()
    };
    assert_eq!((cart.name.as_str(), cart.settings), ("cart", expected_settings));
    let [c1, c2] = cart.listed() else { panic!("expected two endpoints") };
    assert_eq!((c1.name.as_str(), c1.state, c1.zone.as_str(), c1.priority), ("c1", State::Draining, "a", 1));
    assert_eq!((c2.name.as_str(), c2.weight, c2.started), ("c2", 3.0, Some(7_000_000)));
    let ignored: Vec<String> = yaml.ignored.iter().map(ToString::to_string).collect();
    assert_eq!(ignored, ["a.yaml:7:3: resources[0].lb_policy: the field is ignored"]);
}

#[test]
fn endpoints_without_clusters_become_clusters() {
    let at = YAML
        .find("- \"@type\": type.googleapis.com/envoy.config.endpoint")
        .expect("YAML has an endpoint resource");
    let text = format!("resources:\n{}", &YAML[at..]);
    let parsed = parse("e.yaml", &text).expect("valid file");
    assert_eq!(parsed.clusters[0].name.as_str(), "cart-endpoints");
}

#[test]
fn truncated_file_is_rejected() {
    for text in [YAML, JSON] {
        let whole = text.trim_end().len();
        for end in (0..whole).filter(|end| text.is_char_boundary(*end)) {
            assert!(parse("truncated", &text[..end]).is_err(), "{}", &text[..end]);
        }
    }
}

#[test]
fn problems_are_reported_with_their_position() {
    let change = |from: &str, to: &str| {
        assert!(YAML.contains(from), "{from}");
        let problems = parse("f", &YAML.replacen(from, to, 1)).expect_err("invalid file");
        problems.to_string()
    };
    for (from, to, expected) in [
        (
            "type: EDS",
            "type: STRICT_DNS",
            "f:5:9: resources[0].type: STRICT_DNS is not supported; supported are EDS and STATIC",
        ),
        ("type: EDS", "type: DNS", "f:5:9: resources[0].type: \"DNS\" is not a cluster type such as EDS"),
        ("0.25s", "250ms", "f:6:20: resources[0].connect_timeout: \"250ms\" is not a duration such as 0.25s"),
        (
            "max_connections: 100",
            "max_connections: 0",
            "f:9:55: resources[0].circuit_breakers.thresholds[0].max_connections: max_connections must be at least 1",
        ),
        (
            "10.0.0.1",
            "cart.local",
            "f:16:71: resources[1].endpoints[0].lb_endpoints[0].endpoint.address.socket_address.address: host name \"cart.local\" is not supported; use an IP address, names are not resolved",
        ),
        (
            "priority: 1",
            "prioritiy: 1",
            "f:14:5: resources[1].endpoints[0].prioritiy: unknown field; did you mean \"priority\"?",
        ),
        (
            "priority: 1",
            "priority: 1.5",
            "f:14:15: resources[1].endpoints[0].priority: 1.5 is not a whole number from 0 to 4294967295",
        ),
        ("priority: 1", "priority: 1\n    priority: 2", "f:15:5: duplicate field"),
        ("  name: cart\n", "  name: [cart\n", "f:5:7: invalid YAML or JSON: "),
        (
            "cart-endpoints }",
            "tea }",
            "f:3:3: resources[0]: the endpoints \"tea\" of the cluster are not in this file\n\
          f:10:3: resources[1]: no cluster in this file uses the endpoints \"cart-endpoints\"",
        ),
        (
            "cluster.v3.Cluster",
            "listener.v3.Listener",
            "f:3:3: resources[0]: resource type \"type.googleapis.com/envoy.config.listener.v3.Listener\" is not supported; supported are Cluster and ClusterLoadAssignment",
        ),
        ("resources:", "resource:", "f:2:1: resource: unknown field; did you mean \"resources\"?"),
    ] {
        let parsed = change(from, to);
        assert!(parsed.starts_with(expected), "{from} -> {to}:\n{parsed}\nexpected\n{expected}");
    }
    let yaml = |text: &str| parse("f", text).expect_err("invalid file").to_string();
    assert_eq!(
        yaml("resources: []\n...\n"),
        "f:1:1: no resources in `resources` or `static_resources.clusters`"
    );
    assert!(yaml("resources:\n- name: x\n").contains("the last line is not `...`"));
    let empty = "resources:\n- { \"@type\": type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment, cluster_name: x }\n...\n";
    assert_eq!(yaml(empty), "f:2:3: resources[0]: the cluster has no endpoints");
}

#[test]
fn hostile_files_are_rejected() {
    let deep = |levels| parse("f", &format!("{}\n...\n", "[".repeat(levels))).expect_err("too deep");
    assert!(deep(100).to_string().contains("64 levels"), "{}", deep(100));
    deep(100_000);
    let mut bomb = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for i in 1..12 {
        let last = i - 1;
        bomb += &format!("a{i}: &a{i} [{}]\n", vec![format!("*a{last}"); 10].join(", "));
    }
    assert!(parse("f", &format!("{bomb}...\n")).expect_err("a bomb").to_string().contains("aliases"));
    assert!(parse("f", "a: 1\n---\nb: 2\n...\n").is_err());
    assert!(parse("f", "").is_err());
    assert!(parse("f", "<<: {}\n...\n").expect_err("merge").to_string().contains("merge keys"));
}
