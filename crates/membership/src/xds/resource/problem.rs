//! Errors in a resource, with messages for operators.

use super::Kind;
use crate::invalid::Invalid;
use std::fmt;

/// A rejected resource and the reasons.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidResource {
    /// The resource type.
    pub kind: Kind,
    /// The resource name; empty if it is unknown.
    pub name: String,
    /// The invalid fields: at least one, at most [`InvalidResource::MAX_LISTED_FIELDS`].
    pub fields: Vec<InvalidField>,
    /// The number of invalid fields that `fields` leaves out.
    pub omitted: usize,
}

/// An invalid field of a resource.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidField {
    /// The field path, such as `endpoints[0].lb_endpoints[3].endpoint.address`; empty for the whole resource.
    pub field: String,
    /// Why it is invalid.
    pub problem: Problem,
}

/// The reason why a field is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The bytes do not decode as the expected message.
    #[error("cannot be decoded: {0}")]
    Unreadable(String),
    /// The type of the resource differs from that of the response.
    #[error("type is {found:?}, expected {expected:?}")]
    TypeMismatch {
        /// The type URL of the resource.
        found: String,
        /// The type URL of the response.
        expected: &'static str,
    },
    /// The name of the resource differs from the name in its wrapper.
    #[error("resource name {inner:?} differs from wrapper name {outer:?}")]
    NameMismatch {
        /// The name in the resource.
        inner: String,
        /// The name in its wrapper.
        outer: String,
    },
    /// A response contains the resource more than once.
    #[error("duplicate resource in one response")]
    Duplicate,
    /// A required field is not set.
    #[error("must be set{0}")]
    Missing(&'static str),
    /// The value is not supported.
    #[error("{found} is not supported; {hint}")]
    Unsupported {
        /// The value that was found.
        found: String,
        /// What is supported, or how to correct the field.
        hint: &'static str,
    },
    /// The value is invalid.
    #[error("{0}")]
    Invalid(#[from] Invalid),
    /// Two endpoints have the same id.
    #[error("{other} has the same id {id:?}; set `id` in metadata `olivecart` if hostnames are not unique")]
    DuplicateId {
        /// The duplicate id.
        id: String,
        /// The field path of the other endpoint.
        other: String,
    },
    /// The limit on the number of resources is exceeded.
    #[error("limit of {0} resources of this type exceeded")]
    TooMany(usize),
}

impl InvalidResource {
    /// The maximum number of invalid fields in a report.
    pub const MAX_LISTED_FIELDS: usize = 16;

    /// Returns a report about a single invalid field.
    pub fn single(kind: Kind, name: &str, field: &str, problem: Problem) -> InvalidResource {
        let fields = vec![InvalidField { field: field.to_owned(), problem }];
        InvalidResource { kind, name: name.to_owned(), fields, omitted: 0 }
    }

    /// Returns a report about the invalid fields, or `None` if there are none.
    pub(super) fn from_fields(
        kind: Kind,
        name: &str,
        mut fields: Vec<InvalidField>,
    ) -> Option<InvalidResource> {
        let omitted = fields.len().saturating_sub(InvalidResource::MAX_LISTED_FIELDS);
        fields.truncate(InvalidResource::MAX_LISTED_FIELDS);
        (!fields.is_empty()).then(|| InvalidResource { kind, name: name.to_owned(), fields, omitted })
    }
}

impl fmt::Display for InvalidResource {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let message_name = match self.kind {
            Kind::Cluster => "Cluster",
            Kind::Assignment => "ClusterLoadAssignment",
        };
        // Quoted, since the name itself may be invalid.
        write!(f, "{message_name} {:?}: ", self.name)?;
        for (index, field) in self.fields.iter().enumerate() {
            write!(f, "{}{field}", if index == 0 { "" } else { "; " })?;
        }
        match self.omitted {
            0 => Ok(()),
            omitted => write!(f, "; and {omitted} others"),
        }
    }
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.field.as_str() {
            "" => write!(f, "{}", self.problem),
            field => write!(f, "{field}: {}", self.problem),
        }
    }
}

impl std::error::Error for InvalidResource {}
