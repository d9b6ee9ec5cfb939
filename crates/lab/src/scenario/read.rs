//! Reading scenarios: from a file or a text to one that has passed every check.

use super::problem::{Finding, Problems};
use super::{Scenario, VERSION, check, schema};
use olivecart_config::document::{
    Diagnostic, Diagnostics, Key, ParsedDocument, Source, SourceSpan, shape, top,
};
use serde_json::Value;
use std::ops::Deref;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// A scenario that has passed every check. What plays a scenario takes this, so that it need not check again.
#[derive(Clone, Debug)]
pub struct Checked {
    scenario: Scenario,
    digest: String,
}

impl Checked {
    /// Checks a scenario that was not read from a text, or was changed since.
    ///
    /// # Errors
    /// All that is wrong with it, by key alone.
    pub fn new(scenario: Scenario) -> Result<Checked, Problems> {
        let mut complaints = Diagnostics::default();
        let checked = serde_json::to_value(&scenario).map(|value| check_value(value, &mut complaints));
        match checked {
            Ok(Some(checked)) => Ok(checked),
            Ok(None) => Err(without_text(&scenario.name, complaints)),
            Err(error) => {
                complaints.add(Key::default(), error.to_string(), "");
                Err(without_text(&scenario.name, complaints))
            }
        }
    }

    /// The hash (XXH3, 64 bits, hexadecimal) of the scenario with all defaults filled in: the same whatever
    /// the order of the keys in the file, and however a length of time or a number was written.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The scenario, to be changed.
    pub fn into_inner(self) -> Scenario {
        self.scenario
    }
}

impl Deref for Checked {
    type Target = Scenario;

    fn deref(&self) -> &Scenario {
        &self.scenario
    }
}

impl Scenario {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// All that is wrong with it, with file, line, column and key.
    pub fn read(path: &Path) -> Result<Checked, Problems> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Scenario::parse(&file, &text),
            Err(error) => {
                let what = format!("cannot be read: {error}");
                let finding = Finding { file, key: String::new(), place: None, what, right: String::new() };
                Err(Problems(vec![finding]))
            }
        }
    }

    /// Checks a text; `name` is what findings call it, usually its file.
    ///
    /// # Errors
    /// All that is wrong with it, with line, column and key.
    pub fn parse(name: &str, text: &str) -> Result<Checked, Problems> {
        let document = Source::read(name, text).map_err(|bad| {
            let (file, key, right) = (name.to_owned(), String::new(), String::new());
            let what = format!("not TOML: {}", bad.message);
            Problems(vec![Finding { file, key, place: bad.span, what, right }])
        })?;
        let ParsedDocument { source, value, diagnostics: mut complaints } = document;
        let checked = check_value(value, &mut complaints);
        checked.ok_or_else(|| located(&source, complaints))
    }
}

/// Reads and checks files, and gathers what is wrong with any of them.
///
/// # Errors
/// All findings, file by file.
pub fn check_files<P: AsRef<Path>>(paths: &[P]) -> Result<(), Problems> {
    let problems = paths.iter().filter_map(|path| Scenario::read(path.as_ref()).err());
    let findings: Vec<Finding> = problems.flat_map(|problems| problems.0).collect();
    if findings.is_empty() { Ok(()) } else { Err(Problems(findings)) }
}

/// Checks a tree of values; none where there were complaints, before or now.
///
/// Each stage takes what the one before it has let pass for granted: what was misspelt or has a wrong type is
/// not reported again as a contradiction.
fn check_value(mut value: Value, complaints: &mut Diagnostics) -> Option<Checked> {
    match &value["version"] {
        Value::Number(version) if version.as_u64() != Some(VERSION.into()) => {
            let what = format!("version {version} of the format");
            complaints.add(top("version"), what, format!("this build reads version {VERSION}"));
            return None;
        }
        _ => (),
    }
    let values_are_missing = !complaints.is_empty();
    shape::check(schema::tree(), &mut value, complaints);
    let is_sound = complaints.is_empty();
    if values_are_missing {
        return None;
    }
    let scenario: Scenario = match serde_json::from_value(value) {
        Ok(scenario) => scenario,
        Err(error) => {
            if is_sound {
                complaints.add(Key::default(), error.to_string(), "");
            }
            return None;
        }
    };
    check::check(&scenario, complaints);
    if complaints.is_empty() {
        check::check_figures(&scenario, complaints);
    }
    if !complaints.is_empty() {
        return None;
    }
    match serde_json::to_string(&scenario) {
        Ok(canonical) => {
            // Fields are written in the order of the types, defaults included.
            let digest = format!("{:016x}", xxh3_64(canonical.as_bytes()));
            Some(Checked { scenario, digest })
        }
        Err(error) => {
            complaints.add(Key::default(), error.to_string(), "");
            None
        }
    }
}

/// Diagnostics with their places, in the order of the text.
fn located(source: &Source, complaints: Diagnostics) -> Problems {
    let located =
        |(key, complaint): (Key, Diagnostic)| (source.range(&key, complaint.part()), key, complaint);
    let mut found: Vec<_> = complaints.into_iter().map(located).collect();
    found.sort_by_key(|(range, ..)| range.start);
    let finding = |(range, key, complaint): (_, Key, Diagnostic)| Finding {
        file: source.file.clone(),
        key: key.to_string(),
        place: Some(SourceSpan::of(source.text(), range)),
        what: complaint.message,
        right: complaint.help,
    };
    Problems(found.into_iter().map(finding).collect())
}

fn without_text(name: &str, complaints: Diagnostics) -> Problems {
    let finding = |(key, complaint): (Key, Diagnostic)| Finding {
        file: name.to_owned(),
        key: key.to_string(),
        place: None,
        what: complaint.message,
        right: complaint.help,
    };
    Problems(complaints.into_iter().map(finding).collect())
}
