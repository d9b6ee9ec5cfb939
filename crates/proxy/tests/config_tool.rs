//! Tests of `olivecart config`, which writes, checks and explains configurations, through its command line.

mod scenario;

use scenario::{fresh, olivecart};
use std::path::{Path, PathBuf};

fn example() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/fleet/fleet.toml")
}

/// Returns the exit code, standard output and standard error.
fn run_config(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut program = olivecart("config", Path::new(""));
    let run = program.args(arguments).output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (run.status.code(), text(&run.stdout), text(&run.stderr))
}

/// Copies the example with a text in one file replaced, and returns the path of the copy.
fn copy_example(file: &str, old: &str, new: &str) -> PathBuf {
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
fn fleet_is_checked_and_written_and_the_written_files_are_valid() {
    let example = example();
    let example = example.to_str().expect("a path");
    let (code, printed, errors) = run_config(&["check", example]);
    assert_eq!((code, printed.as_str(), errors.as_str()), (Some(0), "3 proxies in 4 files are valid\n", ""));
    let out = fresh("");
    let path = out.to_str().expect("a path");
    assert_eq!(run_config(&["write", example, "--out", path]).0, Some(0));
    let text = |name: &str| std::fs::read_to_string(out.join(name)).expect("written");
    let before = text("booking.toml");
    let (code, printed, _) = run_config(&["write", example, "--out", path]);
    assert_eq!((code, text("booking.toml")), (Some(0), before));
    assert!(printed.starts_with("0 of 3 files written"), "{printed}");
    for name in ["web.toml", "booking.toml", "records.toml"] {
        let file = out.join(name);
        let file = file.to_str().expect("a path");
        assert_eq!(run_config(&["check", "--strict", file]).0, Some(0));
        let (code, shown, _) = run_config(&["show", file, "--origin"]);
        assert!(code == Some(0) && shown.contains("kind = \"proxy\""), "{shown}");
    }
    let (_, shown, _) = run_config(&["show", example, "--app", "web"]);
    assert!(shown.contains("\nattempts = 3\n") && !shown.contains('#'), "{shown}");
}

#[test]
fn errors_are_reported_with_code_and_place_and_nothing_is_written() {
    let invalid = copy_example(
        "apps/booking.toml",
        "aim = \"1s\"",
        "repeat = \"anywhere\"\n[classes.book]\nrepeat = \"anywhere\"",
    );
    let path = invalid.to_str().expect("a path");
    let (code, _, printed) = run_config(&["check", path]);
    assert_eq!(code, Some(1), "{printed}");
    assert!(printed.contains("error[OC0102]") && printed.contains("booking.toml:26:10"), "{printed}");
    assert!(printed.contains("     |          ^^^^^^^^^^") || printed.contains("^^^^^^^^^^"), "{printed}");
    let (code, sarif, _) = run_config(&["check", path, "--format", "sarif"]);
    assert!(code == Some(1) && sarif.contains("\"ruleId\": \"OC0102\""), "{sarif}");
    let (code, json, _) = run_config(&["check", path, "--format", "json"]);
    assert!(code == Some(1) && json.contains("\"code\": \"OC0102\""), "{json}");
    let out = fresh("");
    let (code, _, printed) = run_config(&["write", path, "--out", out.to_str().expect("a path")]);
    assert!(code == Some(1) && printed.contains("OC0102") && !out.exists(), "{printed}");
}

#[test]
fn warnings_fail_only_a_strict_check() {
    let unusual = copy_example("fleet.toml", "worth = 3.0", "worth = 0.0");
    let path = unusual.to_str().expect("a path");
    let (code, _, printed) = run_config(&["check", path]);
    assert!(
        code == Some(0) && printed.contains("warning[OC0502]") && printed.ends_with("1 warning\n"),
        "{printed}"
    );
    assert_eq!(run_config(&["check", "--strict", path]).0, Some(1));
}

#[test]
fn diff_reports_changes_and_plan_orders_them() {
    let (old, new) = (example(), copy_example("fleet.toml", "deadline = \"5s\"", "deadline = \"4s\""));
    let (old, new) = (old.to_str().expect("a path"), new.to_str().expect("a path"));
    let (code, printed, _) = run_config(&["diff", old, new]);
    assert!(code == Some(1) && printed.contains("classes[pay].deadline: 5s -> 4s"), "{printed}");
    assert_eq!(run_config(&["diff", old, old]), (Some(0), String::new(), String::new()));
    let (code, printed, _) = run_config(&["plan", old, new]);
    assert!(
        code == Some(0) && printed.starts_with("1. records\n2. booking\n       after records"),
        "{printed}"
    );
    let other = copy_example("fleet.toml", "deadline = \"6s\"", "deadline = \"5s\"");
    let (code, _, printed) = run_config(&["plan", new, other.to_str().expect("a path")]);
    assert!(code == Some(1) && printed.contains("whichever goes first"), "{printed}");
    let (code, _, printed) = run_config(&["diff", old, "/nowhere"]);
    assert!(code == Some(2) && printed.contains("error[OC0010]: /nowhere: No such file"), "{printed}");
}

#[test]
fn unusable_arguments_are_explained() {
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
        let (code, _, printed) = run_config(&arguments);
        assert!(code == Some(2) && printed.contains(message), "{arguments:?}: {code:?} {printed}");
    }
    let (code, printed, _) = run_config(&["explain", "oc0202"]);
    assert!(code == Some(0) && printed.contains("instead of requests whose callers still wait"), "{printed}");
}

