//! The file format: parsing, problems with their positions, truncated files, fragments, differences and
//! summaries.

use olivecart_membership::file::{Fault, merge_fragments, parse};
use olivecart_membership::{
    Cluster, ClusterSettings, Endpoint, Endpoints, Label, Policy, State, diff, quarantined_changes, summary,
};
use std::time::Duration;

const TOML: &str = r#"version = 1

[[clusters]]
name = "cart"
connect_timeout = "250ms"
max_requests = 200
[[clusters.endpoints]]
name = "cart-1"
address = "10.0.0.1:8080"
zone = "a"
[[clusters.endpoints]]
name = "cart-2"
address = "[fd00::2]:8080"
zone = "a"
priority = 1
weight = 10.5
cell = 18446744073709551615
kind = "m2"
state = "draining"
started_ms = 1700000000000
metadata = { rack = "7", "größe" = "x" }

[[clusters]]
name = "old"
empty = true

[end]
"#;

const JSON: &str = r#"{"version": 1, "clusters": [
  {"name": "cart", "connect_timeout": "250ms", "max_requests": 200, "endpoints": [
    {"name": "cart-1", "address": "10.0.0.1:8080", "zone": "a"},
    {"name": "cart-2", "address": "[fd00::2]:8080", "zone": "a", "priority": 1, "weight": 10.5,
     "cell": 18446744073709551615, "kind": "m2", "state": "draining", "started_ms": 1700000000000,
     "metadata": {"rack": "7", "gr\u00f6\u00dfe": "x"}}]},
  {"name": "old", "empty": true}]}"#;

fn cart() -> Vec<Cluster> {
    let one = Endpoint {
        zone: Label::from("a"),
        ..Endpoint::ready("cart-1", "10.0.0.1:8080".parse().expect("an address"))
    };
    let two = Endpoint {
        zone: Label::from("a"),
        priority: 1,
        weight: 10.5,
        cell: u64::MAX,
        kind: Label::from("m2"),
        state: State::Draining,
        started: Some(1_700_000_000_000_000_000),
        metadata: [("rack", "7"), ("größe", "x")].into_iter().collect(),
        ..Endpoint::ready("cart-2", "[fd00::2]:8080".parse().expect("an address"))
    };
    let settings = ClusterSettings {
        connect_timeout: Some(Duration::from_millis(250)),
        max_requests: Some(200),
        ..ClusterSettings::default()
    };
    vec![Cluster { settings, ..Cluster::new("cart", vec![one, two]) }, Cluster::empty("old")]
}

#[test]
fn toml_and_json_have_the_same_content() {
    assert_eq!(parse("a.toml", TOML), Ok(cart()));
    assert_eq!(parse("a.json", JSON), Ok(cart()));
    assert_eq!(parse("cluster list", JSON), Ok(cart()), "a text that begins with a brace is JSON");
    assert_eq!(parse("cluster list", TOML), Ok(cart()));
    // A compact file, as programs write it; omitted keys have their defaults.
    let short = "version=1\nclusters=[{name='c',endpoints=[{name='e',address='1.2.3.4:5'}]}]\n[end]";
    let expected = Endpoint::ready("e", ([1, 2, 3, 4], 5).into());
    assert_eq!(parse("a.toml", short), Ok(vec![Cluster::new("c", vec![expected])]));
    // An endpoint that accepts no requests needs no address.
    let without_address = TOML.replace("address = \"10.0.0.1:8080\"", "state = \"unhealthy\"");
    let clusters = parse("a.toml", &without_address).expect("a valid file");
    assert_eq!((clusters[0].listed()[0].address, clusters[0].listed()[0].state), (None, State::Unhealthy));
}

#[test]
fn documented_example_is_valid() {
    let page = include_str!("../src/file/mod.rs");
    let example = page.split("```").nth(1).and_then(|block| block.strip_prefix("toml")).expect("an example");
    let text: String =
        example.lines().map(|line| line.trim_start_matches("//!").trim_start().to_owned() + "\n").collect();
    let clusters = parse("example.toml", &text).expect("a valid file");
    assert_eq!(
        clusters.iter().map(|c| (c.name.as_str(), c.listed().len())).collect::<Vec<_>>(),
        [("cart", 1), ("old", 0)]
    );
}

