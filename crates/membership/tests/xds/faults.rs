//! Faults and omissions of the control plane, in both protocol variants.

use super::harness::*;
use olivecart_membership::xds::resource::Kind::{Assignment, Cluster};
use olivecart_membership::xds::session::{Config, Input};

#[test]
fn missing_clusters_are_reported_after_the_timeout() {
    let mut harness = SessionHarness::open(Incremental);
    assert_eq!(
        harness.wait(15_000),
        ["log no clusters received within 15000 ms; still waiting", "notify quiet"]
    );
    assert_eq!(harness.send_response(Cluster, "1", vec![], &[])[0], "notify reconnected");
}

#[test]
fn missing_endpoints_are_reported_after_the_timeout() {
    let mut harness = SessionHarness::open(Incremental);
    harness.send_response(Cluster, "1", vec![resource("cart", "1", cluster("cart"))], &[]);
    assert_eq!(
        harness.wait(15_000),
        ["log cluster cart: no endpoints \"cart\" received within 15000 ms; still waiting, previous \
          endpoints remain in use"]
    );
    assert_eq!(
        harness.session.waiting().map(|(name, at)| (name.to_string(), at / MS)).collect::<Vec<_>>(),
        [("cart".to_owned(), 15_000)]
    );
    let lines = harness.send_response(Assignment, "1", vec![resource("cart", "1", eds("cart", &["a"]))], &[]);
    assert_eq!(lines[0], "log cluster cart: endpoints received after 15000 ms");
    assert_eq!((harness.served_endpoints().as_str(), harness.session.waiting().count()), ("cart: a", 0));
}

#[test]
fn removed_endpoints_are_quarantined() {
    let mut harness = SessionHarness::serving(Incremental, &["a", "b"]);
    let lines = harness.send_response(Assignment, "2", vec![], &["cart"]);
    assert_eq!(lines, ["notify 2 cart(0)", "send EDS n=n3 +[] -[] {}"]);
    assert_eq!(
        (harness.served_endpoints().as_str(), harness.needs_explicit_confirmation()),
        ("cart: a b", true)
    );
    assert_eq!(
        harness.reconnect()[2],
        "send EDS n= +[cart] -[] {}",
        "no version is reported, so that the endpoints are sent again"
    );
    harness.send_response(Assignment, "3", vec![resource("cart", "3", eds("cart", &["b", "c"]))], &[]);
    assert_eq!(
        (harness.served_endpoints().as_str(), harness.needs_explicit_confirmation()),
        ("cart: b c", false)
    );
    // An empty list is quarantined as well.
    harness.send_response(Assignment, "4", vec![resource("cart", "4", eds("cart", &[]))], &[]);
    assert_eq!(
        (harness.served_endpoints().as_str(), harness.needs_explicit_confirmation()),
        ("cart: b c", true)
    );
}

#[test]
fn state_of_the_world_without_clusters_removes_none() {
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    let lines = harness.send_response(Cluster, "2", vec![], &[]);
    assert_eq!(
        lines,
        [
            "log the control plane lists no clusters; known clusters kept: 1",
            "notify 2 all 0",
            "send CDS v=2 n=n3 []"
        ]
    );
    assert_eq!(
        (harness.served_endpoints().as_str(), harness.needs_explicit_confirmation()),
        ("cart: a", true)
    );
    // Endpoint updates are still applied, and they do not end the quarantine.
    harness.send_response(Assignment, "3", vec![resource("", "", eds("cart", &["a", "b"]))], &[]);
    assert_eq!(
        (harness.served_endpoints().as_str(), harness.needs_explicit_confirmation()),
        ("cart: a b", true)
    );
    assert_eq!(harness.handle(Input::Refetch("cart".into())), ["notify 2 all 0"]);
    // The quarantine ends once the clusters are listed again.
    harness.send_response(Cluster, "4", vec![resource("", "", cluster("cart"))], &[]);
    assert_eq!(
        (harness.served_endpoints().as_str(), harness.needs_explicit_confirmation()),
        ("cart: a b", false)
    );
}

#[test]
fn resource_expires_only_while_the_control_plane_responds() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::open(variant);
        let tea = || with_ttl(2_000, resource("tea", "1", static_cluster("tea", &["t"])));
        let both = vec![with_ttl(2_000, resource("cart", "1", static_cluster("cart", &["a"]))), tea()];
        harness.send_response(Cluster, "1", both, &[]);
        // Heartbeats contain only the name and the time to live. A response of heartbeats is no state of the
        // world.
        for _ in 0..5 {
            harness.wait(1_500);
            let beat = |name| with_ttl(2_000, resource(name, "1", None));
            harness.send_response(Cluster, "1", vec![beat("cart"), beat("tea")], &[]);
        }
        assert_eq!(harness.served_endpoints(), "cart: a, tea: t");
        // The heartbeat of tea is missing.
        harness.wait(1_500);
        harness.send_response(Cluster, "1", vec![with_ttl(2_000, resource("cart", "1", None))], &[]);
        let lines = harness.wait(1_000);
        assert_eq!(
            lines,
            ["log CDS resource \"tea\" expired: not renewed within its time to live", "notify 1 removed tea"]
        );
        assert_eq!(harness.served_endpoints(), "cart: a");
        // While the control plane is silent, clusters become stale and are not removed.
        let lines = harness.wait(60_000);
        assert_eq!(lines.iter().filter(|line| *line == "notify quiet").count(), 1, "{lines:?}");
        assert!(harness.catalog.cluster(&"cart".into()).is_some_and(|cart| cart.is_stale));
        // Without a stream the time to live does not count, even after a response in its second half.
        harness.send_response(Cluster, "1", vec![with_ttl(2_000, resource("cart", "1", None))], &[]);
        harness.wait(1_500);
        harness.send_response(Assignment, "1", vec![], &[]);
        harness.handle(Input::Lost { why: "reset".into() });
        assert!(!harness.wait(30_000).iter().any(|line| line.contains("not renewed")));
        harness.handle(Input::Connected);
        assert_eq!(harness.served_endpoints(), "cart: a");
        harness.send_response(
            Cluster,
            "9",
            vec![with_ttl(2_000, resource("cart", "9", static_cluster("cart", &["a"])))],
            &[],
        );
        assert!(harness.catalog.cluster(&"cart".into()).is_some_and(|cart| !cart.is_stale));
    }
}

