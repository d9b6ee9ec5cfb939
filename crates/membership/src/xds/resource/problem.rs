//! What is wrong with a resource, in words that a person can act on.

use super::Kind;
use crate::invalid::Invalid;
use std::fmt;

/// A resource that is rejected, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct BadResource {
    /// What it is.
    pub kind: Kind,
    /// Its name; empty if it cannot be known.
    pub name: String,
    /// What is wrong, at least one thing; at most [`BadResource::MOST_FIELDS`] by name.
    pub fields: Vec<BadField>,
    /// How much more is wrong.
    pub more: usize,
}

/// One thing that is wrong with a resource.
#[derive(Clone, Debug, PartialEq)]
pub struct BadField {
    /// The field, such as `endpoints[0].lb_endpoints[3].endpoint.address`; empty if it is the whole.
    pub field: String,
    /// What is wrong with it.
    pub problem: Problem,
}

/// What can be wrong with a field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The bytes are not such a message.
    #[error("cannot be decoded: {0}")]
    Unreadable(String),
    /// The resource is of another type than its response.
    #[error("is a {found:?}, not a {wanted:?}")]
    Type {
        /// Its type URL.
        found: String,
        /// The type URL of the response.
        wanted: &'static str,
    },
    /// The resource is listed under another name than its own.
    #[error("is named {inner:?} inside and {outer:?} outside")]
    Name {
        /// In the resource.
        inner: String,
        /// In its wrapper.
        outer: String,
    },
    /// The resource comes twice in one response.
    #[error("comes twice in one response")]
    Twice,
    /// A field that is needed is not set.
    #[error("must be set{0}")]
    Missing(&'static str),
    /// Something that is not supported here.
    #[error("{found} is not supported; {instead}")]
    Unsupported {
        /// What was found.
        found: String,
        /// What is.
        instead: &'static str,
    },
    /// Something that can mean nothing.
    #[error("{0}")]
    Invalid(#[from] Invalid),
    /// Two endpoints of one id.
    #[error("id {id:?} is also that of {other}; set metadata `olivecart`: `id` where hostnames are shared")]
    IdTwice {
        /// The id.
        id: String,
        /// The field of the other one.
        other: String,
    },
    /// More resources than are kept.
    #[error("there would be more than {0} resources of this kind")]
    TooMany(usize),
}

impl BadResource {
    /// Most fields that are named.
    pub const MOST_FIELDS: usize = 16;

    /// A resource with one thing wrong.
    pub fn one(kind: Kind, name: &str, field: &str, problem: Problem) -> BadResource {
        let fields = vec![BadField { field: field.to_owned(), problem }];
        BadResource { kind, name: name.to_owned(), fields, more: 0 }
    }

    /// None if nothing is wrong.
    pub(super) fn of(kind: Kind, name: &str, mut fields: Vec<BadField>) -> Option<BadResource> {
        let more = fields.len().saturating_sub(BadResource::MOST_FIELDS);
        fields.truncate(BadResource::MOST_FIELDS);
        (!fields.is_empty()).then(|| BadResource { kind, name: name.to_owned(), fields, more })
    }
}

impl fmt::Display for BadResource {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let what = match self.kind {
            Kind::Cluster => "Cluster",
            Kind::Assignment => "ClusterLoadAssignment",
        };
        // Quoted, since the name itself may be what is wrong.
        write!(f, "{what} {:?}: ", self.name)?;
        for (at, bad) in self.fields.iter().enumerate() {
            write!(f, "{}{bad}", if at == 0 { "" } else { "; " })?;
        }
        match self.more {
            0 => Ok(()),
            more => write!(f, "; and {more} more"),
        }
    }
}

impl fmt::Display for BadField {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.field.as_str() {
            "" => write!(f, "{}", self.problem),
            field => write!(f, "{field}: {}", self.problem),
        }
    }
}

impl std::error::Error for BadResource {}
