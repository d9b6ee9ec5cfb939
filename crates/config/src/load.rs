//! From files to typed trees: what is wrong with the form of each is found here, all at once.

use crate::document::{Complaints, Fault, Key, Source, shape, top};
use crate::origin::spot;
use crate::report::{Code, Finding, Spot, code};
use crate::schema;
use crate::types::{Application, Fleet, Kind, Proxy, VERSION};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Files that were read, and what they say.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The texts; others refer to them by their places here.
    pub sources: Vec<Source>,
    /// The fleet, and its source.
    pub fleet: Option<(usize, Fleet)>,
    /// Applications, each with its source, by file name.
    pub applications: Vec<(usize, Application)>,
    /// What single proxies read.
    pub proxies: Vec<(usize, Proxy)>,
    /// What is wrong with the form.
    pub findings: Vec<Finding>,
}

/// One file as it was read.
enum Read {
    Fleet(Box<Fleet>),
    Application(Box<Application>),
    Proxy(Box<Proxy>),
}

/// The catalogue has every code that is asked for; a test holds it to that.
pub(crate) fn known(id: &str) -> &'static Code {
    code(id).unwrap_or(&crate::report::CODES[0])
}

impl Loaded {
    /// Reads a fleet with all its applications, or any other file; what a file is, it says itself.
    ///
    /// Files are called by their paths as given, and a fleet's applications by paths beside it.
    pub fn read(path: &Path) -> Loaded {
        let mut loaded = Loaded::default();
        loaded.add(path);
        loaded
    }

    /// Reads one more.
    pub fn add(&mut self, path: &Path) {
        let name = path.display().to_string();
        let Some(text) = self.text(path, &name) else { return };
        self.add_text(&name, &text);
        let beside = path.parent().unwrap_or(Path::new(""));
        let directory = match &self.fleet {
            Some((at, fleet)) if *at + 1 == self.sources.len() => beside.join(&fleet.applications),
            _ => return,
        };
        for path in self.applications_in(&directory) {
            let name = path.display().to_string();
            if let Some(text) = self.text(&path, &name) {
                self.add_text(&name, &text);
            }
        }
    }

    /// Takes in a text; `name` is what findings call it.
    pub fn add_text(&mut self, name: &str, text: &str) {
        let (source, value, complaints) = match Source::read(name, text) {
            Ok(read) => read,
            Err(bad) => {
                let (key, says) = (String::new(), String::new());
                let at = Spot { file: name.to_owned(), key, place: bad.place, says };
                return self.findings.push(Finding::new(known("OC0001"), bad.what, at));
            }
        };
        let (read, findings) = typed(&source, value, complaints);
        self.findings.extend(findings);
        let at = self.sources.len();
        self.sources.push(source);
        match read {
            Some(Read::Fleet(fleet)) if self.fleet.is_none() => self.fleet = Some((at, *fleet)),
            Some(Read::Fleet(_)) => {
                let place = spot(&self.sources[at], &top("kind"), false);
                let what = "a second fleet; one at a time can be judged";
                self.findings.push(Finding::new(known("OC0012"), what, place));
            }
            Some(Read::Application(application)) => self.applications.push((at, *application)),
            Some(Read::Proxy(proxy)) => self.proxies.push((at, *proxy)),
            None => {}
        }
    }

    fn text(&mut self, path: &Path, name: &str) -> Option<String> {
        match std::fs::read_to_string(path) {
            Ok(text) => Some(text),
            Err(error) => {
                self.unreadable(name, &error.to_string());
                None
            }
        }
    }

    fn unreadable(&mut self, name: &str, why: &str) {
        let at = Spot { file: name.to_owned(), key: String::new(), place: None, says: String::new() };
        self.findings.push(Finding::new(known("OC0010"), format!("{name}: {why}"), at));
    }

    /// The files of a directory that end in `.toml`, by name; those whose names begin with a dot are left out.
    fn applications_in(&mut self, directory: &Path) -> Vec<PathBuf> {
        let entries = match std::fs::read_dir(directory) {
            Ok(entries) => entries,
            Err(error) => {
                self.unreadable(&directory.display().to_string(), &error.to_string());
                return Vec::new();
            }
        };
        let is_file = |path: &PathBuf| {
            let hidden = path.file_name().is_none_or(|name| name.as_encoded_bytes().starts_with(b"."));
            !hidden && path.extension().is_some_and(|form| form == "toml")
        };
        let mut paths: Vec<PathBuf> =
            entries.filter_map(|entry| Some(entry.ok()?.path())).filter(is_file).collect();
        paths.sort();
        paths
    }
}

/// What a tree of values says, as far as it can be read, and what is wrong with it.
fn typed(source: &Source, mut value: Value, mut complaints: Complaints) -> (Option<Read>, Vec<Finding>) {
    let one = |id: &str, key: &str, what: String, help: &str| {
        let finding = Finding::new(known(id), what, spot(source, &top(key), false)).help(help);
        (None, vec![finding])
    };
    match &value["version"] {
        Value::Number(version) if version.as_u64() != Some(VERSION.into()) => {
            let help = format!("this program reads version {VERSION}");
            return one("OC0006", "version", format!("version {version} of the format"), &help);
        }
        _ => {}
    }
    let Some(word) = value["kind"].as_str() else {
        let id = if value["kind"].is_null() { "OC0003" } else { "OC0004" };
        let help = "write kind = \"fleet\", \"application\" or \"proxy\" at the top";
        return one(id, "kind", "the file does not say its kind".into(), help);
    };
    let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.name() == word) else {
        return one("OC0007", "kind", format!("unknown kind {word:?}"), "");
    };
    let unreadable = complaints.0.len();
    shape::check(schema::tree(kind), &mut value, &mut complaints);
    let findings: Vec<Finding> = located(source, &complaints);
    if unreadable > 0 {
        return (None, findings);
    }
    let read = match kind {
        Kind::Fleet => parsed(value).map(|fleet| Read::Fleet(Box::new(fleet))),
        Kind::Application => parsed(value).map(|application| Read::Application(Box::new(application))),
        Kind::Proxy => parsed(value).map(|proxy| Read::Proxy(Box::new(proxy))),
    };
    match read {
        Ok(read) => (Some(read), findings),
        Err(_) if !findings.is_empty() => (None, findings),
        // What the schema lets pass and the types do not: an address that is none.
        Err((key, why)) => {
            let at = spot(source, &key, false);
            (None, vec![Finding::new(known("OC0004"), why, at)])
        }
    }
}

fn parsed<T: DeserializeOwned>(value: Value) -> Result<T, (Key, String)> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let mut key = Key::default();
        for step in error.path().iter() {
            use serde_path_to_error::Segment;
            key = match step {
                Segment::Seq { index } => key.at(*index),
                Segment::Map { key: name } => key.name(name.as_str()),
                Segment::Enum { .. } | Segment::Unknown => key,
            };
        }
        (key, error.into_inner().to_string())
    })
}

fn located(source: &Source, complaints: &Complaints) -> Vec<Finding> {
    let finding = |(key, complaint): (&Key, &crate::document::Complaint)| {
        let id = match complaint.fault {
            Fault::Unknown => "OC0002",
            Fault::Missing => "OC0003",
            Fault::Type => "OC0004",
            Fault::Range | Fault::Misplaced | Fault::Other => "OC0005",
            Fault::Choice => "OC0009",
        };
        let at = spot(source, key, complaint.is_about_name());
        Finding::new(known(id), complaint.what.clone(), at).help(complaint.right.clone())
    };
    complaints.0.iter().map(finding).collect()
}