#[test]
fn problem_has_line_column_key_and_message() {
    let cases = [
        ("version = 1\n", "", "1:1: version: the required key is missing"),
        (
            "version = 1",
            "version = 2",
            "1:11: version: format version 2 is not supported; this build reads version 1",
        ),
        ("version = 1", "version = \"1\"", "1:11: version: \"1\" is not an integer"),
        ("version = 1", "version = 1.0", "1:11: version: 1 is not an integer"),
        (
            "version = 1",
            "version = 1\nowner = 'x'",
            "2:1: owner: unknown key; known keys: version, clusters, end",
        ),
        ("name = \"cart\"\n", "", "3:1: clusters[0].name: the required key is missing"),
        ("name = \"cart\"", "name = 7", "4:8: clusters[0].name: 7 is not a string"),
        ("name = \"cart\"", "name = \"\"", "4:8: clusters[0].name: the name is empty"),
        (
            "name = \"cart\"",
            "name = \"a b\"",
            "4:8: clusters[0].name: the name contains whitespace or a control character",
        ),
        (
            "name = \"old\"",
            "name = \"cart\"",
            "24:8: clusters[1].name: cluster \"cart\" is also defined in f.toml:4",
        ),
        (
            "\"250ms\"",
            "\"250\"",
            "5:19: clusters[0].connect_timeout: \"250\" is not a duration such as \"250ms\"",
        ),
        ("\"250ms\"", "250", "5:19: clusters[0].connect_timeout: 250 is not a duration such as \"250ms\""),
        (
            "\"250ms\"",
            "\"2h\"",
            "5:19: clusters[0].connect_timeout: connect_timeout must be greater than 0 and at most 1h",
        ),
        ("= 200", "= 0", "6:16: clusters[0].max_requests: max_requests must be at least 1"),
        ("= 200", "= -1", "6:16: clusters[0].max_requests: -1 is not an integer from 0 to 4294967295"),
        (
            "max_requests",
            "max_request",
            "6:1: clusters[0].max_request: unknown key; did you mean `max_requests`?",
        ),
        ("name = \"cart-1\"\n", "", "7:1: clusters[0].endpoints[0].name: the required key is missing"),
        (
            "\"cart-2\"",
            "\"cart-1\"",
            "12:8: clusters[0].endpoints[1].name: endpoint \"cart-1\" is also defined in f.toml:8",
        ),
        (
            "\"10.0.0.1:8080\"",
            "\"cart.local:8080\"",
            "9:11: clusters[0].endpoints[0].address: \"cart.local:8080\" is not an IP address and port \
                such as \"10.0.0.1:8080\"",
        ),
        (
            "\"10.0.0.1:8080\"",
            "\"10.0.0.1:0\"",
            "9:11: clusters[0].endpoints[0].address: address 10.0.0.1:0 must be a unicast address with a \
                port other than 0",
        ),
        (
            "address = \"10.0.0.1:8080\"\n",
            "",
            "7:1: clusters[0].endpoints[0].address: the endpoint is ready but has no address",
        ),
        (
            "priority = 1",
            "priority = 129",
            "15:12: clusters[0].endpoints[1].priority: priority 129 must be from 0 to 128",
        ),
        (
            "priority = 1",
            "priority = -1",
            "15:12: clusters[0].endpoints[1].priority: -1 is not an integer from 0 to 128",
        ),
        (
            "weight = 10.5",
            "weight = -1",
            "16:10: clusters[0].endpoints[1].weight: weight -1 must be a number from 0 to 4294967295",
        ),
        (
            "weight = 10.5",
            "weight = nan",
            "16:10: clusters[0].endpoints[1].weight: weight NaN must be a number from 0 to 4294967295",
        ),
        (
            "weight = 10.5",
            "weight = \"10\"",
            "16:10: clusters[0].endpoints[1].weight: \"10\" is not a number",
        ),
        (
            "cell = 18446744073709551615",
            "cell = 18446744073709551616",
            "17:8: clusters[0].endpoints[1].cell: 18446744073709551616 is not an integer of at least 0",
        ),
        (
            "zone = \"a\"\npri",
            "zone = [1]\npri",
            "14:8: clusters[0].endpoints[1].zone: a list is not a string",
        ),
        (
            "\"draining\"",
            "\"Draining\"",
            "19:9: clusters[0].endpoints[1].state: \"Draining\" is not \"ready\", \"draining\" or \
                \"unhealthy\"",
        ),
        (
            "= 1700000000000",
            "= 2024-01-01",
            "20:14: clusters[0].endpoints[1].started_ms: a date is not an integer of at least 0",
        ),
        ("rack = \"7\"", "rack = 7", "21:21: clusters[0].endpoints[1].metadata.rack: 7 is not a string"),
        (
            "metadata = {",
            "meta = {",
            "21:1: clusters[0].endpoints[1].meta: unknown key; did you mean `metadata`?",
        ),
        (
            "empty = true",
            "",
            "23:1: clusters[1].endpoints: the cluster lists no endpoints; set `empty = true` if this is \
                intended",
        ),
        (
            "empty = true",
            "endpoints = []",
            "25:13: clusters[1].endpoints: the cluster lists no endpoints; set `empty = true` if this is \
                intended",
        ),
        ("empty = true", "empty = 1", "25:9: clusters[1].empty: 1 is not true or false"),
        (
            "empty = true",
            "empty = true\nendpoints = [{name='x',address='1.1.1.1:1'}]",
            "25:9: clusters[1].empty: the cluster is marked as empty but lists 1 endpoints",
        ),
        (
            "empty = true",
            "endpoints = [{name='x',address='1.1.1.1:1',weight=0}]",
            "25:13: clusters[1].endpoints: all weights are zero, so no endpoint would receive requests",
        ),
        ("empty = true", "empty = true\nempty = true", "26:1: invalid TOML: duplicate key"),
        ("[end]\n", "", "25:13: no [end] as the last line: the file may be truncated, so none of it is used"),
        (
            "[end]",
            "[end]\nx = 1",
            "28:6: no [end] as the last line: the file may be truncated, so none of it is used",
        ),
        ("version = 1", "version = 1\nend = {}", "28:2: invalid TOML: duplicate key"),
    ];
    for (old, new, expected) in cases {
        assert_eq!(TOML.matches(old).count().min(1), 1, "{old}");
        let problems = parse("f.toml", &TOML.replacen(old, new, 1)).expect_err(expected);
        let first: Vec<String> = problems.problems().iter().map(|p| p.to_string()).collect();
        assert!(first.contains(&format!("f.toml:{expected}")), "{first:#?}\nexpected {expected}");
    }
    for (text, expected) in [
        ("", "1:1: invalid JSON: the text is empty"),
        ("{\"version\": 1, \"clusters\": []}", "1:28: clusters: the file lists no clusters"),
        ("{\"version\": 1,}", "1:14: invalid JSON: Trailing commas are not allowed"),
        ("{\"version\": 1 // x\n}", "1:15: invalid JSON: Comments are not allowed"),
        ("{\"version\": 1, \"version\": 1, \"clusters\": null}", "1:16: version: duplicate key"),
        ("{\"version\": 1, \"clusters\": null}", "1:28: clusters: null is not a list of clusters"),
        ("{\"version\": 1,\n \"clusters\": [3]}", "2:15: clusters[0]: 3 is not a table"),
        ("[]", "1:1: a list is not a table"),
        ("{\"version\": 1} {}", "1:16: invalid JSON: Text cannot contain more than one JSON value"),
    ] {
        let problems = parse("f.json", text).expect_err(expected);
        let all: Vec<String> = problems.problems().iter().map(|p| p.to_string()).collect();
        assert!(all.contains(&format!("f.json:{expected}")), "{all:#?}\nexpected {expected}");
    }
    // All problems are reported, each once, in the order of the text.
    let text =
        TOML.replace("250ms", "x").replace("10.0.0.1:8080", "x").replace("weight = 10.5", "weight = -1");
    let lines: Vec<usize> = parse("f", &text).expect_err("three").problems().iter().map(|p| p.line).collect();
    assert_eq!(lines, [5, 9, 16]);
}

