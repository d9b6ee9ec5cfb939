//! Sweeps, comparisons and files of results, with a player that plays nothing.

#[path = "experiment/fake.rs"]
mod fake;

use fake::{CALM, Fake, result};
use olivecart_lab::experiment::compare::{Comparison, Verdict};
use olivecart_lab::experiment::winners::{Rules, Winner};
use olivecart_lab::experiment::{Model, Options, Summary, SweepError, check, compare, sweep, winners};
use olivecart_lab::results::{Appender, Encoded, Entry, Outcome, Reader, ResultsError};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

const PLAN: &str = r#"version = 1
name = "loads"
scenarios = ["calm.toml"]
policies = ["good", "bad"]
seeds = 3
[grid]
"clients.load" = [0.5, 0.8]
"limits.max_attempts" = [1, 3]
"#;

struct Place(TempDir);

impl Place {
    fn new() -> Place {
        let place = Place(TempDir::new().expect("a folder"));
        place.write("calm.toml", CALM);
        place
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn text(&self, name: &str) -> String {
        self.path(name).display().to_string()
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).expect("written");
    }

    fn sweep(&self, plan: &str, out: &str, player: &Fake) -> Result<Summary, SweepError> {
        self.write("plan.toml", plan);
        sweep(&self.path("plan.toml"), &self.path(out), &Options::default(), player)
    }

    fn results(&self, name: &str, results: &[olivecart_lab::run_result::RunResult]) -> String {
        let (mut appender, _) = Appender::open(&self.path(name)).expect("opened");
        for result in results {
            appender.append(&Encoded::result(result).expect("encoded")).expect("written");
        }
        self.text(name)
    }
}

fn entries(file: &Path) -> Vec<Entry> {
    Reader::open(file).expect("opened").map(|entry| entry.expect("a line").1).collect()
}

/// All lines, in an order that does not depend on which run ended first.
fn sorted(file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).expect("results");
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    lines.sort();
    lines
}

