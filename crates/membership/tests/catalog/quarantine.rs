//! Suspicious changes: which are quarantined, and what releases them.

use crate::harness::{CatalogHarness, S, endpoints};
use olivecart_membership::{Cluster, ClusterDelta, EndpointUpdate, Event, Policy};

#[test]
fn suspicious_list_is_quarantined_and_harmless_one_is_served() {
    let served = ["a", "b", "c", "d", "e~"];
    for (list, reason) in [
        (
            &[][..],
            "no endpoint is listed, and nothing says that this is meant; all 4 ready endpoints gone at \
                once, a first",
        ),
        (&["a*0", "b*0", "c*0", "d*0"], "all weights are zero, so that nothing would be served"),
        (
            &["e~", "x~"],
            "without a no endpoint that takes requests would be left; all 4 ready endpoints gone at once, \
                a first",
        ),
        (&["x", "y", "e"], "all 4 ready endpoints gone at once, a first"),
        (&["a", "x", "y", "z"], "3 of 4 ready endpoints gone at once, b first"),
        (
            &["a", "b", "c@7", "d@8"],
            "endpoint c moved from 10.0.0.99:80 to 10.0.0.7:80 without a restart (and 1 more)",
        ),
        (&["a", "b", "c", "d", "x@97"], "endpoints x and a are both at 10.0.0.97:80"),
        (&["a", "b", "c", "d", "x@7", "y@7"], "endpoints x and y are both at 10.0.0.7:80 (and 1 more)"),
    ] {
        let mut catalog = CatalogHarness::serving(&served);
        assert_eq!(catalog.list("file", list), [format!("held until 30 s: {reason}")], "{list:?}");
        assert_eq!(catalog.serves(), "a b c d e!", "{list:?}");
    }
    for harmless in [
        &["a", "b"][..],                 // half of them, and the one that drains
        &["a~", "b~", "c~", "d~"],       // drains are said of each by name
        &["a*0", "b*0", "c*0", "d"],     // one takes requests
        &["a", "b", "c", "d@7^5"],       // moved in a restart
        &["a", "b", "c", "d~", "x@100"], // the address of one that drains
        &["a", "b", "c", "d", "e@7~"],   // what drains may move
    ] {
        let mut catalog = CatalogHarness::serving(&served);
        assert!(!catalog.list("file", harmless).iter().any(|w| w.starts_with("held")), "{harmless:?}");
    }
}

#[test]
fn suspicious_part_of_update_is_quarantined_and_rest_is_served() {
    let served = ["a", "b", "c", "d~"];
    for (upserts, removals, told) in [
        (
            &["x", "a~"][..],
            &["b", "c"][..],
            &["+a changed", "+x new", "held until 30 s: 2 of 3 ready endpoints gone at once, b first"][..],
        ),
        (&["x@97", "y"], &[], &["+y new", "held until 30 s: endpoints x and a are both at 10.0.0.97:80"]),
        (
            &["x", "y", "b@7"],
            &[],
            &[
                "+x new",
                "+y new",
                "held until 30 s: endpoint b moved from 10.0.0.98:80 to 10.0.0.7:80 without a restart",
            ],
        ),
        (
            &["a*0", "b*0", "c*0", "x~"],
            &[],
            &["+x new", "held until 30 s: all weights are zero, so that nothing would be served"],
        ),
        (
            &["x~"],
            &["a", "b", "c", "d"],
            &[
                "-d",
                "+x new",
                "held until 30 s: without a no endpoint that takes requests would be left; all 3 ready \
                    endpoints gone at once, a first",
            ],
        ),
        (&["x@97"], &["a"], &["-a", "+x new"]), // the address changes hands
        (&["a~"], &["b"], &["-b", "+a changed"]), // one alone may leave
    ] {
        let mut catalog = CatalogHarness::serving(&served);
        assert_eq!(catalog.update("file", upserts, removals), told);
    }
    // However a source cuts up what it says at once, it is one update.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    let cut = |id: &&str| {
        let (upserts, removals) = (Vec::new(), vec![(*id).into()]);
        ClusterDelta { cluster: "cart".into(), settings: None, upserts, removals }
    };
    let told = catalog.say("file", EndpointUpdate::ClusterDeltas(["a", "b"].iter().map(cut).collect()));
    assert_eq!(told, ["held until 30 s: 2 of 3 ready endpoints gone at once, a first"]);
    // One by one they pass, but for the last that takes requests; which goes once there is another.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    assert_eq!(catalog.update("file", &[], &["a"]), ["-a"]);
    assert_eq!(catalog.update("file", &[], &["b"]), ["-b"]);
    let held = "held until 30 s: no endpoint is listed, and nothing says that this is meant";
    assert_eq!(catalog.update("file", &[], &["c"]), [held]);
    assert_eq!(catalog.update("file", &["x"], &[]), ["-c", "+x new", "released: no longer suspicious"]);
    // But where all are said to leave at once, one that comes makes that no better.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    catalog.update("file", &[], &["a", "b", "c"]);
    assert_eq!(
        catalog.update("file", &["x"], &[]),
        ["+x new", "held until 30 s: 3 of 4 ready endpoints gone at once, a first"]
    );
    assert_eq!(catalog.serves(), "a b c x");
}

