//! Conversations line by line, both variants.

use super::harness::*;
use olivecart_membership::xds::resource::Kind::{Assignment, Cluster};
use olivecart_membership::xds::session::Input;

#[test]
fn incremental_from_the_first_request_to_a_removal() {
    let mut harness = SessionHarness::new(config(Incremental));
    assert_eq!(harness.tell(Input::Tick), ["connect"]);
    assert_eq!(harness.tell(Input::Connected), ["log stream opened", "send CDS n= +[] -[] {} node=proxy-1"]);
    // A cluster is not told before its endpoints are there.
    assert_eq!(
        harness.send_response(Cluster, "1", vec![resource("cart", "7", cluster("cart"))], &[]),
        ["send CDS n=n1 +[] -[] {}", "send EDS n= +[cart] -[] {}"]
    );
    assert_eq!(
        harness.send_response(Assignment, "2", vec![resource("cart", "8", eds("cart", &["a", "b"]))], &[]),
        ["tell 8 cart(2)", "send EDS n=n2 +[] -[] {}"]
    );
    assert_eq!(harness.serves(), "cart: a b");
    assert_eq!(
        harness.send_response(Cluster, "3", vec![resource("tea", "9", own("tea", &["t"]))], &["cart"]),
        ["tell 3 removed cart", "tell 9 tea(1)", "send CDS n=n3 +[] -[] {}", "send EDS n= +[] -[cart] {}"]
    );
    assert_eq!(harness.serves(), "tea: t");
    // What is not asked for any more is not held either.
    harness.send_response(Cluster, "4", vec![resource("oat", "10", cluster("oat"))], &[]);
    assert_eq!(harness.reconnect()[2], "send EDS n= +[oat] -[] {}");
}

#[test]
fn state_of_the_world_from_the_first_request_to_a_removal() {
    let mut harness = SessionHarness::new(config(StateOfTheWorld));
    assert_eq!(harness.tell(Input::Tick), ["connect"]);
    assert_eq!(harness.tell(Input::Connected), ["log stream opened", "send CDS v= n= [] node=proxy-1"]);
    let both = vec![resource("", "", cluster("cart")), resource("", "", cluster("tea"))];
    assert_eq!(
        harness.send_response(Cluster, "1", both, &[]),
        ["send CDS v=1 n=n1 []", "send EDS v= n= [cart tea]"]
    );
    assert_eq!(
        harness.send_response(Assignment, "2", vec![resource("", "", eds("cart", &["a"]))], &[]),
        ["tell 2 cart(1)", "send EDS v=2 n=n2 [cart tea]"]
    );
    // Endpoints that are missing from a response are not gone.
    assert_eq!(
        harness.send_response(Assignment, "3", vec![resource("", "", eds("tea", &["t"]))], &[]),
        ["tell 3 tea(1)", "send EDS v=3 n=n3 [cart tea]"]
    );
    assert_eq!(harness.serves(), "cart: a, tea: t");
    // A cluster that is missing is.
    assert_eq!(
        harness.send_response(Cluster, "4", vec![resource("", "", cluster("tea"))], &[]),
        ["tell 4 removed cart", "send CDS v=4 n=n4 []", "send EDS v=3 n=n3 [tea]"]
    );
    assert_eq!(harness.serves(), "tea: t");
}

#[test]
fn state_of_the_world_is_refused_whole() {
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    let lines = harness.send_response(
        Cluster,
        "2",
        vec![resource("", "", cluster("tea")), resource("", "", bad("x"))],
        &[],
    );
    let reason = "Cluster \"x\": load_assignment: must be set if the type is STATIC";
    assert_eq!(lines, [format!("send CDS v=1 n=n3 [] !{reason}"), "log refused".into()]);
    assert_eq!(harness.serves(), "cart: a");
    // The next good one holds again, and an accepted one is told as before.
    let good = vec![resource("", "", cluster("cart"))];
    assert_eq!(harness.send_response(Cluster, "3", good, &[]), ["send CDS v=3 n=n4 []"]);
}

