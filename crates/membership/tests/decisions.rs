//! Each decision of the catalog, by example.

use olivecart_membership::{
    Arrival, Catalog, Cluster, ClusterDelta, ClusterSettings, Endpoint, EndpointUpdate, Event, Metadata,
    Nanos, Output, Policy, Silence, State, Version,
};

const S: Nanos = 1_000_000_000;

/// A catalog, and what it put out in short words.
struct Desk {
    catalog: Catalog,
    now: Nanos,
}

impl Desk {
    fn new(policy: Policy, sources: &[&'static str]) -> Desk {
        let sources = sources.iter().map(|s| (*s).into());
        Desk { catalog: Catalog::new(policy, sources).expect("a usable policy"), now: 0 }
    }

    /// A catalog that serves cluster `cart` of endpoints from a file.
    fn serving(list: &[&str]) -> Desk {
        let mut desk = Desk::new(Policy::default(), &["file", "xds"]);
        assert!(desk.list("file", list)[0].starts_with("added cart"));
        desk
    }

    fn tell(&mut self, event: Event) -> Vec<String> {
        let mut out = Vec::new();
        self.catalog.handle(self.now, event, &mut out);
        out.iter().flat_map(words).collect()
    }

    fn say(&mut self, source: &str, update: EndpointUpdate) -> Vec<String> {
        let (source, version) = (source.into(), Version::from(self.now / S));
        self.tell(Event::Update { source, version, update })
    }

    fn list(&mut self, source: &str, list: &[&str]) -> Vec<String> {
        self.say(source, EndpointUpdate::ClusterSnapshots(vec![Cluster::new("cart", endpoints(list))]))
    }

    fn update(&mut self, source: &str, upserts: &[&str], removals: &[&str]) -> Vec<String> {
        let (upserts, removals) = (endpoints(upserts), removals.iter().map(|id| (*id).into()).collect());
        let update = ClusterDelta { cluster: "cart".into(), settings: None, upserts, removals };
        self.say(source, EndpointUpdate::ClusterDeltas(vec![update]))
    }

    fn confirm(&mut self, source: &str) -> Vec<String> {
        self.tell(Event::Confirm { source: source.into(), cluster: "cart".into() })
    }

    fn wait(&mut self, seconds: u64) -> Vec<String> {
        self.now += seconds * S;
        self.tell(Event::Tick)
    }

    /// The endpoints that serve, with what is not ordinary about them.
    fn serves(&self) -> String {
        let Some(cart) = self.catalog.cluster(&"cart".into()) else { return "nothing".into() };
        let state = |e: &Endpoint| if e.takes_requests() { "" } else { "!" };
        cart.endpoints().map(|e| format!("{}{}", e.name, state(e))).collect::<Vec<_>>().join(" ")
    }
}

/// `a`, `a@7` (at another address), `a*2` (weight), `a~` (draining), `a^5` (started), in any combination.
fn endpoint(text: &str) -> Endpoint {
    let at = text.find(|c: char| !c.is_alphanumeric()).unwrap_or(text.len());
    let (id, mut rest) = text.split_at(at);
    let own = id.bytes().last().unwrap_or(0);
    let mut endpoint = Endpoint::ready(id, ([10, 0, 0, own], 80).into());
    while let Some(mark) = rest.chars().next() {
        let end = rest[1..].find(|c: char| !c.is_alphanumeric()).map_or(rest.len(), |at| at + 1);
        let value = &rest[1..end];
        let number = || value.parse::<u8>().expect("a number");
        match mark {
            '@' => endpoint.address = Some(([10, 0, 0, number()], 80).into()),
            '*' => endpoint.weight = number().into(),
            '^' => endpoint.started = Some(number().into()),
            '~' => endpoint.state = State::Draining,
            other => panic!("{other}"),
        }
        rest = &rest[end..];
    }
    endpoint
}

fn endpoints(list: &[&str]) -> Vec<Endpoint> {
    list.iter().map(|text| endpoint(text)).collect()
}

fn words(output: &Output) -> Vec<String> {
    match output {
        Output::Added(added) => vec![format!("added {}", added.cluster)],
        Output::Removed(removed) => vec![format!("removed {}: {}", removed.cluster, removed.cause)],
        Output::Changed(change) => {
            let removed = change.removed.iter().map(|id| format!("-{id}"));
            let upserted = change.upserted.iter().map(|u| format!("+{} {}", u.endpoint.name, u.arrival));
            let limits = change.settings.iter().map(|s| format!("limit {:?}", s.max_requests));
            removed.chain(upserted).chain(limits).collect()
        }
        Output::Stale(aged) => vec![format!("aged {} since {} s", aged.cluster, aged.since / S)],
        Output::Recovered { cluster, .. } => vec![format!("renewed {cluster}")],
        Output::Quarantined(held) => {
            let reasons: Vec<_> = held.anomalies.iter().map(|s| s.to_string()).collect();
            vec![format!("held until {} s: {}", held.until / S, reasons.join("; "))]
        }
        Output::Released { cause, .. } => vec![format!("released: {cause}")],
        Output::QuarantineDropped { .. } => vec!["withdrawn".into()],
        Output::RefetchRequested { source, .. } => vec![format!("ask {source}")],
        Output::Rejected(refusal) => vec![refusal.to_string()],
    }
}

#[test]
fn a_list_is_served_at_once_and_the_same_again_puts_out_nothing() {
    let mut desk = Desk::new(Policy::default(), &["file"]);
    assert_eq!(desk.list("file", &["b", "a"]), ["added cart", "+a new", "+b new"]);
    assert_eq!(desk.list("file", &["a", "b"]), [""; 0]);
    assert_eq!(desk.list("file", &["a*3", "b", "c"]), ["+a changed", "+c new"]);
    assert_eq!(desk.catalog.deadline(), None);
    // Ids that begin alike are told apart, in any order.
    let told = desk.list("file", &["a", "b", "c", "n00000000y", "m", "n00000000x"]);
    assert_eq!(told, ["+a changed", "+m new", "+n00000000x new", "+n00000000y new"]);
}

#[test]
fn what_is_suspicious_of_a_list() {
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
        let mut desk = Desk::serving(&served);
        assert_eq!(desk.list("file", list), [format!("held until 30 s: {reason}")], "{list:?}");
        assert_eq!(desk.serves(), "a b c d e!", "{list:?}");
    }
    for harmless in [
        &["a", "b"][..],                 // half of them, and the one that drains
        &["a~", "b~", "c~", "d~"],       // drains are said of each by name
        &["a*0", "b*0", "c*0", "d"],     // one takes requests
        &["a", "b", "c", "d@7^5"],       // moved in a restart
        &["a", "b", "c", "d~", "x@100"], // the address of one that drains
        &["a", "b", "c", "d", "e@7~"],   // what drains may move
    ] {
        let mut desk = Desk::serving(&served);
        assert!(!desk.list("file", harmless).iter().any(|w| w.starts_with("held")), "{harmless:?}");
    }
}

