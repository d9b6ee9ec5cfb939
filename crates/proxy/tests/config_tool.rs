//! The tool that writes, checks and explains configurations, from its command line.

mod scenario;

use scenario::{fresh, olivecart};
use std::path::{Path, PathBuf};

fn example() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/fleet/fleet.toml")
}

/// The exit code, and what went to standard output and to standard error.
fn config(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut program = olivecart("config", Path::new(""));
    let run = program.args(arguments).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (run.status.code(), text(&run.stdout), text(&run.stderr))
}

/// A copy of the example with some text of a file replaced.
fn copy(file: &str, old: &str, new: &str) -> PathBuf {
    let (from, to) = (example().parent().expect("a directory").to_owned(), fresh(""));
    std::fs::create_dir_all(to.join("apps")).expect("a directory");
    for name in ["fleet.toml", "apps/booking.toml", "apps/records.toml", "apps/web.toml"] {
        let text = std::fs::read_to_string(from.join(name)).expect("the example");
        let text = if name == file { text.replacen(old, new, 1) } else { text };
        std::fs::write(to.join(name), text).expect("written");
    }
    to.join("fleet.toml")
}

#[test]
fn a_fleet_is_checked_and_written_and_what_is_written_is_good() {
    let example = example();
    let example = example.to_str().expect("a path");
    let (code, said, warned) = config(&["check", example]);
    assert_eq!((code, said.as_str(), warned.as_str()), (Some(0), "3 proxies in 4 files are valid\n", ""));
    let out = fresh("");
    let path = out.to_str().expect("a path");
    assert_eq!(config(&["write", example, "--out", path]).0, Some(0));
    let text = |name: &str| std::fs::read_to_string(out.join(name)).expect("written");
    let before = text("booking.toml");
    let (code, said, _) = config(&["write", example, "--out", path]);
    assert_eq!((code, text("booking.toml")), (Some(0), before));
    assert!(said.starts_with("0 of 3 files written"), "{said}");
    for name in ["web.toml", "booking.toml", "records.toml"] {
        let file = out.join(name);
        let file = file.to_str().expect("a path");
        assert_eq!(config(&["check", "--strict", file]).0, Some(0));
        let (code, shown, _) = config(&["show", file, "--origin"]);
        assert!(code == Some(0) && shown.contains("kind = \"proxy\""), "{shown}");
    }
    let (_, shown, _) = config(&["show", example, "--app", "web"]);
    assert!(shown.contains("\nattempts = 3\n") && !shown.contains('#'), "{shown}");
}

#[test]
fn what_is_wrong_is_told_with_code_and_place_and_nothing_is_written() {
    let bad = copy(
        "apps/booking.toml",
        "aim = \"1s\"",
        "repeat = \"anywhere\"\n[classes.book]\nrepeat = \"anywhere\"",
    );
    let path = bad.to_str().expect("a path");
    let (code, _, said) = config(&["check", path]);
    assert_eq!(code, Some(1), "{said}");
    assert!(said.contains("error[OC0102]") && said.contains("booking.toml:26:10"), "{said}");
    assert!(said.contains("     |          ^^^^^^^^^^") || said.contains("^^^^^^^^^^"), "{said}");
    let (code, sarif, _) = config(&["check", path, "--format", "sarif"]);
    assert!(code == Some(1) && sarif.contains("\"ruleId\": \"OC0102\""), "{sarif}");
    let (code, json, _) = config(&["check", path, "--format", "json"]);
    assert!(code == Some(1) && json.contains("\"code\": \"OC0102\""), "{json}");
    let out = fresh("");
    let (code, _, said) = config(&["write", path, "--out", out.to_str().expect("a path")]);
    assert!(code == Some(1) && said.contains("OC0102") && !out.exists(), "{said}");
}

#[test]
fn warnings_end_a_strict_check_only() {
    let odd = copy("fleet.toml", "worth = 3.0", "worth = 0.0");
    let path = odd.to_str().expect("a path");
    let (code, _, said) = config(&["check", path]);
    assert!(code == Some(0) && said.contains("warning[OC0502]") && said.ends_with("1 warning\n"), "{said}");
    assert_eq!(config(&["check", "--strict", path]).0, Some(1));
}

