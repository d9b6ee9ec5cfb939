//! The files under `scenarios/` read without findings, and those under `tests/bad/` with exactly the findings
//! that their first lines name.

use olivecart_lab::scenario::{Checked, Scenario, Seat, Span, check_files, schema};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let entries = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<_> = entries.filter(|path| path.extension().is_some_and(|e| e == "toml")).collect();
    files.sort();
    files
}

fn scenarios() -> Vec<Checked> {
    files("../../scenarios").iter().map(|f| Scenario::read(f).unwrap_or_else(|e| panic!("{e}"))).collect()
}

#[test]
fn every_scenario_of_the_project_is_right_and_called_like_its_file() {
    let scenarios = scenarios();
    assert!(scenarios.len() >= 20);
    for (file, scenario) in files("../../scenarios").iter().zip(&scenarios) {
        assert_eq!(file.file_stem().unwrap(), scenario.name.as_str());
        assert!(!scenario.about.is_empty(), "{}", scenario.name);
    }
    let digests: BTreeSet<_> = scenarios.iter().map(Checked::digest).collect();
    assert_eq!(digests.len(), scenarios.len());
}

#[test]
fn every_bad_scenario_is_refused_for_its_reason_alone() {
    let files = files("tests/bad");
    assert!(files.len() >= 35);
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        let expected: Vec<Vec<&str>> = text
            .lines()
            .map_while(|line| line.strip_prefix("# expect: "))
            .map(|line| line.splitn(3, '|').map(str::trim).collect())
            .collect();
        let problems = Scenario::read(&file).err().unwrap_or_else(|| panic!("{} passes", file.display()));
        let found = problems.findings();
        assert!(!expected.is_empty() && found.len() == expected.len(), "{}:\n{problems}", file.display());
        for (finding, expected) in found.iter().zip(&expected) {
            let line = finding.place.as_ref().map_or(0, |place| place.line).to_string();
            let text = format!("{} ({})", finding.what, finding.right);
            assert_eq!(
                (finding.key.as_str(), line.as_str(), text.contains(expected[2])),
                (expected[0], expected[1], true),
                "expected {:?} in\n{finding}",
                expected[2]
            );
        }
    }
}

#[test]
fn the_schema_beside_the_scenarios_is_current() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/schema.json");
    assert!(
        std::fs::read_to_string(&file).is_ok_and(|text| text == schema()),
        "scenarios/schema.json is not what the types say: write it anew with \
         `cargo run -p olivecart-lab -- schema > scenarios/schema.json`"
    );
}

const SMALL: &str = r#"
version = 1
name = "small"
length = "10s"
[clients]
load = 0.5
[[class]]
name = "any"
aim = "1s"
deadline = "2000ms"
effect = "repeatable"
work = { dist = "fixed", mean = "10ms" }
[[tier]]
name = "app"
servers = 10
kind = [{ name = "m", cores = 2, speed = [1, 1] }, { name = "n", cores = 1, share = 0.5 }]
"#;

/// The same as [`SMALL`], in another order and with some defaults written out.
const TURNED: &str = r#"
name = "small"
length = "0.01s"
tier = [{ kind = [{ speed = [1.0, 1], cores = 2, name = "m" }, { share = 0.5, name = "n", cores = 1 }],
          servers = 10, name = "app", proxies = 1 }]
class = [{ work = { mean = "10000us", dist = "fixed" }, effect = "repeatable", deadline = "2s", aim = "1s",
           name = "any" }]
version = 1
clients = { load = 5e-1, retries = 0 }
network = { jitter = 0.2 }
"#;

#[test]
fn the_digest_depends_on_what_is_said_and_not_on_how() {
    let digest =
        |text: &str| Scenario::parse("text", text).unwrap_or_else(|e| panic!("{e}")).digest().to_owned();
    let turned = TURNED.replace("0.01s", "10s");
    assert_eq!(digest(SMALL), digest(&turned));
    assert_ne!(digest(SMALL), digest(TURNED));
    assert_ne!(digest(SMALL), digest(&SMALL.replace("0.5", "0.25")));
}

#[test]
fn a_scenario_made_in_code_is_checked_by_key_alone() {
    let mut scenario = Scenario::parse("text", SMALL).unwrap().into_inner();
    scenario.tier[0].kind[1].speed = [2.0, 1.0];
    scenario.clients.load = Some(f64::NAN);
    let problems = Checked::new(scenario).unwrap_err();
    let found: Vec<_> = problems.findings().iter().map(|f| (f.key.as_str(), f.place.is_some())).collect();
    assert_eq!(found, [("clients", false), ("tier[0].kind[1].speed", false)]);
}