#[test]
fn a_sweep_plays_every_policy_in_every_cell_with_the_same_seeds() {
    let (place, player) = (Place::new(), Fake::default());
    let summary = place.sweep(PLAN, "out", &player).expect("swept");
    assert!(summary.complete());
    assert_eq!((summary.runs, summary.played, summary.kept), (24, 24, 0));
    let entries = entries(&place.path("out/results.jsonl"));
    let mut found: Vec<_> = entries
        .iter()
        .map(|entry| match &entry.outcome {
            Outcome::Played(run) => {
                (serde_json::to_string(&entry.cell).expect("JSON"), &run.policy, run.seed)
            }
            Outcome::Failed(failed) => panic!("{failed:?}"),
        })
        .collect();
    found.sort();
    found.dedup();
    assert_eq!(found.len(), 24);
    assert_eq!(found[0].0, r#"{"clients.load":0.5,"limits.max_attempts":1}"#);
    assert_eq!(fs::read_to_string(place.path("out/plan.toml")).expect("the plan"), PLAN);
    // The values reach the scenario that is played.
    let played = player.played.lock().expect("unpoisoned");
    assert_eq!(played.iter().filter(|(load, ..)| load == "0.8").count(), 12);
}

#[test]
fn a_sweep_killed_while_writing_goes_on_to_the_same_results() {
    let place = Place::new();
    place.sweep(PLAN, "whole", &Fake::default()).expect("swept");
    let whole = sorted(&place.path("whole/results.jsonl"));
    let bytes = fs::read(place.path("whole/results.jsonl")).expect("results");
    for cut in [0, 1, 17, bytes.len() / 2, bytes.len() - 2, bytes.len() - 1] {
        let out = format!("cut{cut}");
        place.sweep(PLAN, &out, &Fake::default()).expect("swept");
        fs::write(place.path(&out).join("results.jsonl"), &bytes[..cut]).expect("cut");
        let player = Fake::default();
        let summary = place.sweep(PLAN, &out, &player).expect("gone on");
        assert_eq!(sorted(&place.path(&out).join("results.jsonl")), whole, "cut at {cut}");
        // A cut that takes nothing but the end of a line leaves its run there. Lines stand in the order in
        // which threads were done, so that any cut may be one.
        let kept = bytes[..cut].iter().filter(|&&byte| byte == b'\n').count();
        let only_the_end = cut > 0 && bytes[cut - 1] != b'\n' && bytes[cut] == b'\n';
        let kept = kept + usize::from(only_the_end);
        assert_eq!((summary.kept, summary.played), (kept, 24 - kept), "cut at {cut}");
        assert_eq!(player.played.lock().expect("unpoisoned").len(), 24 - kept, "cut at {cut}");
        assert_eq!(summary.torn.is_some(), cut > 0 && bytes[cut - 1] != b'\n' && !only_the_end);
    }
}

#[test]
fn a_run_that_fails_is_a_line_and_the_sweep_goes_on() {
    let place = Place::new();
    let plan = PLAN.replace("seeds = 3", "seeds = [12, 666]").replace("\"bad\"", "\"panics\", \"nan\"");
    let summary = place.sweep(&plan, "out", &Fake::default()).expect("swept");
    assert!(!summary.complete());
    assert_eq!((summary.runs, summary.played, summary.failed.len()), (24, 24, 20));
    let words = summary.failed.join("\n");
    for part in ["good, seed 666: it is not played", "the run panicked: ", "not a number"] {
        assert!(words.contains(part), "{part}: {words}");
    }
    assert!(summary.to_string().contains("20 could not be played"));
    assert_eq!(entries(&place.path("out/results.jsonl")).len(), 24);
    // Failures are kept, and not played again unless asked for.
    let player = Fake::default();
    let again = place.sweep(&plan, "out", &player).expect("swept");
    assert_eq!((again.played, again.kept, again.failed.len()), (0, 24, 20));
    let options = Options { retry_failed: true, ..Options::default() };
    let again = sweep(&place.path("plan.toml"), &place.path("out"), &options, &player).expect("swept");
    assert_eq!((again.played, again.kept, again.failed.len()), (20, 4, 20));
}

fn refused(place: &Place, plan: &str, out: &str, revision: &str) -> String {
    let player = Fake { revision: revision.into(), ..Fake::default() };
    let error = place.sweep(plan, out, &player).expect_err("refused").to_string();
    assert!(player.played.lock().expect("unpoisoned").is_empty(), "played all the same");
    error
}

#[test]
fn a_folder_of_another_plan_build_or_scenario_is_refused() {
    let place = Place::new();
    place.sweep(PLAN, "out", &Fake::default()).expect("swept");
    let other = refused(&place, &PLAN.replace("\"loads\"", "\"others\""), "out", "");
    assert!(other.contains("out: it belongs to the plan \"loads\", not to \"others\""), "{other}");
    let other = refused(&place, &PLAN.replace("seeds = 3", "seeds = 4"), "out", "");
    assert!(other.contains("another plan of the name \"loads\""), "{other}");
    let other = refused(&place, PLAN, "out", "abc");
    assert!(other.contains("this is abc"), "{other}");
    place.write("calm.toml", &CALM.replace("servers = 4", "servers = 5"));
    let other = refused(&place, PLAN, "out", "");
    assert!(other.contains("have changed since: calm"), "{other}");
    fs::create_dir(place.path("foreign")).expect("made");
    place.write("foreign/results.jsonl", "");
    let other = refused(&place, PLAN, "foreign", "");
    assert!(other.contains("no manifest.json"), "{other}");
}

#[test]
fn a_wrong_plan_is_told_with_file_line_and_key() {
    let place = Place::new();
    let dir = place.text("");
    for (from, to, words) in [
        (
            "\"clients.load\"",
            "\"clients.laod\"",
            "plan.toml:7: clients.laod: a scenario has no key clients.laod; \
                                                  the nearest is clients.load",
        ),
        ("\"limits.max_attempts\"", "\"fault[1].part\"", "plan.toml:8: fault[1].part: "),
        (
            "\"limits.max_attempts\"",
            "limits.max_attempts",
            "put the whole path in quotes: \"limits.max_attempts\"",
        ),
        (
            "\"limits.max_attempts\"",
            "clients",
            "plan.toml:7: clients.load: one of this and clients is a part",
        ),
        ("[0.5, 0.8]", "[0.5, 0.5]", "plan.toml:7: clients.load: 0.5 is there twice"),
        ("[0.5, 0.8]", "[]", "plan.toml:7: clients.load: takes a list"),
        ("[0.5, 0.8]", "[nan]", "plan.toml:7: clients.load: nan is no value"),
        ("[0.5, 0.8]", "['much']", "plan.toml:7: grid: with clients.load=\"much\""),
        ("[0.5, 0.8]", "[1, 1.0]", "make the same scenario"),
        ("seeds = 3", "seeds = 0", "plan.toml:5: seeds: 0 is no number of seeds"),
        ("seeds = 3", "seeds = [1, 1]", "plan.toml:5: seeds: 1 is there twice"),
        ("seeds = 3", "seeds = 'many'", "plan.toml:5: seeds: takes a number"),
        ("seeds = 3", "seeds = 900_000", "make over 1000000 runs"),
        ("\"bad\"", "\"worse\"", "plan.toml:4: policies: there is no policy \"worse\""),
        ("\"bad\"", "\"good\"", "plan.toml:4: policies: \"good\" is there twice"),
        ("calm.toml", "clam.toml", "plan.toml:3: scenarios: "),
        ("version = 1", "version = 2", "plan.toml:1: version: 2 is not a version"),
        ("seeds = 3", "seed = 3", "plan.toml:5: unknown field `seed`"),
        ("[grid]", "[grid", "plan.toml:6: "),
    ] {
        let plan = PLAN.replace(from, to);
        assert_ne!(plan, PLAN);
        let error = refused(&place, &plan, "out", "");
        assert!(error.contains(words), "{to}: {}", error.replace(&dir, ""));
        assert!(!place.path("out").exists(), "{to}: a folder was made");
    }
}

#[test]
fn the_plans_of_the_repository_can_be_played() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/plans");
    let plans = fs::read_dir(folder).expect("plans").map(|plan| plan.expect("a plan").path());
    let runs: Vec<usize> =
        plans.map(|plan| check(&plan, &Model).unwrap_or_else(|error| panic!("{error}"))).collect();
    assert!(runs.len() >= 3 && runs.iter().all(|&runs| runs > 1), "{runs:?}");
}

