//! The problems found in a file, with their positions.

use crate::invalid::Invalid;
use std::fmt;
use std::ops::Range;

/// One problem in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileProblem {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the key, such as `clusters[0].endpoints[2].weight`; empty if the fault concerns no key.
    pub key: String,
    /// The kind of fault.
    pub fault: Fault,
}

/// A kind of fault in a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The text is not valid TOML or JSON.
    #[error("invalid {format}: {message}")]
    Syntax {
        /// TOML or JSON.
        format: &'static str,
        /// The message of the parser.
        message: String,
    },
    /// The end mark is missing or is not the last line.
    #[error("no [end] as the last line: the file may be truncated, so none of it is used")]
    Truncated,
    /// The version of the format is not supported.
    #[error("format version {found} is not supported; this build reads version {}", super::VERSION)]
    Version {
        /// The version in the file.
        found: String,
    },
    /// A required key is missing.
    #[error("the required key is missing")]
    MissingKey,
    /// A key is not part of the schema.
    #[error("unknown key; {suggestion}")]
    UnknownKey {
        /// The key that may be meant, or the known keys.
        suggestion: String,
    },
    /// A key occurs twice in a table.
    #[error("duplicate key")]
    DuplicateKey,
    /// A value has another type or format than expected.
    #[error("{found} is not {expected}")]
    Value {
        /// The expected value.
        expected: &'static str,
        /// The value in the file.
        found: String,
    },
    /// A value of the right type is invalid.
    #[error("{0}")]
    Invalid(Invalid),
    /// A name that must be unique is used twice.
    #[error("{item} {name:?} is also defined in {place}")]
    DuplicateName {
        /// Cluster or endpoint.
        item: &'static str,
        /// Its name.
        name: String,
        /// The other place, as `file:line`.
        place: String,
    },
    /// The file lists no clusters.
    #[error("the file lists no clusters")]
    NoClusters,
    /// A cluster lists no endpoints and is not marked as empty.
    #[error("the cluster lists no endpoints; set `empty = true` if this is intended")]
    NoEndpoints,
    /// A cluster is marked as empty but lists endpoints.
    #[error("the cluster is marked as empty but lists {count} endpoints")]
    NotEmpty {
        /// The number of listed endpoints.
        count: usize,
    },
    /// No ready endpoint of a cluster has a weight greater than 0.
    #[error("all weights are zero, so no endpoint would receive requests")]
    AllWeightsZero,
}

/// All problems of one or more files, at least one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct FileProblems(Vec<FileProblem>);

impl FileProblems {
    /// Sorts the problems by position. Returns `None` if there are none.
    pub(super) fn of(mut problems: Vec<FileProblem>) -> Option<FileProblems> {
        problems.sort_by(|a, b| (&a.file, a.line, a.column).cmp(&(&b.file, b.line, b.column)));
        (!problems.is_empty()).then_some(FileProblems(problems))
    }

    /// Returns the problems, by file and in the order of the text.
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
        let (line, column) = lines.line_and_column(range.start);
        FileProblem { file: file.into(), line, column, key, fault }
    }
}

/// An index of the line starts of a text. Without it, counting lines from the start of the text for each of
/// 10,000 endpoints would take seconds.
pub(super) struct Lines<'t> {
    text: &'t str,
    starts: Vec<usize>,
}

impl<'t> Lines<'t> {
    pub fn of(text: &'t str) -> Lines<'t> {
        let starts = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        Lines { text, starts }
    }

    /// Returns the line and column of a byte offset, from 1.
    pub fn line_and_column(&self, at: usize) -> (usize, usize) {
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
