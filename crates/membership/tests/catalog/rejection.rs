//! Invalid input: what is rejected, and by which words.

use crate::harness::{CatalogHarness, S, endpoint, endpoints};
use olivecart_membership::{
    Arrival, Catalog, Cluster, ClusterDelta, ClusterSettings, Endpoint, EndpointUpdate, Event, Metadata,
    Output, Policy, Version,
};

#[test]
fn invalid_input_is_rejected_by_name() {
    let odd = |change: &dyn Fn(&mut Endpoint)| {
        let mut endpoint = endpoint("x");
        change(&mut endpoint);
        endpoint
    };
    for (endpoint, reason) in [
        (odd(&|e| e.weight = f64::NAN), "weight NaN must be a number from 0 to 4294967295"),
        (odd(&|e| e.weight = -1.0), "weight -1 must be a number from 0 to 4294967295"),
        (odd(&|e| e.weight = f64::INFINITY), "weight inf must be a number from 0 to 4294967295"),
        (odd(&|e| e.priority = 129), "priority 129 must be from 0 to 128"),
        (odd(&|e| e.address = None), "it is ready and has no address"),
        (
            odd(&|e| e.address = Some(([10, 0, 0, 1], 0).into())),
            "address 10.0.0.1:0: no endpoint can be reached there",
        ),
        (
            odd(&|e| e.address = Some(([0; 4], 80).into())),
            "address 0.0.0.0:80: no endpoint can be reached there",
        ),
        (odd(&|e| e.name = "x y".into()), "its id holds a blank or control character"),
        (odd(&|e| e.name = "".into()), "its id is empty"),
        (odd(&|e| e.name = "x".repeat(257).as_str().into()), "its id is longer than 256 bytes"),
        (
            odd(&|e| e.metadata = (0..33).map(|i| (i.to_string(), "")).collect::<Metadata>()),
            "metadata of 33 pairs and 56 bytes; at most 32 and 4096 are kept",
        ),
    ] {
        let mut catalog = CatalogHarness::serving(&["a", "b"]);
        let told =
            format!("file: cluster \"cart\": endpoint {:?}: refused: {reason}", endpoint.name.as_str());
        let list = vec![endpoint.clone(), self::endpoint("c")];
        let whole = EndpointUpdate::ClusterSnapshots(vec![Cluster::new("cart", list.clone())]);
        assert_eq!(catalog.say("file", whole).join("\n"), told, "a list is refused whole");
        let update =
            ClusterDelta { cluster: "cart".into(), settings: None, upserts: list, removals: Vec::new() };
        assert_eq!(
            catalog.say("file", EndpointUpdate::ClusterDeltas(vec![update])),
            [told.clone(), "+c new".into()],
            "the rest is taken"
        );
        assert_eq!(
            catalog.inner.view()[0].subscriptions[0].rejection.as_ref().map(|r| r.reason.clone()),
            Some(told)
        );
    }
    let mut catalog = CatalogHarness::serving(&["a", "b"]);
    let twice =
        r#"file: cluster "cart": endpoint "c": refused: its id comes twice; ids are unique in a cluster"#;
    assert_eq!(catalog.list("file", &["a", "c", "c*2"]), [twice]);
    assert_eq!(catalog.update("file", &["c", "d"], &["c"]), [twice, "+d new"]);
    let two = vec![Cluster::new("cart", endpoints(&["a"])), Cluster::new("cart", endpoints(&["b"]))];
    assert_eq!(
        catalog.say("file", EndpointUpdate::FullSnapshot(two)),
        [r#"file: cluster "cart": refused: it comes twice in one update; put its endpoints into one list"#]
    );
    let limits = ClusterSettings { max_requests: Some(0), ..ClusterSettings::default() };
    let limited = Cluster { settings: limits, ..Cluster::new("cart", endpoints(&["a"])) };
    assert_eq!(
        catalog.say("file", EndpointUpdate::ClusterSnapshots(vec![limited])),
        [r#"file: cluster "cart": refused: max_requests must be at least 1"#]
    );
    assert_eq!(catalog.list("ftp", &["a"]), ["ftp: refused: no such source is set up"]);
    assert_eq!(catalog.serves(), "a b d");
}

#[test]
fn updates_over_the_limits_are_rejected() {
    let policy = Policy { max_clusters: 2, max_endpoints: 3, ..Policy::default() };
    let mut catalog = CatalogHarness::new(policy, &["file"]);
    catalog.list("file", &["a", "b"]);
    assert_eq!(
        catalog.list("file", &["a", "b", "c", "d"]),
        [r#"file: cluster "cart": refused: it would have more than 3 endpoints (max_endpoints)"#]
    );
    assert_eq!(
        catalog.update("file", &["c", "d"], &[])[0],
        r#"file: cluster "cart": endpoint "d": refused: it would have more than 3 endpoints (max_endpoints)"#
    );
    assert_eq!(catalog.serves(), "a b c");
    for id in ["c", "x", "y", "z"] {
        catalog.update("file", &[id], &[]);
        catalog.update("file", &[], &[id]);
    }
    assert_eq!(catalog.update("file", &["c"], &[]), ["+c new"], "no more is remembered than may be listed");
    let clusters = (0..3).map(|i| Cluster::new(format!("c{i}").as_str(), endpoints(&["a"]))).collect();
    let told = catalog.say("file", EndpointUpdate::ClusterSnapshots(clusters));
    assert_eq!(told[2], r#"file: cluster "c1": refused: there would be more than 2 clusters (max_clusters)"#);
    let upserts = (0..100)
        .map(|i| Endpoint { priority: 999, ..Endpoint::ready(format!("e{i}").as_str(), ([1; 4], 1).into()) });
    let update = ClusterDelta {
        cluster: "cart".into(),
        settings: None,
        upserts: upserts.collect(),
        removals: Vec::new(),
    };
    let told = catalog.say("file", EndpointUpdate::ClusterDeltas(vec![update]));
    assert_eq!(told.len(), Policy::MOST_REFUSALS + 1);
    assert_eq!(told[16], r#"file: cluster "cart": refused: 84 more endpoints of the same update"#);
}

#[test]
fn policy_out_of_range_is_rejected_and_time_never_runs_backwards() {
    let good = Policy::default();
    for (bad, key) in [
        (Policy { most_gone: 0.0, ..good }, "most_gone must be over 0, at most 1"),
        (Policy { most_gone: f64::NAN, ..good }, "most_gone must be over 0, at most 1"),
        (Policy { hold: std::time::Duration::from_secs(601), ..good }, "hold must be 0 s to 10 min"),
        (Policy { max_clusters: 0, ..good }, "max_clusters must be 1 to 100,000"),
    ] {
        let error = Catalog::new(bad, []).expect_err("out of range");
        assert_eq!(error.to_string(), format!("policy of the catalog: {key}"));
    }
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    catalog.wait(100);
    catalog.update("file", &[], &["a"]);
    catalog.now = 50 * S;
    let mut out = Vec::new();
    let update = ClusterDelta {
        cluster: "cart".into(),
        settings: None,
        upserts: endpoints(&["a"]),
        removals: Vec::new(),
    };
    let update = EndpointUpdate::ClusterDeltas(vec![update]);
    catalog.inner.handle(
        50 * S,
        Event::Update { source: "file".into(), version: Version::from(1), update },
        &mut out,
    );
    let Output::Changed(change) = &out[0] else { panic!("{out:?}") };
    assert_eq!(change.upserted[0].arrival, Arrival::Returned { away: 0 });
}