#[test]
fn what_is_suspicious_of_an_update_is_held_and_the_rest_is_not() {
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
        let mut desk = Desk::serving(&served);
        assert_eq!(desk.update("file", upserts, removals), told);
    }
    // However a source cuts up what it says at once, it is one update.
    let mut desk = Desk::serving(&["a", "b", "c"]);
    let cut = |id: &&str| {
        let (upserts, removals) = (Vec::new(), vec![(*id).into()]);
        ClusterDelta { cluster: "cart".into(), settings: None, upserts, removals }
    };
    let told = desk.say("file", EndpointUpdate::ClusterDeltas(["a", "b"].iter().map(cut).collect()));
    assert_eq!(told, ["held until 30 s: 2 of 3 ready endpoints gone at once, a first"]);
    // One by one they pass, but for the last that takes requests; which goes once there is another.
    let mut desk = Desk::serving(&["a", "b", "c"]);
    assert_eq!(desk.update("file", &[], &["a"]), ["-a"]);
    assert_eq!(desk.update("file", &[], &["b"]), ["-b"]);
    let held = "held until 30 s: no endpoint is listed, and nothing says that this is meant";
    assert_eq!(desk.update("file", &[], &["c"]), [held]);
    assert_eq!(desk.update("file", &["x"], &[]), ["-c", "+x new", "released: no longer suspicious"]);
    // But where all are said to leave at once, one that comes makes that no better.
    let mut desk = Desk::serving(&["a", "b", "c"]);
    desk.update("file", &[], &["a", "b", "c"]);
    assert_eq!(
        desk.update("file", &["x"], &[]),
        ["+x new", "held until 30 s: 3 of 4 ready endpoints gone at once, a first"]
    );
    assert_eq!(desk.serves(), "a b c x");
}

