//! Updates of clusters: published changes, precedence of sources, identity, silence, limits and views.

use crate::harness::{CatalogHarness, S, endpoints};
use olivecart_membership::{Cluster, ClusterSettings, EndpointUpdate, Event, Policy, Silence};

#[test]
fn first_list_is_served_at_once_and_repetition_has_no_output() {
    let mut catalog = CatalogHarness::new(Policy::default(), &["file"]);
    assert_eq!(catalog.list("file", &["b", "a"]), ["added cart", "+a new", "+b new"]);
    assert_eq!(catalog.list("file", &["a", "b"]), [""; 0]);
    assert_eq!(catalog.list("file", &["a*3", "b", "c"]), ["+a changed", "+c new"]);
    assert_eq!(catalog.inner.deadline(), None);
    // Ids with a common prefix of more than eight bytes are distinguished, in any order.
    let outputs = catalog.list("file", &["a", "b", "c", "n00000000y", "m", "n00000000x"]);
    assert_eq!(outputs, ["+a changed", "+m new", "+n00000000x new", "+n00000000y new"]);
}

#[test]
fn identity_is_by_id_and_endpoint_back_within_window_has_returned() {
    for (away, back, arrival) in [
        (10, "b", "returned after 10000 ms"),
        (11, "b", "new"),
        (10, "b*2~", "returned after 10000 ms"),
        (10, "b^5", "restarted"),
        (10, "b@7", "moved from 10.0.0.98:80"),
        (10, "x@98", "new"),
    ] {
        let mut catalog = CatalogHarness::serving(&["a", "b"]);
        assert_eq!(catalog.update("file", &[], &["b"]), ["-b"]);
        catalog.wait(away);
        assert_eq!(
            catalog.update("file", &[back], &[]),
            [format!("+{} {arrival}", &back[..1])],
            "{back} after {away} s"
        );
    }
    // The window starts with the last removal.
    let mut catalog = CatalogHarness::serving(&["a", "b"]);
    catalog.update("file", &[], &["b"]);
    catalog.wait(5);
    catalog.update("file", &["b"], &[]);
    catalog.update("file", &[], &["b"]);
    catalog.wait(6);
    assert_eq!(catalog.update("file", &["b"], &[]), ["+b returned after 6000 ms"]);
    // A new endpoint waits until the previous endpoint at its address is removed.
    let mut catalog = CatalogHarness::serving(&["a", "b"]);
    catalog.update("file", &["x@98"], &[]);
    assert_eq!(catalog.serves(), "a b");
    assert_eq!(catalog.update("file", &[], &["b"]), ["-b", "+x new", "released: no longer suspicious"]);
    // An endpoint may move with a restart or after a confirmation.
    assert_eq!(catalog.update("file", &["a@7^5"], &[]), ["+a restarted"]);
    catalog.update("file", &["a@8^5"], &[]);
    assert_eq!(catalog.confirm("file")[0], "+a moved from 10.0.0.7:80");
    // Removed endpoints are forgotten after the window.
    catalog.wait(10);
    assert_eq!(catalog.inner.deadline(), Some(10 * S + 1));
    catalog.wait(1);
    assert_eq!(catalog.inner.deadline(), None);
}

#[test]
fn silent_source_makes_cluster_stale_and_removes_nothing() {
    let mut catalog = CatalogHarness::serving(&["a", "b"]);
    let silent = |silence| Event::Silent { source: "file".into(), silence };
    catalog.handle_event(silent(Silence::Quiet));
    catalog.wait(4);
    catalog.handle_event(silent(Silence::Lost));
    assert_eq!(catalog.wait(5), [""; 0]);
    assert_eq!(catalog.inner.deadline(), Some(10 * S));
    assert_eq!(catalog.wait(1), ["stale cart since 0 s"]);
    assert_eq!(catalog.wait(1_000_000), [""; 0]);
    assert_eq!(catalog.serves(), "a b");
    assert!(
        catalog.inner.view()[0].to_string().contains(
            "STALE\n  file: version \"0\", 2 endpoints, last update 277 h ago, source lost for 277 h"
        )
    );
    assert_eq!(catalog.handle_event(Event::Reconnected { source: "file".into() }), ["recovered cart"]);
    catalog.handle_event(silent(Silence::Lost));
    catalog.wait(10);
    assert_eq!(catalog.list("file", &["a", "b"]), ["recovered cart"]);
}