#[test]
fn results_of_another_version_are_refused_by_name() {
    let place = Place::new();
    let good = place.results("good.jsonl", &[result("calm", "d", "p", 1, 0.5)]);
    let line = fs::read_to_string(&good).expect("a line");
    let wrapped =
        |schema: u32, line: &str| format!("{{\"schema\":{schema},\"cell\":{{}},\"result\":{line}}}\n");
    let newer = line.replace("\"schema\":1", "\"schema\":7,\"later\":true");
    for (text, words) in [
        (newer.clone(), ":2: the result has schema version 7, this build reads version 1"),
        (wrapped(1, newer.trim()), ":2: the result has schema version 7"),
        (wrapped(9, line.trim()), ":2: the sweep's line has schema version 9, this build reads version 1"),
        (line.replace("\"schema\":1,", ""), ":2: the result has schema version none"),
    ] {
        place.write("bad.jsonl", &format!("{line}{text}"));
        let error = Reader::open(&place.path("bad.jsonl")).expect("opened").find_map(Result::err);
        let error = error.expect("refused");
        assert!(matches!(error, ResultsError::Schema { line: 2, .. }), "{error}");
        assert!(error.to_string().contains(&format!("bad.jsonl{words}")), "{error}");
        assert!(compare(&place.text("bad.jsonl"), &good).is_err());
    }
}

#[test]
fn a_torn_last_line_is_told_and_left_out_and_any_other_bad_line_refused() {
    let place = Place::new();
    let results = [result("calm", "d", "p\u{e9}", 1, 0.5), result("calm", "d", "p\u{e9}", 2, 0.6)];
    let file = PathBuf::from(place.results("good.jsonl", &results));
    let bytes = fs::read(&file).expect("results");
    let first = bytes.iter().position(|&byte| byte == b'\n').expect("a line") + 1;
    for cut in first + 1..bytes.len() - 1 {
        fs::write(&file, &bytes[..cut]).expect("cut");
        let mut reader = Reader::open(&file).expect("opened");
        assert_eq!(reader.by_ref().filter(Result::is_ok).count(), 1, "cut at {cut}");
        let torn = reader.torn().unwrap_or_else(|| panic!("cut at {cut}")).to_string();
        assert!(torn.contains("good.jsonl:2: cut off after"), "{torn}");
        let (mut appender, mended) = Appender::open(&file).expect("mended");
        assert_eq!(mended.as_ref(), reader.torn());
        appender.append(&Encoded::result(&results[1]).expect("encoded")).expect("written");
        assert_eq!(fs::read(&file).expect("results"), bytes, "cut at {cut}");
    }
    for bad in ["\n", "{}\n", "{\"schema\":1}\n", "{\"a\n", "nonsense", "{]"] {
        fs::write(&file, [&bytes[..first], bad.as_bytes()].concat()).expect("written");
        let error = Reader::open(&file).expect("opened").find_map(Result::err);
        let error = error.expect(bad).to_string();
        assert!(error.contains("good.jsonl:2: "), "{bad:?}: {error}");
    }
    // What is no file of results stays as it is.
    place.write("notes.txt", "not ours");
    assert!(Appender::open(&place.path("notes.txt")).is_err());
    assert_eq!(fs::read_to_string(place.path("notes.txt")).expect("there"), "not ours");
}

