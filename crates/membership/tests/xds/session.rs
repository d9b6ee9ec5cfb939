//! Message sequences of a session, in both protocol variants.

use super::harness::*;
use olivecart_membership::xds::resource::Kind::{Assignment, Cluster};
use olivecart_membership::xds::session::Input;

#[test]
fn incremental_session_from_first_request_to_removal() {
    let mut harness = SessionHarness::new(config(Incremental));
    assert_eq!(harness.handle(Input::Tick), ["connect"]);
    assert_eq!(
        harness.handle(Input::Connected),
        ["log stream opened", "send CDS n= +[] -[] {} node=proxy-1"]
    );
    // A cluster is not published before its endpoints are received.
    assert_eq!(
        harness.send_response(Cluster, "1", vec![resource("cart", "7", cluster("cart"))], &[]),
        ["send CDS n=n1 +[] -[] {}", "send EDS n= +[cart] -[] {}"]
    );
    assert_eq!(
        harness.send_response(Assignment, "2", vec![resource("cart", "8", eds("cart", &["a", "b"]))], &[]),
        ["notify 8 cart(2)", "send EDS n=n2 +[] -[] {}"]
    );
    assert_eq!(harness.served_endpoints(), "cart: a b");
    assert_eq!(
        harness.send_response(
            Cluster,
            "3",
            vec![resource("tea", "9", static_cluster("tea", &["t"]))],
            &["cart"]
        ),
        [
            "notify 3 removed cart",
            "notify 9 tea(1)",
            "send CDS n=n3 +[] -[] {}",
            "send EDS n= +[] -[cart] {}"
        ]
    );
    assert_eq!(harness.served_endpoints(), "tea: t");
    // The version of an unsubscribed resource is not reported.
    harness.send_response(Cluster, "4", vec![resource("oat", "10", cluster("oat"))], &[]);
    assert_eq!(harness.reconnect()[2], "send EDS n= +[oat] -[] {}");
}

#[test]
fn state_of_the_world_session_from_first_request_to_removal() {
    let mut harness = SessionHarness::new(config(StateOfTheWorld));
    assert_eq!(harness.handle(Input::Tick), ["connect"]);
    assert_eq!(harness.handle(Input::Connected), ["log stream opened", "send CDS v= n= [] node=proxy-1"]);
    let both = vec![resource("", "", cluster("cart")), resource("", "", cluster("tea"))];
    assert_eq!(
        harness.send_response(Cluster, "1", both, &[]),
        ["send CDS v=1 n=n1 []", "send EDS v= n= [cart tea]"]
    );
    assert_eq!(
        harness.send_response(Assignment, "2", vec![resource("", "", eds("cart", &["a"]))], &[]),
        ["notify 2 cart(1)", "send EDS v=2 n=n2 [cart tea]"]
    );
    // Endpoints that are missing in a response are not removed.
    assert_eq!(
        harness.send_response(Assignment, "3", vec![resource("", "", eds("tea", &["t"]))], &[]),
        ["notify 3 tea(1)", "send EDS v=3 n=n3 [cart tea]"]
    );
    assert_eq!(harness.served_endpoints(), "cart: a, tea: t");
    // A cluster that is missing is removed.
    assert_eq!(
        harness.send_response(Cluster, "4", vec![resource("", "", cluster("tea"))], &[]),
        ["notify 4 removed cart", "send CDS v=4 n=n4 []", "send EDS v=3 n=n3 [tea]"]
    );
    assert_eq!(harness.served_endpoints(), "tea: t");
}

#[test]
fn state_of_the_world_response_is_rejected_as_a_whole() {
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    let lines = harness.send_response(
        Cluster,
        "2",
        vec![resource("", "", cluster("tea")), resource("", "", invalid_cluster("x"))],
        &[],
    );
    let reason = "Cluster \"x\": load_assignment: must be set if the type is STATIC";
    assert_eq!(lines, [format!("send CDS v=1 n=n3 [] !{reason}"), "log rejected".into()]);
    assert_eq!(harness.served_endpoints(), "cart: a");
    // The next valid response is accepted.
    let valid = vec![resource("", "", cluster("cart"))];
    assert_eq!(harness.send_response(Cluster, "3", valid, &[]), ["send CDS v=3 n=n4 []"]);
}