#[test]
fn first_source_in_precedence_provides_the_cluster() {
    let mut catalog = CatalogHarness::new(Policy::default(), &["file", "xds"]);
    assert_eq!(catalog.list("xds", &["a", "b", "c"])[0], "added cart");
    // A first list is compared with the listing that it would displace.
    assert_eq!(
        catalog.list("file", &["a"]),
        ["quarantined until 30 s: 2 of 3 ready endpoints removed at once, starting with b"]
    );
    catalog.wait(30);
    assert_eq!(catalog.list("file", &["a"]), ["-b", "-c", "released: repeated after the quarantine period"]);
    assert_eq!(catalog.update("xds", &["d"], &[]), [""; 0], "the source does not own the cluster");
    // A removal is explicit: the list of the next source is not suspicious.
    assert_eq!(
        catalog.update_from("file", EndpointUpdate::ClustersRemoved(vec!["cart".into()])),
        ["+b returned after 0 ms", "+c returned after 0 ms", "+d new"]
    );
    // A quarantined first list is released when the listing that it would displace is gone.
    catalog.list("file", &["x", "y"]);
    let outputs = catalog.update_from("xds", EndpointUpdate::ClustersRemoved(vec!["cart".into()]));
    assert_eq!(outputs, ["-a", "-b", "-c", "-d", "+x new", "+y new", "released: no longer suspicious"]);
    assert_eq!(
        catalog.update_from("file", EndpointUpdate::ClustersRemoved(vec!["cart".into()])),
        ["removed cart: update from file"]
    );
    catalog.wait(1);
    assert_eq!(
        catalog.list("file", &["x"]),
        ["added cart", "+x new"],
        "a later cluster of the same name is a different one"
    );
}

#[test]
fn cluster_settings_are_served_with_it() {
    let mut catalog = CatalogHarness::serving(&["a", "b"]);
    let limits = |n| ClusterSettings { max_requests: Some(n), ..ClusterSettings::default() };
    let cart = |n, list: &[&str]| Cluster { settings: limits(n), ..Cluster::new("cart", endpoints(list)) };
    assert_eq!(
        catalog.update_from("file", EndpointUpdate::ClusterSnapshots(vec![cart(5, &["a", "b"])])),
        ["limit Some(5)"]
    );
    catalog.update_from("file", EndpointUpdate::ClusterSnapshots(vec![cart(6, &["x", "y"])]));
    assert_eq!(
        catalog.inner.cluster(&"cart".into()).expect("cart").settings.max_requests,
        Some(5),
        "quarantined with the list"
    );
    assert_eq!(catalog.confirm("file")[4..], ["limit Some(6)", "released: confirmed by explicit command"]);
}

#[test]
fn view_shows_sources_quarantine_and_staleness() {
    let mut catalog = CatalogHarness::serving(&["a", "b", "c~", "d*0"]);
    catalog.list("xds", &["a"]);
    catalog.wait(3);
    catalog.list("file", &["x"]);
    catalog.wait(1);
    catalog.list("file", &["a", "a"]);
    let view = catalog.inner.view();
    assert_eq!(
        view[0].to_string(),
        "cart: from file, 2 ready, 1 draining, 0 unhealthy, 1 of weight 0, \
        changed 4000 ms ago
  file: version \"0\", 4 endpoints, last update 0 ms ago
    quarantined for 1000 ms, 5 endpoints: all 3 ready endpoints removed at once, starting with a; \
        asking again in 29 s
    0 ms ago: file: cluster \"cart\": endpoint \"a\": rejected: the id occurs more than once; ids must be \
        unique in a cluster
  xds: version \"0\", 1 endpoints, last update 4000 ms ago"
    );
    let json = serde_json::to_value(&view).expect("JSON");
    assert_eq!(json[0]["feeds"][0]["held"]["asks_in_ms"], 29_000);
}