#[test]
fn differences_and_orders_of_change() {
    let (old, new) = (example(), copy("fleet.toml", "deadline = \"5s\"", "deadline = \"4s\""));
    let (old, new) = (old.to_str().expect("a path"), new.to_str().expect("a path"));
    let (code, said, _) = config(&["diff", old, new]);
    assert!(code == Some(1) && said.contains("classes[pay].deadline: 5s -> 4s"), "{said}");
    assert_eq!(config(&["diff", old, old]), (Some(0), String::new(), String::new()));
    let (code, said, _) = config(&["plan", old, new]);
    assert!(code == Some(0) && said.starts_with("1. records\n2. booking\n       after records"), "{said}");
    let other = copy("fleet.toml", "deadline = \"6s\"", "deadline = \"5s\"");
    let (code, _, said) = config(&["plan", new, other.to_str().expect("a path")]);
    assert!(code == Some(1) && said.contains("whichever goes first"), "{said}");
    let (code, _, said) = config(&["diff", old, "/nowhere"]);
    assert!(code == Some(2) && said.contains("error[OC0010]: /nowhere: No such file"), "{said}");
}

#[test]
fn calls_that_are_unusable_say_why() {
    for (arguments, message) in [
        (vec!["check"], "no file is given"),
        (vec!["explain", "OC9"], "there is no code \"OC9\""),
        (vec!["explain", "settings.atempts"], "did you mean `settings.attempts`?"),
        (vec!["schema", "flet"], "did you mean `fleet`?"),
        (
            vec!["write", example().to_str().expect("a path"), "--out", "/tmp", "--app", "wep"],
            "did you mean `web`?",
        ),
    ] {
        let (code, _, said) = config(&arguments);
        assert!(code == Some(2) && said.contains(message), "{arguments:?}: {code:?} {said}");
    }
    let (code, said, _) = config(&["explain", "oc0202"]);
    assert!(code == Some(0) && said.contains("instead of requests whose callers still wait"), "{said}");
}

#[test]
fn the_reference_and_the_schemas_are_what_the_program_prints() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (_, reference, _) = config(&["reference"]);
    let page = std::fs::read_to_string(root.join("docs/operators/configuration.md")).expect("the page");
    assert!(
        page.ends_with(&reference),
        "docs/operators/configuration.md is not `olivecart config reference`"
    );
    for kind in ["fleet", "application", "proxy"] {
        let (_, schema, _) = config(&["schema", kind]);
        let file =
            std::fs::read_to_string(root.join(format!("deploy/schema/{kind}.json"))).expect("the schema");
        assert_eq!(file, schema, "deploy/schema/{kind}.json is not `olivecart config schema {kind}`");
    }
}

#[test]
fn the_graph_is_told_and_drawn() {
    let example = example();
    let example = example.to_str().expect("a path");
    let (code, said, _) = config(&["graph", example]);
    assert!(
        code == Some(0) && said.contains("-> records: 1.5 calls per request, up to 3 attempts each"),
        "{said}"
    );
    let picture = fresh(".svg");
    assert_eq!(config(&["graph", example, "--svg", picture.to_str().expect("a path")]).0, Some(0));
    assert!(std::fs::read_to_string(picture).expect("drawn").starts_with("<svg"));
}

/// Draws the example's graph into a file with a limit of 512 bytes on the size of files; beyond it the process is
/// killed, or, with the signal ignored, the write fails.
fn draw_beyond_size_limit(picture: &Path, shell: &str) -> std::process::Output {
    let (program, example) = (env!("CARGO_BIN_EXE_olivecart"), example());
    let script = format!("ulimit -c 0; ulimit -f 1; {shell} exec \"$@\"");
    let mut command = std::process::Command::new("sh");
    command.args(["-c", &script, "sh", program, "config", "graph"]).arg(example);
    command.arg("--svg").arg(picture).output().expect("it runs")
}

#[test]
fn full_disk_or_kill_while_a_file_is_written_leaves_the_old_one() {
    use std::os::unix::process::ExitStatusExt;
    let folder = fresh("");
    std::fs::create_dir_all(&folder).expect("a folder");
    let picture = folder.join("graph.svg");
    std::fs::write(&picture, "the old picture").expect("written");

    let failed = draw_beyond_size_limit(&picture, "trap '' XFSZ;");
    let said = String::from_utf8_lossy(&failed.stderr).into_owned();
    assert_eq!(failed.status.code(), Some(2), "{said}");
    assert!(said.contains(&picture.display().to_string()) && said.contains("File too large"), "{said}");
    assert_eq!(std::fs::read_to_string(&picture).expect("there"), "the old picture");
    assert_eq!(std::fs::read_dir(&folder).expect("there").count(), 1, "no remnant");

    let killed = draw_beyond_size_limit(&picture, "");
    assert!(killed.status.signal().is_some(), "{:?}", killed.status);
    assert_eq!(std::fs::read_to_string(&picture).expect("there"), "the old picture");
}
