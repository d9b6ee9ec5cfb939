//! Which inputs are rejected, and with which messages.

use crate::harness::{CatalogHarness, S, endpoint, endpoints};
use olivecart_membership::{
    Arrival, Catalog, Cluster, ClusterDelta, ClusterSettings, Endpoint, EndpointUpdate, Event, Metadata,
    Output, Policy, Version,
};

#[test]
fn invalid_input_is_rejected_by_name() {
    let altered = |change: &dyn Fn(&mut Endpoint)| {
        let mut endpoint = endpoint("x");
        change(&mut endpoint);
        endpoint
    };
    for (endpoint, reason) in [
        (altered(&|e| e.weight = f64::NAN), "weight NaN must be a number from 0 to 4294967295"),
        (altered(&|e| e.weight = -1.0), "weight -1 must be a number from 0 to 4294967295"),
        (altered(&|e| e.weight = f64::INFINITY), "weight inf must be a number from 0 to 4294967295"),
        (altered(&|e| e.priority = 129), "priority 129 must be from 0 to 128"),
        (altered(&|e| e.address = None), "the endpoint is ready but has no address"),
        (
            altered(&|e| e.address = Some(([10, 0, 0, 1], 0).into())),
            "address 10.0.0.1:0 must be a unicast address with a port other than 0",
        ),
        (
            altered(&|e| e.address = Some(([0; 4], 80).into())),
            "address 0.0.0.0:80 must be a unicast address with a port other than 0",
        ),
        (altered(&|e| e.name = "x y".into()), "the id contains whitespace or a control character"),
        (altered(&|e| e.name = "".into()), "the id is empty"),
        (altered(&|e| e.name = "x".repeat(257).as_str().into()), "the id is longer than 256 bytes"),
        (
            altered(&|e| e.metadata = (0..33).map(|i| (i.to_string(), "")).collect::<Metadata>()),
            "metadata has 33 pairs and 56 bytes; the limits are 32 pairs and 4096 bytes",
        ),
    ] {
        let mut catalog = CatalogHarness::serving(&["a", "b"]);
        let message =
            format!("file: cluster \"cart\": endpoint {:?}: rejected: {reason}", endpoint.name.as_str());
        let list = vec![endpoint.clone(), self::endpoint("c")];
        let whole = EndpointUpdate::ClusterSnapshots(vec![Cluster::new("cart", list.clone())]);
        assert_eq!(catalog.update_from("file", whole).join("\n"), message, "a list is rejected as a whole");
        let update =
            ClusterDelta { cluster: "cart".into(), settings: None, upserts: list, removals: Vec::new() };
        assert_eq!(
            catalog.update_from("file", EndpointUpdate::ClusterDeltas(vec![update])),
            [message.clone(), "+c new".into()],
            "the valid part of a delta is applied"
        );
        assert_eq!(
            catalog.inner.view()[0].subscriptions[0].rejection.as_ref().map(|r| r.reason.clone()),
            Some(message)
        );
    }
    let mut catalog = CatalogHarness::serving(&["a", "b"]);
    let duplicate_id = "file: cluster \"cart\": endpoint \"c\": rejected: the id occurs more than once; ids \
        must be unique in a cluster";
    assert_eq!(catalog.list("file", &["a", "c", "c*2"]), [duplicate_id]);
    assert_eq!(catalog.update("file", &["c", "d"], &["c"]), [duplicate_id, "+d new"]);
    let same_name = vec![Cluster::new("cart", endpoints(&["a"])), Cluster::new("cart", endpoints(&["b"]))];
    assert_eq!(
        catalog.update_from("file", EndpointUpdate::FullSnapshot(same_name)),
        ["file: cluster \"cart\": rejected: the cluster occurs more than once in one update; put its \
                endpoints into one list"]
    );
    let limits = ClusterSettings { max_requests: Some(0), ..ClusterSettings::default() };
    let limited = Cluster { settings: limits, ..Cluster::new("cart", endpoints(&["a"])) };
    assert_eq!(
        catalog.update_from("file", EndpointUpdate::ClusterSnapshots(vec![limited])),
        [r#"file: cluster "cart": rejected: max_requests must be at least 1"#]
    );
    assert_eq!(catalog.list("ftp", &["a"]), ["ftp: rejected: the source is not configured"]);
    assert_eq!(catalog.serves(), "a b d");
}

#[test]
fn updates_over_the_limits_are_rejected() {
    let policy = Policy { max_clusters: 2, max_endpoints: 3, ..Policy::default() };
    let mut catalog = CatalogHarness::new(policy, &["file"]);
    catalog.list("file", &["a", "b"]);
    assert_eq!(
        catalog.list("file", &["a", "b", "c", "d"]),
        [r#"file: cluster "cart": rejected: the cluster would have more than 3 endpoints (max_endpoints)"#]
    );
    assert_eq!(
        catalog.update("file", &["c", "d"], &[])[0],
        "file: cluster \"cart\": endpoint \"d\": rejected: the cluster would have more than 3 endpoints \
            (max_endpoints)"
    );
    assert_eq!(catalog.serves(), "a b c");
    for id in ["c", "x", "y", "z"] {
        catalog.update("file", &[id], &[]);
        catalog.update("file", &[], &[id]);
    }
    assert_eq!(
        catalog.update("file", &["c"], &[]),
        ["+c new"],
        "at most `max_endpoints` removed endpoints are remembered"
    );
    let clusters = (0..3).map(|i| Cluster::new(format!("c{i}").as_str(), endpoints(&["a"]))).collect();
    let outputs = catalog.update_from("file", EndpointUpdate::ClusterSnapshots(clusters));
    assert_eq!(
        outputs[2],
        r#"file: cluster "c1": rejected: there would be more than 2 clusters (max_clusters)"#
    );
    let upserts = (0..100)
        .map(|i| Endpoint { priority: 999, ..Endpoint::ready(format!("e{i}").as_str(), ([1; 4], 1).into()) });
    let update = ClusterDelta {
        cluster: "cart".into(),
        settings: None,
        upserts: upserts.collect(),
        removals: Vec::new(),
    };
    let outputs = catalog.update_from("file", EndpointUpdate::ClusterDeltas(vec![update]));
    assert_eq!(outputs.len(), Policy::MAX_NAMED_REJECTIONS + 1);
    assert_eq!(outputs[16], r#"file: cluster "cart": rejected: 84 more rejections in the same update"#);
}

#[test]
fn policy_out_of_range_is_rejected_and_time_never_runs_backwards() {
    let default = Policy::default();
    for (policy, message) in [
        (Policy { most_gone: 0.0, ..default }, "most_gone must be greater than 0, at most 1"),
        (Policy { most_gone: f64::NAN, ..default }, "most_gone must be greater than 0, at most 1"),
        (Policy { hold: std::time::Duration::from_secs(601), ..default }, "hold must be 0 s to 10 min"),
        (Policy { max_clusters: 0, ..default }, "max_clusters must be 1 to 100,000"),
    ] {
        let error = Catalog::new(policy, []).expect_err("out of range");
        assert_eq!(error.to_string(), format!("catalog policy: {message}"));
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
