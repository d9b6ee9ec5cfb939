//! Tests that invalid configurations are rejected. Each file under `bad/` describes one as edits of the valid
//! example, with the expected code and locations of its only finding.

use olivecart_config::check::check;
use olivecart_config::load::Loaded;
use olivecart_config::report::{CODES, Findings, SourceLocation, json, sarif, text};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// An invalid configuration.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// The expected code of the only finding.
    code: String,
    /// The expected first location: `FILE:LINE:COLUMN`, or only `FILE`.
    place: String,
    /// The expected related locations, in order.
    #[serde(default)]
    beside: Vec<String>,
    /// Environment variables.
    #[serde(default)]
    environment: Vec<(String, String)>,
    /// If not empty, only these proxy files are checked, not the fleet.
    #[serde(default)]
    proxies: Vec<String>,
    /// The edits of the valid example.
    #[serde(default)]
    edit: Vec<Edit>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Edit {
    file: String,
    /// The text to replace, which must occur once; the whole file if absent.
    replace: Option<String>,
    /// The new text; the file is removed if absent.
    with: Option<String>,
}

fn valid_example() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/fleet");
    let names = ["fleet.toml", "apps/booking.toml", "apps/records.toml", "apps/web.toml"];
    names.map(|name| (name.to_owned(), std::fs::read_to_string(root.join(name)).expect("the example"))).into()
}

fn cases() -> Vec<(String, Case)> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad");
    let mut paths: Vec<PathBuf> =
        std::fs::read_dir(directory).expect("there").map(|entry| entry.expect("read").path()).collect();
    paths.sort();
    let read = |path: PathBuf| {
        let name = path.file_name().expect("a file").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).expect("read");
        let case = toml::from_str(&text).unwrap_or_else(|error| panic!("{name}: {error}"));
        (name, case)
    };
    paths.into_iter().map(read).collect()
}

fn findings_of(name: &str, case: &Case) -> Findings {
    let mut files = valid_example();
    for Edit { file, replace, with } in &case.edit {
        let at = files.iter().position(|(known, _)| known == file);
        match (at, replace, with) {
            (Some(at), Some(old), Some(new)) => {
                assert_eq!(
                    files[at].1.matches(old.as_str()).count(),
                    1,
                    "{name}: {old:?} does not occur exactly once in {file}"
                );
                files[at].1 = files[at].1.replacen(old.as_str(), new, 1);
            }
            (Some(at), None, Some(new)) => files[at].1.clone_from(new),
            (Some(at), None, None) => _ = files.remove(at),
            (None, None, Some(new)) => files.push((file.clone(), new.clone())),
            _ => panic!("{name}: invalid edit of {file}"),
        }
    }
    // The fleet first, then the applications sorted by name, the order in which files are read from a
    // directory.
    files.sort_by_key(|(file, _)| (file != "fleet.toml", file.clone()));
    let mut loaded = Loaded::default();
    for (file, text) in &files {
        if case.proxies.is_empty() || case.proxies.contains(file) {
            loaded.add_text(file, text);
        }
    }
    check(&loaded, &case.environment).1
}

/// Returns the codes and locations of findings, in the form of the case files.
fn codes_and_locations(findings: &Findings) -> Vec<(String, Vec<String>)> {
    let format_location = |location: &SourceLocation| match &location.span {
        Some(span) => format!("{}:{}:{}", location.file, span.line, span.column),
        None => location.file.clone(),
    };
    findings
        .all()
        .iter()
        .map(|f| (f.code.id.to_owned(), f.locations.iter().map(format_location).collect()))
        .collect()
}

#[test]
fn every_invalid_configuration_is_rejected_with_expected_code_and_locations() {
    let cases = cases();
    assert!(cases.len() >= 80, "only {}", cases.len());
    let mut wrong = Vec::new();
    for (name, case) in &cases {
        let findings = findings_of(name, case);
        let mut locations = vec![case.place.clone()];
        locations.extend(case.beside.iter().cloned());
        if codes_and_locations(&findings) != [(case.code.clone(), locations)] {
            wrong.push(format!("{name}: {:?}\n{}", codes_and_locations(&findings), text(&findings)));
        }
    }
    assert!(wrong.is_empty(), "{} of {}:\n{}", wrong.len(), cases.len(), wrong.join("\n"));
}

#[test]
fn every_code_has_an_invalid_configuration() {
    // `missing_file_is_reported` covers OC0010, which has no case file.
    let covered: BTreeSet<String> =
        cases().into_iter().map(|(_, case)| case.code).chain(["OC0010".into()]).collect();
    let codes: BTreeSet<String> = CODES.iter().map(|code| code.id.to_owned()).collect();
    assert_eq!(codes.difference(&covered).collect::<Vec<_>>(), Vec::<&String>::new());
    assert!(CODES.windows(2).all(|pair| pair[0].id < pair[1].id), "the codes are sorted and unique");
}

#[test]
fn valid_example_has_no_findings() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/fleet/fleet.toml");
    let loaded = Loaded::read(&root);
    let (resolved, findings) = check(&loaded, &Vec::new());
    assert_eq!((resolved.len(), text(&findings)), (3, String::new()));
}

#[test]
fn missing_file_is_reported() {
    let loaded = Loaded::read(Path::new("/nowhere/fleet.toml"));
    let (_, findings) = check(&loaded, &Vec::new());
    assert_eq!(codes_and_locations(&findings), [("OC0010".into(), vec!["/nowhere/fleet.toml".into()])]);
    assert!(text(&findings).contains("No such file"), "{}", text(&findings));
}

#[test]
fn json_and_sarif_have_code_rule_and_line_of_each_finding() {
    for (name, case) in cases() {
        let findings = findings_of(&name, &case);
        let rows: serde_json::Value = serde_json::from_str(&json(&findings)).expect("JSON");
        assert_eq!(rows[0]["code"], *case.code, "{name}");
        let log: serde_json::Value = serde_json::from_str(&sarif(&findings)).expect("JSON");
        let result = &log["runs"][0]["results"][0];
        assert_eq!(result["ruleId"], *case.code, "{name}");
        let rule = result["ruleIndex"].as_u64().expect("an index") as usize;
        assert_eq!(log["runs"][0]["tool"]["driver"]["rules"][rule]["id"], *case.code, "{name}");
        if let Some(line) = case.place.split(':').nth(1) {
            let region = &result["locations"][0]["physicalLocation"]["region"];
            assert_eq!(region["startLine"].to_string(), line, "{name}");
        }
    }
}
