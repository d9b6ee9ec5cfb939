//! Problems in a file and their positions.

use crate::xds::resource::Problem;
use std::fmt;

/// A problem in a file, or a field without effect, and its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// The file name.
    pub file: String,
    /// The line number, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The field path, such as `static_resources.clusters[0].type`; empty for the whole file.
    pub field: String,
    /// The kind of problem.
    pub kind: DiagnosticKind,
}

/// The kinds of problems in a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DiagnosticKind {
    /// The file is not valid YAML, of which JSON is a subset.
    #[error("invalid YAML or JSON: {0}")]
    Syntax(String),
    /// The last line of a YAML file is not the document end mark.
    #[error("the last line is not `...`: the file is rejected because it may be truncated")]
    Truncated,
    /// The file uses an unsupported feature or exceeds a limit.
    #[error("{0}")]
    Unsupported(&'static str),
    /// A field is set more than once, possibly in both spellings.
    #[error("duplicate field")]
    DuplicateField,
    /// A field is unknown and its name is similar to a known one.
    #[error("unknown field; did you mean {0:?}?")]
    UnknownField(&'static str),
    /// A value has the wrong type or form.
    #[error("{found} is not {expected}")]
    WrongType {
        /// The type or form that the field requires.
        expected: &'static str,
        /// The value in the file.
        found: String,
    },
    /// A resource is invalid.
    #[error("{0}")]
    Resource(Problem),
    /// The file contains no resources.
    #[error("no resources in `resources` or `static_resources.clusters`")]
    NoResources,
    /// A resource is neither a `Cluster` nor a `ClusterLoadAssignment`.
    #[error("resource type {0:?} is not supported; supported are Cluster and ClusterLoadAssignment")]
    UnsupportedType(String),
    /// Two resources of the same type have the same name.
    #[error("resource {name:?} is already defined in line {line}")]
    DuplicateResource {
        /// The resource name.
        name: String,
        /// The line of the other resource.
        line: usize,
    },
    /// The endpoints of an EDS cluster are not in the file.
    #[error("the endpoints {0:?} of the cluster are not in this file")]
    NoEndpoints(String),
    /// A cluster has no endpoints.
    #[error("the cluster has no endpoints")]
    EmptyList,
    /// All ready endpoints have weight zero.
    #[error("all ready endpoints have weight 0 and would get no requests")]
    AllWeightsZero,
    /// No cluster uses the endpoints.
    #[error("no cluster in this file uses the endpoints {0:?}")]
    NoCluster(String),
    /// A field has no effect.
    #[error("the field is ignored")]
    Ignored,
}

/// The problems in a file, in file order. Contains at least one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct Diagnostics(pub(super) Vec<Diagnostic>);

impl Diagnostics {
    /// Returns the problems.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.0
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Diagnostic { file, line, column, field, kind } = self;
        write!(f, "{file}:{line}:{column}: ")?;
        if !field.is_empty() {
            write!(f, "{field}: ")?;
        }
        write!(f, "{kind}")
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            write!(f, "{}{diagnostic}", if index == 0 { "" } else { "\n" })?;
        }
        Ok(())
    }
}
