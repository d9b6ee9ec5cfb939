//! Reads configuration files and reports all malformed keys and values of each file at once. The meaning of
//! values is checked by `check`. Used by the command line and by the sidecar at its start.

mod parse;

use crate::document::{KeyPart, Source, top};
use crate::report::{Finding, SourceLocation};
use crate::types::{Application, Fleet, Proxy};
use parse::{TypedDocument, parse};
use std::path::{Path, PathBuf};

/// The loaded files and their contents.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The texts of the files, which are referred to by their indices.
    pub sources: Vec<Source>,
    /// The fleet, and the index of its source.
    pub fleet: Option<(usize, Fleet)>,
    /// The applications, each with the index of its source, ordered by file name.
    pub applications: Vec<(usize, Application)>,
    /// The proxy files, each with the index of its source.
    pub proxies: Vec<(usize, Proxy)>,
    /// The findings about malformed files.
    pub findings: Vec<Finding>,
}

impl Loaded {
    /// Reads a fleet with all its applications, or any other configuration file; the key `kind` tells them
    /// apart.
    ///
    /// Findings name files by the given path; a fleet's application files have paths relative to the same
    /// directory.
    pub fn read(path: &Path) -> Loaded {
        let mut loaded = Loaded::default();
        loaded.add(path);
        loaded
    }

    /// Reads another file, and all its applications if it is a fleet.
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

    /// Adds a text; findings use `name` as its file name.
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
        let message = "a second fleet file; only one fleet can be checked at a time";
        self.findings.push(Finding::new("OC0012", message, location));
    }

    fn add_unreadable(&mut self, name: &str, error: &std::io::Error) {
        let message = format!("{name}: {error}");
        self.findings.push(Finding::new("OC0010", message, SourceLocation::of_file(name)));
    }

    /// Returns the `.toml` files of a directory, sorted by name, without hidden files.
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
