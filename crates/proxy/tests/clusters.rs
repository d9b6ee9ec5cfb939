//! Tests of several clusters in one proxy, from watched files. `scenario/mod.rs` documents the scenario language.

mod scenario;
use scenario::{SETTINGS, config_file, endpoints_file, fresh, olivecart, play, play_clusters};
use std::path::Path;
use std::process::Command;

/// Two clusters from one file, no quarantine, and a rule that routes one path to the registry.
const OPERATORS: &str = r#"version = 1
default = "cart"
[[sources]]
name = "fleet"
file = "fleet.toml"
[[rules]]
cluster = "book"
class = "book"
[[rules]]
cluster = "book"
authority = "*.books.internal"
path = "/v2"
[[rules]]
cluster = "registry"
path = "/old"
[catalog]
hold = "0s"
"#;

#[test]
fn request_is_routed_by_the_rules_and_rejected_at_once_if_its_cluster_is_missing() {
    play_clusters(
        OPERATORS,
        "c send GET /1
         c expect 503 retry-after=* | refused: cluster cart is not there yet\\n
         c send GET /old/1
         a expect GET /old/1
         a send 200 | registry
         c expect 200 | registry
         disk list fleet.toml cart=d book=e
         proxy expect log changed: update from fleet
         proxy expect log changed: update from fleet
         c send GET /1
         d expect GET /1
         d send 200 | cart
         c expect 200 | cart
         c send POST /1 X-Class=book | x
         e expect POST /1 | x
         e send 200 | book
         c expect 200 | book
         c send GET /v2/x Host=eu.books.internal:80
         e expect GET /v2/x host=eu.books.internal:80
         e send 200 | book
         c expect 200 | book
         c send raw GET http://eu.books.internal/v2 HTTP/1.1\\r\\nHost: other\\r\\nX-Request-Id: r\\r\\nX-Class: view\\r\\n\\r\\n
         e expect GET /v2
         e send 200 | book
         c expect 200 | book
         c send GET /v2x Host=eu.books.internal
         d expect GET /v2x
         d send 200 | cart
         c expect 200 | cart",
    );
}

fn output(program: &mut Command) -> (Option<i32>, String) {
    let run = program.output().expect("the program runs");
    let both = [run.stdout, run.stderr].concat();
    (run.status.code(), String::from_utf8_lossy(&both).into_owned())
}

fn catalog(arguments: &[&Path]) -> (Option<i32>, String) {
    let mut program = olivecart("catalog", Path::new(""));
    output(program.args(arguments))
}

#[test]
fn examples_are_valid_and_contain_what_their_comments_say() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples");
    let config = config_file(&format!(
        r#"{{"listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500","settings":{SETTINGS}}}"#
    ));
    let (code, output_text) =
        output(olivecart("check", &config).arg("--clusters").arg(examples.join("clusters.toml")));
    assert!(
        code == Some(0) && output_text.ends_with("clusters   cart book registry, rules 3, default cart\n"),
        "{output_text}"
    );
    let (code, output_text) =
        output(olivecart("check", &config).arg("--clusters").arg(examples.join("xds.toml")));
    let plane = "source     plane: xDS from localhost:18000 as cart-sidecar-1\n";
    assert!(code == Some(0) && output_text.contains(plane), "{output_text}");
    let (code, output_text) = catalog(&[Path::new("check"), &examples.join("envoy.yaml")]);
    assert_eq!(code, Some(0), "{output_text}");
    assert!(output_text.contains("cart: 2 ready, 1 draining"), "{output_text}");
    let (code, fields) = catalog(&[Path::new("fields")]);
    let page = include_str!("../../../docs/operators/xds-fields.md");
    assert!(
        code == Some(0) && page.ends_with(&fields),
        "docs/operators/xds-fields.md is not `catalog fields`"
    );
    let (code, output_text) = catalog(&[Path::new("check"), &examples.join("endpoints.toml")]);
    assert_eq!(code, Some(0), "{output_text}");
    assert!(
        output_text.contains("cart: 2 ready, 1 draining, 1 in zone north, 2 in zone south, weight 3"),
        "{output_text}"
    );
}