#[test]
fn findings_are_printed_as_a_compiler_does() {
    let text = SMALL.replace("cores = 2", "cores = 0").replace("[clients]", "[clients]\nretrys = 2");
    let problems = Scenario::parse("small.toml", &text).unwrap_err();
    let printed = "\
error: unknown key `retrys`
 --> small.toml:6:1: clients.retrys
  |
6 | retrys = 2
  | ^^^^^^
  = did you mean `retries`?

error: 0 is below 1
  --> small.toml:17:31: tier[0].kind[0].cores
   |
17 | kind = [{ name = \"m\", cores = 0, speed = [1, 1] }, { name = \"n\", cores = 1, share = 0.5 }]
   |                               ^
   = Cores; 1 to 256.

2 errors in 1 file";
    assert_eq!(problems.to_string(), printed);
}

#[test]
fn files_are_checked_together_and_one_that_is_not_there_is_named() {
    let all = files("tests/bad");
    let (syntax, missing) =
        (all.iter().find(|f| f.ends_with("toml_syntax.toml")).unwrap(), Path::new("none.toml"));
    let problems = check_files(&[syntax.as_path(), missing]).unwrap_err();
    assert_eq!(problems.findings().len(), 2);
    assert!(problems.to_string().contains(" --> none.toml:\n"), "{problems}");
    assert_eq!(check_files(&files("../../scenarios")), Ok(()));
}

#[test]
fn the_fleet_is_spread_evenly_over_zones_kinds_and_cells() {
    let text = SMALL
        .replace("length", "zones = [\"a\", \"b\", \"c\"]\nlength")
        .replace("servers = 10", "servers = 90");
    let text = text.replace("kind = [", "cell_size = 7\nkind = [");
    let scenario = Scenario::parse("text", &text).unwrap();
    let seats = scenario.layout(0);
    let count = |f: &dyn Fn(&Seat) -> bool| seats.iter().filter(|s| f(s)).count();
    for zone in 0..3 {
        assert_eq!((count(&|s| s.zone == zone), count(&|s| s.zone == zone && s.kind == 1)), (30, 10));
    }
    let cells: BTreeSet<_> = seats.iter().map(|s| (s.cell, s.zone)).collect();
    assert_eq!(cells.iter().map(|c| c.0).collect::<Vec<_>>(), (0..15).collect::<Vec<_>>());
    assert!((0..15).all(|cell| count(&|s| s.cell == cell) <= 7));
}

#[test]
fn capacity_is_that_of_the_tier_which_runs_out_first() {
    let second = "[[tier]]\nname = \"b\"\nservers = 4\nwork_share = 0.5\ncalls = 3\n\
                  kind = [{ name = \"m\", cores = 2, speed = [1, 3] }]\n";
    let scenario = Scenario::parse("text", &format!("{SMALL}{second}")).unwrap();
    // 7 of 2 cores and 3 of 1; 4 of 2 cores at speed 2, called 3 times for half of the work.
    assert!((scenario.tier_capacity(0) - 1700.0).abs() < 1e-6);
    assert!((scenario.capacity() - 16.0 / (0.01 * 0.5 * 3.0)).abs() < 1e-6);
    assert!((scenario.rate() - scenario.capacity() / 2.0).abs() < 1e-6);
}

proptest! {
    #[test]
    fn a_length_of_time_is_read_as_it_was_written(nanos in 0..=365 * 86_400_000_000_000u64) {
        let span = Span::from_nanos(nanos);
        prop_assert_eq!(span.to_string().parse::<Span>(), Ok(span));
    }

    #[test]
    fn fractions_of_a_unit_are_exact(whole in 0..5000u64, part in 0..1_000_000u64) {
        let span: Span = format!("{whole}.{part:06}s").parse().unwrap();
        prop_assert_eq!(span.nanos(), whole * 1_000_000_000 + part * 1000);
    }

    #[test]
    fn no_text_makes_the_reader_panic(at in 0..SMALL.len(), with in "[\\]\\[{}=\"0-9a-z\\n é.#-]{0,6}") {
        let mut text = SMALL.to_owned();
        text.replace_range(at..(at + 3).min(SMALL.len()), &with);
        if let Err(problems) = Scenario::parse("text", &text) {
            prop_assert!(!problems.to_string().is_empty() && !problems.findings().is_empty());
        }
    }
}