#[test]
fn a_held_change_is_confirmed_by_the_same_again_after_the_hold() {
    let mut desk = Desk::serving(&["a", "b", "c", "d"]);
    assert_eq!(desk.list("file", &["a"]).len(), 1);
    assert_eq!(desk.catalog.deadline(), Some(30 * S));
    assert_eq!(desk.wait(29), [""; 0]);
    assert_eq!(desk.list("file", &["a"]), [""; 0], "too early, and it is held already");
    assert_eq!(desk.wait(1), ["ask file"]);
    assert_eq!(desk.serves(), "a b c d", "time alone confirms nothing");
    assert_eq!(
        desk.list("file", &["a*2"]),
        ["-b", "-c", "-d", "+a changed", "released: said again after the hold"]
    );
    // What is missing is counted from when each was first missed, or a cluster that changes all the time
    // would never get out.
    let mut desk = Desk::serving(&["a", "b", "c", "d", "e", "f"]);
    desk.list("file", &["a", "b"]);
    desk.wait(20);
    assert_eq!(desk.list("file", &["a*7"]), [""; 0]);
    desk.wait(10);
    assert_eq!(
        desk.list("file", &["a*8"]),
        ["-b", "-c", "-d", "-e", "-f", "+a changed", "released: said again after the hold"]
    );
    // An update says it again as well.
    let mut desk = Desk::serving(&["a", "b", "c"]);
    desk.update("file", &[], &["a", "b"]);
    desk.wait(30);
    assert_eq!(desk.update("file", &[], &["a", "b"]), ["-a", "-b", "released: said again after the hold"]);
}