#[test]
fn invalid_operators_file_is_rejected_with_file_line_and_key() {
    let config = config_file(&format!(
        r#"{{"listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500","settings":{SETTINGS}}}"#
    ));
    let xds = "version = 1\n[[sources]]\nname = \"p\"\nxds = \"h:1\"\nvariant = \"new\"\nnode = \"n\"\n";
    for (text, message) in [
        (
            "version = 1\n[[rules]]\ncluster = \"x\"\nclass = \"steal\"\n",
            ":4:9: rules[0].class: unknown class \"steal\"",
        ),
        (xds, ":5:11: sources[0].variant: \"new\" is not \"incremental\" or"),
    ] {
        let path = fresh(".toml");
        std::fs::write(&path, text).expect("written");
        for command in ["check", "serve"] {
            let (code, output_text) = output(olivecart(command, &config).env("OLIVECART_CLUSTERS", &path));
            assert!(code == Some(1) && output_text.contains(message), "{command}: {output_text}");
        }
    }
    let (code, output_text) = output(olivecart("check", &config).env("OLIVECART_CLUSTERS", "/nowhere"));
    assert!(
        code == Some(1) && output_text.contains("OLIVECART_CLUSTERS: /nowhere: No such file"),
        "{output_text}"
    );
}

#[test]
fn catalog_check_summarizes_a_file_and_diff_reports_changes() {
    let file = |words: &str| {
        let path = fresh(".toml");
        let at = |id: &str| format!("127.0.0.1:{}", 9000 + id.bytes().map(u32::from).sum::<u32>());
        std::fs::write(&path, endpoints_file(words, at)).expect("written");
        path
    };
    let (old, new, removed) = (file("cart=a,b,d"), file("cart=a,b/draining,d"), file("cart=e"));
    let truncated = fresh(".toml");
    std::fs::write(&truncated, "version = 1\n[[clusters]]\nname = \"cart\"\n").expect("written");
    let yaml = fresh(".yaml");
    let envoy_text = "resources:\n- '@type': type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment\n  \
        cluster_name: cart\n  endpoints:\n  - lb_endpoints:\n    - endpoint: { hostname: a-0, address: \
        { socket_address: { address: 127.0.0.1, port_value: 9097 } } }\n";
    std::fs::write(&yaml, format!("{envoy_text}...\n")).expect("written");
    let json = fresh(".json");
    std::fs::write(
        &json,
        r#"{"static_resources":{"clusters":[{"name":"cart","lb_policy":"MAGLEV","type":"STATIC",
        "load_assignment":{"cluster_name":"cart","endpoints":[]}}]}}"#,
    )
    .expect("written");
    let (check, diff, form) = (Path::new("check"), Path::new("diff"), Path::new("--form"));
    let nowhere = Path::new("/nowhere");
    for (arguments, code, message) in [
        (vec![check, &old, &new], 0, "cart: 2 ready, 1 draining"),
        (vec![check, &yaml], 0, "cart: 1 ready"),
        (vec![check, &json], 1, "the cluster has no endpoints"),
        (vec![check, &old, form, Path::new("envoy")], 1, "the last line is not `...`"),
        (vec![check, &old, form, Path::new("new")], 1, "neither \"documented\" nor \"envoy\""),
        (vec![diff, &yaml, &old], 1, "cluster cart: endpoint b-0: "),
        (vec![check, &old, &truncated], 1, "no [end] as the last line"),
        (vec![check, &truncated, nowhere], 2, "/nowhere: No such file"),
        (vec![diff, &old, &old], 0, ""),
        (vec![diff, &old, &new], 1, "cluster cart: endpoint b-0: state ready -> draining\n"),
        (
            vec![diff, &old, &removed],
            1,
            "would be quarantined: diff: cluster cart: quarantined: all 3 ready endpoints removed",
        ),
        (vec![diff, &old, &truncated], 2, "no [end] as the last line"),
    ] {
        let (ended, output_text) = catalog(&arguments);
        assert!(
            ended == Some(code) && output_text.contains(message),
            "{arguments:?}: {ended:?} {output_text}"
        );
    }
}