#[test]
fn file_truncated_at_any_byte_is_rejected() {
    let early = TOML
        .replace("[end]", "")
        .replace("[[clusters]]\nname = \"old\"", "[end]\n[[clusters]]\nname = \"old\"");
    let problems = parse("f.toml", &early).expect_err("content after the end mark may be truncated");
    assert_eq!(problems.problems()[0].fault, Fault::Truncated);
    let short_toml = "version=1\nclusters=[{name='c',empty=true}]\n[end]\n";
    let short_json = r#"{"version":1,"clusters":[{"name":"c","empty":true}]}"#;
    for (name, text, short) in [("f.toml", TOML, short_toml), ("f.json", JSON, short_json)] {
        let complete = parse(name, text);
        assert!(complete.is_ok() && parse(name, short).is_ok());
        for end in (0..text.len()).filter(|end| text.is_char_boundary(*end)) {
            let (begin, rest) = text.split_at(end);
            // A file that only lacks the last line break is complete.
            let truncated = parse(name, begin);
            assert!(
                truncated.is_err() || truncated == complete && rest.trim().is_empty(),
                "{name} truncated at {end}"
            );
            // An incomplete write in place: a new, shorter text over the start of the old one.
            let mixed = parse(name, &format!("{short}{rest}"));
            assert!(mixed.is_err() || rest.trim().is_empty(), "{name} over the rest from {end}: {rest}");
        }
    }
}

