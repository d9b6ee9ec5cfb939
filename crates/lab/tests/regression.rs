//! The regression suite of the decisions: every scenario that states bounds is played, keeps them, and breaks
//! no rule. A change of the decisions that makes a day worse fails here.

use olivecart_lab::run::{Options, run};
use olivecart_lab::scenario::Scenario;
use std::path::{Path, PathBuf};

fn scenarios() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let files = std::fs::read_dir(folder).expect("the scenarios").map(|entry| entry.expect("a file").path());
    let mut files: Vec<PathBuf> = files.filter(|f| f.extension().is_some_and(|e| e == "toml")).collect();
    files.sort();
    files
}

/// What is wrong with a day, in words; none for a scenario without bounds.
fn wrong(file: &Path) -> Option<Vec<String>> {
    let scenario = Scenario::read(file).unwrap_or_else(|problems| panic!("{problems}"));
    scenario.bounds.goodput?;
    let result = run(&scenario, "olivecart", 1, Options::default())
        .unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    let broken = |b: &olivecart_lab::run_result::Breach| format!("rule {} broken: {}", b.rule, b.what);
    let mut wrong: Vec<String> = result.breaches.iter().map(broken).collect();
    wrong.extend(result.out_of_bounds);
    wrong.extend(result.unsound);
    Some(wrong)
}

#[test]
fn every_day_keeps_its_bounds_and_every_rule() {
    let files = scenarios();
    let days: Vec<(PathBuf, Option<Vec<String>>)> = std::thread::scope(|scope| {
        let day = |file: &PathBuf| {
            let file = file.clone();
            scope.spawn(move || (file.clone(), wrong(&file)))
        };
        let handles: Vec<_> = files.iter().map(day).collect();
        handles.into_iter().map(|h| h.join().expect("it ends")).collect()
    });
    let bounded = days.iter().filter(|(_, wrong)| wrong.is_some()).count();
    assert!(bounded >= 18, "only {bounded} scenarios state bounds");
    let bad: Vec<_> =
        days.iter().filter(|(_, wrong)| wrong.as_ref().is_some_and(|w| !w.is_empty())).collect();
    assert!(bad.is_empty(), "{bad:#?}");
}
