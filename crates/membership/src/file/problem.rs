//! What is wrong with a file, and where.

use crate::invalid::Invalid;
use std::fmt;
use std::ops::Range;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileProblem {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The key, such as `clusters[0].endpoints[2].weight`; empty where the fault is in no key.
    pub key: String,
    /// What is wrong.
    pub fault: Fault,
}

/// What can be wrong with a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// It is not TOML or JSON.
    #[error("not {form}: {what}")]
    Syntax {
        /// TOML or JSON.
        form: &'static str,
        /// What the parser says.
        what: String,
    },
    /// The end mark is not the last thing in it.
    #[error("no [end] as the last line: the file may be torn off, so nothing of it is taken")]
    Torn,
    /// Another version of the form.
    #[error("version {found} of the form; this build reads version {}", super::VERSION)]
    Version {
        /// What it says.
        found: String,
    },
    /// A key that is needed is not there.
    #[error("the key is missing")]
    Missing,
    /// A key that nobody knows.
    #[error("unknown key; {instead}")]
    Unknown {
        /// What may be meant.
        instead: String,
    },
    /// A key comes twice.
    #[error("the key comes twice")]
    KeyTwice,
    /// A value of another type or form.
    #[error("{found} is not {wanted}")]
    Value {
        /// What would be right.
        wanted: &'static str,
        /// What is there.
        found: String,
    },
    /// A value that can mean nothing.
    #[error("{0}")]
    Invalid(Invalid),
    /// A name that must be unique stands elsewhere too.
    #[error("{what} {name:?} is also in {place}")]
    Twice {
        /// Cluster or endpoint.
        what: &'static str,
        /// Its name.
        name: String,
        /// Where it stands too, as `file:line`.
        place: String,
    },
    /// No cluster is listed.
    #[error("no cluster is listed")]
    NoClusters,
    /// No endpoint is listed.
    #[error("the cluster lists no endpoint; write `empty = true` if that is meant")]
    NoEndpoints,
    /// Endpoints are listed, and the cluster is said to be empty.
    #[error("the cluster is said to be empty, and lists {count} endpoints")]
    NotEmpty {
        /// How many.
        count: usize,
    },
    /// No ready endpoint has a weight.
    #[error("all weights are zero, so that nothing would be served")]
    AllWeightsZero,
}

/// All that is wrong with one or more files, at least one thing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct FileProblems(Vec<FileProblem>);

impl FileProblems {
    /// None if there is no problem.
    pub(super) fn of(mut problems: Vec<FileProblem>) -> Option<FileProblems> {
        problems.sort_by(|a, b| (&a.file, a.line, a.column).cmp(&(&b.file, b.line, b.column)));
        (!problems.is_empty()).then_some(FileProblems(problems))
    }

    /// The problems, by file and in the order of the text.
    pub fn problems(&self) -> &[FileProblem] {
        &self.0
    }

    pub(super) fn into_problems(self) -> Vec<FileProblem> {
        self.0
    }
}

impl FileProblem {
    pub(super) fn at(
        file: &str,
        lines: &Lines,
        range: &Range<usize>,
        key: String,
        fault: Fault,
    ) -> FileProblem {
        let (line, column) = lines.place(range.start);
        FileProblem { file: file.into(), line, column, key, fault }
    }
}

/// Where the lines of a text begin. Danger: whoever counts lines from the start of the text for each of 10,000
/// endpoints takes seconds.
pub(super) struct Lines<'t> {
    text: &'t str,
    starts: Vec<usize>,
}

impl<'t> Lines<'t> {
    pub fn of(text: &'t str) -> Lines<'t> {
        let starts = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        Lines { text, starts }
    }

    /// Line and column of a byte, from 1.
    pub fn place(&self, at: usize) -> (usize, usize) {
        let at = (0..=at.min(self.text.len())).rev().find(|&at| self.text.is_char_boundary(at)).unwrap_or(0);
        let line = self.starts.partition_point(|start| *start <= at);
        let start = self.starts.get(line.saturating_sub(1)).copied().unwrap_or(0);
        (line, self.text[start..at].chars().count() + 1)
    }
}

impl fmt::Display for FileProblem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let FileProblem { file, line, column, key, fault } = self;
        write!(f, "{file}:{line}:{column}: ")?;
        if !key.is_empty() {
            write!(f, "{key}: ")?;
        }
        write!(f, "{fault}")
    }
}

impl fmt::Display for FileProblems {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (at, problem) in self.0.iter().enumerate() {
            write!(f, "{}{problem}", if at == 0 { "" } else { "\n" })?;
        }
        Ok(())
    }
}