#[test]
fn a_held_change_is_confirmed_by_word_or_by_a_second_source_and_dropped_if_no_longer_said() {
    let mut desk = Desk::serving(&["a", "b", "c", "d"]);
    desk.list("file", &["a", "x"]);
    assert_eq!(desk.confirm("file"), ["-b", "-c", "-d", "+x new", "released: confirmed by explicit word"]);
    assert_eq!(
        desk.confirm("file"),
        [r#"file: cluster "cart": refused: nothing of it is held, so there is nothing to confirm"#]
    );
    desk.list("file", &["y", "z"]);
    assert_eq!(desk.list("xds", &["y", "x"]), [""; 0], "not the same");
    assert_eq!(
        desk.update("xds", &["z*2"], &["x"]),
        ["-a", "-x", "+y new", "+z new", "released: xds lists the same"]
    );
    desk.list("file", &["q"]);
    assert_eq!(desk.list("file", &["y"]), ["-z", "withdrawn"]);
    assert_eq!(desk.catalog.deadline(), Some(10 * S + 1), "to forget who left, and nothing else");
}

#[test]
fn an_empty_cluster_needs_the_word_of_its_source_however_often_it_is_listed_as_empty() {
    for list in [&[][..], &["a*0", "b*0"]] {
        let mut desk = Desk::serving(&["a", "b"]);
        for _ in 0..5 {
            desk.list("file", list);
            desk.list("xds", list);
            assert_eq!(desk.wait(30), ["ask file", "ask xds"]);
        }
        assert_eq!(desk.serves(), "a b");
    }
    let mut desk = Desk::serving(&["a", "b"]);
    assert_eq!(
        desk.say("file", EndpointUpdate::ClusterSnapshots(vec![Cluster::empty("cart")])),
        ["-a", "-b"]
    );
    assert_eq!(desk.serves(), "");
    assert_eq!(
        desk.list("file", &["c*0"]),
        ["held until 30 s: all weights are zero, so that nothing would be served"]
    );
    assert_eq!(desk.update("file", &["d"], &[]), ["+c new", "+d new", "released: no longer suspicious"]);
}

#[test]
fn a_draining_endpoint_is_never_held_back() {
    let mut desk = Desk::serving(&["a", "b", "c", "d"]);
    assert_eq!(desk.list("file", &["a~", "x"])[0], "+a changed", "of a list that is held");
    assert_eq!(desk.serves(), "a! b c d");
    assert_eq!(desk.list("file", &["a", "x"]), ["+a changed"], "and the next list takes it back");
    assert_eq!(desk.list("xds", &["b~", "c"]), ["+b changed"], "by a source that only stands by");
    assert_eq!(desk.update("file", &["b*2"], &[]), ["+b changed"]);
    assert_eq!(desk.serves(), "a b! c d");
    assert_eq!(desk.update("xds", &["b"], &[]), ["+b changed"]);
    // What was said of an earlier life does not count.
    desk.update("xds", &["d^5~"], &[]);
    assert_eq!(desk.update("file", &["d^6"], &[]), ["+d restarted"]);
    assert_eq!(desk.serves(), "a b c d");
}

#[test]
fn identity_goes_by_id_and_an_endpoint_that_is_back_within_a_moment_has_returned() {
    for (away, back, arrival) in [
        (10, "b", "returned after 10000 ms"),
        (11, "b", "new"),
        (10, "b*2~", "returned after 10000 ms"),
        (10, "b^5", "restarted"),
        (10, "b@7", "moved from 10.0.0.98:80"),
        (10, "x@98", "new"),
    ] {
        let mut desk = Desk::serving(&["a", "b"]);
        assert_eq!(desk.update("file", &[], &["b"]), ["-b"]);
        desk.wait(away);
        assert_eq!(
            desk.update("file", &[back], &[]),
            [format!("+{} {arrival}", &back[..1])],
            "{back} after {away} s"
        );
    }
    // It counts when it left last.
    let mut desk = Desk::serving(&["a", "b"]);
    desk.update("file", &[], &["b"]);
    desk.wait(5);
    desk.update("file", &["b"], &[]);
    desk.update("file", &[], &["b"]);
    desk.wait(6);
    assert_eq!(desk.update("file", &["b"], &[]), ["+b returned after 6000 ms"]);
    // An id that comes to an address before the one that leaves it waits for that.
    let mut desk = Desk::serving(&["a", "b"]);
    desk.update("file", &["x@98"], &[]);
    assert_eq!(desk.serves(), "a b");
    assert_eq!(desk.update("file", &[], &["b"]), ["-b", "+x new", "released: no longer suspicious"]);
    // Restarted or confirmed, an endpoint may move.
    assert_eq!(desk.update("file", &["a@7^5"], &[]), ["+a restarted"]);
    desk.update("file", &["a@8^5"], &[]);
    assert_eq!(desk.confirm("file")[0], "+a moved from 10.0.0.7:80");
    // Who left is forgotten in time.
    desk.wait(10);
    assert_eq!(desk.catalog.deadline(), Some(10 * S + 1));
    desk.wait(1);
    assert_eq!(desk.catalog.deadline(), None);
}

#[test]
fn silence_ages_and_empties_nothing() {
    let mut desk = Desk::serving(&["a", "b"]);
    let silent = |silence| Event::Silent { source: "file".into(), silence };
    desk.tell(silent(Silence::Quiet));
    desk.wait(4);
    desk.tell(silent(Silence::Lost));
    assert_eq!(desk.wait(5), [""; 0]);
    assert_eq!(desk.catalog.deadline(), Some(10 * S));
    assert_eq!(desk.wait(1), ["aged cart since 0 s"]);
    assert_eq!(desk.wait(1_000_000), [""; 0]);
    assert_eq!(desk.serves(), "a b");
    assert!(
        desk.catalog.view()[0]
            .to_string()
            .contains("AGED\n  file: version \"0\", 2 endpoints, heard 277 h ago, source lost for 277 h")
    );
    assert_eq!(desk.tell(Event::Reconnected { source: "file".into() }), ["renewed cart"]);
    desk.tell(silent(Silence::Lost));
    desk.wait(10);
    assert_eq!(desk.list("file", &["a", "b"]), ["renewed cart"]);
}

#[test]
fn the_first_source_that_has_a_cluster_gives_it() {
    let mut desk = Desk::new(Policy::default(), &["file", "xds"]);
    assert_eq!(desk.list("xds", &["a", "b", "c"])[0], "added cart");
    // What would take its place is judged against what serves.
    assert_eq!(desk.list("file", &["a"]), ["held until 30 s: 2 of 3 ready endpoints gone at once, b first"]);
    desk.wait(30);
    assert_eq!(desk.list("file", &["a"]), ["-b", "-c", "released: said again after the hold"]);
    assert_eq!(desk.update("xds", &["d"], &[]), [""; 0], "it stands by");
    // To leave it is a word: nothing is suspicious about what follows.
    assert_eq!(
        desk.say("file", EndpointUpdate::ClustersRemoved(vec!["cart".into()])),
        ["+b returned after 0 ms", "+c returned after 0 ms", "+d new"]
    );
    // A first list that stands against nothing any more passes.
    desk.list("file", &["x", "y"]);
    let told = desk.say("xds", EndpointUpdate::ClustersRemoved(vec!["cart".into()]));
    assert_eq!(told, ["-a", "-b", "-c", "-d", "+x new", "+y new", "released: no longer suspicious"]);
    assert_eq!(
        desk.say("file", EndpointUpdate::ClustersRemoved(vec!["cart".into()])),
        ["removed cart: file said so"]
    );
    desk.wait(1);
    assert_eq!(desk.list("file", &["x"]), ["added cart", "+x new"], "a cluster of the same name is another");
}

#[test]
fn a_cluster_that_is_missing_from_a_list_of_all_is_held_until_that_is_confirmed() {
    let all = |names: &[&str]| {
        EndpointUpdate::FullSnapshot(names.iter().map(|n| Cluster::new(*n, endpoints(&["a", "b"]))).collect())
    };
    let mut desk = Desk::new(Policy::default(), &["file"]);
    desk.say("file", all(&["cart", "pay"]));
    assert_eq!(desk.say("file", all(&["pay"])), ["held until 30 s: missing from the list of all clusters"]);
    assert_eq!(desk.say("file", all(&["pay", "cart"])), ["withdrawn"]);
    desk.say("file", all(&["pay"]));
    assert_eq!(desk.wait(30), ["ask file"]);
    assert_eq!(
        desk.say("file", all(&["pay"])),
        ["removed cart: said again after the hold", "released: said again after the hold"]
    );
    for _ in 0..3 {
        desk.say("file", all(&[]));
        desk.wait(30);
    }
    assert!(desk.catalog.cluster(&"pay".into()).is_some(), "none at all is no list that repetition confirms");
    let confirm = Event::Confirm { source: "file".into(), cluster: "pay".into() };
    assert_eq!(desk.tell(confirm)[0], "removed pay: confirmed by explicit word");
}

#[test]
fn what_can_mean_nothing_is_refused_by_name() {
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
        let mut desk = Desk::serving(&["a", "b"]);
        let told =
            format!("file: cluster \"cart\": endpoint {:?}: refused: {reason}", endpoint.name.as_str());
        let list = vec![endpoint.clone(), self::endpoint("c")];
        let whole = EndpointUpdate::ClusterSnapshots(vec![Cluster::new("cart", list.clone())]);
        assert_eq!(desk.say("file", whole).join("\n"), told, "a list is refused whole");
        let update =
            ClusterDelta { cluster: "cart".into(), settings: None, upserts: list, removals: Vec::new() };
        assert_eq!(
            desk.say("file", EndpointUpdate::ClusterDeltas(vec![update])),
            [told.clone(), "+c new".into()],
            "the rest is taken"
        );
        assert_eq!(
            desk.catalog.view()[0].subscriptions[0].rejection.as_ref().map(|r| r.reason.clone()),
            Some(told)
        );
    }
    let mut desk = Desk::serving(&["a", "b"]);
    let twice =
        r#"file: cluster "cart": endpoint "c": refused: its id comes twice; ids are unique in a cluster"#;
    assert_eq!(desk.list("file", &["a", "c", "c*2"]), [twice]);
    assert_eq!(desk.update("file", &["c", "d"], &["c"]), [twice, "+d new"]);
    let two = vec![Cluster::new("cart", endpoints(&["a"])), Cluster::new("cart", endpoints(&["b"]))];
    assert_eq!(
        desk.say("file", EndpointUpdate::FullSnapshot(two)),
        [r#"file: cluster "cart": refused: it comes twice in one update; put its endpoints into one list"#]
    );
    let limits = ClusterSettings { max_requests: Some(0), ..ClusterSettings::default() };
    let limited = Cluster { settings: limits, ..Cluster::new("cart", endpoints(&["a"])) };
    assert_eq!(
        desk.say("file", EndpointUpdate::ClusterSnapshots(vec![limited])),
        [r#"file: cluster "cart": refused: max_requests must be at least 1"#]
    );
    assert_eq!(desk.list("ftp", &["a"]), ["ftp: refused: no such source is set up"]);
    assert_eq!(desk.serves(), "a b d");
}

#[test]
fn a_flood_is_refused() {
    let policy = Policy { max_clusters: 2, max_endpoints: 3, ..Policy::default() };
    let mut desk = Desk::new(policy, &["file"]);
    desk.list("file", &["a", "b"]);
    assert_eq!(
        desk.list("file", &["a", "b", "c", "d"]),
        [r#"file: cluster "cart": refused: it would have more than 3 endpoints (max_endpoints)"#]
    );
    assert_eq!(
        desk.update("file", &["c", "d"], &[])[0],
        r#"file: cluster "cart": endpoint "d": refused: it would have more than 3 endpoints (max_endpoints)"#
    );
    assert_eq!(desk.serves(), "a b c");
    for id in ["c", "x", "y", "z"] {
        desk.update("file", &[id], &[]);
        desk.update("file", &[], &[id]);
    }
    assert_eq!(desk.update("file", &["c"], &[]), ["+c new"], "no more is remembered than may be listed");
    let clusters = (0..3).map(|i| Cluster::new(format!("c{i}").as_str(), endpoints(&["a"]))).collect();
    let told = desk.say("file", EndpointUpdate::ClusterSnapshots(clusters));
    assert_eq!(told[2], r#"file: cluster "c1": refused: there would be more than 2 clusters (max_clusters)"#);
    let upserts = (0..100)
        .map(|i| Endpoint { priority: 999, ..Endpoint::ready(format!("e{i}").as_str(), ([1; 4], 1).into()) });
    let update = ClusterDelta {
        cluster: "cart".into(),
        settings: None,
        upserts: upserts.collect(),
        removals: Vec::new(),
    };
    let told = desk.say("file", EndpointUpdate::ClusterDeltas(vec![update]));
    assert_eq!(told.len(), Policy::MOST_REFUSALS + 1);
    assert_eq!(told[16], r#"file: cluster "cart": refused: 84 more endpoints of the same update"#);
}

#[test]
fn limits_come_with_a_cluster() {
    let mut desk = Desk::serving(&["a", "b"]);
    let limits = |n| ClusterSettings { max_requests: Some(n), ..ClusterSettings::default() };
    let cart = |n, list: &[&str]| Cluster { settings: limits(n), ..Cluster::new("cart", endpoints(list)) };
    assert_eq!(
        desk.say("file", EndpointUpdate::ClusterSnapshots(vec![cart(5, &["a", "b"])])),
        ["limit Some(5)"]
    );
    desk.say("file", EndpointUpdate::ClusterSnapshots(vec![cart(6, &["x", "y"])]));
    assert_eq!(
        desk.catalog.cluster(&"cart".into()).expect("cart").settings.max_requests,
        Some(5),
        "held with the list"
    );
    assert_eq!(desk.confirm("file")[4..], ["limit Some(6)", "released: confirmed by explicit word"]);
}

#[test]
fn the_view_says_it_all() {
    let mut desk = Desk::serving(&["a", "b", "c~", "d*0"]);
    desk.list("xds", &["a"]);
    desk.wait(3);
    desk.list("file", &["x"]);
    desk.wait(1);
    desk.list("file", &["a", "a"]);
    let view = desk.catalog.view();
    assert_eq!(
        view[0].to_string(),
        "cart: from file, 2 ready, 1 draining, 0 unhealthy, 1 of weight 0, \
        changed 4000 ms ago
  file: version \"0\", 4 endpoints, heard 0 ms ago
    held for 1000 ms, 5 endpoints: all 3 ready endpoints gone at once, a first; asked again in 29 s
    0 ms ago: file: cluster \"cart\": endpoint \"a\": refused: its id comes twice; ids are unique in a cluster
  xds: version \"0\", 1 endpoints, heard 4000 ms ago"
    );
    let json = serde_json::to_value(&view).expect("JSON");
    assert_eq!(json[0]["feeds"][0]["held"]["asks_in_ms"], 29_000);
}

#[test]
fn a_policy_out_of_range_is_refused_and_time_does_not_go_back() {
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
    let mut desk = Desk::serving(&["a", "b", "c"]);
    desk.wait(100);
    desk.update("file", &[], &["a"]);
    desk.now = 50 * S;
    let mut out = Vec::new();
    let update = ClusterDelta {
        cluster: "cart".into(),
        settings: None,
        upserts: endpoints(&["a"]),
        removals: Vec::new(),
    };
    let update = EndpointUpdate::ClusterDeltas(vec![update]);
    desk.catalog.handle(
        50 * S,
        Event::Update { source: "file".into(), version: Version::from(1), update },
        &mut out,
    );
    let Output::Changed(change) = &out[0] else { panic!("{out:?}") };
    assert_eq!(change.upserted[0].arrival, Arrival::Returned { away: 0 });
}