#[test]
fn of_an_incremental_response_the_good_resources_hold() {
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    let name = |i: usize| format!("c{i:04}");
    let mut all: Vec<_> = (0..999).map(|i| resource(&name(i), "2", own(&name(i), &["a"]))).collect();
    all.push(resource("cart", "2", bad("cart")));
    let lines = harness.send_response(Cluster, "2", all, &[]);
    let reason = "Cluster \"cart\": load_assignment: must be set if the type is STATIC";
    assert_eq!(lines.last().map(String::as_str), Some("log refused"));
    assert_eq!(lines[lines.len() - 2], format!("send CDS n=n3 +[] -[] {{}} !{reason}"));
    assert_eq!(harness.catalog.clusters().count(), 1000);
    assert!(harness.serves().contains("cart: a"));
    // What was refused is held in its old version; clusters are told by name alone.
    let lines = harness.reconnect();
    assert!(lines[1].contains(" cart=}") && lines[1].contains("{c0000= "), "{}", lines[1]);
}

#[test]
fn a_repeated_nonce_is_passed_over() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::serving(variant, &["a"]);
        harness.send_response(Assignment, "2", vec![resource("cart", "2", eds("cart", &["a", "b"]))], &[]);
        let lines =
            harness.says_with("n2", Assignment, "1", vec![resource("cart", "1", eds("cart", &["a"]))], &[]);
        assert_eq!(lines, ["log EDS response passed over: nonce \"n2\" has come before on this stream"]);
        assert_eq!(harness.serves(), "cart: a b");
        // Another stream has nonces of its own.
        harness.reconnect();
        harness.says_with(
            "n2",
            Assignment,
            "3",
            vec![resource("cart", "3", eds("cart", &["a", "b", "c"]))],
            &[],
        );
        assert_eq!(harness.serves(), "cart: a b c");
    }
}

#[test]
fn a_new_stream_tells_what_is_held() {
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    assert_eq!(
        harness.reconnect(),
        ["log stream opened", "send CDS n= +[] -[] {cart=} node=proxy-1", "send EDS n= +[cart] -[] {cart=1}"]
    );
    // Nothing new: nothing comes, and a stream that stands is good.
    assert!(harness.catalog.cluster(&"cart".into()).is_some_and(|cart| cart.is_stale));
    assert!(harness.wait(5_000).contains(&"tell back".to_owned()));
    assert!(harness.catalog.cluster(&"cart".into()).is_some_and(|cart| !cart.is_stale));
    assert_eq!(harness.serves(), "cart: a");
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    assert_eq!(
        harness.reconnect(),
        ["log stream opened", "send CDS v= n= [] node=proxy-1", "send EDS v=1 n= [cart]"]
    );
    assert!(harness.wait(5_000).contains(&"tell back".to_owned()));
    assert_eq!(harness.serves(), "cart: a");
}

#[test]
fn other_content_under_a_version_that_is_held_is_found_out_a_little_later() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::serving(variant, &["a"]);
        harness.reconnect();
        // A control plane that has begun its versions again thinks that all is held, and says nothing.
        let lines: Vec<String> =
            harness.wait(30_000).into_iter().filter(|line| line.starts_with("send")).collect();
        match variant {
            Incremental => assert_eq!(lines, ["send EDS n= +[cart] -[] {}"]),
            StateOfTheWorld => assert_eq!(lines, ["send EDS v=1 n= []", "send EDS v=1 n= [cart]"]),
        }
        harness.send_response(Assignment, "1", vec![resource("cart", "1", eds("cart", &["b"]))], &[]);
        assert_eq!(harness.serves(), "cart: b");
    }
}

#[test]
fn versions_that_begin_again_count() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::serving(variant, &["a"]);
        harness.send_response(Cluster, "57", vec![resource("cart", "57", cluster("cart"))], &[]);
        harness.send_response(Assignment, "58", vec![resource("cart", "58", eds("cart", &["a", "b"]))], &[]);
        harness.reconnect();
        harness.send_response(Cluster, "1", vec![resource("cart", "1", cluster("cart"))], &[]);
        harness.send_response(Assignment, "2", vec![resource("cart", "2", eds("cart", &["b", "c"]))], &[]);
        assert_eq!(harness.serves(), "cart: b c");
        let lines = harness.reconnect();
        let told = match variant {
            Incremental => "send EDS n= +[cart] -[] {cart=2}",
            StateOfTheWorld => "send EDS v=2 n= [cart]",
        };
        assert_eq!(lines[2], told);
    }
}