#[test]
fn removed_cluster_finishes_its_requests_and_returns_as_a_new_cluster() {
    play_clusters(
        OPERATORS,
        "disk list fleet.toml cart=d book=e
         proxy expect log cluster changed
         proxy expect log cluster changed
         c send GET /kept
         d expect GET /kept
         d send 200 | kept
         c expect 200 | kept
         c send GET /open
         d expect GET /open
         c2 send GET /lost
         d expect GET /lost on=new
         disk list fleet.toml book=e
         proxy expect log cluster removed
         c3 send GET /new
         c3 expect 503 retry-after=* | refused: cluster cart was removed\\n
         disk list fleet.toml book=e cart=a
         proxy expect log cluster changed
         c3 send GET /new
         a expect GET /new
         a send 200 | another
         c3 expect 200 | another
         d close
         c2 expect 503
         c4 send POST /book X-Class=book | x
         e expect POST /book | x
         e send 200 | undisturbed
         c4 expect 200 | undisturbed
         c close
         proxy expect log removed cluster drained",
    );
}

#[test]
fn request_open_at_the_removal_of_its_cluster_is_answered() {
    play_clusters(
        OPERATORS,
        "disk list fleet.toml cart=d book=e
         proxy expect log cluster changed
         proxy expect log cluster changed
         c send GET /open
         d expect GET /open
         disk list fleet.toml book=e
         proxy expect log cluster removed
         d send 200 | whole
         c expect 200 | whole
         d expect closed
         proxy expect log removed cluster drained",
    );
}

#[test]
fn endpoint_in_two_clusters_has_separate_state_and_connections() {
    play_clusters(
        OPERATORS,
        "disk list fleet.toml cart=d,e book=e
         proxy expect log cluster changed
         proxy expect log cluster changed
         c send GET /1
         e expect GET /1
         e send 200 | 1
         c expect 200 | 1
         c2 repeat POST /2 X-Class=book until e another
         disk list fleet.toml cart=d,e/draining book=e
         proxy expect log cluster changed
         c send GET /3
         d expect GET /3
         d send 200 | 3
         c expect 200 | 3
         c2 repeat POST /4 X-Class=book until e same",
    );
}

#[test]
fn cluster_limits_are_separate_and_the_operators_file_takes_precedence() {
    let limited =
        OPERATORS.replace("[catalog]", "[[clusters]]\nname = \"cart\"\nmax_requests = 1\n[catalog]");
    play_clusters(
        &limited,
        "disk list fleet.toml cart=d book=e
         proxy expect log cluster changed
         proxy expect log cluster changed
         c send GET /1
         d expect GET /1
         c2 send GET /2
         c2 expect 503 retry-after=*
         c3 send POST /3 X-Class=book X-Request-Id=same | x
         e expect POST /3 | x
         d send 200 | 1
         c expect 200 | 1
         c4 send GET /4 X-Request-Id=same
         c4 expect 409
         e send 200 | 3
         c3 expect 200 | 3",
    );
}

#[test]
fn invalid_file_is_logged_and_reported_until_it_is_valid_again() {
    let careful = OPERATORS.replace("hold = \"0s\"", "hold = \"10m\"");
    play_clusters(
        &careful,
        "disk list fleet.toml cart=d,e book=e
         proxy expect log cluster changed
         proxy expect log cluster changed
         disk raw fleet.toml version = 1\\n[[clusters]]\\nname = \"cart\"\\n
         proxy expect log no [end] as the last line
         proxy send USR1
         proxy expect log open_requests: 0, present: true, cluster: cart
         proxy expect log quiet for
         proxy expect log cart: from fleet, 2 ready, 0 draining
         disk list fleet.toml cart=a,b book=e
         proxy expect log all 2 ready endpoints removed at once
         proxy send USR1
         proxy expect log cart: from fleet, 2 ready
         proxy expect log all 2 ready endpoints removed at once, starting with d-0; asking again in
         c send GET /1
         e expect GET /1
         e send 200 | 1
         c expect 200 | 1
         disk list fleet.toml cart=d,e book=e
         proxy expect log quarantined update withdrawn
         disk remove fleet.toml
         proxy expect log cannot be read; the last valid content stays in use
         c send GET /2
         e expect GET /2
         e send 200 | 2
         c expect 200 | 2",
    );
}

#[test]
fn without_an_operators_file_there_is_no_catalog_and_no_routing() {
    // SIGUSR1, which requests a report of the catalog, ends a process without one.
    play(
        "c send GET /old/1 Host=eu.books.internal
         a expect GET /old/1
         a send 200 | registry
         c expect 200 | registry
         proxy send USR1
         proxy wait signal 10",
    );
}
