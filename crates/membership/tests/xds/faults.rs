//! What a control plane does wrong or not at all, both variants.

use super::harness::*;
use olivecart_membership::xds::resource::Kind::{Assignment, Cluster};
use olivecart_membership::xds::session::{Config, Input};

#[test]
fn no_clusters_come() {
    let mut harness = SessionHarness::open(Incremental);
    assert_eq!(harness.wait(15_000), ["log no clusters came within 15000 ms; still waiting", "tell quiet"]);
    assert_eq!(harness.send_response(Cluster, "1", vec![], &[])[0], "tell back");
}

#[test]
fn endpoints_never_come() {
    let mut harness = SessionHarness::open(Incremental);
    harness.send_response(Cluster, "1", vec![resource("cart", "1", cluster("cart"))], &[]);
    assert_eq!(
        harness.wait(15_000),
        ["log cluster cart: no endpoints \"cart\" came within 15000 ms; still waiting, and what served \
          before serves on"]
    );
    assert_eq!(
        harness.session.waiting().map(|(name, at)| (name.to_string(), at / MS)).collect::<Vec<_>>(),
        [("cart".to_owned(), 15_000)]
    );
    let lines = harness.send_response(Assignment, "1", vec![resource("cart", "1", eds("cart", &["a"]))], &[]);
    assert_eq!(lines[0], "log cluster cart: its endpoints came after 15000 ms");
    assert_eq!((harness.serves().as_str(), harness.session.waiting().count()), ("cart: a", 0));
}

#[test]
fn endpoints_that_are_withdrawn_are_held() {
    let mut harness = SessionHarness::serving(Incremental, &["a", "b"]);
    let lines = harness.send_response(Assignment, "2", vec![], &["cart"]);
    assert_eq!(lines, ["tell 2 cart(0)", "send EDS n=n3 +[] -[] {}"]);
    assert_eq!((harness.serves().as_str(), harness.needs_explicit_confirmation()), ("cart: a b", true));
    assert_eq!(harness.reconnect()[2], "send EDS n= +[cart] -[] {}", "it must be told anew");
    harness.send_response(Assignment, "3", vec![resource("cart", "3", eds("cart", &["b", "c"]))], &[]);
    assert_eq!((harness.serves().as_str(), harness.needs_explicit_confirmation()), ("cart: b c", false));
    // An empty list is no better.
    harness.send_response(Assignment, "4", vec![resource("cart", "4", eds("cart", &[]))], &[]);
    assert_eq!((harness.serves().as_str(), harness.needs_explicit_confirmation()), ("cart: b c", true));
}

#[test]
fn a_world_without_clusters_removes_none() {
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    let lines = harness.send_response(Cluster, "2", vec![], &[]);
    assert_eq!(
        lines,
        ["log the control plane lists no clusters; 1 are kept", "tell 2 all 0", "send CDS v=2 n=n3 []"]
    );
    assert_eq!((harness.serves().as_str(), harness.needs_explicit_confirmation()), ("cart: a", true));
    // Their endpoints are still followed, and the hold does not end by that.
    harness.send_response(Assignment, "3", vec![resource("", "", eds("cart", &["a", "b"]))], &[]);
    assert_eq!((harness.serves().as_str(), harness.needs_explicit_confirmation()), ("cart: a b", true));
    assert_eq!(harness.tell(Input::Refetch("cart".into())), ["tell 2 all 0"]);
    // The clusters are back, or the word is said.
    harness.send_response(Cluster, "4", vec![resource("", "", cluster("cart"))], &[]);
    assert_eq!((harness.serves().as_str(), harness.needs_explicit_confirmation()), ("cart: a b", false));
}

#[test]
fn a_time_to_live_ends_what_is_not_renewed() {
    for variant in [Incremental, StateOfTheWorld] {
        let mut harness = SessionHarness::open(variant);
        let tea = || lasting(2_000, resource("tea", "1", own("tea", &["t"])));
        let both = vec![lasting(2_000, resource("cart", "1", own("cart", &["a"]))), tea()];
        harness.send_response(Cluster, "1", both, &[]);
        // Heartbeats: the name and the time, without the resource. Alone they are no state of the world.
        for _ in 0..5 {
            harness.wait(1_500);
            let beat = |name| lasting(2_000, resource(name, "1", None));
            harness.send_response(Cluster, "1", vec![beat("cart"), beat("tea")], &[]);
        }
        assert_eq!(harness.serves(), "cart: a, tea: t");
        // One of them is left out.
        harness.wait(1_500);
        harness.send_response(Cluster, "1", vec![lasting(2_000, resource("cart", "1", None))], &[]);
        let lines = harness.wait(1_000);
        assert_eq!(
            lines,
            ["log CDS resource \"tea\" was not renewed within its time to live", "tell 1 removed tea"]
        );
        assert_eq!(harness.serves(), "cart: a");
        // Silence is another thing: it ages, and removes nothing.
        let lines = harness.wait(60_000);
        assert_eq!(lines.iter().filter(|line| *line == "tell quiet").count(), 1, "{lines:?}");
        assert!(harness.catalog.cluster(&"cart".into()).is_some_and(|cart| cart.is_stale));
        // Nor does it run without a stream, also if something came a moment before its end.
        harness.send_response(Cluster, "1", vec![lasting(2_000, resource("cart", "1", None))], &[]);
        harness.wait(1_500);
        harness.send_response(Assignment, "1", vec![], &[]);
        harness.tell(Input::Lost { why: "reset".into() });
        assert!(!harness.wait(30_000).iter().any(|line| line.contains("not renewed")));
        harness.tell(Input::Connected);
        assert_eq!(harness.serves(), "cart: a");
        harness.send_response(
            Cluster,
            "9",
            vec![lasting(2_000, resource("cart", "9", own("cart", &["a"])))],
            &[],
        );
        assert!(harness.catalog.cluster(&"cart".into()).is_some_and(|cart| !cart.is_stale));
    }
}

