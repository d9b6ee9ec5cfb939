//! Which changes are quarantined, and what releases them.

use crate::harness::{CatalogHarness, S, endpoints};
use olivecart_membership::{Cluster, ClusterDelta, EndpointUpdate, Event, Policy};

#[test]
fn suspicious_list_is_quarantined_and_harmless_one_is_served() {
    let served = ["a", "b", "c", "d", "e~"];
    for (list, reason) in [
        (
            &[][..],
            "the endpoint list is empty and not marked as intentional; all 4 ready endpoints removed at \
                once, starting with a",
        ),
        (&["a*0", "b*0", "c*0", "d*0"], "all weights are zero, so no endpoint would receive requests"),
        (
            &["e~", "x~"],
            "removing a would leave no endpoint that accepts requests; all 4 ready endpoints removed at \
                once, starting with a",
        ),
        (&["x", "y", "e"], "all 4 ready endpoints removed at once, starting with a"),
        (&["a", "x", "y", "z"], "3 of 4 ready endpoints removed at once, starting with b"),
        (
            &["a", "b", "c@7", "d@8"],
            "endpoint c moved from 10.0.0.99:80 to 10.0.0.7:80 without a restart (and 1 more)",
        ),
        (&["a", "b", "c", "d", "x@97"], "endpoints x and a have the same address 10.0.0.97:80"),
        (
            &["a", "b", "c", "d", "x@7", "y@7"],
            "endpoints x and y have the same address 10.0.0.7:80 (and 1 more)",
        ),
    ] {
        let mut catalog = CatalogHarness::serving(&served);
        assert_eq!(catalog.list("file", list), [format!("quarantined until 30 s: {reason}")], "{list:?}");
        assert_eq!(catalog.serves(), "a b c d e!", "{list:?}");
    }
    for harmless in [
        &["a", "b"][..],                 // half of the ready endpoints and the draining one removed
        &["a~", "b~", "c~", "d~"],       // each draining endpoint is named explicitly
        &["a*0", "b*0", "c*0", "d"],     // one endpoint still accepts requests
        &["a", "b", "c", "d@7^5"],       // moved with a restart
        &["a", "b", "c", "d~", "x@100"], // the address of a draining endpoint
        &["a", "b", "c", "d", "e@7~"],   // a draining endpoint may move
    ] {
        let mut catalog = CatalogHarness::serving(&served);
        assert!(!catalog.list("file", harmless).iter().any(|w| w.starts_with("quarantined")), "{harmless:?}");
    }
}