#[test]
fn a_file_has_one_writer_at_a_time() {
    let place = Place::new();
    let held = Appender::open(&place.path("r.jsonl")).expect("opened");
    assert!(matches!(Appender::open(&place.path("r.jsonl")), Err(ResultsError::Busy(_))));
    drop(held);
    assert!(Appender::open(&place.path("r.jsonl")).is_ok());
}

const MANY: &str = r#"version = 1
name = "many"
scenarios = ["calm.toml"]
policies = ["good", "bad", "twin"]
seeds = 20
[grid]
"clients.load" = [0.5, 0.8]
"#;

fn verdict(comparison: &Comparison, metric: &str) -> Verdict {
    comparison.rows.iter().find(|row| row.metric == metric).expect(metric).verdict
}

#[test]
fn a_planted_difference_is_found_and_none_where_there_is_none() {
    let place = Place::new();
    place.sweep(MANY, "out", &Fake::default()).expect("swept");
    let out = place.text("out");
    let planted = compare(&format!("{out}:bad"), &format!("{out}:good")).expect("compared");
    assert_eq!((planted.pairs, planted.seeds, planted.unpaired.len()), (40, 20, 0));
    assert_eq!(verdict(&planted, "goodput"), Verdict::More { better: true, together: true });
    assert_eq!(verdict(&planted, "p99 of read, ms"), Verdict::Same);
    let row = &planted.rows[0];
    let interval = row.interval.expect("enough seeds");
    // 0.02 and half of 0.01, as the player has it.
    assert!(interval.holds(0.025) && interval.high - interval.low < 0.004, "{row:?}");
    assert!(row.sentence().contains("goodput: B is higher by 0.02"), "{}", row.sentence());
    assert!(row.sentence().ends_with("40 pairs): more than chance, and better."), "{}", row.sentence());
    let page = planted.to_string();
    assert!(page.contains("9 metrics were looked at"), "{page}");
    assert!(page.contains("calm (clients.load=0.5); calm (clients.load=0.8)"), "{page}");
    let none = compare(&format!("{out}:twin"), &format!("{out}:good")).expect("compared");
    assert_eq!(verdict(&none, "goodput"), Verdict::Chance);
    assert!(none.rows[0].sentence().ends_with("may well be chance."));
    let worse = compare(&format!("{out}:good"), &format!("{out}:bad")).expect("compared");
    assert_eq!(verdict(&worse, "goodput"), Verdict::More { better: false, together: true });
}

#[test]
fn two_cells_of_a_sweep_can_be_compared() {
    let place = Place::new();
    place.sweep(MANY, "out", &Fake::default()).expect("swept");
    let out = place.text("out");
    let side = |load: &str| format!("{out}:good:clients.load={load}");
    let comparison = compare(&side("0.80"), &side("0.5")).expect("compared");
    assert_eq!(comparison.pairs, 20);
    assert!((comparison.rows[0].difference - 0.15).abs() < 1e-9, "{:?}", comparison.rows[0]);
    let several = compare(&side("0.5"), &format!("{out}:good")).expect_err("refused").to_string();
    assert!(several.contains("choose among the values of clients.load"), "{several}");
    for (text, words) in [
        (out.clone(), "has several policies; choose one"),
        (side("0.7"), "no run has clients.load=0.7; there are: 0.5, 0.8"),
        (format!("{out}:godo"), "the policy \"godo\" (did you mean good?); there are: bad, good, twin"),
        (place.text("nowhere"), "no such file"),
        (format!("{out}:good:bad"), "\"bad\" is neither"),
    ] {
        let error = compare(&text, &side("0.5")).expect_err(&text).to_string();
        assert!(error.contains(words), "{error}");
    }
}

