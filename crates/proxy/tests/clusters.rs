//! Several clusters in one proxy, from watched files. The language is in `scenario/mod.rs`.

mod scenario;
use scenario::{SETTINGS, config_file, endpoints_file, fresh, olivecart, play_clusters};
use std::path::Path;
use std::process::Command;

/// Two clusters of one file, nothing held back, the registry for one path.
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
fn a_request_goes_to_the_cluster_that_the_rules_say_and_waits_for_none_that_is_not_there() {
    play_clusters(
        OPERATORS,
        "c send GET /1
         c expect 503 retry-after=* | refused: cluster cart is not there yet\\n
         c send GET /old/1
         a expect GET /old/1
         a send 200 | registry
         c expect 200 | registry
         disk list fleet.toml cart=d book=e
         proxy expect log changed: fleet said so
         proxy expect log changed: fleet said so
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
    let run = program.output().expect("it runs");
    let both = [run.stdout, run.stderr].concat();
    (run.status.code(), String::from_utf8_lossy(&both).into_owned())
}

fn catalog(arguments: &[&Path]) -> (Option<i32>, String) {
    let mut program = olivecart("catalog", Path::new(""));
    output(program.args(arguments))
}

#[test]
fn the_examples_are_good_and_say_what_their_comments_say() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples");
    let config = config_file(&format!(
        r#"{{"listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500","settings":{SETTINGS}}}"#
    ));
    let (code, said) =
        output(olivecart("check", &config).arg("--clusters").arg(examples.join("clusters.toml")));
    assert!(
        code == Some(0) && said.ends_with("clusters   cart book registry, rules 3, default cart\n"),
        "{said}"
    );
    let (code, said) = catalog(&[Path::new("check"), &examples.join("endpoints.toml")]);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("cart: 2 ready, 1 draining, 1 in zone north, 2 in zone south, weight 3"), "{said}");
}

#[test]
fn a_bad_operators_file_is_turned_away_with_its_place() {
    let config = config_file(&format!(
        r#"{{"listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500","settings":{SETTINGS}}}"#
    ));
    let xds = "version = 1\n[[sources]]\nname = \"p\"\nxds = \"h:1\"\nnode = \"n\"\n";
    for (text, message) in [
        (
            "version = 1\n[[rules]]\ncluster = \"x\"\nclass = \"steal\"\n",
            ":4:9: rules[0].class: the platform's",
        ),
        (xds, "source p: xDS is not built into this program"),
    ] {
        let path = fresh(".toml");
        std::fs::write(&path, text).expect("written");
        for command in ["check", "serve"] {
            let (code, said) = output(olivecart(command, &config).env("OLIVECART_CLUSTERS", &path));
            assert!(code == Some(1) && said.contains(message), "{command}: {said}");
        }
    }
    let (code, said) = output(olivecart("check", &config).env("OLIVECART_CLUSTERS", "/nowhere"));
    assert!(code == Some(1) && said.contains("OLIVECART_CLUSTERS: /nowhere: No such file"), "{said}");
}

#[test]
fn the_tools_tell_what_a_file_amounts_to_and_what_another_would_change() {
    let file = |words: &str| {
        let path = fresh(".toml");
        let at = |id: &str| format!("127.0.0.1:{}", 9000 + id.bytes().map(u32::from).sum::<u32>());
        std::fs::write(&path, endpoints_file(words, at)).expect("written");
        path
    };
    let (old, new, gone) = (file("cart=a,b,d"), file("cart=a,b/draining,d"), file("cart=e"));
    let torn = fresh(".toml");
    std::fs::write(&torn, "version = 1\n[[clusters]]\nname = \"cart\"\n").expect("written");
    let (check, diff) = (Path::new("check"), Path::new("diff"));
    let nowhere = Path::new("/nowhere");
    for (arguments, code, message) in [
        (vec![check, &old, &new], 0, "cart: 2 ready, 1 draining"),
        (vec![check, &old, &torn], 1, "no [end] as the last line"),
        (vec![check, &torn, nowhere], 2, "/nowhere: No such file"),
        (vec![diff, &old, &old], 0, ""),
        (vec![diff, &old, &new], 1, "cluster cart: endpoint b-0: state ready -> draining\n"),
        (
            vec![diff, &old, &gone],
            1,
            "would be held back: diff: cluster cart: held: all 3 ready endpoints gone",
        ),
        (vec![diff, &old, &torn], 2, "no [end] as the last line"),
    ] {
        let (ended, said) = catalog(&arguments);
        assert!(ended == Some(code) && said.contains(message), "{arguments:?}: {ended:?} {said}");
    }
}