#[test]
fn refusals_in_a_row_wait() {
    let mut harness = SessionHarness::open(StateOfTheWorld);
    let bad = || vec![resource("", "", bad("x"))];
    let first = harness.send_response(Cluster, "1", bad(), &[]);
    assert!(first[0].starts_with("send CDS v= n=n1 [] !"), "{first:?}");
    // A control plane that sends it again at once is answered later, and only to its last response.
    assert_eq!(harness.send_response(Cluster, "1", bad(), &[]), ["log refused"]);
    assert_eq!(harness.send_response(Cluster, "1", bad(), &[]), ["log refused"]);
    let later = harness.wait(2_000);
    assert_eq!(later.len(), 1, "{later:?}");
    assert!(later[0].starts_with("send CDS v= n=n3 [] !"), "{later:?}");
    assert_eq!(
        harness.send_response(Cluster, "2", vec![resource("", "", cluster("cart"))], &[])[0],
        "send CDS v=2 n=n4 []"
    );
}

#[test]
fn a_flood_is_read_at_a_pace_and_kept_within_limits() {
    let mut harness =
        SessionHarness::new(Config { max_clusters: 2, max_endpoints: 3, ..config(Incremental) });
    harness.tell(Input::Tick);
    harness.tell(Input::Connected);
    let own = |name: &str| resource(name, "1", own(name, &["a"]));
    let lines = harness.send_response(Cluster, "1", vec![own("a"), own("b"), own("c")], &[]);
    assert!(
        lines
            .iter()
            .any(|line| line.ends_with("!Cluster \"c\": there would be more than 2 resources of this kind"))
    );
    assert_eq!(harness.serves(), "a: a, b: a");
    // What is known is taken at the limit.
    assert!(harness.send_response(Cluster, "2", vec![own("b")], &[]).iter().all(|line| !line.contains('!')));
    let large = vec![resource("b", "2", super::harness::own("b", &["a", "b", "c", "d"]))];
    let lines = harness.send_response(Cluster, "2", large, &[]);
    let reason = "load_assignment.endpoints: the cluster would have more than 3 endpoints (max_endpoints)";
    assert!(lines[0].ends_with(reason), "{lines:?}");
    // After a burst, two hundred small ones a second, and fewer large ones.
    assert!(harness.session.next_read_at() <= harness.now);
    for _ in 0..1000 {
        harness.send_response(Cluster, "3", vec![own("b")], &[]);
    }
    let wait = (harness.session.next_read_at() - harness.now) / MS;
    assert!((1_900..2_500).contains(&wait), "{wait} ms");
    harness.wait(wait + 1);
    assert!(harness.session.next_read_at() <= harness.now);
    let mut large = super::harness::list("b", &["a"]);
    large.named_endpoints.insert("x".repeat(1_000_000), Default::default());
    let large = vec![resource("b", "4", envoy_types::util::pack_any(large))];
    harness.send_response(Assignment, "4", large, &[]);
    let wait = (harness.session.next_read_at() - harness.now) / MS;
    assert!((140..160).contains(&wait), "{wait} ms");
}

#[test]
fn what_nobody_asked_for_is_passed_over() {
    use envoy_types::pb::envoy::service::discovery::v3::DiscoveryResponse;
    use olivecart_membership::xds::session::Response;
    let mut harness = SessionHarness::serving(StateOfTheWorld, &["a"]);
    let type_url = "type.googleapis.com/envoy.config.listener.v3.Listener".to_owned();
    let response = Response::World(DiscoveryResponse { type_url, ..DiscoveryResponse::default() });
    let lines = harness.tell(Input::Response(response));
    assert_eq!(lines.len(), 1);
    assert!(lines[0].contains("was not asked for"), "{lines:?}");
    // A response that comes after the end of its stream means nothing.
    harness.tell(Input::Lost { why: "reset".into() });
    assert!(harness.send_response(Cluster, "9", vec![], &[]).is_empty());
    assert_eq!(harness.serves(), "cart: a");
}

#[test]
fn fields_that_do_nothing_are_said_once() {
    let mut harness = SessionHarness::open(Incremental);
    let cluster = |name: &str| {
        let cluster = olivecart_lab::control_plane::eds_cluster(name);
        let cluster = envoy_types::pb::envoy::config::cluster::v3::Cluster { lb_policy: 3, ..cluster };
        resource(name, "1", envoy_types::util::pack_any(cluster))
    };
    let lines = harness.send_response(Cluster, "1", vec![cluster("cart"), cluster("tea")], &[]);
    let said: Vec<_> = lines.iter().filter(|line| line.starts_with("log")).collect();
    assert_eq!(said, ["log CDS resource \"cart\": lb_policy does nothing here; not said again"]);
}
