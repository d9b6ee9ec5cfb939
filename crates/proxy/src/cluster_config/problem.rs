//! Errors in the operators' file, with their positions.

use olivecart_membership::{BadPolicy, Invalid};
use std::fmt;

/// An error and its position.
#[derive(Debug, PartialEq)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The key, such as `rules[2].path`; empty if the error concerns no single key.
    pub key: String,
    /// The error.
    pub fault: Fault,
}

/// The kinds of errors.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The text is not TOML or has unknown, missing or mistyped keys.
    #[error("{0}")]
    Syntax(String),
    /// The version of the file format is not supported.
    #[error("unsupported format version {0}; this build supports version {build}", build = super::VERSION)]
    UnsupportedVersion(i64),
    /// A value has the wrong syntax or is out of range.
    #[error("{found:?} is not {expected}")]
    InvalidValue {
        /// The value.
        found: String,
        /// The expected syntax or range.
        expected: &'static str,
    },
    /// A value is not valid in the catalog.
    #[error("{0}")]
    Invalid(#[from] Invalid),
    /// A setting of the catalog is out of range.
    #[error("{0}")]
    Policy(#[from] BadPolicy),
    /// A name that must be unique is used twice.
    #[error("{name:?} is already defined on line {line}")]
    Duplicate {
        /// The name.
        name: String,
        /// The line of its previous use.
        line: usize,
    },
    /// Two rules match exactly the same requests.
    #[error("matches exactly the same requests as the rule on line {line}; remove one of them")]
    DuplicateRule {
        /// The line of the other rule.
        line: usize,
    },
    /// A rule has no criterion.
    #[error("matches every request; write `default = {0:?}` instead")]
    MatchesAll(String),
    /// A class is not defined in the platform's settings.
    #[error("unknown class {0:?}: not defined in the platform's settings")]
    UnknownClass(String),
    /// A source has none or several of the keys that select its kind.
    #[error("exactly one of file, directory, envoy and xds is required; {0} are set")]
    SourceKindCount(usize),
    /// A key does not apply to this kind of source.
    #[error("does not apply to a source of this kind")]
    NotApplicable,
    /// A required key is missing.
    #[error("required key is missing")]
    MissingKey,
    /// A source has the reserved name of the platform's registry.
    #[error("this name is reserved for the platform's own registry")]
    ReservedName,
}

/// The errors in a file, at least one, in the order of the text.
#[derive(Debug, PartialEq)]
pub struct Problems {
    file: String,
    problems: Vec<Problem>,
}

impl std::error::Error for Problems {}

impl Problems {
    /// Returns a single error.
    pub fn one(file: &str, problem: Problem) -> Problems {
        Problems { file: file.to_owned(), problems: vec![problem] }
    }

    /// Returns the errors, sorted by position, or `None` if there are none.
    pub fn of(file: &str, mut problems: Vec<Problem>) -> Option<Problems> {
        problems.sort_by_key(|problem| (problem.line, problem.column));
        (!problems.is_empty()).then(|| Problems { file: file.to_owned(), problems })
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (at, Problem { line, column, key, fault }) in self.problems.iter().enumerate() {
            write!(f, "{}{}:{line}:{column}: ", if at == 0 { "" } else { "\n" }, self.file)?;
            if !key.is_empty() {
                write!(f, "{key}: ")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