#[test]
fn suspicious_part_of_update_is_quarantined_and_rest_is_served() {
    let served = ["a", "b", "c", "d~"];
    for (upserts, removals, outputs) in [
        (
            &["x", "a~"][..],
            &["b", "c"][..],
            &[
                "+a changed",
                "+x new",
                "quarantined until 30 s: 2 of 3 ready endpoints removed at once, starting with b",
            ][..],
        ),
        (
            &["x@97", "y"],
            &[],
            &["+y new", "quarantined until 30 s: endpoints x and a have the same address 10.0.0.97:80"],
        ),
        (
            &["x", "y", "b@7"],
            &[],
            &[
                "+x new",
                "+y new",
                "quarantined until 30 s: endpoint b moved from 10.0.0.98:80 to 10.0.0.7:80 without a restart",
            ],
        ),
        (
            &["a*0", "b*0", "c*0", "x~"],
            &[],
            &[
                "+x new",
                "quarantined until 30 s: all weights are zero, so no endpoint would receive requests",
            ],
        ),
        (
            &["x~"],
            &["a", "b", "c", "d"],
            &[
                "-d",
                "+x new",
                "quarantined until 30 s: removing a would leave no endpoint that accepts requests; all 3 \
                    ready endpoints removed at once, starting with a",
            ],
        ),
        (&["x@97"], &["a"], &["-a", "+x new"]), // the address moves to another endpoint
        (&["a~"], &["b"], &["-b", "+a changed"]), // a single endpoint may be removed
    ] {
        let mut catalog = CatalogHarness::serving(&served);
        assert_eq!(catalog.update("file", upserts, removals), outputs);
    }
    // Several deltas of one cluster count as one update.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    let removal = |id: &&str| {
        let (upserts, removals) = (Vec::new(), vec![(*id).into()]);
        ClusterDelta { cluster: "cart".into(), settings: None, upserts, removals }
    };
    let outputs =
        catalog.update_from("file", EndpointUpdate::ClusterDeltas(["a", "b"].iter().map(removal).collect()));
    assert_eq!(outputs, ["quarantined until 30 s: 2 of 3 ready endpoints removed at once, starting with a"]);
    // Removals one by one are accepted, except of the last serving endpoint, which waits for another
    // endpoint.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    assert_eq!(catalog.update("file", &[], &["a"]), ["-a"]);
    assert_eq!(catalog.update("file", &[], &["b"]), ["-b"]);
    let quarantined = "quarantined until 30 s: the endpoint list is empty and not marked as intentional";
    assert_eq!(catalog.update("file", &[], &["c"]), [quarantined]);
    assert_eq!(catalog.update("file", &["x"], &[]), ["-c", "+x new", "released: no longer suspicious"]);
    // If all endpoints are removed in one update, adding an endpoint later does not release them.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    catalog.update("file", &[], &["a", "b", "c"]);
    assert_eq!(
        catalog.update("file", &["x"], &[]),
        ["+x new", "quarantined until 30 s: 3 of 4 ready endpoints removed at once, starting with a"]
    );
    assert_eq!(catalog.serves(), "a b c x");
}

#[test]
fn repetition_after_quarantine_period_releases_quarantine() {
    let mut catalog = CatalogHarness::serving(&["a", "b", "c", "d"]);
    assert_eq!(catalog.list("file", &["a"]).len(), 1);
    assert_eq!(catalog.inner.deadline(), Some(30 * S));
    assert_eq!(catalog.wait(29), [""; 0]);
    assert_eq!(
        catalog.list("file", &["a"]),
        [""; 0],
        "repeated too early, and already reported as quarantined"
    );
    assert_eq!(catalog.wait(1), ["refetch file"]);
    assert_eq!(catalog.serves(), "a b c d", "the end of the period alone confirms nothing");
    assert_eq!(
        catalog.list("file", &["a*2"]),
        ["-b", "-c", "-d", "+a changed", "released: repeated after the quarantine period"]
    );
    // The period runs from the first report that an endpoint is missing; otherwise the quarantine of a
    // cluster that changes constantly would never end.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c", "d", "e", "f"]);
    catalog.list("file", &["a", "b"]);
    catalog.wait(20);
    assert_eq!(catalog.list("file", &["a*7"]), [""; 0]);
    catalog.wait(10);
    assert_eq!(
        catalog.list("file", &["a*8"]),
        ["-b", "-c", "-d", "-e", "-f", "+a changed", "released: repeated after the quarantine period"]
    );
    // A delta can repeat the removal as well.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    catalog.update("file", &[], &["a", "b"]);
    catalog.wait(30);
    assert_eq!(
        catalog.update("file", &[], &["a", "b"]),
        ["-a", "-b", "released: repeated after the quarantine period"]
    );
}