#[test]
fn valid_resources_of_a_rejected_incremental_response_are_applied() {
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    let name = |i: usize| format!("c{i:04}");
    let mut all: Vec<_> =
        (0..999).map(|i| resource(&name(i), "2", static_cluster(&name(i), &["a"]))).collect();
    all.push(resource("cart", "2", invalid_cluster("cart")));
    let lines = harness.send_response(Cluster, "2", all, &[]);
    let reason = "Cluster \"cart\": load_assignment: must be set if the type is STATIC";
    assert_eq!(lines.last().map(String::as_str), Some("log rejected"));
    assert_eq!(lines[lines.len() - 2], format!("send CDS n=n3 +[] -[] {{}} !{reason}"));
    assert_eq!(harness.catalog.clusters().count(), 1000);
    assert!(harness.served_endpoints().contains("cart: a"));
    // The rejected cluster keeps its old version; a new stream reports clusters without versions.
    let lines = harness.reconnect();
    assert!(lines[1].contains(" cart=}") && lines[1].contains("{c0000= "), "{}", lines[1]);
}

#[test]
fn response_with_a_repeated_nonce_is_ignored() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::serving(variant, &["a"]);
        harness.send_response(Assignment, "2", vec![resource("cart", "2", eds("cart", &["a", "b"]))], &[]);
        let lines = harness.send_response_with_nonce(
            "n2",
            Assignment,
            "1",
            vec![resource("cart", "1", eds("cart", &["a"]))],
            &[],
        );
        assert_eq!(lines, ["log EDS response ignored: nonce \"n2\" was already received on this stream"]);
        assert_eq!(harness.served_endpoints(), "cart: a b");
        // Nonces of another stream are independent.
        harness.reconnect();
        harness.send_response_with_nonce(
            "n2",
            Assignment,
            "3",
            vec![resource("cart", "3", eds("cart", &["a", "b", "c"]))],
            &[],
        );
        assert_eq!(harness.served_endpoints(), "cart: a b c");
    }
}

#[test]
fn new_stream_reports_known_versions() {
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    assert_eq!(
        harness.reconnect(),
        ["log stream opened", "send CDS n= +[] -[] {cart=} node=proxy-1", "send EDS n= +[cart] -[] {cart=1}"]
    );
    // Without changes no response is sent, and an open stream counts as working after a while.
    assert!(harness.catalog.cluster(&"cart".into()).is_some_and(|cart| cart.is_stale));
    assert!(harness.wait(5_000).contains(&"notify reconnected".to_owned()));
    assert!(harness.catalog.cluster(&"cart".into()).is_some_and(|cart| !cart.is_stale));
    assert_eq!(harness.served_endpoints(), "cart: a");
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    assert_eq!(
        harness.reconnect(),
        ["log stream opened", "send CDS v= n= [] node=proxy-1", "send EDS v=1 n= [cart]"]
    );
    assert!(harness.wait(5_000).contains(&"notify reconnected".to_owned()));
    assert_eq!(harness.served_endpoints(), "cart: a");
}

#[test]
fn changed_content_under_a_known_version_is_found_by_verification() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::serving(variant, &["a"]);
        harness.reconnect();
        // A restarted control plane with the same version numbers considers the endpoints known and sends
        // nothing.
        let lines: Vec<String> =
            harness.wait(30_000).into_iter().filter(|line| line.starts_with("send")).collect();
        match variant {
            Incremental => assert_eq!(lines, ["send EDS n= +[cart] -[] {}"]),
            StateOfTheWorld => assert_eq!(lines, ["send EDS v=1 n= []", "send EDS v=1 n= [cart]"]),
        }
        harness.send_response(Assignment, "1", vec![resource("cart", "1", eds("cart", &["b"]))], &[]);
        assert_eq!(harness.served_endpoints(), "cart: b");
    }
}

#[test]
fn restarted_version_numbers_are_accepted() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::serving(variant, &["a"]);
        harness.send_response(Cluster, "57", vec![resource("cart", "57", cluster("cart"))], &[]);
        harness.send_response(Assignment, "58", vec![resource("cart", "58", eds("cart", &["a", "b"]))], &[]);
        harness.reconnect();
        harness.send_response(Cluster, "1", vec![resource("cart", "1", cluster("cart"))], &[]);
        harness.send_response(Assignment, "2", vec![resource("cart", "2", eds("cart", &["b", "c"]))], &[]);
        assert_eq!(harness.served_endpoints(), "cart: b c");
        let lines = harness.reconnect();
        let expected = match variant {
            Incremental => "send EDS n= +[cart] -[] {cart=2}",
            StateOfTheWorld => "send EDS v=2 n= [cart]",
        };
        assert_eq!(lines[2], expected);
    }
}

