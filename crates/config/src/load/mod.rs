//! Reads files. What is wrong with the form of each is found here, all at once; what the values mean is
//! checked by `check`. Called by the command line and by the sidecar at its start.

mod parse;

use crate::document::{KeyPart, Source, top};
use crate::report::{Finding, SourceLocation};
use crate::types::{Application, Fleet, Proxy};
use parse::{TypedDocument, parse};
use std::path::{Path, PathBuf};

/// Files that were read, and what they say.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The texts; others refer to them by their indices here.
    pub sources: Vec<Source>,
    /// The fleet, and the index of its source.
    pub fleet: Option<(usize, Fleet)>,
    /// Applications, each with the index of its source, by file name.
    pub applications: Vec<(usize, Application)>,
    /// What single proxies read, each with the index of its source.
    pub proxies: Vec<(usize, Proxy)>,
    /// What is wrong with the form.
    pub findings: Vec<Finding>,
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
        let sources_before = self.sources.len();
        self.add_file(path);
        let directory = match &self.fleet {
            Some((source, fleet)) if *source >= sources_before => {
                path.parent().unwrap_or(Path::new("")).join(&fleet.applications)
            }
            _ => return,
        };
        for path in self.application_files(&directory) {
            self.add_file(&path);
        }
    }

    fn add_file(&mut self, path: &Path) {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => self.add_text(&name, &text),
            Err(error) => self.add_unreadable(&name, &error),
        }
    }

    /// Adds a text; `name` is what findings call it.
    pub fn add_text(&mut self, name: &str, text: &str) {
        let document = match Source::read(name, text) {
            Ok(document) => document,
            Err(error) => {
                let location = SourceLocation { span: error.span, ..SourceLocation::of_file(name) };
                self.findings.push(Finding::new("OC0001", error.message, location));
                return;
            }
        };
        let parsed = parse(&document.source, document.value, document.diagnostics);
        self.findings.extend(parsed.findings);
        let source = self.sources.len();
        self.sources.push(document.source);
        match parsed.document {
            Some(TypedDocument::Fleet(fleet)) if self.fleet.is_none() => self.fleet = Some((source, *fleet)),
            Some(TypedDocument::Fleet(_)) => self.add_second_fleet(source),
            Some(TypedDocument::Application(application)) => self.applications.push((source, *application)),
            Some(TypedDocument::Proxy(proxy)) => self.proxies.push((source, *proxy)),
            None => {}
        }
    }

    fn add_second_fleet(&mut self, source: usize) {
        let location = SourceLocation::of_key(&self.sources[source], &top("kind"), KeyPart::Value);
        let message = "a second fleet; one at a time can be judged";
        self.findings.push(Finding::new("OC0012", message, location));
    }

    fn add_unreadable(&mut self, name: &str, error: &std::io::Error) {
        let message = format!("{name}: {error}");
        self.findings.push(Finding::new("OC0010", message, SourceLocation::of_file(name)));
    }

    /// The files of a directory that end in `.toml`, by name; those whose names begin with a dot are left
    /// out.
    fn application_files(&mut self, directory: &Path) -> Vec<PathBuf> {
        let entries = match std::fs::read_dir(directory) {
            Ok(entries) => entries,
            Err(error) => {
                self.add_unreadable(&directory.display().to_string(), &error);
                return Vec::new();
            }
        };
        let mut paths: Vec<PathBuf> = entries
            .filter_map(|entry| Some(entry.ok()?.path()))
            .filter(|path| is_application_file(path))
            .collect();
        paths.sort();
        paths
    }
}

fn is_application_file(path: &Path) -> bool {
    let is_hidden = path.file_name().is_none_or(|name| name.as_encoded_bytes().starts_with(b"."));
    !is_hidden && path.extension().is_some_and(|extension| extension == "toml")
}