#[test]
fn fragments_are_merged_and_each_cluster_is_defined_in_one_of_them() {
    let fragment =
        |name: &str| format!("version = 1\n\n[[clusters]]\nname = \"{name}\"\nempty = true\n[end]\n");
    let files =
        |list: &[(&str, &str)]| list.iter().map(|(file, name)| (file.to_string(), fragment(name))).collect();
    let merged = merge_fragments(files(&[("b.toml", "pay"), ("a.toml", "cart")])).expect("valid fragments");
    assert_eq!(merged, [Cluster::empty("cart"), Cluster::empty("pay")]);
    assert_eq!(merge_fragments(Vec::new()), Ok(Vec::new()));
    let problems = merge_fragments(files(&[("b.toml", "cart"), ("a.toml", "cart"), ("c.toml", "")]));
    let messages: Vec<String> = problems
        .expect_err("a duplicate and an invalid name")
        .problems()
        .iter()
        .map(|p| p.to_string())
        .collect();
    assert_eq!(
        messages,
        [
            "b.toml:4:8: clusters[0].name: cluster \"cart\" is also defined in a.toml:4",
            "c.toml:4:8: clusters[0].name: the name is empty",
        ]
    );
    // A truncated fragment rejects the whole set.
    let mut fragments: Vec<(String, String)> = files(&[("a.toml", "cart"), ("b.toml", "pay")]);
    fragments[1].1.truncate(20);
    let problems = merge_fragments(fragments).expect_err("a truncated fragment");
    assert!(problems.problems().iter().all(|p| p.file == "b.toml"), "{problems}");
    assert!(problems.problems().iter().any(|p| matches!(p.fault, Fault::Syntax { .. } | Fault::Truncated)));
}

#[test]
fn differences_are_described_by_endpoint_and_key() {
    let old = cart();
    let mut new = cart();
    new[0].settings.max_requests = None;
    let Endpoints::Listed(list) = &mut new[0].endpoints else { panic!("a list") };
    list[0].weight = 2.0;
    list[0].state = State::Draining;
    list[1] = Endpoint {
        metadata: list[1].metadata.clone(),
        ..Endpoint::ready("cart-3", ([10, 0, 0, 3], 80).into())
    };
    new[1] = Cluster::new("pay", list.clone());
    let messages: Vec<String> = diff(&old, &new).iter().map(|d| d.to_string()).collect();
    assert_eq!(
        messages,
        [
            "cluster cart: max_requests 200 -> none",
            "cluster cart: endpoint cart-1: state ready -> draining",
            "cluster cart: endpoint cart-1: weight 1 -> 2",
            "cluster cart: endpoint cart-2: removed (address [fd00::2]:8080, state draining, weight 10.5, \
                zone \"a\", priority 1, cell 18446744073709551615, kind \"m2\", started_ms 1700000000000, \
                metadata {\"größe\": \"x\", \"rack\": \"7\"})",
            "cluster cart: endpoint cart-3: added (address 10.0.0.3:80, metadata {\"größe\": \"x\", \
                \"rack\": \"7\"})",
            "cluster old: removed (intentionally empty)",
            "cluster pay: added (2 endpoints)",
        ]
    );
    assert_eq!(diff(&old, &old), []);
    let quarantined = quarantined_changes(&old, &new, Policy::default()).expect("a valid policy");
    let messages: Vec<String> = quarantined.iter().map(|h| h.to_string()).collect();
    assert_eq!(
        messages,
        ["diff: cluster old: quarantined: missing from the full list of clusters. It is applied if the \
                source repeats it after the quarantine period, or on confirmation"]
    );
}

#[test]
fn summary_counts_states_zones_and_priorities() {
    let text = summary(&cart()).to_string();
    let cart = "cart: 1 ready, 1 draining, 2 in zone a, 1 of priority 0, 1 of priority 1, weight 1";
    assert_eq!(text, format!("2 clusters, 2 endpoints\n  {cart}\n  old: intentionally empty"));
}