#[test]
fn waits_between_connections_grow_and_differ() {
    let waits = |seed| {
        let mut harness =
            SessionHarness::new(olivecart_membership::xds::session::Config { seed, ..config(Incremental) });
        let mut waits = Vec::new();
        for _ in 0..40 {
            assert_eq!(harness.tell(Input::Tick), ["connect"]);
            harness.tell(Input::Lost { why: "refused".into() });
            let at = harness.session.deadline().expect("another attempt");
            waits.push((at - harness.now) / MS);
            harness.now = at;
        }
        waits
    };
    let (one, other) = (waits(1), waits(2));
    assert_ne!(one, other, "proxies must not come back together");
    for (at, wait) in one.iter().chain(&other).enumerate() {
        let most = 1000_u64.saturating_mul(1 << (at % 40).min(20)).min(30_000);
        assert!(*wait <= most, "attempt {at} waited {wait} ms");
    }
    assert!(one.iter().max() > Some(&15_000), "the limit grows: {one:?}");
}

#[test]
fn endpoints_before_their_cluster() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::open(variant);
        harness.send_response(Assignment, "1", vec![resource("cart", "1", eds("cart", &["a"]))], &[]);
        assert_eq!(harness.serves(), "");
        harness.send_response(Cluster, "2", vec![resource("cart", "2", cluster("cart"))], &[]);
        assert_eq!(harness.serves(), "cart: a");
        // They are the stream's: another one tells them anew.
        harness.send_response(Assignment, "3", vec![resource("tea", "3", eds("tea", &["t"]))], &[]);
        harness.reconnect();
        let both = vec![resource("cart", "4", cluster("cart")), resource("tea", "4", cluster("tea"))];
        harness.send_response(Cluster, "4", both, &[]);
        assert_eq!(harness.serves(), "cart: a");
    }
}

#[test]
fn two_clusters_of_the_same_endpoints() {
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
    // What is asked for already does not come again by itself.
    let lines = harness.send_response(Cluster, "2", vec![resource("tea", "2", of_cart("tea"))], &[]);
    assert_eq!(lines, ["send CDS n=n3 +[] -[] {}", "send EDS n= +[cart] -[] {}"]);
    harness.send_response(Assignment, "2", vec![resource("cart", "1", eds("cart", &["a"]))], &[]);
    assert_eq!(harness.serves(), "cart: a, tea: a");
    // The endpoints are needed as long as one of the two is there.
    assert_eq!(
        harness.send_response(Cluster, "3", vec![], &["cart"]).last().map(String::as_str),
        Some("send CDS n=n5 +[] -[] {}")
    );
    assert_eq!(harness.serves(), "tea: a");
}

#[test]
fn the_catalog_asks_again() {
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    assert_eq!(harness.tell(Input::Refetch("cart".into())), ["send EDS n= +[cart] -[] {}"]);
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    assert_eq!(
        harness.tell(Input::Refetch("cart".into())),
        ["send EDS v=1 n=n2 []", "send EDS v=1 n=n2 [cart]"]
    );
    // Of clusters there is no such question; what the stream told last is said again.
    harness.send_response(
        Cluster,
        "2",
        vec![resource("", "", own("tea", &["t"])), resource("", "", cluster("cart"))],
        &[],
    );
    assert_eq!(harness.tell(Input::Refetch("tea".into())), ["tell 2 tea(1)"]);
}

#[test]
fn new_limits_of_a_cluster_that_serves() {
    use envoy_types::pb::google::protobuf::Duration;
    let mut harness = SessionHarness::serving(Incremental, &["a"]);
    let connect_timeout = Some(Duration { seconds: 0, nanos: 250_000_000 });
    let cluster = envoy_types::pb::envoy::config::cluster::v3::Cluster {
        connect_timeout,
        ..olivecart_lab::control_plane::eds_cluster("cart")
    };
    let update = vec![resource("cart", "2", envoy_types::util::pack_any(cluster))];
    assert_eq!(harness.send_response(Cluster, "2", update, &[])[0], "tell 2 settings cart");
    let cart = harness.catalog.cluster(&"cart".into()).expect("it serves");
    assert_eq!(cart.settings.connect_timeout, Some(std::time::Duration::from_millis(250)));
    assert_eq!(cart.endpoints().len(), 1);
}