#[test]
fn repetition_after_hold_releases_quarantine() {
    let mut catalog = CatalogHarness::serving(&["a", "b", "c", "d"]);
    assert_eq!(catalog.list("file", &["a"]).len(), 1);
    assert_eq!(catalog.inner.deadline(), Some(30 * S));
    assert_eq!(catalog.wait(29), [""; 0]);
    assert_eq!(catalog.list("file", &["a"]), [""; 0], "too early, and it is held already");
    assert_eq!(catalog.wait(1), ["ask file"]);
    assert_eq!(catalog.serves(), "a b c d", "time alone confirms nothing");
    assert_eq!(
        catalog.list("file", &["a*2"]),
        ["-b", "-c", "-d", "+a changed", "released: said again after the hold"]
    );
    // What is missing is counted from when each was first missed, or a cluster that changes all the time
    // would never get out.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c", "d", "e", "f"]);
    catalog.list("file", &["a", "b"]);
    catalog.wait(20);
    assert_eq!(catalog.list("file", &["a*7"]), [""; 0]);
    catalog.wait(10);
    assert_eq!(
        catalog.list("file", &["a*8"]),
        ["-b", "-c", "-d", "-e", "-f", "+a changed", "released: said again after the hold"]
    );
    // An update says it again as well.
    let mut catalog = CatalogHarness::serving(&["a", "b", "c"]);
    catalog.update("file", &[], &["a", "b"]);
    catalog.wait(30);
    assert_eq!(catalog.update("file", &[], &["a", "b"]), ["-a", "-b", "released: said again after the hold"]);
}

#[test]
fn explicit_confirmation_or_second_source_releases_quarantine_and_withdrawal_drops_it() {
    let mut catalog = CatalogHarness::serving(&["a", "b", "c", "d"]);
    catalog.list("file", &["a", "x"]);
    assert_eq!(catalog.confirm("file"), ["-b", "-c", "-d", "+x new", "released: confirmed by explicit word"]);
    assert_eq!(
        catalog.confirm("file"),
        [r#"file: cluster "cart": refused: nothing of it is held, so there is nothing to confirm"#]
    );
    catalog.list("file", &["y", "z"]);
    assert_eq!(catalog.list("xds", &["y", "x"]), [""; 0], "not the same");
    assert_eq!(
        catalog.update("xds", &["z*2"], &["x"]),
        ["-a", "-x", "+y new", "+z new", "released: xds lists the same"]
    );
    catalog.list("file", &["q"]);
    assert_eq!(catalog.list("file", &["y"]), ["-z", "withdrawn"]);
    assert_eq!(catalog.inner.deadline(), Some(10 * S + 1), "to forget who left, and nothing else");
}

#[test]
fn empty_list_needs_explicit_confirmation_however_often_repeated() {
    for list in [&[][..], &["a*0", "b*0"]] {
        let mut catalog = CatalogHarness::serving(&["a", "b"]);
        for _ in 0..5 {
            catalog.list("file", list);
            catalog.list("xds", list);
            assert_eq!(catalog.wait(30), ["ask file", "ask xds"]);
        }
        assert_eq!(catalog.serves(), "a b");
    }
    let mut catalog = CatalogHarness::serving(&["a", "b"]);
    assert_eq!(
        catalog.say("file", EndpointUpdate::ClusterSnapshots(vec![Cluster::empty("cart")])),
        ["-a", "-b"]
    );
    assert_eq!(catalog.serves(), "");
    assert_eq!(
        catalog.list("file", &["c*0"]),
        ["held until 30 s: all weights are zero, so that nothing would be served"]
    );
    assert_eq!(catalog.update("file", &["d"], &[]), ["+c new", "+d new", "released: no longer suspicious"]);
}

#[test]
fn draining_endpoint_is_never_quarantined() {
    let mut catalog = CatalogHarness::serving(&["a", "b", "c", "d"]);
    assert_eq!(catalog.list("file", &["a~", "x"])[0], "+a changed", "of a list that is held");
    assert_eq!(catalog.serves(), "a! b c d");
    assert_eq!(catalog.list("file", &["a", "x"]), ["+a changed"], "and the next list takes it back");
    assert_eq!(catalog.list("xds", &["b~", "c"]), ["+b changed"], "by a source that only stands by");
    assert_eq!(catalog.update("file", &["b*2"], &[]), ["+b changed"]);
    assert_eq!(catalog.serves(), "a b! c d");
    assert_eq!(catalog.update("xds", &["b"], &[]), ["+b changed"]);
    // What was said of an earlier life does not count.
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
    catalog.say("file", all(&["cart", "pay"]));
    assert_eq!(
        catalog.say("file", all(&["pay"])),
        ["held until 30 s: missing from the list of all clusters"]
    );
    assert_eq!(catalog.say("file", all(&["pay", "cart"])), ["withdrawn"]);
    catalog.say("file", all(&["pay"]));
    assert_eq!(catalog.wait(30), ["ask file"]);
    assert_eq!(
        catalog.say("file", all(&["pay"])),
        ["removed cart: said again after the hold", "released: said again after the hold"]
    );
    for _ in 0..3 {
        catalog.say("file", all(&[]));
        catalog.wait(30);
    }
    assert!(
        catalog.inner.cluster(&"pay".into()).is_some(),
        "none at all is no list that repetition confirms"
    );
    let confirm = Event::Confirm { source: "file".into(), cluster: "pay".into() };
    assert_eq!(catalog.tell(confirm)[0], "removed pay: confirmed by explicit word");
}