#[test]
fn too_few_pairs_none_and_runs_without_another_are_told() {
    let place = Place::new();
    let run = |policy, seed, goodput| result("calm", "d", policy, seed, goodput);
    let a = place.results("a.jsonl", &[run("p", 1, 0.1), run("p", 2, 0.2), run("p", 7, 0.2)]);
    let b = place.results("b.jsonl", &[run("q", 1, 0.5), run("q", 2, 0.7), run("q", 8, 0.2)]);
    let few = compare(&a, &b).expect("compared");
    assert_eq!((few.pairs, verdict(&few, "goodput")), (2, Verdict::TooFew));
    assert_eq!(few.unpaired, ["only in A: calm, p, seed 7", "only in B: calm, q, seed 8"]);
    assert!(few.to_string().contains("Too few seeds to tell"), "{few}");
    let c = place.results("c.jsonl", &[run("q", 9, 0.5), result("calm", "other", "q", 1, 0.5)]);
    let none = compare(&a, &c).expect("compared");
    assert_eq!((none.pairs, none.rows.len(), none.unpaired.len()), (0, 0, 4));
    assert!(none.to_string().contains("No pair"), "{none}");
    assert!(none.unpaired.iter().any(|run| run.contains("not the same scenario in A (d) and B (other)")));
    let twice = place.results("twice.jsonl", &[run("p", 1, 0.1), run("p", 1, 0.1), run("p", 1, 0.3)]);
    let error = compare(&twice, &b).expect_err("refused").to_string();
    assert!(
        error.contains("lines 1 and 3 hold two different results of one run: calm, p, seed 1"),
        "{error}"
    );
}

#[test]
fn doubtful_runs_are_told_before_the_figures() {
    let place = Place::new();
    let run = |policy, seed| result("calm", "d", policy, seed, 0.5);
    let mut unsound = run("p", 1);
    unsound.unsound.push("stopped at 20 events".into());
    unsound.breaches.push(Default::default());
    let a = place.results("a.jsonl", &[unsound, run("p", 2)]);
    let b = place.results("b.jsonl", &[run("q", 1), run("q", 2)]);
    let notes = compare(&a, &b).expect("compared").notes.join("; ");
    assert!(notes.contains("1 of 2 pairs hold a run marked unsound"), "{notes}");
    assert!(notes.contains("A broke a rule in 1 of 2 runs"), "{notes}");
}

#[test]
fn winners_are_named_where_the_difference_is_more_than_chance() {
    let place = Place::new();
    place.sweep(MANY, "out", &Fake::default()).expect("swept");
    let out = place.text("out");
    let table = winners(&out, &Rules::default()).expect("a table");
    assert_eq!(table.rows.len(), 2);
    for row in &table.rows {
        let Winner::Tied(tied) = &row.winner else { panic!("{:?}", row.winner) };
        let mut tied = tied.clone();
        tied.sort();
        assert_eq!(tied, ["good", "twin"]);
    }
    let rules = Rules { aside: vec!["twin".into()], ..Rules::default() };
    let table = winners(&out, &rules).expect("a table");
    assert_eq!(table.rows[1].winner, Winner::One("good".into()));
    let page = table.to_string();
    assert!(page.contains("| calm (clients.load=0.8) | 0.60"), "{page}");
    assert!(page.find("load=0.5") < page.find("load=0.8") && page.contains("| **0.62"), "{page}");
    assert!(page.contains("] | good |\n") && page.contains("*twin* sees what no proxy can"), "{page}");
    let error = winners(&out, &Rules { metric: "speed".into(), ..Rules::default() }).expect_err("refused");
    assert!(error.to_string().contains("no metric \"speed\"; there are: attempts per request, "), "{error}");
    let few = place.results("few.jsonl", &[result("x", "d", "p", 1, 0.1), result("x", "d", "q", 1, 0.2)]);
    assert_eq!(winners(&few, &Rules::default()).expect("a table").rows[0].winner, Winner::TooFew);
}