#[test]
fn reconnection_delays_grow_and_differ_between_proxies() {
    let waits = |seed| {
        let mut harness =
            SessionHarness::new(olivecart_membership::xds::session::Config { seed, ..config(Incremental) });
        let mut waits = Vec::new();
        for _ in 0..40 {
            assert_eq!(harness.handle(Input::Tick), ["connect"]);
            harness.handle(Input::Lost { why: "refused".into() });
            let at = harness.session.deadline().expect("connect timer is set");
            waits.push((at - harness.now) / MS);
            harness.now = at;
        }
        waits
    };
    let (one, other) = (waits(1), waits(2));
    assert_ne!(one, other, "proxies must not reconnect at the same time");
    for (at, wait) in one.iter().chain(&other).enumerate() {
        let most = 1000_u64.saturating_mul(1 << (at % 40).min(20)).min(30_000);
        assert!(*wait <= most, "attempt {at} waited {wait} ms");
    }
    assert!(one.iter().max() > Some(&15_000), "the limit grows: {one:?}");
}

#[test]
fn endpoints_received_before_their_cluster_are_applied_with_it() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::open(variant);
        harness.send_response(Assignment, "1", vec![resource("cart", "1", eds("cart", &["a"]))], &[]);
        assert_eq!(harness.served_endpoints(), "");
        harness.send_response(Cluster, "2", vec![resource("cart", "2", cluster("cart"))], &[]);
        assert_eq!(harness.served_endpoints(), "cart: a");
        // Early endpoints are dropped with their stream, since the next stream sends them again.
        harness.send_response(Assignment, "3", vec![resource("tea", "3", eds("tea", &["t"]))], &[]);
        harness.reconnect();
        let both = vec![resource("cart", "4", cluster("cart")), resource("tea", "4", cluster("tea"))];
        harness.send_response(Cluster, "4", both, &[]);
        assert_eq!(harness.served_endpoints(), "cart: a");
    }
}

#[test]
fn two_clusters_share_the_same_endpoints() {
    use envoy_types::pb::envoy::config::cluster::v3::cluster::EdsClusterConfig;
    let of_cart = |name: &str| {
        let eds_cluster_config = Some(EdsClusterConfig { service_name: "cart".into(), eds_config: None });
        let cluster = olivecart_lab::control_plane::eds_cluster(name);
        envoy_types::util::pack_any(envoy_types::pb::envoy::config::cluster::v3::Cluster {
            eds_cluster_config,
            ..cluster
        })
    };
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    // The control plane does not resend known endpoints without a request.
    let lines = harness.send_response(Cluster, "2", vec![resource("tea", "2", of_cart("tea"))], &[]);
    assert_eq!(lines, ["send CDS n=n3 +[] -[] {}", "send EDS n= +[cart] -[] {}"]);
    harness.send_response(Assignment, "2", vec![resource("cart", "1", eds("cart", &["a"]))], &[]);
    assert_eq!(harness.served_endpoints(), "cart: a, tea: a");
    // The endpoints stay subscribed to while one of the clusters uses them.
    assert_eq!(
        harness.send_response(Cluster, "3", vec![], &["cart"]).last().map(String::as_str),
        Some("send CDS n=n5 +[] -[] {}")
    );
    assert_eq!(harness.served_endpoints(), "tea: a");
}

#[test]
fn catalog_requests_a_cluster_again() {
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    assert_eq!(harness.handle(Input::Refetch("cart".into())), ["send EDS n= +[cart] -[] {}"]);
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    assert_eq!(
        harness.handle(Input::Refetch("cart".into())),
        ["send EDS v=1 n=n2 []", "send EDS v=1 n=n2 [cart]"]
    );
    // A static cluster cannot be requested again; its last received version is published again.
    harness.send_response(
        Cluster,
        "2",
        vec![resource("", "", static_cluster("tea", &["t"])), resource("", "", cluster("cart"))],
        &[],
    );
    assert_eq!(harness.handle(Input::Refetch("tea".into())), ["notify 2 tea(1)"]);
}

#[test]
fn new_limits_of_a_served_cluster_are_published() {
    use envoy_types::pb::google::protobuf::Duration;
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    let connect_timeout = Some(Duration { seconds: 0, nanos: 250_000_000 });
    let cluster = envoy_types::pb::envoy::config::cluster::v3::Cluster {
        connect_timeout,
        ..olivecart_lab::control_plane::eds_cluster("cart")
    };
    let update = vec![resource("cart", "2", envoy_types::util::pack_any(cluster))];
    assert_eq!(harness.send_response(Cluster, "2", update, &[])[0], "notify 2 settings cart");
    let cart = harness.catalog.cluster(&"cart".into()).expect("cluster is served");
    assert_eq!(cart.settings.connect_timeout, Some(std::time::Duration::from_millis(250)));
    assert_eq!(cart.endpoints().len(), 1);
}