#[test]
fn consecutive_rejections_are_delayed() {
    let mut harness = SessionHarness::open(StateOfTheWorld);
    let invalid = || vec![resource("", "", invalid_cluster("x"))];
    let first = harness.send_response(Cluster, "1", invalid(), &[]);
    assert!(first[0].starts_with("send CDS v= n=n1 [] !"), "{first:?}");
    // If the control plane resends the resource at once, only the last response is rejected, after a delay.
    assert_eq!(harness.send_response(Cluster, "1", invalid(), &[]), ["log rejected"]);
    assert_eq!(harness.send_response(Cluster, "1", invalid(), &[]), ["log rejected"]);
    let later = harness.wait(2_000);
    assert_eq!(later.len(), 1, "{later:?}");
    assert!(later[0].starts_with("send CDS v= n=n3 [] !"), "{later:?}");
    assert_eq!(
        harness.send_response(Cluster, "2", vec![resource("", "", cluster("cart"))], &[])[0],
        "send CDS v=2 n=n4 []"
    );
}

#[test]
fn resource_limits_and_read_rate_bound_a_flood() {
    let mut harness =
        SessionHarness::new(Config { max_clusters: 2, max_endpoints: 3, ..config(Incremental) });
    harness.handle(Input::Tick);
    harness.handle(Input::Connected);
    let own_cluster = |name: &str| resource(name, "1", static_cluster(name, &["a"]));
    let lines =
        harness.send_response(Cluster, "1", vec![own_cluster("a"), own_cluster("b"), own_cluster("c")], &[]);
    assert!(
        lines.iter().any(|line| line.ends_with("!Cluster \"c\": limit of 2 resources of this type exceeded"))
    );
    assert_eq!(harness.served_endpoints(), "a: a, b: a");
    // A known cluster is still accepted at the limit.
    assert!(
        harness
            .send_response(Cluster, "2", vec![own_cluster("b")], &[])
            .iter()
            .all(|line| !line.contains('!'))
    );
    let large = vec![resource("b", "2", super::harness::static_cluster("b", &["a", "b", "c", "d"]))];
    let lines = harness.send_response(Cluster, "2", large, &[]);
    let reason = "load_assignment.endpoints: the cluster would have more than 3 endpoints (max_endpoints)";
    assert!(lines[0].ends_with(reason), "{lines:?}");
    // After a burst, 200 small responses per second are read, and fewer large ones.
    assert!(harness.session.next_read_at() <= harness.now);
    for _ in 0..1000 {
        harness.send_response(Cluster, "3", vec![own_cluster("b")], &[]);
    }
    let wait = (harness.session.next_read_at() - harness.now) / MS;
    assert!((1_900..2_500).contains(&wait), "{wait} ms");
    harness.wait(wait + 1);
    assert!(harness.session.next_read_at() <= harness.now);
    let mut large = super::harness::assignment("b", &["a"]);
    large.named_endpoints.insert("x".repeat(1_000_000), Default::default());
    let large = vec![resource("b", "4", envoy_types::util::pack_any(large))];
    harness.send_response(Assignment, "4", large, &[]);
    let wait = (harness.session.next_read_at() - harness.now) / MS;
    assert!((140..160).contains(&wait), "{wait} ms");
}

#[test]
fn response_of_another_type_or_a_closed_stream_is_ignored() {
    use envoy_types::pb::envoy::service::discovery::v3::DiscoveryResponse;
    use olivecart_membership::xds::session::Response;
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    let type_url = "type.googleapis.com/envoy.config.listener.v3.Listener".to_owned();
    let response = Response::World(DiscoveryResponse { type_url, ..DiscoveryResponse::default() });
    let lines = harness.handle(Input::Response(response));
    assert_eq!(lines.len(), 1);
    assert!(lines[0].contains("not subscribed to type"), "{lines:?}");
    // A response that arrives after its stream was lost is ignored.
    harness.handle(Input::Lost { why: "reset".into() });
    assert!(harness.send_response(Cluster, "9", vec![], &[]).is_empty());
    assert_eq!(harness.served_endpoints(), "cart: a");
}

#[test]
fn ignored_fields_are_logged_once() {
    let mut harness = SessionHarness::open(Incremental);
    let cluster = |name: &str| {
        let cluster = olivecart_lab::control_plane::eds_cluster(name);
        let cluster = envoy_types::pb::envoy::config::cluster::v3::Cluster { lb_policy: 3, ..cluster };
        resource(name, "1", envoy_types::util::pack_any(cluster))
    };
    let lines = harness.send_response(Cluster, "1", vec![cluster("cart"), cluster("tea")], &[]);
    let logged: Vec<_> = lines.iter().filter(|line| line.starts_with("log")).collect();
    assert_eq!(logged, ["log CDS resource \"cart\": field lb_policy is ignored; this is logged once"]);
}