#[test]
fn explicit_confirmation_or_second_source_releases_quarantine_and_withdrawal_drops_it() {
    let mut catalog = CatalogHarness::serving(&["a", "b", "c", "d"]);
    catalog.list("file", &["a", "x"]);
    assert_eq!(
        catalog.confirm("file"),
        ["-b", "-c", "-d", "+x new", "released: confirmed by explicit command"]
    );
    assert_eq!(
        catalog.confirm("file"),
        [r#"file: cluster "cart": rejected: no change is quarantined, so there is nothing to confirm"#]
    );
    catalog.list("file", &["y", "z"]);
    assert_eq!(catalog.list("xds", &["y", "x"]), [""; 0], "a different list");
    assert_eq!(
        catalog.update("xds", &["z*2"], &["x"]),
        ["-a", "-x", "+y new", "+z new", "released: confirmed by the same list from xds"]
    );
    catalog.list("file", &["q"]);
    assert_eq!(catalog.list("file", &["y"]), ["-z", "dropped"]);
    assert_eq!(catalog.inner.deadline(), Some(10 * S + 1), "only the timer that forgets removed endpoints");
}

#[test]
fn empty_list_needs_explicit_confirmation_however_often_repeated() {
    for list in [&[][..], &["a*0", "b*0"]] {
        let mut catalog = CatalogHarness::serving(&["a", "b"]);
        for _ in 0..5 {
            catalog.list("file", list);
            catalog.list("xds", list);
            assert_eq!(catalog.wait(30), ["refetch file", "refetch xds"]);
        }
        assert_eq!(catalog.serves(), "a b");
    }
    let mut catalog = CatalogHarness::serving(&["a", "b"]);
    assert_eq!(
        catalog.update_from("file", EndpointUpdate::ClusterSnapshots(vec![Cluster::empty("cart")])),
        ["-a", "-b"]
    );
    assert_eq!(catalog.serves(), "");
    assert_eq!(
        catalog.list("file", &["c*0"]),
        ["quarantined until 30 s: all weights are zero, so no endpoint would receive requests"]
    );
    assert_eq!(catalog.update("file", &["d"], &[]), ["+c new", "+d new", "released: no longer suspicious"]);
}

#[test]
fn draining_endpoint_is_never_quarantined() {
    let mut catalog = CatalogHarness::serving(&["a", "b", "c", "d"]);
    assert_eq!(catalog.list("file", &["a~", "x"])[0], "+a changed", "reported by a quarantined list");
    assert_eq!(catalog.serves(), "a! b c d");
    assert_eq!(catalog.list("file", &["a", "x"]), ["+a changed"], "the next list withdraws the report");
    assert_eq!(
        catalog.list("xds", &["b~", "c"]),
        ["+b changed"],
        "reported by a source that does not own the cluster"
    );
    assert_eq!(catalog.update("file", &["b*2"], &[]), ["+b changed"]);
    assert_eq!(catalog.serves(), "a b! c d");
    assert_eq!(catalog.update("xds", &["b"], &[]), ["+b changed"]);
    // Reports about an earlier process do not count.
    catalog.update("xds", &["d^5~"], &[]);
    assert_eq!(catalog.update("file", &["d^6"], &[]), ["+d restarted"]);
    assert_eq!(catalog.serves(), "a b c d");
}

#[test]
fn cluster_missing_from_full_snapshot_stays_until_confirmed() {
    let all = |names: &[&str]| {
        EndpointUpdate::FullSnapshot(names.iter().map(|n| Cluster::new(*n, endpoints(&["a", "b"]))).collect())
    };
    let mut catalog = CatalogHarness::new(Policy::default(), &["file"]);
    catalog.update_from("file", all(&["cart", "pay"]));
    assert_eq!(
        catalog.update_from("file", all(&["pay"])),
        ["quarantined until 30 s: missing from the full list of clusters"]
    );
    assert_eq!(catalog.update_from("file", all(&["pay", "cart"])), ["dropped"]);
    catalog.update_from("file", all(&["pay"]));
    assert_eq!(catalog.wait(30), ["refetch file"]);
    assert_eq!(
        catalog.update_from("file", all(&["pay"])),
        [
            "removed cart: repeated after the quarantine period",
            "released: repeated after the quarantine period"
        ]
    );
    for _ in 0..3 {
        catalog.update_from("file", all(&[]));
        catalog.wait(30);
    }
    assert!(
        catalog.inner.cluster(&"pay".into()).is_some(),
        "repetition does not confirm a full snapshot without clusters"
    );
    let confirm = Event::Confirm { source: "file".into(), cluster: "pay".into() };
    assert_eq!(catalog.handle_event(confirm)[0], "removed pay: confirmed by explicit command");
}
