//! What is wrong with the operators' file, and where.

use olivecart_membership::{BadPolicy, Invalid};
use std::fmt;

/// One thing that is wrong.
#[derive(Debug, PartialEq)]
pub struct Problem {
    /// From 1.
    pub line: usize,
    /// In characters, from 1.
    pub column: usize,
    /// The key, such as `rules[2].path`; empty where the fault is in no key.
    pub key: String,
    /// What is wrong.
    pub fault: Fault,
}

/// What can be wrong.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// It is not TOML, or not of the form.
    #[error("{0}")]
    Form(String),
    /// Another version of the form.
    #[error("version {0} of the form; this build reads version {build}", build = super::VERSION)]
    Version(i64),
    /// A value of the wrong form or range.
    #[error("{found:?} is not {wanted}")]
    Value {
        /// What is there.
        found: String,
        /// What would be right.
        wanted: &'static str,
    },
    /// A value that the catalog would not take either.
    #[error("{0}")]
    Invalid(#[from] Invalid),
    /// A figure of the catalog's caution.
    #[error("{0}")]
    Policy(#[from] BadPolicy),
    /// A name that must be unique stands elsewhere too.
    #[error("{name:?} is also in line {line}")]
    Twice {
        /// The name.
        name: String,
        /// Where else.
        line: usize,
    },
    /// Two rules that fit exactly the same requests.
    #[error("fits exactly the same requests as the rule in line {line}; one of them can go")]
    SameRule {
        /// Where the other stands.
        line: usize,
    },
    /// A rule without any criterion.
    #[error("fits every request; write `default = {0:?}` instead")]
    Everything(String),
    /// A class that the platform's settings do not name.
    #[error("the platform's settings have no class {0:?}")]
    Class(String),
    /// None or several of the keys that say what a source is.
    #[error("needs exactly one of file, directory, envoy and xds, and has {0}")]
    Kind(usize),
    /// A key that means nothing for this kind of source.
    #[error("means nothing for a source of this kind")]
    Beside,
    /// A key that is needed.
    #[error("the key is missing")]
    Missing,
    /// The platform's name as that of a source.
    #[error("is the name of the platform's own")]
    Reserved,
}

/// All that is wrong with the file, at least one thing, in the order of the text.
#[derive(Debug, PartialEq)]
pub struct Problems {
    file: String,
    problems: Vec<Problem>,
}

impl std::error::Error for Problems {}

impl Problems {
    /// The only one that was found.
    pub fn one(file: &str, problem: Problem) -> Problems {
        Problems { file: file.to_owned(), problems: vec![problem] }
    }

    /// None if there is no problem.
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
