//! What is wrong with a file, and where.

use crate::xds::resource::Problem;
use std::fmt;

/// One thing about a file, and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The field, such as `static_resources.clusters[0].type`; empty if it is the whole file.
    pub field: String,
    /// What is the kind.
    pub kind: DiagnosticKind,
}

/// What can be the kind with a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DiagnosticKind {
    /// It is not YAML (of which JSON is a part).
    #[error("cannot be read: {0}")]
    Syntax(String),
    /// The end mark of YAML is not the last thing in it.
    #[error("no `...` as the last line: the file may be torn off, so nothing of it is taken")]
    Torn,
    /// It goes beyond what is read.
    #[error("{0}")]
    Beyond(&'static str),
    /// A field comes twice, perhaps in both spellings.
    #[error("the field comes twice")]
    FieldTwice,
    /// A field is not known, and is close to one that is.
    #[error("unknown field; is {0:?} meant?")]
    Misspelt(&'static str),
    /// A value of another type or form.
    #[error("{found} is not {wanted}")]
    Value {
        /// What would be right.
        wanted: &'static str,
        /// What is there.
        found: String,
    },
    /// A resource cannot be used.
    #[error("{0}")]
    Resource(Problem),
    /// There is no resource.
    #[error("neither `resources` nor `static_resources.clusters` lists anything")]
    Nothing,
    /// A resource that is no cluster and no list of endpoints.
    #[error("a resource of type {0:?} is not read; known are Cluster and ClusterLoadAssignment")]
    Type(String),
    /// Two resources have one name.
    #[error("{name:?} is also in line {line}")]
    Twice {
        /// The name.
        name: String,
        /// Where it stands too.
        line: usize,
    },
    /// A cluster's endpoints are missing.
    #[error("the endpoints of the cluster, {0:?}, are not in this file")]
    NoEndpoints(String),
    /// A list has no endpoints.
    #[error("no endpoint is listed")]
    EmptyList,
    /// No ready endpoint has a weight.
    #[error("all weights are zero, so that nothing would be served")]
    AllWeightsZero,
    /// Endpoints belong to no cluster.
    #[error("no cluster in this file has its endpoints under {0:?}")]
    NoCluster(String),
    /// A field does nothing here.
    #[error("does nothing here")]
    Ignored,
}

/// All that is wrong with a file, at least one thing, in the order of the text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct Diagnostics(pub(super) Vec<Diagnostic>);

impl Diagnostics {
    /// The problems.
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
        for (at, diagnostic) in self.0.iter().enumerate() {
            write!(f, "{}{diagnostic}", if at == 0 { "" } else { "\n" })?;
        }
        Ok(())
    }
}