#[test]
fn reference_page_and_schemas_match_the_program() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (_, reference, _) = run_config(&["reference"]);
    let page = std::fs::read_to_string(root.join("docs/operators/configuration.md")).expect("the page");
    assert!(
        page.ends_with(&reference),
        "docs/operators/configuration.md is not `olivecart config reference`"
    );
    for kind in ["fleet", "application", "proxy"] {
        let (_, schema, _) = run_config(&["schema", kind]);
        let file =
            std::fs::read_to_string(root.join(format!("deploy/schema/{kind}.json"))).expect("the schema");
        assert_eq!(file, schema, "deploy/schema/{kind}.json is not `olivecart config schema {kind}`");
    }
}

#[test]
fn graph_is_printed_and_drawn() {
    let example = example();
    let example = example.to_str().expect("a path");
    let (code, printed, _) = run_config(&["graph", example]);
    assert!(
        code == Some(0) && printed.contains("-> records: 1.5 calls per request, up to 3 attempts each"),
        "{printed}"
    );
    let picture = fresh(".svg");
    assert_eq!(run_config(&["graph", example, "--svg", picture.to_str().expect("a path")]).0, Some(0));
    assert!(std::fs::read_to_string(picture).expect("drawn").starts_with("<svg"));
}

/// Draws the example's graph into a file with a file size limit of 512 bytes. Beyond it the process is killed or,
/// if it ignores the signal, the write fails.
fn draw_beyond_size_limit(picture: &Path, shell: &str) -> std::process::Output {
    let (program, example) = (env!("CARGO_BIN_EXE_olivecart"), example());
    let script = format!("ulimit -c 0; ulimit -f 1; {shell} exec \"$@\"");
    let mut command = std::process::Command::new("sh");
    command.args(["-c", &script, "sh", program, "config", "graph"]).arg(example);
    command.arg("--svg").arg(picture).output().expect("the program runs")
}

#[test]
fn write_error_or_kill_while_writing_leaves_the_old_file() {
    use std::os::unix::process::ExitStatusExt;
    let folder = fresh("");
    std::fs::create_dir_all(&folder).expect("a folder");
    let picture = folder.join("graph.svg");
    std::fs::write(&picture, "the old picture").expect("written");

    let failed = draw_beyond_size_limit(&picture, "trap '' XFSZ;");
    let printed = String::from_utf8_lossy(&failed.stderr).into_owned();
    assert_eq!(failed.status.code(), Some(2), "{printed}");
    assert!(
        printed.contains(&picture.display().to_string()) && printed.contains("File too large"),
        "{printed}"
    );
    assert_eq!(std::fs::read_to_string(&picture).expect("readable"), "the old picture");
    assert_eq!(std::fs::read_dir(&folder).expect("readable").count(), 1, "no temporary file is left");

    let killed = draw_beyond_size_limit(&picture, "");
    assert!(killed.status.signal().is_some(), "{:?}", killed.status);
    assert_eq!(std::fs::read_to_string(&picture).expect("readable"), "the old picture");
}
